#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "member/weights.h"

#define MSEC JH_USEC_PER_MSEC
#define WORKERS 12
#define TICK (20 * MSEC)

/* The true state of a worker. */
struct worker_state {
	uint64_t weights;
	uint64_t orders;
	uint64_t busy_until; /* 0: idle */
	uint64_t loading;
	bool dead;
	/* An order that arrives late and whose reply is lost. */
	uint64_t late_at, late_version, late_expected;
	uint64_t looked_weights;
};

struct simulation {
	struct jh_fleet *fleet;
	struct jh_weights *weights;
	struct worker_state workers[WORKERS];
	GRand *rand;
	double loss_rate; /* share of orders that arrive late, without reply */
	unsigned int loads, max_concurrent;
};

static void
simulation_init(struct simulation *s, unsigned int seed)
{
	char id[16];
	size_t i;

	memset(s, 0, sizeof(*s));
	s->fleet = jh_fleet_create();
	s->weights = jh_weights_create();
	s->rand = g_rand_new_with_seed(seed);
	for (i = 0; i < WORKERS; i++) {
		struct jh_listed_worker l = {.id = id,
		    .service = "llm",
		    .zone = "z",
		    .models = {{"m", 1}},
		    .n_models = 1};
		g_snprintf(id, sizeof(id), "w%02zu", i);
		jh_fleet_update(s->fleet, 1, &l);
		s->workers[i].weights = 1;
		s->workers[i].orders =
		    (uint64_t)g_rand_int_range(s->rand, 0, 5);
	}
	jh_weights_set(s->weights, 1, "m", 1);
}

static void
simulation_clear(struct simulation *s)
{
	jh_weights_destroy(s->weights);
	jh_fleet_destroy(s->fleet);
	g_rand_free(s->rand);
}

static struct worker_state *
state_of(struct simulation *s, const struct jh_worker *worker)
{
	return &s->workers[atoi(worker->id + 1)];
}

static enum jh_weights_result
apply_order(struct simulation *s, struct worker_state *r, uint64_t now,
    uint64_t version, uint64_t expected)
{
	/* A late older order must not undo a newer one. */
	if (r->busy_until != 0 || r->orders != expected)
		return JH_WEIGHTS_BUSY;
	if (r->weights == version)
		return JH_WEIGHTS_ALREADY_LOADED;
	assert_true(version > r->weights);
	r->orders++;
	r->busy_until = now + 600 * MSEC;
	r->loading = version;
	s->loads++;
	return JH_WEIGHTS_ACCEPTED;
}

static void
carry_out(struct simulation *s, const struct jh_weights_action *a, uint64_t now)
{
	struct worker_state *r = state_of(s, a->worker);
	enum jh_weights_result result;

	switch (a->kind) {
	case JH_WEIGHTS_ANNOUNCE:
		return;
	case JH_WEIGHTS_QUERY:
		if (r->dead) {
			jh_weights_on_report(
			    s->weights, now, a->worker->id, false, false, 0);
			return;
		}
		a->worker->orders = r->orders;
		a->worker->orders_known = true;
		jh_worker_observed_weights(
		    a->worker, now, a->model, r->weights);
		jh_weights_on_report(s->weights, now, a->worker->id, true,
		    r->busy_until != 0, r->weights);
		return;
	case JH_WEIGHTS_ORDER:
		break;
	}
	if (r->dead)
		result = JH_WEIGHTS_NO_ANSWER;
	else if (g_rand_double(s->rand) < s->loss_rate) {
		r->late_at =
		    now + (uint64_t)g_rand_int_range(s->rand, 0, 6000) * MSEC;
		r->late_version = a->version;
		r->late_expected = a->expected;
		result = JH_WEIGHTS_NO_ANSWER;
	} else
		result = apply_order(s, r, now, a->version, a->expected);
	if (result == JH_WEIGHTS_ACCEPTED)
		a->worker->orders++;
	else
		a->worker->orders_known = false;
	jh_weights_on_order_result(s->weights, now, a->worker->id, result);
}

static void
run(struct simulation *s, uint64_t from, uint64_t to)
{
	struct jh_weights_action a;
	uint64_t now;
	size_t i;

	for (now = from; now < to; now += TICK) {
		unsigned int busy = 0;
		for (i = 0; i < WORKERS; i++) {
			struct worker_state *r = &s->workers[i];
			if (r->late_at != 0 && now >= r->late_at) {
				r->late_at = 0;
				(void)apply_order(s, r, now, r->late_version,
				    r->late_expected);
			}
			if (r->busy_until != 0 && now >= r->busy_until) {
				r->busy_until = 0;
				r->weights = r->loading;
			}
			if (r->busy_until != 0)
				busy++;
		}
		s->max_concurrent = MAX(s->max_concurrent, busy);
		while (jh_weights_next(s->weights, s->fleet, now, &a))
			carry_out(s, &a, now);
	}
}

static unsigned int
count_at(const struct simulation *s, uint64_t version)
{
	unsigned int n = 0;
	size_t i;

	for (i = 0; i < WORKERS; i++)
		if (s->workers[i].weights == version)
			n++;
	return n;
}

/* Guards against an update that takes all workers out of service at once. */
static void
workers_are_updated_some_at_a_time(void **state)
{
	struct simulation s;

	simulation_init(&s, 1);
	jh_weights_set(s.weights, 1, "m", 2);
	run(&s, 1, 8000 * MSEC);
	assert_int_equal(count_at(&s, 2), WORKERS);
	assert_int_equal(s.loads, WORKERS);
	assert_true(s.max_concurrent <= 5);
	simulation_clear(&s);
}

/* Prompt tokens that a worker of the simulation still has to read. */
static void
set_prefill(struct simulation *s, uint64_t tokens)
{
	size_t i;

	for (i = 0; i < WORKERS; i++)
		jh_fleet_at(s->fleet, i)->others_prefill = tokens;
}

/*
 * Guards against orders that reject the requests which wait at a worker: in a
 * burst of long prompts, workers have a queue of some hundred milliseconds.
 */
static void
order_waits_for_queued_prompts(void **state)
{
	struct simulation s;

	simulation_init(&s, 4);
	run(&s, 1, 1000 * MSEC);
	set_prefill(&s, 12000);
	jh_weights_set(s.weights, 1000 * MSEC, "m", 2);
	run(&s, 1000 * MSEC, 1000 * MSEC + JH_WEIGHTS_DRAIN_USEC - 100 * MSEC);
	assert_int_equal(s.loads, 0);
	set_prefill(&s, 0);
	run(&s, 1700 * MSEC, 1900 * MSEC);
	assert_true(s.loads > 0);
	simulation_clear(&s);
}

/* Guards against a flood that keeps old weights longer than 8 s in use. */
static void
flood_does_not_stop_the_update(void **state)
{
	struct simulation s;

	simulation_init(&s, 5);
	set_prefill(&s, 12000);
	jh_weights_set(s.weights, 1, "m", 2);
	run(&s, 1, 8000 * MSEC);
	assert_int_equal(count_at(&s, 2), WORKERS);
	simulation_clear(&s);
}

/* A worker of two models. */
struct pair {
	uint64_t weights[2], orders, busy_until, version;
	size_t loading;
	unsigned int loads;
};

static const char *const pair_names[] = {"a", "b"};

static void
carry_out_pair(struct jh_weights *w, struct pair *p,
    const struct jh_weights_action *a, uint64_t now)
{
	size_t i = strcmp(a->model, pair_names[1]) == 0;

	if (a->kind == JH_WEIGHTS_QUERY) {
		a->worker->orders = p->orders;
		a->worker->orders_known = true;
		jh_worker_observed_weights(
		    a->worker, now, a->model, p->weights[i]);
		jh_weights_on_report(w, now, a->worker->id, true,
		    p->busy_until != 0, p->weights[i]);
	}
	if (a->kind != JH_WEIGHTS_ORDER)
		return;
	assert_int_equal(p->busy_until, 0);
	assert_int_equal(a->expected, p->orders);
	assert_true(a->version > p->weights[i]);
	p->orders++;
	a->worker->orders++;
	p->busy_until = now + 600 * MSEC;
	p->loading = i;
	p->version = a->version;
	p->loads++;
	jh_weights_on_order_result(w, now, a->worker->id, JH_WEIGHTS_ACCEPTED);
}

/*
 * Guards against old weights of all models of a worker but the first, and
 * against an order for one model that changes another.
 */
static void
each_model_of_a_worker_is_updated(void **state)
{
	struct jh_listed_worker l = {.id = "w00",
	    .service = "llm",
	    .zone = "z",
	    .models = {{"a", 1}, {"b", 4}},
	    .n_models = 2};
	struct jh_fleet *fleet = jh_fleet_create();
	struct jh_weights *w = jh_weights_create();
	struct pair p = {.weights = {1, 4}};
	struct jh_weights_action a;
	uint64_t now;

	jh_fleet_update(fleet, 1, &l);
	jh_weights_set(w, 1, "a", 1);
	jh_weights_set(w, 1, "b", 4);
	for (now = 1; now < 8000 * MSEC; now += TICK) {
		if (now > 1000 * MSEC) {
			jh_weights_set(w, now, "b", 6);
			jh_weights_set(w, now, "a", 2);
		}
		if (p.busy_until != 0 && now >= p.busy_until) {
			p.busy_until = 0;
			p.weights[p.loading] = p.version;
		}
		while (jh_weights_next(w, fleet, now, &a))
			carry_out_pair(w, &p, &a, now);
	}
	assert_int_equal(p.weights[0], 2);
	assert_int_equal(p.weights[1], 6);
	assert_int_equal(p.loads, 2);
	assert_false(jh_weights_pending(w, fleet));
	jh_weights_destroy(w);
	jh_fleet_destroy(fleet);
}

/* Guards against loads of a version that a newer one has replaced. */
static void
newest_version_is_loaded(void **state)
{
	struct simulation s;

	simulation_init(&s, 2);
	jh_weights_set(s.weights, 1, "m", 2);
	run(&s, 1, 1000 * MSEC);
	jh_weights_set(s.weights, 1000 * MSEC, "m", 3);
	run(&s, 1000 * MSEC, 9000 * MSEC);
	assert_int_equal(count_at(&s, 3), WORKERS);
	assert_true(s.loads < 2 * WORKERS);
	assert_false(jh_weights_set(s.weights, 9000 * MSEC, "m", 2));
	simulation_clear(&s);
}

/* Guards against late orders that undo newer ones, and repeated orders. */
static void
late_orders_change_nothing(void **state)
{
	unsigned int seed;

	for (seed = 1; seed <= 40; seed++) {
		struct simulation s;
		simulation_init(&s, seed);
		s.loss_rate = 0.5;
		jh_weights_set(s.weights, 1, "m", 2);
		run(&s, 1, 4000 * MSEC);
		jh_weights_set(s.weights, 4000 * MSEC, "m", 3);
		run(&s, 4000 * MSEC, 9000 * MSEC);
		s.loss_rate = 0;
		run(&s, 9000 * MSEC, 24000 * MSEC);
		assert_int_equal(count_at(&s, 3), WORKERS);
		simulation_clear(&s);
	}
}

/* Guards against dead workers that delay the others. */
static void
dead_workers_do_not_delay_others(void **state)
{
	struct simulation s;
	int i;

	simulation_init(&s, 3);
	for (i = 0; i < 5; i++)
		s.workers[i * 2].dead = true;
	jh_weights_set(s.weights, 1, "m", 2);
	run(&s, 1, 12000 * MSEC);
	assert_int_equal(count_at(&s, 2), WORKERS - 5);
	simulation_clear(&s);
}

/* Guards against calls to workers that want none, or that leave. */
static void
workers_that_refuse_or_leave_get_no_calls(void **state)
{
	struct simulation s;

	simulation_init(&s, 4);
	jh_worker_refused(jh_fleet_at(s.fleet, 0), 1, 5000 * MSEC);
	jh_fleet_announced_leaving(s.fleet, jh_fleet_at(s.fleet, 1));
	jh_weights_set(s.weights, 1, "m", 2);
	run(&s, 1, 5000 * MSEC);
	assert_int_equal(count_at(&s, 2), WORKERS - 2);
	run(&s, 5000 * MSEC, 9000 * MSEC);
	assert_int_equal(count_at(&s, 2), WORKERS - 1);
	simulation_clear(&s);
}

/* Guards against a history that loses when a worker became outdated. */
static void
history_keeps_its_times(void **state)
{
	struct jh_weights_version versions[JH_WEIGHTS_HISTORY];
	struct jh_weights *s = jh_weights_create();
	uint64_t v;

	assert_int_equal(jh_weights_newest(s, "m"), 0);
	for (v = 1; v <= 20; v++)
		assert_true(jh_weights_set(s, v * 100, "m", v));
	assert_int_equal(
	    jh_weights_history(s, "m", versions), JH_WEIGHTS_HISTORY);
	assert_int_equal(versions[JH_WEIGHTS_HISTORY - 1].version, 20);
	assert_int_equal(
	    versions[0].since, (20 - JH_WEIGHTS_HISTORY + 1) * 100);
	assert_int_equal(jh_weights_history(s, "other", versions), 0);
	jh_weights_destroy(s);
}

/*
 * Guards against outdated workers that are used for longer because the
 * chooser's clock has stopped while the host was suspended.
 */
static void
versions_age_while_the_host_is_suspended(void **state)
{
	struct jh_weights_version versions[JH_WEIGHTS_HISTORY];
	struct jh_weights *w = jh_weights_create();
	/* The host was suspended for 6 s after version 2. */
	uint64_t boot = 20000 * MSEC, steady = 14000 * MSEC;

	jh_weights_set(w, 1, "m", 1);
	jh_weights_set(w, 13000 * MSEC, "m", 2);
	assert_int_equal(jh_weights_history(w, "m", versions), 2);
	jh_weights_change_clock(versions, 2, boot, steady);
	assert_int_equal(versions[0].since, 0);
	assert_int_equal(steady - versions[1].since, 7000 * MSEC);
	jh_weights_destroy(w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(workers_are_updated_some_at_a_time),
	    cmocka_unit_test(order_waits_for_queued_prompts),
	    cmocka_unit_test(flood_does_not_stop_the_update),
	    cmocka_unit_test(newest_version_is_loaded),
	    cmocka_unit_test(each_model_of_a_worker_is_updated),
	    cmocka_unit_test(late_orders_change_nothing),
	    cmocka_unit_test(dead_workers_do_not_delay_others),
	    cmocka_unit_test(workers_that_refuse_or_leave_get_no_calls),
	    cmocka_unit_test(history_keeps_its_times),
	    cmocka_unit_test(versions_age_while_the_host_is_suspended),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
