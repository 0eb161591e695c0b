#ifndef PLACE_WORKER_H
#define PLACE_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <jacinthhill/place.h>

/* State that a placer keeps about one worker. Times are microseconds. */
struct jh_worker {
	struct jh_place_worker listed; /* as in the worker list */
	uint64_t leaving_until; /* set when it refuses a request as leaving */
	uint64_t wait; /* estimate for a new request, from its last response */
	uint64_t wait_deadline; /* wait is not valid from here on */
	uint64_t backoff_until; /* after failures; 0: none */
	uint32_t failures; /* consecutive */
	uint64_t busy_until; /* after a refusal without a wait */
	uint32_t refusals; /* consecutive */
};

/* Updates the state from a worker's response. */
void jh_worker_update(
    struct jh_worker *w, uint64_t now, const struct jh_place_response *a);

/* Whether the worker is leaving and must not get any requests. */
bool jh_worker_leaving(const struct jh_worker *w, uint64_t now);

/* Whether the worker is in backoff after failures. */
bool jh_worker_in_backoff(const struct jh_worker *w, uint64_t now);

/* Known wait in microseconds; 0 if none is known. */
uint64_t jh_worker_wait(const struct jh_worker *w, uint64_t now);

#endif
