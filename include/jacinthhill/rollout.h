#ifndef JACINTHHILL_ROLLOUT_H
#define JACINTHHILL_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/lease.h>
#include <jacinthhill/str.h>

/*
 * The duty of loading new weights, as each agent does it for its own engine:
 * takes one of the slot leases, reserves itself in rollout/<region>/<model> so
 * that another worker of the model stays in the region, loads, and gives both
 * back. docs/orders.md has the rules. Pure; the caller carries out the actions
 * and reports each result exactly once. Times are jh_wall_now() microseconds.
 */
struct jh_rollout;

/* A third load at once lengthens all of them. */
#define JH_ROLLOUT_SLOTS 2

/* Longest time that one load may take; it starts only if the lease lasts. */
#define JH_ROLLOUT_LOAD_USEC 5000000ULL

enum jh_rollout_action_kind {
	JH_ROLLOUT_GET,
	JH_ROLLOUT_PUT, /* on condition of if_version (0: absent) */
	JH_ROLLOUT_LOAD /* the caller's engine; see jh_rollout_token() */
};

struct jh_rollout_action {
	enum jh_rollout_action_kind kind;
	unsigned int call; /* for jh_rollout_on_result() */
	const char *key; /* valid until that call */
	struct jh_str value; /* valid until the next call on the rollout */
	uint64_t if_version;
	uint64_t deadline; /* of the call; a wall-clock time */
	/* LOAD; all valid until jh_rollout_on_loaded(). */
	const char *duty; /* name of the slot's lease */
	const char *model;
	const char *weights;
};

struct jh_rollout_spec {
	const char *instance;
	uint64_t incarnation;
	const char *region;
	GRand *rand; /* must outlive the rollout */
};

struct jh_rollout *jh_rollout_create(const struct jh_rollout_spec *spec);
void jh_rollout_destroy(struct jh_rollout *r);

/*
 * What the engine is to load; NULL weights: it serves the right ones. A load
 * that has been started is not changed.
 */
void jh_rollout_set_target(
    struct jh_rollout *r, uint64_t now, const char *model, const char *weights);
/*
 * The other workers of the engine's model in its region that are not leaving,
 * and how many agents there are in all: they share the rate of looks.
 */
void jh_rollout_set_workers(
    struct jh_rollout *r, const char *const *others, size_t n, size_t fleet);

/* Gives the next action that is due; call it until it returns false. */
bool jh_rollout_next(
    struct jh_rollout *r, uint64_t now, struct jh_rollout_action *out);
/*
 * A GET or PUT has ended; version and value as in jh_lease_on_result().
 */
void jh_rollout_on_result(struct jh_rollout *r, uint64_t now, unsigned int call,
    enum jh_lease_result result, uint64_t version, struct jh_str value);
/* The load has ended and the engine gets work again. */
void jh_rollout_on_loaded(struct jh_rollout *r, uint64_t now, bool loaded);

/*
 * The fencing token if the load may be started now, or else 0. Ask before
 * each act: before taking the engine out and before ordering it to load.
 */
uint64_t jh_rollout_token(const struct jh_rollout *r, uint64_t now);

/* Whether nothing is held, reserved or in progress. */
bool jh_rollout_is_idle(const struct jh_rollout *r);
/* A word for the state dump. */
const char *jh_rollout_state_name(const struct jh_rollout *r);

#endif
