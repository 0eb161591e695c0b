#include <glib.h>
#include <jansson.h>

#include <jacinthhill/clock.h>

#include "gateway/steward.h"

#define TICK_MSEC 20

/*
 * A renewal lets the holder act for this long, and it renews three times in
 * it, so that one lost call to the store does not end the tenure.
 */
#define HOLD_USEC (1500 * JH_USEC_PER_MSEC)
#define RENEW_USEC (500 * JH_USEC_PER_MSEC)

/* Others look at the object this often. */
#define LOOK_USEC (600 * JH_USEC_PER_MSEC)

/* An order that was sent in time arrives within this time. */
#define TRANSIT_USEC (500 * JH_USEC_PER_MSEC)

struct jh_steward {
	struct jh_steward_spec spec;
	struct jh_duty *duty;
	uv_timer_t tick;
	bool held;
	uint64_t resign_deadline; /* 0: no stop is under way */
};

/* One line when the duty is gained or lost. */
static void
note_tenure(struct jh_steward *s, bool held)
{
	if (held == s->held)
		return;
	s->held = held;
	jh_trace(s->spec.trace, held ? "duty_gained" : "duty_lost", "s:s",
	    "holder", s->spec.holder);
	jh_metrics_set(s->spec.metrics, "jh_duty_held", s->held ? 1 : 0);
	if (!s->held)
		jh_weights_reset(s->spec.weights);
}

static void
act(struct jh_steward *s, const struct jh_weights_action *a, uint64_t token)
{
	switch (a->kind) {
	case JH_WEIGHTS_ANNOUNCE:
		break;
	case JH_WEIGHTS_LOOK:
		s->spec.ops->look(s->spec.arg, a);
		break;
	case JH_WEIGHTS_ORDER:
		jh_trace(s->spec.trace, "order_sent", "s:s, s:I, s:I, s:I",
		    "worker", a->worker->id, "version", (json_int_t)a->version,
		    "expected_orders", (json_int_t)a->expected, "token",
		    (json_int_t)token);
		jh_metrics_add(s->spec.metrics, "jh_orders", 1);
		jh_duty_acted(s->duty, jh_boot_now());
		s->spec.ops->order(s->spec.arg, a, token);
		break;
	}
}

/* What is under way here is spared by this process as by the others. */
static void
mark_changing(struct jh_steward *s, uint64_t now)
{
	size_t i;

	for (i = 0; i < jh_fleet_count(s->spec.fleet); i++) {
		struct jh_worker *w = jh_fleet_at(s->spec.fleet, i);
		if (jh_weights_under_way(s->spec.weights, w->id))
			w->changing_until = now + JH_FLEET_CHANGING_USEC;
	}
}

static void
on_tick(uv_timer_t *t)
{
	struct jh_steward *s = t->data;
	struct jh_weights_action action;
	struct jh_duty_action call;
	bool announce = false, pending;
	uint64_t now = jh_boot_now(), token;

	if (jh_duty_next(s->duty, now, &call))
		s->spec.ops->duty(s->spec.arg, &call);
	note_tenure(s, jh_duty_held(s->duty, now));
	pending = s->held && jh_weights_pending(s->spec.weights, s->spec.fleet);
	if (pending)
		jh_duty_want_to_act(s->duty, now);
	if (s->resign_deadline != 0 &&
	    (!pending || jh_now() >= s->resign_deadline))
		jh_duty_resign(s->duty);
	for (;;) {
		token = jh_duty_token(s->duty, jh_boot_now());
		if (token == 0 || !jh_weights_next(s->spec.weights,
				      s->spec.fleet, jh_now(), &action))
			break;
		if (action.kind == JH_WEIGHTS_ANNOUNCE)
			announce = true;
		act(s, &action, token);
	}
	mark_changing(s, jh_now());
	if (announce)
		s->spec.ops->announce(s->spec.arg);
}

struct jh_steward *
jh_steward_create(const struct jh_steward_spec *spec)
{
	struct jh_steward *s = g_new0(struct jh_steward, 1);
	struct jh_duty_spec duty = {
	    .holder = spec->holder,
	    .hold = HOLD_USEC,
	    .renew = RENEW_USEC,
	    .look = LOOK_USEC,
	    .apart = spec->apart,
	    .transit = TRANSIT_USEC,
	};

	s->spec = *spec;
	s->duty = jh_duty_create(&duty);
	uv_timer_init(spec->loop, &s->tick);
	s->tick.data = s;
	uv_timer_start(&s->tick, on_tick, TICK_MSEC, TICK_MSEC);
	return s;
}

static void
on_closed(uv_handle_t *h)
{
	struct jh_steward *s = h->data;

	jh_duty_destroy(s->duty);
	g_free(s);
}

void
jh_steward_destroy(struct jh_steward *s)
{
	if (s != NULL)
		uv_close((uv_handle_t *)&s->tick, on_closed);
}

void
jh_steward_duty_reply(struct jh_steward *s, const struct jh_duty_reply *reply)
{
	jh_duty_on_reply(s->duty, jh_boot_now(), reply);
}

void
jh_steward_ordered(
    struct jh_steward *s, const char *worker, enum jh_weights_result result)
{
	static const char *const names[] = {
	    "accepted", "holds", "busy", "refused", "no_answer"};

	jh_trace(s->spec.trace, "order_ended", "s:s, s:s", "worker", worker,
	    "result", names[result]);
	jh_weights_ordered(s->spec.weights, jh_now(), worker, result);
}

void
jh_steward_looked(struct jh_steward *s, const char *worker, bool answered,
    bool busy, uint64_t weights)
{
	jh_weights_looked(
	    s->spec.weights, jh_now(), worker, answered, busy, weights);
}

bool
jh_steward_holds(const struct jh_steward *s)
{
	return s->held;
}

const char *
jh_steward_last_holder(const struct jh_steward *s)
{
	return jh_duty_last_holder(s->duty);
}

void
jh_steward_resign(struct jh_steward *s, uint64_t deadline)
{
	s->resign_deadline = deadline;
	if (!s->held)
		jh_duty_resign(s->duty);
}

bool
jh_steward_done(const struct jh_steward *s)
{
	return !s->held || !jh_duty_bound(s->duty);
}
