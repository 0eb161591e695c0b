#ifndef ROUTE_OVERLOAD_H
#define ROUTE_OVERLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/admit.h"
#include "route/choose.h"
#include "route/fleet.h"

/*
 * Admission and placement under overload: estimates how long a request waits at
 * a worker from the work of the same or a more urgent rank there, its running
 * requests, its memory and its learned speed, and refuses the less urgent
 * requests first, down to a minimum share. No I/O; times are in microseconds.
 */
struct jh_overload;

/* Requests of this rank are urgent; reports of peers count their prompts. */
#define JH_OVERLOAD_URGENT_RANK 0

struct jh_overload *jh_overload_create(void);
void jh_overload_destroy(struct jh_overload *o);

/* What one worker has to do beside a request. */
struct jh_overload_work {
	unsigned int rank;
	uint64_t prefill; /* prompt tokens that the worker has to compute */
	uint64_t memory; /* tokens that the request holds while it runs */
	uint64_t capacity; /* of the worker's memory, tokens; 0: not known */
};

/*
 * Expected time from the arrival at the worker to the first event, and the part
 * of it that other requests cause.
 */
struct jh_overload_time {
	uint64_t total;
	uint64_t wait;
	uint64_t nominal; /* the total at speed 1 */
};

void jh_overload_estimate(const struct jh_worker *w,
    const struct jh_overload_work *work, struct jh_overload_time *out);

/*
 * Learns the worker's speed from a first event: it was expected after that
 * time, at speed 1, and took so long.
 */
void jh_overload_learn(
    struct jh_worker *w, unsigned int rank, uint64_t expected, uint64_t took);

enum jh_overload_verdict {
	JH_OVERLOAD_SEND,
	JH_OVERLOAD_BY_TIME, /* choose again by time alone, and decide again */
	JH_OVERLOAD_REFUSE
};

struct jh_overload_request {
	uint64_t service; /* hash of the name */
	unsigned int rank; /* 0 is the most urgent */
	bool by_time; /* the worker was chosen by time alone */
	struct jh_admit_request admit;
};

/*
 * Decides whether a request is sent to the worker that was chosen for it. Sets
 * *retry_seconds for one that is refused; 0: a retry cannot be served in time.
 */
enum jh_overload_verdict jh_overload_decide(struct jh_overload *o, uint64_t now,
    const struct jh_overload_request *r, double *retry_seconds);

/*
 * The same for *choice, which jh_choose() has made for *choose. Chooses again
 * by time alone if that is the verdict. The caller sets all fields of r but
 * by_time and the times of admit that the choice has. Returns whether the
 * request is sent as *choice says.
 */
bool jh_overload_admit(struct jh_overload *o, uint64_t now,
    struct jh_chooser *chooser, struct jh_fleet *fleet,
    struct jh_choose_request *choose, struct jh_choice *choice,
    struct jh_overload_request *r, double *retry_seconds);

/*
 * How far urgent requests of the service exceed their share of the target: 1
 * means that they just keep it. 0: there were none lately.
 */
double jh_overload_pressure(
    const struct jh_overload *o, uint64_t now, uint64_t service);

#endif
