#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "quota_world.h"

static const struct jh_quota_limit limit = {{RATE, CONCURRENT}};

/* Guards against a limit that one busy entry daemon cannot use. */
static void
busy_holder_gets_what_others_leave(void **state)
{
	struct world w;

	world_open(&w, 1);
	w.max_delay = 10 * JH_USEC_PER_MSEC;
	w.demand[0] = 2 * RATE;
	run(&w, 20);
	assert_in_range(
	    jh_quota_holder_allowed(w.holders[0], w.now, JH_QUOTA_RATE),
	    RATE * 9 / 10, RATE);
	/* A newcomer takes its fair part from the busy one. */
	w.demand[1] = RATE / 4;
	w.demand[2] = 2 * RATE;
	run(&w, 20);
	assert_in_range(
	    jh_quota_holder_allowed(w.holders[1], w.now, JH_QUOTA_RATE),
	    RATE * 23 / 100, RATE / 3);
	assert_in_range(
	    jh_quota_holder_allowed(w.holders[2], w.now, JH_QUOTA_RATE),
	    RATE * 34 / 100, RATE * 40 / 100);
	world_close(&w);
}

/* Guards against overshoot with one granter, however bad the network. */
static void
one_granter_never_overshoots(void **state)
{
	struct world w;
	guint32 seed;
	int i;

	for (seed = 1; seed <= 20; seed++) {
		world_open(&w, seed);
		w.drop = 200;
		w.twice = 100;
		w.max_delay = 3 * JH_USEC_PER_SEC;
		for (i = 0; i < 100; i++) {
			change_demand(&w);
			w.max_delay = (uint64_t)g_rand_int_range(
			    w.rand, 1, 3 * JH_USEC_PER_SEC);
			if (chance(&w, 100))
				w.paused_until[0] =
				    w.now + (uint64_t)g_rand_int_range(
						w.rand, 0, 6 * JH_USEC_PER_SEC);
			run(&w, 2);
		}
		assert_int_equal(w.max_split, 1);
		world_close(&w);
	}
}

static void
disturb(struct world *w)
{
	int g = g_rand_int_range(w->rand, 0, MAX_GRANTERS), h;

	change_demand(w);
	if (chance(w, 100)) {
		start_granter(w, g);
	} else if (chance(w, 100)) {
		w->paused_until[g] =
		    w->now +
		    (uint64_t)g_rand_int_range(w->rand, 0, 6 * JH_USEC_PER_SEC);
	}
	for (h = 0; h < HOLDERS; h++) {
		if (chance(w, 150))
			believe(w, h, g);
	}
}

/* Guards against more overshoot than the number of granters explains. */
static void
split_views_overshoot_by_granters_only(void **state)
{
	uint64_t most = 0;
	struct world w;
	guint32 seed;
	int i;

	for (seed = 1; seed <= 60; seed++) {
		world_open(&w, seed);
		/* Odd seeds: a quick network, so that views matter more. */
		w.drop = seed % 2 == 1 ? 300 : 150;
		w.twice = 100;
		for (i = 0; i < 200; i++) {
			w.max_delay = (uint64_t)g_rand_int_range(w.rand, 1,
			    seed % 2 == 1 ? 40 * JH_USEC_PER_MSEC
					  : 2 * JH_USEC_PER_SEC);
			disturb(&w);
			run(&w, (uint64_t)g_rand_int_range(w.rand, 1, 4));
		}
		/* One view again: no overshoot after one lifetime. */
		for (i = 0; i < HOLDERS; i++)
			believe(&w, i, 0);
		run(&w, 2);
		most = MAX(most, w.max_split);
		w.max_split = 0;
		run(&w, 10);
		assert_true(w.max_split <= 1);
		world_close(&w);
	}
	assert_true(most >= 3);
}

/* Guards against a new granter that gives away what is still out. */
static void
granter_change_waits_or_hears(void **state)
{
	struct world w;
	int h;

	world_open(&w, 3);
	w.max_delay = 10 * JH_USEC_PER_MSEC;
	w.demand[0] = 2 * RATE;
	run(&w, 10);
	/* All but the busy holder turn to another granter. */
	start_granter(&w, 1);
	for (h = 1; h < HOLDERS; h++)
		believe(&w, h, 1);
	w.demand[1] = 2 * RATE;
	while (w.held_granter[1] != w.granter_ids[1])
		step(&w);
	/* It was not heard from, so its whole allocation had to run out. */
	assert_true(w.now - 11 * JH_USEC_PER_SEC >=
		    JH_QUOTA_LIFETIME_USEC - JH_QUOTA_REPORT_USEC);
	world_close(&w);
}

/* Guards against refusing everything when no granter answers. */
static void
silent_granter_leaves_equal_share(void **state)
{
	struct world w;
	int h;

	world_open(&w, 4);
	w.drop = 1000;
	run(&w, 30);
	for (h = 0; h < HOLDERS; h++)
		assert_int_equal(
		    jh_quota_holder_allowed(w.holders[h], w.now, JH_QUOTA_RATE),
		    RATE / HOLDERS);
	world_close(&w);
}

/* Guards against a bucket that lets more through than rate and burst. */
static void
bucket_bounds_cost_over_time(void **state)
{
	struct jh_quota_holder *h = jh_quota_holder_create(1, 1, &limit);
	uint64_t now, cost = 0;

	for (now = 1; now < 10 * JH_USEC_PER_SEC; now += STEP) {
		while (jh_quota_holder_take(h, now, 100) == JH_QUOTA_OK) {
			cost += 100;
			jh_quota_holder_done(h, now, 0);
		}
	}
	assert_in_range(cost, RATE * 99 / 10, 11 * RATE + 100);
	/* An answer that costs more than expected is paid off first. */
	now += 10 * JH_USEC_PER_SEC;
	assert_int_equal(jh_quota_holder_take(h, now, 100), JH_QUOTA_OK);
	jh_quota_holder_done(h, now, 3 * RATE);
	now += JH_USEC_PER_SEC;
	assert_int_equal(
	    jh_quota_holder_take(h, now, 100), JH_QUOTA_RATE_EXCEEDED);
	now += 2 * JH_USEC_PER_SEC;
	assert_int_equal(jh_quota_holder_take(h, now, 100), JH_QUOTA_OK);
	jh_quota_holder_destroy(h);
}

/* Guards against a daemon that refuses its first request after a start. */
static void
first_request_is_admitted(void **state)
{
	struct jh_quota_holder *h = jh_quota_holder_create(1, 5, &limit);

	assert_int_equal(jh_quota_holder_take(h, 5, 1000), JH_QUOTA_OK);
	assert_int_equal(
	    jh_quota_holder_take(h, 5, 1000), JH_QUOTA_RATE_EXCEEDED);
	jh_quota_holder_destroy(h);
}

/* Guards against more requests at once than allowed. */
static void
concurrency_is_counted(void **state)
{
	struct jh_quota_holder *h = jh_quota_holder_create(1, 1, &limit);
	uint64_t now = 1 + JH_USEC_PER_SEC;
	int i;

	for (i = 0; i < CONCURRENT; i++)
		assert_int_equal(jh_quota_holder_take(h, now, 1), JH_QUOTA_OK);
	assert_int_equal(
	    jh_quota_holder_take(h, now, 1), JH_QUOTA_CONCURRENT_EXCEEDED);
	jh_quota_holder_done(h, now, 0);
	assert_int_equal(jh_quota_holder_take(h, now, 1), JH_QUOTA_OK);
	jh_quota_holder_destroy(h);
}

/* Takes up to most requests; gives the number admitted. */
static int
take(struct world *w, int h, int most)
{
	int n = 0;

	while (n < most &&
	       jh_quota_holder_take(w->holders[h], w->now, 1) == JH_QUOTA_OK)
		n++;
	return n;
}

/* Guards against lending the slots of requests that still run. */
static void
running_requests_stay_counted(void **state)
{
	int running = 0, first, i;
	struct world w;

	world_open(&w, 5);
	w.max_delay = 10 * JH_USEC_PER_MSEC;
	for (i = 0; i < 500; i++) {
		step(&w);
		running += take(&w, 0, CONCURRENT * 2 / 3 - running);
	}
	first = running;
	for (i = 0; i < 1000; i++) {
		step(&w);
		running += take(&w, 1, 2 * CONCURRENT);
		assert_true(running <= CONCURRENT);
	}
	assert_true(first == CONCURRENT * 2 / 3 && running > first);
	world_close(&w);
}

/* Guards against a successor that lends what its predecessor has lent. */
static void
clean_granter_change_never_overshoots(void **state)
{
	struct world w;
	int h, i;

	for (i = 0; i < 20; i++) {
		world_open(&w, 50 + (guint32)i);
		w.max_delay = 10 * JH_USEC_PER_MSEC;
		w.demand[0] = 2 * RATE;
		run(&w, 10);
		/* Each holder is the last to be heard at some i. */
		for (h = 0; h < 5 * i; h++)
			step(&w);
		start_granter(&w, 1);
		for (h = 0; h < HOLDERS; h++)
			believe(&w, h, 1);
		w.demand[i % HOLDERS] = 2 * RATE;
		for (h = 0; h < 500; h++) {
			step(&w);
			assert_true(sum_allowed(&w, JH_QUOTA_RATE) <= RATE);
		}
		assert_true(w.held_granter[0] == w.granter_ids[1]);
		world_close(&w);
	}
}

/* Guards against entry daemons that disagree though they see the same. */
static void
granter_choice_depends_on_the_set_only(void **state)
{
	static const uint64_t a[] = {11, 22, 33, 44}, b[] = {44, 22, 11, 33};
	struct jh_str org = JH_STR("org"), class = JH_STR("class");
	uint64_t chosen = jh_quota_choose(org, class, a, 4);

	assert_int_equal(chosen, jh_quota_choose(org, class, b, 4));
	assert_true(chosen != 0);
	assert_int_equal(jh_quota_choose(org, class, a, 0), 0);
	assert_int_equal(jh_quota_share(UINT64_MAX, 1000), UINT64_MAX);
	assert_int_equal(jh_quota_share(1999, 500), 999);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(busy_holder_gets_what_others_leave),
	    cmocka_unit_test(one_granter_never_overshoots),
	    cmocka_unit_test(split_views_overshoot_by_granters_only),
	    cmocka_unit_test(granter_change_waits_or_hears),
	    cmocka_unit_test(silent_granter_leaves_equal_share),
	    cmocka_unit_test(bucket_bounds_cost_over_time),
	    cmocka_unit_test(first_request_is_admitted),
	    cmocka_unit_test(concurrency_is_counted),
	    cmocka_unit_test(running_requests_stay_counted),
	    cmocka_unit_test(clean_granter_change_never_overshoots),
	    cmocka_unit_test(granter_choice_depends_on_the_set_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
