#include <glib.h>

#include "place/worker.h"

/* A failure may be one broken connection, so the first ejection is short. */
#define EJECT_FIRST_USEC 250000ULL
#define EJECT_MAX_USEC 30000000ULL

/*
 * How long a worker that said that it is leaving gets no offers. A worker that
 * restarts under the same id never drops out of the worker list, so the state
 * must expire; one that is still leaving refuses the next offer and says so.
 */
#define LEAVING_USEC 60000000ULL

#define BUSY_FIRST_USEC 50000ULL
#define BUSY_MAX_USEC 1000000ULL

static uint64_t
backoff(uint64_t first, uint64_t most, uint32_t count)
{
	return count > 16 ? most : MIN(first << (count - 1), most);
}

void
jh_worker_update(
    struct jh_worker *w, uint64_t now, const struct jh_place_response *a)
{
	if (a->has_wait) {
		w->wait = a->wait;
		w->wait_deadline = a->wait_deadline != 0
				       ? a->wait_deadline
				       : now + JH_PLACE_WAIT_LIFETIME_USEC;
	}
	switch (a->outcome) {
	case JH_PLACE_ACCEPTED:
		w->failures = 0;
		w->refusals = 0;
		w->ejected_until = 0;
		w->busy_until = 0;
		break;
	case JH_PLACE_BUSY:
		w->failures = 0;
		w->ejected_until = 0;
		w->refusals++;
		if (!a->has_wait)
			w->busy_until = now + backoff(BUSY_FIRST_USEC,
						  BUSY_MAX_USEC, w->refusals);
		break;
	case JH_PLACE_FAILED:
		w->failures++;
		w->ejected_until = now + backoff(EJECT_FIRST_USEC,
					     EJECT_MAX_USEC, w->failures);
		break;
	case JH_PLACE_LEAVING:
		w->leaving_until = now + LEAVING_USEC;
		break;
	}
}

bool
jh_worker_leaving(const struct jh_worker *w, uint64_t now)
{
	return w->listed.leaving || now < w->leaving_until;
}

bool
jh_worker_ejected(const struct jh_worker *w, uint64_t now)
{
	return now < w->ejected_until;
}

uint64_t
jh_worker_wait(const struct jh_worker *w, uint64_t now)
{
	uint64_t wait = now < w->wait_deadline ? w->wait : 0;

	if (now < w->busy_until)
		wait = MAX(wait, w->busy_until - now);
	return wait;
}
