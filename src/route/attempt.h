#ifndef ROUTE_ATTEMPT_H
#define ROUTE_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The attempts of one request, and the decision after each whether the request
 * is retried and what the client is told. No I/O; times are in microseconds.
 */
struct jh_attempts {
	bool repeatable; /* may run more than once */
	unsigned int max_runs; /* attempts that may run */
	uint64_t deadline; /* of the final response */
	unsigned int sent; /* attempts so far */
	unsigned int not_run; /* of these, attempts known not to have run */
	bool may_have_run; /* some attempt ran or has an unknown outcome */
};

enum jh_attempt_result {
	JH_ATTEMPT_NOT_SENT, /* no byte reached a worker */
	JH_ATTEMPT_DECLINED, /* the worker reports that it did not run it */
	JH_ATTEMPT_BROKEN, /* no complete response; it may have run */
	JH_ATTEMPT_FAILED, /* the worker returned an error of its own */
	JH_ATTEMPT_RESPONDED
};

enum jh_attempt_next {
	JH_NEXT_RETRY, /* if the retry budget allows it; else end the request */
	JH_NEXT_RELAY, /* relay the worker's response to the client */
	JH_NEXT_REFUSE, /* tell the client that the request has not run */
	JH_NEXT_FAIL /* tell the client that the outcome is unknown */
};

/* No retry follows more attempts than this that did not run. */
#define JH_ATTEMPTS_MAX_NOT_RUN 3

/* Time to the deadline below which no attempt is started. */
#define JH_ATTEMPT_MIN_USEC 30000ULL

void jh_attempts_init(struct jh_attempts *a, bool repeatable,
    unsigned int run_limit, uint64_t deadline);
/* Counts an attempt that is about to be sent. */
void jh_attempts_sent(struct jh_attempts *a);
/* Records the result of the last attempt and returns what follows. */
enum jh_attempt_next jh_attempts_ended(
    struct jh_attempts *a, uint64_t now, enum jh_attempt_result result);
/* What the client is told when there is no further attempt. */
enum jh_attempt_next jh_attempts_give_up(const struct jh_attempts *a);

#endif
