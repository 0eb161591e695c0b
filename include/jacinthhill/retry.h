#ifndef JACINTHHILL_RETRY_H
#define JACINTHHILL_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The retry budget of one daemon: a token bucket that limits retries to a tenth
 * of the successful requests, plus a small reserve that refills with time, so
 * that a daemon with few requests can retry as well. Times are microseconds.
 */
struct jh_retry;

/* Successes that earn one retry. */
#define JH_RETRY_SUCCESSES_PER_RETRY 10

/* Initial budget; time refills the budget up to this, one retry a second. */
#define JH_RETRY_RESERVE 10

/* Largest budget that successes can earn. */
#define JH_RETRY_MAX 100

struct jh_retry *jh_retry_create(uint64_t now);
void jh_retry_destroy(struct jh_retry *r);

/* Counts a request that succeeded. */
void jh_retry_success(struct jh_retry *r, uint64_t now);

/* Takes one retry from the budget; returns false if it is used up. */
bool jh_retry_take(struct jh_retry *r, uint64_t now);

/* Number of whole retries left. */
uint32_t jh_retry_left(struct jh_retry *r, uint64_t now);

#endif
