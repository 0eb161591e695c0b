#ifndef MEMBER_WEIGHTS_H
#define MEMBER_WEIGHTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/fleet.h"

/*
 * Updates the workers of each model to the newest version of its weights, some
 * at a time; runs in the process that is the leader. Does no I/O: the caller
 * sends the orders and queries and reports the result of each one. Times are
 * microseconds. Not thread safe.
 */
struct jh_weights;

/*
 * Share of a model's workers that may load at the same time, and the least
 * number of workers that may. While one half loads, the other one serves; then
 * all requests go to the first half and the second drains, so that old weights
 * serve for the shortest time.
 */
#define JH_WEIGHTS_MAX_SHARE 0.34
#define JH_WEIGHTS_MIN_CONCURRENT 2

/* An order is announced to other processes this long before it is sent. */
#define JH_WEIGHTS_NOTICE_USEC 250000ULL

/*
 * A worker that still reads prompts then is ordered this long after the
 * announcement at the latest: the order rejects the requests that wait there.
 */
#define JH_WEIGHTS_DRAIN_USEC 800000ULL

enum jh_weights_action_kind {
	JH_WEIGHTS_ANNOUNCE, /* tell others to avoid the worker; no reply */
	JH_WEIGHTS_QUERY, /* request the worker's report */
	JH_WEIGHTS_ORDER /* order it to load the version */
};

struct jh_weights_action {
	enum jh_weights_action_kind kind;
	struct jh_worker *worker;
	const char *model; /* that the version is of */
	uint64_t version;
	uint64_t expected; /* number of orders that the worker has accepted */
};

enum jh_weights_result {
	JH_WEIGHTS_ACCEPTED, /* the worker loads the version */
	JH_WEIGHTS_ALREADY_LOADED, /* it serves that version already */
	JH_WEIGHTS_BUSY, /* another order runs, or the count differs */
	JH_WEIGHTS_REFUSED,
	JH_WEIGHTS_NO_ANSWER /* the order may be carried out, now or later */
};

struct jh_weights *jh_weights_create(void);
void jh_weights_destroy(struct jh_weights *w);

/*
 * Sets the newest version of a model and since when it is the newest, on a
 * clock that also runs while the host is suspended. A version that is not
 * higher than the known one is ignored. Returns whether it was set.
 */
bool jh_weights_set(
    struct jh_weights *w, uint64_t since, const char *model, uint64_t version);
/* Returns 0 if no version of the model is known. */
uint64_t jh_weights_newest(const struct jh_weights *w, const char *model);

/* Number of versions of a model that are kept with their times. */
#define JH_WEIGHTS_HISTORY 8

struct jh_weights_version {
	uint64_t version;
	uint64_t since;
};

/*
 * Copies the newest versions of a model, oldest first, and returns their
 * number. A worker is outdated since the first of them that is above its own.
 */
size_t jh_weights_history(const struct jh_weights *w, const char *model,
    struct jh_weights_version out[JH_WEIGHTS_HISTORY]);

/*
 * Moves the times of versions to another clock: now is the present time by
 * theirs, to_now by the other one, which may be less than their age.
 */
void jh_weights_change_clock(struct jh_weights_version *versions, size_t n,
    uint64_t now, uint64_t to_now);

/* Whether there is an order to send or one in progress. */
bool jh_weights_pending(struct jh_weights *w, struct jh_fleet *f);
/* Sets out to the next action that is due, if any; only for the leader. */
bool jh_weights_next(struct jh_weights *w, struct jh_fleet *f, uint64_t now,
    struct jh_weights_action *out);
/* Reports the result of an order to the worker. */
void jh_weights_on_order_result(struct jh_weights *w, uint64_t now,
    const char *worker, enum jh_weights_result result);
/*
 * Reports the result of a query. busy: the worker carries out an order.
 * weights: of the action's model. What the worker did not report is false or 0.
 */
void jh_weights_on_report(struct jh_weights *w, uint64_t now,
    const char *worker, bool responded, bool busy, uint64_t weights);
/* Forgets all orders in progress, as the leadership was lost. */
void jh_weights_reset(struct jh_weights *w);
/* Whether this process has announced an order to the worker or sent one. */
bool jh_weights_in_progress(const struct jh_weights *w, const char *worker);

#endif
