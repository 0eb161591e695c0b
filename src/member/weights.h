#ifndef MEMBER_WEIGHTS_H
#define MEMBER_WEIGHTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/fleet.h"

/*
 * Brings the workers of a model to the newest version of its weights, some at
 * a time, for the process that holds the duty. Pure; the caller sends the
 * orders and reports what came of each. Times are microseconds.
 */
struct jh_weights;

/*
 * Part of a model's workers that load at the same time, and the least. While
 * one half loads, the other serves; then all requests go to the first half and
 * the second drains, so that old weights serve for the shortest time.
 */
#define JH_WEIGHTS_SHARE 0.34
#define JH_WEIGHTS_LEAST 2

/* Other processes are told of an order this long before it is sent. */
#define JH_WEIGHTS_NOTICE_USEC 250000ULL

enum jh_weights_action_kind {
	JH_WEIGHTS_ANNOUNCE, /* tell others to spare the worker; no reply */
	JH_WEIGHTS_LOOK, /* ask the worker for its report */
	JH_WEIGHTS_ORDER /* order it to load the version */
};

struct jh_weights_action {
	enum jh_weights_action_kind kind;
	struct jh_worker *worker;
	uint64_t version;
	uint64_t expected; /* orders that the worker has accepted so far */
};

enum jh_weights_result {
	JH_WEIGHTS_ACCEPTED, /* the worker carries the order out */
	JH_WEIGHTS_HOLDS, /* it has that version already */
	JH_WEIGHTS_BUSY, /* another order, or the count of orders differs */
	JH_WEIGHTS_REFUSED,
	JH_WEIGHTS_NO_ANSWER /* it may be carried out, now or later */
};

struct jh_weights *jh_weights_create(void);
void jh_weights_destroy(struct jh_weights *w);

/*
 * Names the newest version of a model, and since when it is; lower ones are
 * ignored. Returns whether it is newer than the one known.
 */
bool jh_weights_set(
    struct jh_weights *w, uint64_t since, const char *model, uint64_t version);
/* 0: none was named. */
uint64_t jh_weights_newest(const struct jh_weights *w, const char *model);

/* Versions that are remembered with their times. */
#define JH_WEIGHTS_HISTORY 8

struct jh_named_weights {
	uint64_t version;
	uint64_t since;
};

/*
 * Copies the versions named last, oldest first, and returns their number: a
 * worker is outdated since the first one above its own.
 */
size_t jh_weights_history(const struct jh_weights *w, const char *model,
    struct jh_named_weights out[JH_WEIGHTS_HISTORY]);

/* Whether there is an order to give or one under way. */
bool jh_weights_pending(struct jh_weights *w, struct jh_fleet *f);
/* Gives the next action that is due, for the holder of the duty. */
bool jh_weights_next(struct jh_weights *w, struct jh_fleet *f, uint64_t now,
    struct jh_weights_action *out);
/* An order to the worker has ended. */
void jh_weights_ordered(struct jh_weights *w, uint64_t now, const char *worker,
    enum jh_weights_result result);
/* A look has ended; what was not reported is false and 0. */
void jh_weights_looked(struct jh_weights *w, uint64_t now, const char *worker,
    bool answered, bool busy, uint64_t weights);
/* The duty was lost: forgets what is under way. */
void jh_weights_reset(struct jh_weights *w);
/* Whether this process has announced an order to the worker or given one. */
bool jh_weights_under_way(const struct jh_weights *w, const char *worker);

#endif
