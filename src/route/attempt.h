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
	unsigned int not_sent; /* of those, attempts that were not sent */
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

/* No retry follows more attempts than this that a worker declined. */
#define JH_ATTEMPTS_MAX_NOT_RUN 3

/* The same for attempts that were not sent, which cost time only. */
#define JH_ATTEMPTS_MAX_NOT_SENT 8

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

/*
 * An attempt that may be repeated is checked when its response has been missing
 * for this long beyond the expected time, or beyond the longest event gap, and
 * then again after each such time.
 */
#define JH_SILENCE_CHECK_USEC 1000000ULL

/* A response that is missing for this many checks counts as lost. */
#define JH_SILENCE_MAX_CHECKS 3

/* What is known when a response is missing. */
struct jh_silence {
	uint64_t quiet_since; /* the request was sent, or the last event came */
	uint64_t worker_responded_at; /* to any process; 0: not known */
	unsigned int checks; /* of this silence, with this one */
	bool may_retry; /* the retry budget allows another attempt */
};

/*
 * Whether the attempt is to be aborted. A worker that responds to others is
 * slow and not silent: aborting its requests would discard its work and have it
 * done again elsewhere, while the load is at its worst.
 */
bool jh_silence_aborts(const struct jh_silence *s);

#endif
