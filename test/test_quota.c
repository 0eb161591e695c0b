#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "quota_simulation.h"

static const struct jh_quota_limit limit = {{RATE, CONCURRENT}};

/* Guards against a limit that one busy entry daemon cannot use. */
static void
busy_holder_gets_what_others_leave(void **state)
{
	struct quota_simulation sim;

	simulation_open(&sim, 1);
	sim.max_delay = 10 * JH_USEC_PER_MSEC;
	sim.demand[0] = 2 * RATE;
	run(&sim, 20);
	assert_in_range(
	    jh_quota_holder_allowed(sim.holders[0], sim.now, JH_QUOTA_RATE),
	    RATE * 9 / 10, RATE);
	/* Holders with new demand get their fair part from the busy one. */
	sim.demand[1] = RATE / 4;
	sim.demand[2] = 2 * RATE;
	run(&sim, 20);
	assert_in_range(
	    jh_quota_holder_allowed(sim.holders[1], sim.now, JH_QUOTA_RATE),
	    RATE * 23 / 100, RATE / 3);
	assert_in_range(
	    jh_quota_holder_allowed(sim.holders[2], sim.now, JH_QUOTA_RATE),
	    RATE * 34 / 100, RATE * 40 / 100);
	simulation_close(&sim);
}

/*
 * Guards against exceeding the limit with one granter, with lost, duplicated
 * and delayed messages and pauses.
 */
static void
one_granter_never_exceeds_the_limit(void **state)
{
	struct quota_simulation sim;
	guint32 seed;
	int i;

	for (seed = 1; seed <= 20; seed++) {
		simulation_open(&sim, seed);
		sim.drop = 200;
		sim.twice = 100;
		sim.max_delay = 3 * JH_USEC_PER_SEC;
		for (i = 0; i < 100; i++) {
			change_demand(&sim);
			sim.max_delay = (uint64_t)g_rand_int_range(
			    sim.rand, 1, 3 * JH_USEC_PER_SEC);
			if (chance(&sim, 100))
				sim.paused_until[0] =
				    sim.now +
				    (uint64_t)g_rand_int_range(
					sim.rand, 0, 6 * JH_USEC_PER_SEC);
			run(&sim, 2);
		}
		assert_int_equal(sim.max_split, 1);
		simulation_close(&sim);
	}
}

static void
inject_faults(struct quota_simulation *sim)
{
	int g = g_rand_int_range(sim->rand, 0, MAX_GRANTERS), h;

	change_demand(sim);
	if (chance(sim, 100)) {
		start_granter(sim, g);
	} else if (chance(sim, 100)) {
		sim->paused_until[g] =
		    sim->now + (uint64_t)g_rand_int_range(
				   sim->rand, 0, 6 * JH_USEC_PER_SEC);
	}
	for (h = 0; h < HOLDERS; h++) {
		if (chance(sim, 150))
			set_granter(sim, h, g);
	}
}

/*
 * Guards against exceeding the limit by more than the number of granters when
 * holders disagree on the granter.
 */
static void
excess_is_bounded_by_the_number_of_granters(void **state)
{
	uint64_t greatest_split = 0;
	struct quota_simulation sim;
	guint32 seed;
	int i;

	for (seed = 1; seed <= 60; seed++) {
		simulation_open(&sim, seed);
		/*
		 * Odd seeds: short delays, so that disagreement matters more.
		 */
		sim.drop = seed % 2 == 1 ? 300 : 150;
		sim.twice = 100;
		for (i = 0; i < 200; i++) {
			sim.max_delay = (uint64_t)g_rand_int_range(sim.rand, 1,
			    seed % 2 == 1 ? 40 * JH_USEC_PER_MSEC
					  : 2 * JH_USEC_PER_SEC);
			inject_faults(&sim);
			run(&sim, (uint64_t)g_rand_int_range(sim.rand, 1, 4));
		}
		/* All agree again: after one lifetime the limit holds. */
		for (i = 0; i < HOLDERS; i++)
			set_granter(&sim, i, 0);
		run(&sim, 2);
		greatest_split = MAX(greatest_split, sim.max_split);
		sim.max_split = 0;
		run(&sim, 10);
		assert_true(sim.max_split <= 1);
		simulation_close(&sim);
	}
	assert_true(greatest_split >= 3);
}

/* Guards against a new granter that grants what is still allocated. */
static void
new_granter_waits_for_report_or_expiry(void **state)
{
	struct quota_simulation sim;
	int h;

	simulation_open(&sim, 3);
	sim.max_delay = 10 * JH_USEC_PER_MSEC;
	sim.demand[0] = 2 * RATE;
	run(&sim, 10);
	/* All holders but the busy one switch to another granter. */
	start_granter(&sim, 1);
	for (h = 1; h < HOLDERS; h++)
		set_granter(&sim, h, 1);
	sim.demand[1] = 2 * RATE;
	while (sim.held_granter[1] != sim.granter_ids[1])
		step(&sim);
	/* The busy holder sent no report, so its allocation had to expire. */
	assert_true(sim.now - 11 * JH_USEC_PER_SEC >=
		    JH_QUOTA_LIFETIME_USEC - JH_QUOTA_REPORT_USEC);
	simulation_close(&sim);
}

/* Guards against refusing everything when no granter responds. */
static void
silent_granter_leaves_equal_share(void **state)
{
	struct quota_simulation sim;
	int h;

	simulation_open(&sim, 4);
	sim.drop = 1000;
	run(&sim, 30);
	for (h = 0; h < HOLDERS; h++)
		assert_int_equal(jh_quota_holder_allowed(
				     sim.holders[h], sim.now, JH_QUOTA_RATE),
		    RATE / HOLDERS);
	simulation_close(&sim);
}

/* Guards against a bucket that admits more than the rate and one burst. */
static void
bucket_bounds_cost_over_time(void **state)
{
	struct jh_quota_holder *h = jh_quota_holder_create(1, 1, &limit);
	uint64_t now, cost = 0;

	for (now = 1; now < 10 * JH_USEC_PER_SEC; now += STEP) {
		while (jh_quota_holder_admit(h, now, 100) == JH_QUOTA_OK) {
			cost += 100;
			jh_quota_holder_finish(h, now, 0);
		}
	}
	assert_in_range(cost, RATE * 99 / 10, 11 * RATE + 100);
	/* Output that costs more than expected is charged first. */
	now += 10 * JH_USEC_PER_SEC;
	assert_int_equal(jh_quota_holder_admit(h, now, 100), JH_QUOTA_OK);
	jh_quota_holder_finish(h, now, 3 * RATE);
	now += JH_USEC_PER_SEC;
	assert_int_equal(
	    jh_quota_holder_admit(h, now, 100), JH_QUOTA_RATE_EXCEEDED);
	now += 2 * JH_USEC_PER_SEC;
	assert_int_equal(jh_quota_holder_admit(h, now, 100), JH_QUOTA_OK);
	jh_quota_holder_destroy(h);
}

/* Guards against refusing the first request after a start of the daemon. */
static void
first_request_is_admitted(void **state)
{
	struct jh_quota_holder *h = jh_quota_holder_create(1, 5, &limit);

	assert_int_equal(jh_quota_holder_admit(h, 5, 1000), JH_QUOTA_OK);
	assert_int_equal(
	    jh_quota_holder_admit(h, 5, 1000), JH_QUOTA_RATE_EXCEEDED);
	jh_quota_holder_destroy(h);
}

/* Guards against more concurrent requests than allowed. */
static void
concurrency_is_counted(void **state)
{
	struct jh_quota_holder *h = jh_quota_holder_create(1, 1, &limit);
	uint64_t now = 1 + JH_USEC_PER_SEC;
	int i;

	for (i = 0; i < CONCURRENT; i++)
		assert_int_equal(jh_quota_holder_admit(h, now, 1), JH_QUOTA_OK);
	assert_int_equal(
	    jh_quota_holder_admit(h, now, 1), JH_QUOTA_CONCURRENT_EXCEEDED);
	jh_quota_holder_finish(h, now, 0);
	assert_int_equal(jh_quota_holder_admit(h, now, 1), JH_QUOTA_OK);
	jh_quota_holder_destroy(h);
}

/* Offers up to max requests to holder h; returns the number admitted. */
static int
admit(struct quota_simulation *sim, int h, int max)
{
	int n = 0;

	while (n < max && jh_quota_holder_admit(sim->holders[h], sim->now, 1) ==
			      JH_QUOTA_OK)
		n++;
	return n;
}

/* Guards against granting the concurrency of requests that still run. */
static void
running_requests_stay_counted(void **state)
{
	int running = 0, first, i;
	struct quota_simulation sim;

	simulation_open(&sim, 5);
	sim.max_delay = 10 * JH_USEC_PER_MSEC;
	for (i = 0; i < 500; i++) {
		step(&sim);
		running += admit(&sim, 0, CONCURRENT * 2 / 3 - running);
	}
	first = running;
	for (i = 0; i < 1000; i++) {
		step(&sim);
		running += admit(&sim, 1, 2 * CONCURRENT);
		assert_true(running <= CONCURRENT);
	}
	assert_true(first == CONCURRENT * 2 / 3 && running > first);
	simulation_close(&sim);
}

/* Guards against a new granter that grants what the previous one granted. */
static void
granter_change_never_exceeds_the_limit(void **state)
{
	struct quota_simulation sim;
	int h, i;

	for (i = 0; i < 20; i++) {
		simulation_open(&sim, 50 + (guint32)i);
		sim.max_delay = 10 * JH_USEC_PER_MSEC;
		sim.demand[0] = 2 * RATE;
		run(&sim, 10);
		/* Each holder is the last to report for some i. */
		for (h = 0; h < 5 * i; h++)
			step(&sim);
		start_granter(&sim, 1);
		for (h = 0; h < HOLDERS; h++)
			set_granter(&sim, h, 1);
		sim.demand[i % HOLDERS] = 2 * RATE;
		for (h = 0; h < 500; h++) {
			step(&sim);
			assert_true(sum_allowed(&sim, JH_QUOTA_RATE) <= RATE);
		}
		assert_true(sim.held_granter[0] == sim.granter_ids[1]);
		simulation_close(&sim);
	}
}

/* Sends a small request to one holder after the other; none is refused. */
static void
step_with_small_requests(struct quota_simulation *sim, unsigned int steps)
{
	struct jh_quota_holder *h;

	while (steps-- > 0) {
		step(sim);
		h = sim->holders[steps % HOLDERS];
		assert_int_equal(
		    jh_quota_holder_admit(h, sim->now, 1), JH_QUOTA_OK);
		jh_quota_holder_finish(h, sim->now, 0);
	}
}

/*
 * A report of the holder reaches the granter, and the grant the holder. Returns
 * whether there is one.
 */
static bool
exchange(struct jh_quota_granter *g, struct jh_quota_holder *h, uint64_t now)
{
	struct jh_quota_report report;
	struct jh_quota_grant grant;

	assert_true(jh_quota_holder_make_report(h, now, &report));
	return jh_quota_granter_handle_report(g, now, &report, &grant) &&
	       jh_quota_holder_apply_grant(h, now, &grant);
}

/*
 * Guards against a grant of 0 to an entry daemon whose id the granter has just
 * learned: its requests were refused although the limit was hardly used.
 */
static void
holder_just_known_is_not_refused(void **state)
{
	static const uint64_t ids[] = {1, 2};
	uint64_t now = JH_USEC_PER_SEC;
	struct jh_quota_granter *g = jh_quota_granter_create(9, now, &limit);
	struct jh_quota_holder *h[2];
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(h); i++) {
		h[i] = jh_quota_holder_create(ids[i], now, &limit);
		jh_quota_holder_set_view(h[i], now, 9, G_N_ELEMENTS(h));
	}
	jh_quota_granter_set_members(g, now, ids, 1, 1);
	assert_int_equal(jh_quota_holder_admit(h[0], now, 1), JH_QUOTA_OK);
	exchange(g, h[0], now);
	now += JH_QUOTA_REPORT_USEC;
	jh_quota_granter_set_members(g, now, ids, 2, 0);
	exchange(g, h[0], now);
	exchange(g, h[1], now);
	assert_int_equal(jh_quota_holder_admit(h[1], now, 1), JH_QUOTA_OK);
	for (i = 0; i < G_N_ELEMENTS(h); i++)
		jh_quota_holder_destroy(h[i]);
	jh_quota_granter_destroy(g);
}

/* One granter and some holders of a limit. */
struct region {
	struct jh_quota_granter *g;
	struct jh_quota_holder *h[4];
	uint64_t ids[4];
	unsigned int n;
	uint64_t next_id;
	uint64_t now;
};

static void
start_holder(struct region *r, unsigned int i)
{
	jh_quota_holder_destroy(r->h[i]);
	r->ids[i] = r->next_id++;
	r->h[i] = jh_quota_holder_create(r->ids[i], r->now, &limit);
}

/* Makes the first n holders the members. */
static void
set_region(struct region *r, unsigned int n)
{
	unsigned int i;

	r->n = n;
	jh_quota_granter_set_members(r->g, r->now, r->ids, n, 0);
	for (i = 0; i < n; i++)
		jh_quota_holder_set_view(r->h[i], r->now, 9, n);
}

static void
open_region(struct region *r, unsigned int n)
{
	unsigned int i;

	*r = (struct region){.next_id = 10, .now = JH_USEC_PER_SEC};
	r->g = jh_quota_granter_create(9, r->now, &limit);
	for (i = 0; i < G_N_ELEMENTS(r->h); i++)
		start_holder(r, i);
	set_region(r, n);
}

static void
close_region(struct region *r)
{
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(r->h); i++)
		jh_quota_holder_destroy(r->h[i]);
	jh_quota_granter_destroy(r->g);
}

/*
 * In each round all holders report, and those from number first on get a small
 * request, which none refuses. Returns the number of grants.
 */
static unsigned int
run_rounds(struct region *r, unsigned int rounds, unsigned int first)
{
	unsigned int i, grants = 0;

	while (rounds-- > 0) {
		r->now += JH_QUOTA_REPORT_USEC - r->n * STEP;
		for (i = 0; i < r->n; i++) {
			r->now += STEP;
			grants += exchange(r->g, r->h[i], r->now);
			if (i < first)
				continue;
			assert_int_equal(
			    jh_quota_holder_admit(r->h[i], r->now, 1),
			    JH_QUOTA_OK);
			jh_quota_holder_finish(r->h[i], r->now, 0);
		}
	}
	return grants;
}

/* Holder 0 uses 0.9 of the limit. */
static void
run_busy_rounds(struct region *r, unsigned int rounds)
{
	while (rounds-- > 0) {
		jh_quota_holder_admit(r->h[0], r->now, RATE * 9 / 10);
		jh_quota_holder_finish(r->h[0], r->now, 0);
		run_rounds(r, 1, 1);
	}
}

/*
 * Guards against grants of 0 to the other entry daemons, and so refusals, when
 * one that had most of the limit restarts: its old allocation and the share of
 * the new one are over the limit together with the others'.
 */
static void
restart_does_not_starve_others(void **state)
{
	struct region r;
	unsigned int i;

	open_region(&r, 3);
	run_busy_rounds(&r, 10);
	for (i = 0; i < 4; i++) {
		start_holder(&r, 0);
		set_region(&r, 3);
		run_rounds(&r, 5, 0);
		run_busy_rounds(&r, 10);
	}
	/* With new demand elsewhere each report is answered with a grant. */
	jh_quota_holder_admit(r.h[1], r.now, RATE / 2);
	assert_int_equal(run_rounds(&r, 10, 2), 30);
	close_region(&r);
}

/* The same when an entry daemon is added: neither it nor another is refused. */
static void
added_holder_starves_nobody(void **state)
{
	struct region r;

	open_region(&r, 3);
	run_busy_rounds(&r, 10);
	start_holder(&r, 3);
	set_region(&r, 4);
	run_rounds(&r, 10, 1);
	close_region(&r);
}

/*
 * Guards against an added entry daemon that uses its share for longer than a
 * lifetime while requests that were started before use up the limit.
 */
static void
added_holder_keeps_the_limit(void **state)
{
	struct region r;
	int i;

	open_region(&r, 1);
	run_rounds(&r, 1, 0);
	for (i = 0; i < CONCURRENT; i++)
		assert_int_equal(
		    jh_quota_holder_admit(r.h[0], r.now, 1), JH_QUOTA_OK);
	start_holder(&r, 1);
	set_region(&r, 2);
	run_rounds(&r, 1 + JH_QUOTA_LIFETIME_USEC / JH_QUOTA_REPORT_USEC, 2);
	assert_int_equal(
	    jh_quota_holder_allowed(r.h[1], r.now, JH_QUOTA_CONCURRENT), 0);
	close_region(&r);
}

/*
 * Guards against granting the share of an entry daemon that is not known yet,
 * by a division made before it was listed, or to the first one that reports.
 */
static void
share_of_a_nameless_holder_is_not_granted(void **state)
{
	struct region r;
	unsigned int i;
	uint64_t end;

	open_region(&r, 2);
	for (i = 0; i < r.n; i++)
		jh_quota_holder_set_view(r.h[i], r.now, 9, 3);
	run_rounds(&r, 4, r.n);
	r.now += STEP;
	jh_quota_granter_set_members(r.g, r.now, r.ids, r.n, 1);
	exchange(r.g, r.h[0], r.now);
	end = r.now + JH_QUOTA_LIFETIME_USEC - 1;
	assert_true(jh_quota_holder_allowed(r.h[0], end, JH_QUOTA_RATE) +
			jh_quota_holder_allowed(r.h[1], end, JH_QUOTA_RATE) <=
		    RATE - RATE / 3);
	/* What the others demand can be had without that share. */
	for (i = 0; i < 20; i++) {
		jh_quota_holder_admit(r.h[0], r.now, RATE * 6 / 10);
		jh_quota_holder_finish(r.h[0], r.now, 0);
		run_rounds(&r, 1, 1);
	}
	assert_in_range(jh_quota_holder_allowed(r.h[0], r.now, JH_QUOTA_RATE),
	    RATE * 59 / 100, RATE - RATE / 3);
	close_region(&r);
}

/*
 * Guards against a new granter that grants what a holder that it does not know
 * yet was granted before.
 */
static void
new_granter_waits_for_a_nameless_holder(void **state)
{
	struct quota_simulation sim;
	int h, i;

	simulation_open(&sim, 6);
	sim.max_delay = 10 * JH_USEC_PER_MSEC;
	sim.demand[HOLDERS - 1] = 2 * RATE;
	run(&sim, 10);
	start_granter(&sim, 1);
	set_known(&sim, 1, HOLDERS - 1);
	for (h = 0; h < HOLDERS; h++)
		set_granter(&sim, h, 1);
	sim.demand[0] = 2 * RATE;
	for (i = 0; i < 500; i++) {
		step(&sim);
		assert_true(sum_allowed(&sim, JH_QUOTA_RATE) <= RATE);
	}
	assert_true(sim.held_granter[0] == sim.granter_ids[1]);
	simulation_close(&sim);
}

/*
 * Guards against dividing the whole limit among the entry daemons whose ids are
 * known, while the others use their shares.
 */
static void
holder_not_known_yet_keeps_its_share(void **state)
{
	struct quota_simulation sim;
	unsigned int i, known;

	for (i = 0; i < 50; i++) {
		simulation_open(&sim, i);
		sim.max_delay = 10 * JH_USEC_PER_MSEC;
		start_granter(&sim, 0);
		for (known = 0; known < HOLDERS; known++)
			set_granter(&sim, (int)known, 0);
		for (known = 1; known < HOLDERS; known++) {
			set_known(&sim, 0, known);
			step_with_small_requests(&sim, 10 + 7 * i);
		}
		set_known(&sim, 0, HOLDERS);
		step_with_small_requests(&sim, 1000);
		assert_int_equal(sim.max_split, 1);
		simulation_close(&sim);
	}
}

/*
 * Guards against different choices by entry daemons with the same membership.
 */
static void
granter_choice_depends_on_the_set_only(void **state)
{
	static const uint64_t a[] = {11, 22, 33, 44}, b[] = {44, 22, 11, 33};
	struct jh_str org = JH_STR("org"), class = JH_STR("class");
	uint64_t chosen = jh_quota_choose_granter(org, class, a, 4);

	assert_int_equal(chosen, jh_quota_choose_granter(org, class, b, 4));
	assert_true(chosen != 0);
	assert_int_equal(jh_quota_choose_granter(org, class, a, 0), 0);
	assert_int_equal(jh_quota_share(UINT64_MAX, 1000), UINT64_MAX);
	assert_int_equal(jh_quota_share(1999, 500), 999);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(busy_holder_gets_what_others_leave),
	    cmocka_unit_test(one_granter_never_exceeds_the_limit),
	    cmocka_unit_test(excess_is_bounded_by_the_number_of_granters),
	    cmocka_unit_test(new_granter_waits_for_report_or_expiry),
	    cmocka_unit_test(silent_granter_leaves_equal_share),
	    cmocka_unit_test(bucket_bounds_cost_over_time),
	    cmocka_unit_test(first_request_is_admitted),
	    cmocka_unit_test(concurrency_is_counted),
	    cmocka_unit_test(running_requests_stay_counted),
	    cmocka_unit_test(granter_change_never_exceeds_the_limit),
	    cmocka_unit_test(holder_just_known_is_not_refused),
	    cmocka_unit_test(restart_does_not_starve_others),
	    cmocka_unit_test(added_holder_starves_nobody),
	    cmocka_unit_test(added_holder_keeps_the_limit),
	    cmocka_unit_test(share_of_a_nameless_holder_is_not_granted),
	    cmocka_unit_test(new_granter_waits_for_a_nameless_holder),
	    cmocka_unit_test(holder_not_known_yet_keeps_its_share),
	    cmocka_unit_test(granter_choice_depends_on_the_set_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
