#include <glib.h>

#include "place/worker.h"

/* A failure may be one broken connection, so the first backoff is short. */
#define BACKOFF_FIRST_USEC 250000ULL
#define BACKOFF_MAX_USEC 30000000ULL

/*
 * Time for which a worker that responded that it is leaving gets no requests. A
 * worker that restarts under the same id stays in the worker list, so the state
 * must expire; one that is still leaving refuses the next request as leaving.
 */
#define LEAVING_USEC 60000000ULL

/* Assumed wait after a busy response without a wait; doubles to the maximum. */
#define BUSY_FIRST_USEC 50000ULL
#define BUSY_MAX_USEC 1000000ULL

/* Doubles first for each count after the first, up to max. */
static uint64_t
doubled(uint64_t first, uint64_t max, uint32_t count)
{
	return count > 16 ? max : MIN(first << (count - 1), max);
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
		w->backoff_until = 0;
		w->busy_until = 0;
		break;
	case JH_PLACE_BUSY:
		w->failures = 0;
		w->backoff_until = 0;
		w->refusals++;
		if (!a->has_wait)
			w->busy_until = now + doubled(BUSY_FIRST_USEC,
						  BUSY_MAX_USEC, w->refusals);
		break;
	case JH_PLACE_FAILED:
		w->failures++;
		w->backoff_until = now + doubled(BACKOFF_FIRST_USEC,
					     BACKOFF_MAX_USEC, w->failures);
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
jh_worker_in_backoff(const struct jh_worker *w, uint64_t now)
{
	return now < w->backoff_until;
}

uint64_t
jh_worker_wait(const struct jh_worker *w, uint64_t now)
{
	uint64_t wait = now < w->wait_deadline ? w->wait : 0;

	if (now < w->busy_until)
		wait = MAX(wait, w->busy_until - now);
	return wait;
}
