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

/* A worker as it really is. */
struct real {
	uint64_t weights;
	uint64_t orders;
	uint64_t busy_until; /* 0: idle */
	uint64_t loading;
	bool dead;
	/* An order without an answer that arrives late. */
	uint64_t late_at, late_version, late_expected;
	uint64_t looked_weights;
};

struct world {
	struct jh_fleet *fleet;
	struct jh_weights *weights;
	struct real real[WORKERS];
	GRand *rand;
	double lose; /* share of orders that are answered late or never */
	unsigned int loads, most_at_once;
};

static void
world_init(struct world *w, unsigned int seed)
{
	char id[16];
	size_t i;

	memset(w, 0, sizeof(*w));
	w->fleet = jh_fleet_create();
	w->weights = jh_weights_create();
	w->rand = g_rand_new_with_seed(seed);
	for (i = 0; i < WORKERS; i++) {
		struct jh_listing l = {.id = id,
		    .service = "llm",
		    .zone = "z",
		    .model = "m",
		    .weights = 1};
		g_snprintf(id, sizeof(id), "w%02zu", i);
		jh_fleet_list(w->fleet, 1, &l);
		w->real[i].weights = 1;
		w->real[i].orders = (uint64_t)g_rand_int_range(w->rand, 0, 5);
	}
	jh_weights_set(w->weights, 1, "m", 1);
}

static void
world_clear(struct world *w)
{
	jh_weights_destroy(w->weights);
	jh_fleet_destroy(w->fleet);
	g_rand_free(w->rand);
}

static struct real *
real_of(struct world *w, const struct jh_worker *worker)
{
	return &w->real[atoi(worker->id + 1)];
}

static enum jh_weights_result
give_order(struct world *w, struct real *r, uint64_t now, uint64_t version,
    uint64_t expected)
{
	/* An older order that is carried out late would undo a newer one. */
	if (r->busy_until != 0 || r->orders != expected)
		return JH_WEIGHTS_BUSY;
	if (r->weights == version)
		return JH_WEIGHTS_HOLDS;
	assert_true(version > r->weights);
	r->orders++;
	r->busy_until = now + 600 * MSEC;
	r->loading = version;
	w->loads++;
	return JH_WEIGHTS_ACCEPTED;
}

static void
carry_out(struct world *w, const struct jh_weights_action *a, uint64_t now)
{
	struct real *r = real_of(w, a->worker);
	enum jh_weights_result result;

	switch (a->kind) {
	case JH_WEIGHTS_ANNOUNCE:
		return;
	case JH_WEIGHTS_LOOK:
		if (r->dead) {
			jh_weights_looked(
			    w->weights, now, a->worker->id, false, false, 0);
			return;
		}
		a->worker->orders = r->orders;
		a->worker->orders_known = true;
		jh_fleet_saw_weights(a->worker, now, r->weights);
		jh_weights_looked(w->weights, now, a->worker->id, true,
		    r->busy_until != 0, r->weights);
		return;
	case JH_WEIGHTS_ORDER:
		break;
	}
	if (r->dead)
		result = JH_WEIGHTS_NO_ANSWER;
	else if (g_rand_double(w->rand) < w->lose) {
		r->late_at =
		    now + (uint64_t)g_rand_int_range(w->rand, 0, 6000) * MSEC;
		r->late_version = a->version;
		r->late_expected = a->expected;
		result = JH_WEIGHTS_NO_ANSWER;
	} else
		result = give_order(w, r, now, a->version, a->expected);
	if (result == JH_WEIGHTS_ACCEPTED)
		a->worker->orders++;
	else
		a->worker->orders_known = false;
	jh_weights_ordered(w->weights, now, a->worker->id, result);
}

static void
run(struct world *w, uint64_t from, uint64_t to)
{
	struct jh_weights_action a;
	uint64_t now;
	size_t i;

	for (now = from; now < to; now += TICK) {
		unsigned int busy = 0;
		for (i = 0; i < WORKERS; i++) {
			struct real *r = &w->real[i];
			if (r->late_at != 0 && now >= r->late_at) {
				r->late_at = 0;
				(void)give_order(w, r, now, r->late_version,
				    r->late_expected);
			}
			if (r->busy_until != 0 && now >= r->busy_until) {
				r->busy_until = 0;
				r->weights = r->loading;
			}
			if (r->busy_until != 0)
				busy++;
		}
		w->most_at_once = MAX(w->most_at_once, busy);
		while (jh_weights_next(w->weights, w->fleet, now, &a))
			carry_out(w, &a, now);
	}
}

static unsigned int
count_at(const struct world *w, uint64_t version)
{
	unsigned int n = 0;
	size_t i;

	for (i = 0; i < WORKERS; i++)
		if (w->real[i].weights == version)
			n++;
	return n;
}

/* Guards against a change that takes all workers away at once. */
static void
workers_change_some_at_a_time(void **state)
{
	struct world w;

	world_init(&w, 1);
	jh_weights_set(w.weights, 1, "m", 2);
	run(&w, 1, 8000 * MSEC);
	assert_int_equal(count_at(&w, 2), WORKERS);
	assert_int_equal(w.loads, WORKERS);
	assert_true(w.most_at_once <= 5);
	world_clear(&w);
}

/* Guards against an intermediate version that is loaded for nothing. */
static void
newest_version_is_loaded(void **state)
{
	struct world w;

	world_init(&w, 2);
	jh_weights_set(w.weights, 1, "m", 2);
	run(&w, 1, 1000 * MSEC);
	jh_weights_set(w.weights, 1000 * MSEC, "m", 3);
	run(&w, 1000 * MSEC, 9000 * MSEC);
	assert_int_equal(count_at(&w, 3), WORKERS);
	assert_true(w.loads < 2 * WORKERS);
	assert_false(jh_weights_set(w.weights, 9000 * MSEC, "m", 2));
	world_clear(&w);
}

/* Guards against late orders that undo newer ones, and orders given twice. */
static void
late_orders_change_nothing(void **state)
{
	unsigned int seed;

	for (seed = 1; seed <= 40; seed++) {
		struct world w;
		world_init(&w, seed);
		w.lose = 0.5;
		jh_weights_set(w.weights, 1, "m", 2);
		run(&w, 1, 4000 * MSEC);
		jh_weights_set(w.weights, 4000 * MSEC, "m", 3);
		run(&w, 4000 * MSEC, 9000 * MSEC);
		w.lose = 0;
		run(&w, 9000 * MSEC, 24000 * MSEC);
		assert_int_equal(count_at(&w, 3), WORKERS);
		world_clear(&w);
	}
}

/* Guards against dead workers that keep the others waiting. */
static void
dead_workers_block_nobody(void **state)
{
	struct world w;
	int i;

	world_init(&w, 3);
	for (i = 0; i < 5; i++)
		w.real[i * 2].dead = true;
	jh_weights_set(w.weights, 1, "m", 2);
	run(&w, 1, 12000 * MSEC);
	assert_int_equal(count_at(&w, 2), WORKERS - 5);
	world_clear(&w);
}

/* Guards against a history that forgets when a worker became outdated. */
static void
history_keeps_its_times(void **state)
{
	struct jh_named_weights named[JH_WEIGHTS_HISTORY];
	struct jh_weights *w = jh_weights_create();
	uint64_t v;

	assert_int_equal(jh_weights_newest(w, "m"), 0);
	for (v = 1; v <= 20; v++)
		assert_true(jh_weights_set(w, v * 100, "m", v));
	assert_int_equal(jh_weights_history(w, "m", named), JH_WEIGHTS_HISTORY);
	assert_int_equal(named[JH_WEIGHTS_HISTORY - 1].version, 20);
	assert_int_equal(named[0].since, (20 - JH_WEIGHTS_HISTORY + 1) * 100);
	assert_int_equal(jh_weights_history(w, "other", named), 0);
	jh_weights_destroy(w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(workers_change_some_at_a_time),
	    cmocka_unit_test(newest_version_is_loaded),
	    cmocka_unit_test(late_orders_change_nothing),
	    cmocka_unit_test(dead_workers_block_nobody),
	    cmocka_unit_test(history_keeps_its_times),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
