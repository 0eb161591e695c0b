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

/* Part of a model's workers that load at the same time, and the least. */
#define JH_WEIGHTS_SHARE 0.34
#define JH_WEIGHTS_LEAST 2

enum jh_weights_action_kind {
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
 * Names the newest version of a model; lower ones are ignored. Returns whether
 * it is newer than the one known.
 */
bool jh_weights_set(struct jh_weights *w, uint64_t now, const char *model,
    uint64_t version);
/* 0: none was named. since: when it became known here; may be NULL. */
uint64_t jh_weights_newest(
    const struct jh_weights *w, const char *model, uint64_t *since);

/* Gives the next action that is due, for the holder of the duty. */
bool jh_weights_next(struct jh_weights *w, struct jh_fleet *f, uint64_t now,
    struct jh_weights_action *out);
/* An order to the worker has ended. */
void jh_weights_ordered(struct jh_weights *w, uint64_t now, const char *worker,
    enum jh_weights_result result);
/* A report arrived, or NULL values when it did not. */
void jh_weights_looked(struct jh_weights *w, uint64_t now, const char *worker,
    bool answered, bool busy);
/* The duty was lost: forgets what is under way. */
void jh_weights_reset(struct jh_weights *w);
/* Whether an order of this process is under way at the worker. */
bool jh_weights_under_way(const struct jh_weights *w, const char *worker);

#endif
