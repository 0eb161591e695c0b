#ifndef JACINTHHILL_ROLLOUT_H
#define JACINTHHILL_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/lease.h>
#include <jacinthhill/str.h>

/*
 * Loading of new weights, as each agent does it for its own engine: acquires
 * one of the slot leases, adds a reservation to the object
 * rollout/<region>/<model> so that another worker of the model stays in service
 * in the region, loads, and releases both. docs/orders.md has the rules. Does
 * no I/O: the caller carries out the actions and reports each result exactly
 * once. Times are jh_wall_now() microseconds. Not thread safe.
 */
struct jh_rollout;

/* Loads at the same time; a third one makes all of them slower. */
#define JH_ROLLOUT_SLOTS 2

/* Longest time of one load, which starts only if the lease lasts for it. */
#define JH_ROLLOUT_LOAD_USEC 5000000ULL

enum jh_rollout_action_kind {
	JH_ROLLOUT_GET,
	JH_ROLLOUT_PUT, /* if the version is if_version (0: absent) */
	JH_ROLLOUT_LOAD /* the weights; see jh_rollout_token() */
};

struct jh_rollout_action {
	enum jh_rollout_action_kind kind;
	unsigned int call; /* for jh_rollout_on_result() */
	const char *key; /* valid until that call */
	struct jh_str value; /* valid until the next call on the rollout */
	uint64_t if_version;
	uint64_t deadline; /* of the call, wall clock */
	/* LOAD; all valid until jh_rollout_on_loaded(). */
	const char *lease; /* name of the slot's lease */
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
 * Sets what the engine is to load. NULL weights: nothing, it already serves
 * them. Ignored while an attempt to load is in progress.
 */
void jh_rollout_set_target(
    struct jh_rollout *r, uint64_t now, const char *model, const char *weights);
/*
 * Sets the other workers of the engine's model in its region that are not
 * leaving (copied), and how many agents there are in all, which share the rate
 * of attempts.
 */
void jh_rollout_set_workers(
    struct jh_rollout *r, const char *const *others, size_t n, size_t fleet);

/* Sets out to the next action that is due; call it until it returns false. */
bool jh_rollout_next(
    struct jh_rollout *r, uint64_t now, struct jh_rollout_action *out);
/*
 * Reports the result of a GET or PUT; version and value are as in
 * jh_lease_on_result().
 */
void jh_rollout_on_result(struct jh_rollout *r, uint64_t now, unsigned int call,
    enum jh_lease_result result, uint64_t version, struct jh_str value);
/* The load has ended and the engine gets requests again. */
void jh_rollout_on_loaded(struct jh_rollout *r, uint64_t now, bool loaded);

/*
 * The fencing token if the load may be started now, or else 0. Call it before
 * each step: before draining the engine and before ordering it to load.
 */
uint64_t jh_rollout_token(const struct jh_rollout *r, uint64_t now);

/* Whether no lease is held, nothing is reserved and no attempt is open. */
bool jh_rollout_is_idle(const struct jh_rollout *r);
/* The name of the state, for the state dump. */
const char *jh_rollout_state_name(const struct jh_rollout *r);

#endif
