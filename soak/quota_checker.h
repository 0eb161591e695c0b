#ifndef SOAK_QUOTA_CHECKER_H
#define SOAK_QUOTA_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#include <jacinthhill/clock.h>

/*
 * Checks the quotas of organisations (docs/quotas-and-overload.md, part A): the
 * cost of what workers ran in any window, over all routers, and refusals of
 * organisations below their quota. It is a part of the checker; times are
 * microseconds, costs in the unit of the organisation's quota.
 */
struct soak_quota_checker;

#define SOAK_QUOTA_WINDOW_USEC (8 * JH_USEC_PER_SEC)
#define SOAK_QUOTA_FACTOR 1.1
/*
 * The page's slack, 110,000 tokens, is two of its largest requests (55,000) or
 * 12 of its mean ones (9,260); requests of the soak have the same ratio of 6.
 */
#define SOAK_QUOTA_SLACK_REQUESTS 12
/*
 * A router knows the use of others only by estimates, so that it may refuse
 * requests when this part of the burst is used.
 */
#define SOAK_QUOTA_SURE_PART 0.8

struct soak_quota {
	const char *org; /* lives as long as the checker */
	double per_second, burst;
	double mean_cost; /* of a request */
};

/* apply: time in which a router in touch takes over a configuration. */
struct soak_quota_checker *soak_quota_checker_create(
    unsigned int routers, uint64_t apply);
void soak_quota_checker_destroy(struct soak_quota_checker *qc);

/* The store has this quota from now on. Without any, nothing is checked. */
void soak_quota_checker_set(
    struct soak_quota_checker *qc, uint64_t now, const struct soak_quota *q);
bool soak_quota_checker_has(
    const struct soak_quota_checker *qc, const char *org);
/*
 * The router has been in touch with the store for the time apply. A lowered
 * limit holds in windows that begin a window's length after all routers have
 * been so.
 */
void soak_quota_checker_in_touch(
    struct soak_quota_checker *qc, uint64_t now, unsigned int router);

/* A client sent a request. */
void soak_quota_checker_asked(
    struct soak_quota_checker *qc, uint64_t now, const char *org, double cost);
/*
 * A request reached a worker that runs it, at a time that may be before those
 * of earlier calls. stalled: time in which the soak did not run so far, in all.
 * Returns the cost in a window with too much, else 0, and sets *allowed.
 */
double soak_quota_checker_ran(struct soak_quota_checker *qc, uint64_t at,
    const char *org, double cost, uint64_t stalled, double *allowed);
/*
 * A request got 429. Returns whether the organisation asked for too little to
 * be refused: for less than the burst, or if routers may be out of touch with
 * each other, than the part of one router.
 */
bool soak_quota_checker_refused(const struct soak_quota_checker *qc,
    uint64_t now, const char *org, bool calm);

#endif
