#ifndef GATEWAY_WEIGHTS_CONTROLLER_H
#define GATEWAY_WEIGHTS_CONTROLLER_H

#include <uv.h>

#include "base/metrics.h"
#include "base/json_log.h"
#include "member/election.h"
#include "member/weights.h"

/*
 * Takes part in the election of the leader that orders workers to load new
 * weights, and gives the orders while this process is the leader. Runs on the
 * loop.
 */
struct jh_weights_controller;

struct jh_weights_controller_ops {
	/*
	 * Reads or writes the election's object, then calls
	 * jh_weights_controller_on_election_reply().
	 */
	void (*call_store)(void *arg, const struct jh_election_action *action);
	/*
	 * Sends an order to load weights, then calls
	 * jh_weights_controller_on_order_result(). token: fencing token of the
	 * leader.
	 */
	void (*order)(
	    void *arg, const struct jh_weights_action *action, uint64_t token);
	/* Tells the other processes at once which workers load weights. */
	void (*announce)(void *arg);
	/*
	 * Requests a worker's report, then calls
	 * jh_weights_controller_on_report().
	 */
	void (*query)(void *arg, const struct jh_weights_action *action);
};

struct jh_weights_controller_spec {
	uv_loop_t *loop;
	struct jh_json_log *log;
	struct jh_metrics *metrics;
	struct jh_fleet *fleet;
	struct jh_weights *weights;
	const char *holder; /* unique to this start of the process */
	/* Least time between orders of two leaders, microseconds. */
	uint64_t min_gap;
	const struct jh_weights_controller_ops *ops;
	void *arg;
};

struct jh_weights_controller *jh_weights_controller_create(
    const struct jh_weights_controller_spec *spec);
void jh_weights_controller_destroy(struct jh_weights_controller *s);

void jh_weights_controller_on_election_reply(
    struct jh_weights_controller *s, const struct jh_election_reply *reply);
/* See jh_election_begin_era(). */
void jh_weights_controller_begin_era(
    struct jh_weights_controller *s, uint64_t era);
void jh_weights_controller_on_order_result(struct jh_weights_controller *s,
    const char *worker, enum jh_weights_result result);
void jh_weights_controller_on_report(struct jh_weights_controller *s,
    const char *worker, bool responded, bool busy, uint64_t weights);
/* See jh_election_set_standby(). */
void jh_weights_controller_set_standby(
    struct jh_weights_controller *s, bool standby);
/* Whether this process is the leader; the last known leader, or NULL. */
bool jh_weights_controller_is_leader(const struct jh_weights_controller *s);
const char *jh_weights_controller_last_leader(
    const struct jh_weights_controller *s);
/*
 * Gives leadership up because the process stops: when the changes in progress
 * are done, or at the deadline (a jh_now() time).
 */
void jh_weights_controller_resign(
    struct jh_weights_controller *s, uint64_t deadline);
/* After that: whether another process can become leader at once. */
bool jh_weights_controller_released(const struct jh_weights_controller *s);

#endif
