#ifndef GATEWAY_STEWARD_H
#define GATEWAY_STEWARD_H

#include <uv.h>

#include "base/metrics.h"
#include "base/trace.h"
#include "member/election.h"
#include "member/weights.h"

/*
 * Takes part in the election of the leader that orders workers to load new
 * weights, and gives the orders while this process is the leader. Runs on the
 * loop.
 */
struct jh_steward;

struct jh_steward_ops {
	/*
	 * Reads or writes the election's object, then calls
	 * jh_steward_duty_reply().
	 */
	void (*duty)(void *arg, const struct jh_election_action *action);
	/*
	 * Sends an order to load weights, then calls jh_steward_ordered().
	 * token: fencing token of the leader.
	 */
	void (*order)(
	    void *arg, const struct jh_weights_action *action, uint64_t token);
	/* Tells the other processes at once which workers load weights. */
	void (*announce)(void *arg);
	/* Asks a worker for its report, then calls jh_steward_looked(). */
	void (*look)(void *arg, const struct jh_weights_action *action);
};

struct jh_steward_spec {
	uv_loop_t *loop;
	struct jh_trace *trace;
	struct jh_metrics *metrics;
	struct jh_fleet *fleet;
	struct jh_weights *weights;
	const char *holder; /* unique to this start of the process */
	/* Least time between orders of two leaders, microseconds. */
	uint64_t apart;
	const struct jh_steward_ops *ops;
	void *arg;
};

struct jh_steward *jh_steward_create(const struct jh_steward_spec *spec);
void jh_steward_destroy(struct jh_steward *s);

void jh_steward_duty_reply(
    struct jh_steward *s, const struct jh_election_reply *reply);
void jh_steward_ordered(
    struct jh_steward *s, const char *worker, enum jh_weights_result result);
void jh_steward_looked(struct jh_steward *s, const char *worker, bool answered,
    bool busy, uint64_t weights);
/* Whether this process is the leader; the last known leader, or NULL. */
bool jh_steward_holds(const struct jh_steward *s);
const char *jh_steward_last_holder(const struct jh_steward *s);
/*
 * Gives leadership up because the process stops: when the changes in progress
 * are done, or at the deadline (a jh_now() time).
 */
void jh_steward_resign(struct jh_steward *s, uint64_t deadline);
/* After that: whether another process can become leader at once. */
bool jh_steward_done(const struct jh_steward *s);

#endif
