#include <glib.h>
#include <jansson.h>

#include <jacinthhill/clock.h>

#include "gateway/weights_controller.h"

#define TICK_MSEC 20

/*
 * A renewal lets the leader give orders for this long. It renews three times
 * within that, so that one lost call to the store does not end its leadership.
 */
#define LEASE_USEC (1500 * JH_USEC_PER_MSEC)
#define RENEW_INTERVAL_USEC (500 * JH_USEC_PER_MSEC)

/* Other processes poll the election's object this often. */
#define POLL_INTERVAL_USEC (600 * JH_USEC_PER_MSEC)
#define STANDBY_INTERVAL_USEC (3 * JH_USEC_PER_SEC)

/* Longest time that an order takes to arrive. */
#define MAX_TRANSIT_USEC (500 * JH_USEC_PER_MSEC)

struct jh_weights_controller {
	struct jh_weights_controller_spec spec;
	struct jh_election *election;
	uv_timer_t tick;
	bool is_leader;
	uint64_t resign_deadline; /* 0: not stopping */
};

/* Logs a change of leadership; losing it drops the changes in progress. */
static void
set_leader(struct jh_weights_controller *s, bool is_leader)
{
	if (is_leader == s->is_leader)
		return;
	s->is_leader = is_leader;
	jh_json_log(s->spec.log, is_leader ? "duty_gained" : "duty_lost", "s:s",
	    "holder", s->spec.holder);
	jh_metrics_set(s->spec.metrics, "jh_duty_held", s->is_leader ? 1 : 0);
	if (!s->is_leader)
		jh_weights_reset(s->spec.weights);
}

static void
perform(struct jh_weights_controller *s, const struct jh_weights_action *a,
    uint64_t token)
{
	switch (a->kind) {
	case JH_WEIGHTS_ANNOUNCE:
		break;
	case JH_WEIGHTS_QUERY:
		s->spec.ops->query(s->spec.arg, a);
		break;
	case JH_WEIGHTS_ORDER:
		jh_json_log(s->spec.log, "order_sent",
		    "s:s, s:s, s:I, s:I, s:I", "worker", a->worker->id, "model",
		    a->model, "version", (json_int_t)a->version,
		    "expected_orders", (json_int_t)a->expected, "token",
		    (json_int_t)token);
		jh_metrics_add(s->spec.metrics, "jh_orders", 1);
		jh_election_acted(s->election, jh_boot_now());
		s->spec.ops->order(s->spec.arg, a, token);
		break;
	}
}

/* Keeps requests of this process, too, away from workers that load weights. */
static void
mark_changing(struct jh_weights_controller *s, uint64_t now)
{
	size_t i;

	for (i = 0; i < jh_fleet_count(s->spec.fleet); i++) {
		struct jh_worker *w = jh_fleet_at(s->spec.fleet, i);
		if (jh_weights_in_progress(s->spec.weights, w->id))
			w->changing_until = now + JH_FLEET_CHANGING_USEC;
	}
}

static void
on_tick(uv_timer_t *t)
{
	struct jh_weights_controller *s = t->data;
	struct jh_weights_action action;
	struct jh_election_action call;
	bool announce = false, pending;
	uint64_t now = jh_boot_now(), token;

	if (jh_election_next(s->election, now, &call))
		s->spec.ops->call_store(s->spec.arg, &call);
	set_leader(s, jh_election_is_leader(s->election, now));
	pending =
	    s->is_leader && jh_weights_pending(s->spec.weights, s->spec.fleet);
	if (pending)
		jh_election_want_to_act(s->election, now);
	if (s->resign_deadline != 0 &&
	    (!pending || jh_now() >= s->resign_deadline))
		jh_election_resign(s->election);
	for (;;) {
		token = jh_election_token(s->election, jh_boot_now());
		if (token == 0 || !jh_weights_next(s->spec.weights,
				      s->spec.fleet, jh_now(), &action))
			break;
		if (action.kind == JH_WEIGHTS_ANNOUNCE)
			announce = true;
		perform(s, &action, token);
	}
	mark_changing(s, jh_now());
	if (announce)
		s->spec.ops->announce(s->spec.arg);
}

struct jh_weights_controller *
jh_weights_controller_create(const struct jh_weights_controller_spec *spec)
{
	struct jh_weights_controller *s =
	    g_new0(struct jh_weights_controller, 1);
	struct jh_election_spec election = {
	    .holder = spec->holder,
	    .lease_time = LEASE_USEC,
	    .renew_interval = RENEW_INTERVAL_USEC,
	    .poll_interval = POLL_INTERVAL_USEC,
	    .standby_interval = STANDBY_INTERVAL_USEC,
	    .min_gap = spec->min_gap,
	    .max_transit = MAX_TRANSIT_USEC,
	};

	s->spec = *spec;
	s->election = jh_election_create(&election);
	uv_timer_init(spec->loop, &s->tick);
	s->tick.data = s;
	uv_timer_start(&s->tick, on_tick, TICK_MSEC, TICK_MSEC);
	return s;
}

static void
on_closed(uv_handle_t *h)
{
	struct jh_weights_controller *s = h->data;

	jh_election_destroy(s->election);
	g_free(s);
}

void
jh_weights_controller_destroy(struct jh_weights_controller *s)
{
	if (s != NULL)
		uv_close((uv_handle_t *)&s->tick, on_closed);
}

void
jh_weights_controller_on_election_reply(
    struct jh_weights_controller *s, const struct jh_election_reply *reply)
{
	jh_election_on_reply(s->election, jh_boot_now(), reply);
}

void
jh_weights_controller_begin_era(struct jh_weights_controller *s, uint64_t era)
{
	jh_election_begin_era(s->election, jh_boot_now(), era);
}

void
jh_weights_controller_on_order_result(struct jh_weights_controller *s,
    const char *worker, enum jh_weights_result result)
{
	static const char *const result_names[] = {
	    "accepted", "holds", "busy", "refused", "no_answer"};

	jh_json_log(s->spec.log, "order_ended", "s:s, s:s", "worker", worker,
	    "result", result_names[result]);
	jh_weights_on_order_result(s->spec.weights, jh_now(), worker, result);
}

void
jh_weights_controller_on_report(struct jh_weights_controller *s,
    const char *worker, bool responded, bool busy, uint64_t weights)
{
	jh_weights_on_report(
	    s->spec.weights, jh_now(), worker, responded, busy, weights);
}

void
jh_weights_controller_set_standby(struct jh_weights_controller *s, bool standby)
{
	jh_election_set_standby(s->election, standby);
}

bool
jh_weights_controller_is_leader(const struct jh_weights_controller *s)
{
	return s->is_leader;
}

const char *
jh_weights_controller_last_leader(const struct jh_weights_controller *s)
{
	return jh_election_last_leader(s->election);
}

void
jh_weights_controller_resign(struct jh_weights_controller *s, uint64_t deadline)
{
	s->resign_deadline = deadline;
	if (!s->is_leader)
		jh_election_resign(s->election);
}

bool
jh_weights_controller_released(const struct jh_weights_controller *s)
{
	return !s->is_leader || !jh_election_release_pending(s->election);
}
