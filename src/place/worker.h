#ifndef PLACE_WORKER_H
#define PLACE_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <jacinthhill/place.h>

/* What is known about one worker. */
struct jh_worker {
	struct jh_place_worker given;
	uint64_t leaving_until; /* said so itself; the list lags */
	uint64_t wait;
	uint64_t wait_deadline; /* the hint is void from here on */
	uint64_t failed_until;
	uint32_t failures; /* in a row */
	uint64_t busy_until; /* refused without telling its wait */
	uint32_t refusals; /* in a row */
};

void jh_worker_learn(
    struct jh_worker *w, uint64_t now, const struct jh_place_answer *a);

/* May not be offered work at all. */
bool jh_worker_leaving(const struct jh_worker *w, uint64_t now);

/* Held out after failures. */
bool jh_worker_failed(const struct jh_worker *w, uint64_t now);

/* Known wait in microseconds; 0 if nothing valid is known. */
uint64_t jh_worker_wait(const struct jh_worker *w, uint64_t now);

#endif
