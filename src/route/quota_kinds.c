#include <math.h>

#include "route/quota_state.h"

/* Time constant of the demand of each kind. */
#define KIND_USEC (5 * JH_USEC_PER_SEC)

/* A kind is large if its mean cost is this many times that of all requests. */
#define LARGE_FACTOR 1.5

/*
 * Large requests are admitted at this part of the common rate at least, so that
 * a kind of which all organisations ask too much does not starve.
 */
#define LEAST_LARGE_PART 0.35

bool
quota_count_kind(
    struct quota *q, uint64_t now, const struct jh_quota_request *r)
{
	double kept = exp(-(double)(now - MIN(now, q->kinds_at)) / KIND_USEC);
	bool large;

	q->requests = q->requests * kept + 1;
	q->small_cost *= kept;
	q->large_cost *= kept;
	large = r->kind_cost * q->requests >
		LARGE_FACTOR * (q->small_cost + q->large_cost + r->cost);
	*(large ? &q->large_cost : &q->small_cost) += r->cost;
	q->kinds_at = now;
	return large;
}

double
quota_kind_part(const struct quota *q, bool large, double part)
{
	double all = q->small_cost + q->large_cost, of_large, of_small,
	       large_part;

	if (part >= 1 || q->small_cost <= 0 || q->large_cost <= 0)
		return part;
	of_large = q->large_cost / all;
	of_small = 1 - of_large;
	large_part = MAX((part - of_small) / of_large, LEAST_LARGE_PART * part);
	if (large)
		return large_part;
	return MIN((part - large_part * of_large) / of_small, 1);
}
