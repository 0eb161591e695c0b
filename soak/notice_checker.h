#ifndef SOAK_NOTICE_CHECKER_H
#define SOAK_NOTICE_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#include <jacinthhill/clock.h>

/*
 * Checks the rules on what workers say of themselves: DRAIN, once a router has
 * passed on a response of a worker that leaves, and BUDGET, once a worker has
 * answered a router with 503 and Retry-After. It is a part of the checker;
 * times are microseconds.
 */
struct soak_notice_checker;

/* The rule BUDGET counts from then after the response on. */
#define SOAK_REFUSED_USEC (500 * JH_USEC_PER_MSEC)
/* Requests that the rule allows until the end of the time. */
#define SOAK_REFUSED_REQUESTS 2

enum soak_notice_rule {
	SOAK_NOTICE_OBEYED,
	SOAK_NOTICE_DRAIN,
	SOAK_NOTICE_BUDGET
};

/* A request that reached a worker. */
struct soak_notice_arrival {
	unsigned int worker, router;
	uint64_t sent; /* by its client */
	uint64_t interrupted; /* until then the router did not run; 0: never */
	/* Until then the worker's link was, or delivers late; 0: never. */
	uint64_t disturbed;
	uint64_t
	    stalled; /* time in which the soak did not run so far, in all */
};

/* drain: from the response that was passed on; the page's drainMs. */
struct soak_notice_checker *soak_notice_checker_create(
    unsigned int workers, unsigned int routers, uint64_t drain);
void soak_notice_checker_destroy(struct soak_notice_checker *nc);

/* The worker has started again: what it said before no longer counts. */
void soak_notice_checker_restarted(
    struct soak_notice_checker *nc, uint64_t now, unsigned int worker);
/*
 * The router passed on a response that says the worker leaves; started: when
 * the worker began the response's run.
 */
void soak_notice_checker_leaving(struct soak_notice_checker *nc, uint64_t now,
    unsigned int worker, unsigned int router, uint64_t started);
/*
 * The worker answered the router's request with 503 and the time until then;
 * all such answers before it state the same time.
 */
void soak_notice_checker_refused(struct soak_notice_checker *nc, uint64_t now,
    unsigned int worker, unsigned int router, uint64_t until, uint64_t stalled);
/* Returns the rule that the arrival breaks. */
enum soak_notice_rule soak_notice_checker_arrived(
    struct soak_notice_checker *nc, uint64_t now,
    const struct soak_notice_arrival *a);

#endif
