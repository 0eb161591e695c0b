#include <glib.h>

#include "route/admit.h"

/*
 * A request is admitted if its first token is expected within this fraction of
 * the target.
 */
#define ADMIT_TARGET_FRACTION 0.5

/* A shorter wait is never a reason to reject a request. */
#define NEGLIGIBLE_WAIT_USEC 500000ULL

/* Clients honour a retry delay of up to a third of the time they have left. */
#define MAX_RETRY_FRACTION 0.33

#define MIN_RETRY_SECONDS 0.2

/* Retry delays are spread over this fraction above their shortest value. */
#define RETRY_JITTER_FRACTION 0.5

double
jh_admit_spread_retry(double seconds, uint64_t hash)
{
	return seconds *
	       (1 + RETRY_JITTER_FRACTION * (double)(hash % 1024) / 1024);
}

void
jh_admit(const struct jh_admit_request *r, struct jh_admit_decision *out)
{
	uint64_t limit = (uint64_t)(ADMIT_TARGET_FRACTION * (double)r->target);
	double excess, max_retry;

	out->retry_seconds = 0;
	out->admitted =
	    r->queue_wait <= NEGLIGIBLE_WAIT_USEC || r->expected_ttft <= limit;
	if (out->admitted)
		return;
	excess = (double)(r->expected_ttft - limit) / 1e6;
	max_retry = MAX_RETRY_FRACTION * (double)r->time_left / 1e6;
	out->retry_seconds =
	    MIN(jh_admit_spread_retry(MIN_RETRY_SECONDS + excess, r->hash),
		max_retry);
}
