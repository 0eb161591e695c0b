#include <glib.h>

#include "route/admit.h"

/* A request is admitted if it is expected within this part of its aim. */
#define AIM_SHARE 0.5

/* Waiting less than this is never a reason to turn a request away. */
#define LEAST_WAIT_USEC 500000ULL

/* Clients honour up to a third of the time that they have left. */
#define MOST_LEFT_SHARE 0.33

#define LEAST_RETRY_SECONDS 0.2

/* Clients come back spread over this part of the time beyond the least. */
#define SPREAD 0.5

void
jh_admit(const struct jh_admit_request *r, struct jh_admit_answer *out)
{
	uint64_t limit = (uint64_t)(AIM_SHARE * (double)r->target);
	double beyond, most, jitter;

	out->retry_seconds = 0;
	out->admitted = r->wait <= LEAST_WAIT_USEC || r->expected <= limit;
	if (out->admitted)
		return;
	beyond = (double)(r->expected - limit) / 1e6;
	most = MOST_LEFT_SHARE * (double)r->left / 1e6;
	jitter = 1 + SPREAD * (double)(r->hash % 1024) / 1024;
	out->retry_seconds = MIN((LEAST_RETRY_SECONDS + beyond) * jitter, most);
}
