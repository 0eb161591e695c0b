#ifndef SOAK_LIMIT_CHECKER_H
#define SOAK_LIMIT_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#include "soak/checker.h"

/*
 * Checks the rule LIMIT: what a worker gets that has named a rate limit, from
 * the routers that had passed on such a response. It is a part of the checker;
 * times are microseconds.
 */
struct soak_limit_checker;

/*
 * The rule counts from contact after the worker first named a limit, in any
 * window of that length, and what routers send from TOLD after they passed on
 * such a response.
 */
#define SOAK_LIMIT_TOLD_USEC (500 * JH_USEC_PER_MSEC)
#define SOAK_LIMIT_WINDOW_USEC (4 * JH_USEC_PER_SEC)
#define SOAK_LIMIT_FACTOR 1.5
#define SOAK_LIMIT_SLACK 5

struct soak_limit_checker *soak_limit_checker_create(
    unsigned int workers, unsigned int routers, uint64_t contact);
void soak_limit_checker_destroy(struct soak_limit_checker *lc);

/* The worker names this limit from now on, requests a second; negative: none.
 */
void soak_limit_checker_named(struct soak_limit_checker *lc, uint64_t now,
    unsigned int worker, double limit);
/* The worker has started again: the rule begins anew. */
void soak_limit_checker_restarted(
    struct soak_limit_checker *lc, uint64_t now, unsigned int worker);
/* The router passed on a response of the worker that names a limit. */
void soak_limit_checker_told(struct soak_limit_checker *lc, uint64_t now,
    unsigned int worker, unsigned int router);
/*
 * A request of the router reached the worker. excused: one of the two was
 * disturbed; stalled: time in which the soak did not run so far, in all.
 * Returns the requests in the window if they are too many, else 0, and sets
 * *allowed.
 */
unsigned int soak_limit_checker_arrived(struct soak_limit_checker *lc,
    uint64_t now, unsigned int worker, unsigned int router, bool excused,
    uint64_t stalled, double *allowed);

#endif
