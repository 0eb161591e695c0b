#ifndef ROUTE_ATTEMPT_H
#define ROUTE_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides after each attempt of a request what follows. Pure; times are
 * microseconds.
 */
struct jh_attempts {
	bool repeatable; /* may run more than once */
	unsigned int most; /* workers that may run it */
	uint64_t deadline; /* of the final answer */
	unsigned int sent; /* attempts so far */
	unsigned int declined; /* of these, those that certainly did not run */
	bool
	    may_have_run; /* some attempt's fate is not known to be "not run" */
};

enum jh_attempt_result {
	JH_ATTEMPT_NOT_SENT, /* no byte reached a worker */
	JH_ATTEMPT_DECLINED, /* the worker states that it did not run it */
	JH_ATTEMPT_BROKEN, /* no whole answer; it may have run */
	JH_ATTEMPT_FAILED, /* a worker's own error answer */
	JH_ATTEMPT_ANSWERED
};

enum jh_attempt_next {
	JH_NEXT_RETRY, /* if the shared budget allows; else as _refused */
	JH_NEXT_PASS, /* give the worker's answer to the client */
	JH_NEXT_REFUSE, /* tell the client that it has not run */
	JH_NEXT_FAIL /* tell the client that its fate is unknown */
};

/* Declined attempts beyond this many are not worth another try. */
#define JH_ATTEMPTS_MOST_DECLINED 3

/* An attempt is not started with less time left than this. */
#define JH_ATTEMPT_LEAST_USEC 30000ULL

void jh_attempts_init(struct jh_attempts *a, bool repeatable, unsigned int most,
    uint64_t deadline);
/* An attempt is about to be sent. */
void jh_attempts_sent(struct jh_attempts *a);
/* The last attempt has ended. */
enum jh_attempt_next jh_attempts_ended(
    struct jh_attempts *a, uint64_t now, enum jh_attempt_result result);
/* What to answer when there is no further attempt. */
enum jh_attempt_next jh_attempts_give_up(const struct jh_attempts *a);

#endif
