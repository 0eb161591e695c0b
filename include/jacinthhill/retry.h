#ifndef JACINTHHILL_RETRY_H
#define JACINTHHILL_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The retry budget of one daemon: attempts after a failure are bounded to a
 * tenth of the successes, plus a small reserve that refills with time so that
 * a quiet daemon may retry as well. Times are microseconds.
 */
struct jh_retry;

/* Successes that earn one retry. */
#define JH_RETRY_SUCCESSES 10

/* Retries in hand at the start; time refills up to here, one a second. */
#define JH_RETRY_RESERVE 10

/* Most retries saved up. */
#define JH_RETRY_MOST 100

struct jh_retry *jh_retry_create(uint64_t now);
void jh_retry_destroy(struct jh_retry *r);

/* Counts a request that succeeded. */
void jh_retry_success(struct jh_retry *r, uint64_t now);

/* Draws one retry; returns false if the budget is used up. */
bool jh_retry_take(struct jh_retry *r, uint64_t now);

/* Whole retries in hand. */
uint32_t jh_retry_left(struct jh_retry *r, uint64_t now);

#endif
