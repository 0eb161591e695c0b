#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "quota_fleet.h"

/*
 * Fleets of routers in virtual time that share one quota, beside a central
 * bucket with the same arrivals. Guards against more than the limit in a
 * window, an allowed rate that is not used, and refusals below the quota.
 */

#define SEEDS 10
#define FLEET .routers = 32, .loss = 0.025, .calm = CALM
#define CALM (1 / 1.8)
#define PEAK .peak = 7.5 / 1.8, .peak_from = 8, .peak_to = 14
#define LARGE .rate = 140000, .burst = 140000, .used = 32
#define SMALL .rate = 29000, .burst = 29000, .used = 5

/* The worst of many seeds, or the mean of the used rate and the refusals. */
static struct quota_fleet_result
run_seeds(const struct quota_fleet_spec *s)
{
	unsigned int n = s->routers > 100 ? 1 : SEEDS;
	struct quota_fleet_result all = {0};
	uint32_t seed;

	for (seed = 1; seed <= n; seed++) {
		struct quota_fleet_result r = quota_fleet_run(s, seed);
		all.most = MAX(all.most, r.most);
		all.debt = MAX(all.debt, r.debt);
		all.wait = MAX(all.wait, r.wait);
		all.used += r.used / n;
		all.ideal += r.ideal / n;
		all.refused += r.refused / n;
		all.ideal_refused += r.ideal_refused / n;
	}
	print_message("window %.3f, used %.3f of %.3f, debt %.2f s, refused "
		      "%.4f of %.4f, wait %.2f s\n",
	    all.most, all.used, all.ideal, all.debt, all.refused,
	    all.ideal_refused, all.wait);
	assert_true(all.most <= 1);
	return all;
}

/* Guards against more than the limit in a window, whatever fails. */
static void
limit_holds(void **state)
{
	static const struct quota_fleet_spec specs[] = {
	    {FLEET, PEAK, LARGE},
	    {FLEET, PEAK, LARGE, .drift = 0.001},
	    {FLEET, PEAK, LARGE, .cut_from = 6, .cut_to = 18},
	    {FLEET, PEAK, LARGE, .half = true, .cut_from = 9, .cut_to = 21},
	    {FLEET, PEAK, LARGE, .kill_at = 10},
	    {FLEET, PEAK, LARGE, .lower_at = 10},
	    {.routers = 32, .loss = 0.025, .calm = 4, PEAK, LARGE},
	    {.routers = 300,
		.loss = 0.025,
		.calm = CALM,
		PEAK,
		.rate = 140000,
		.burst = 140000,
		.used = 300},
	    {FLEET, PEAK, SMALL},
	    {FLEET, PEAK, SMALL, .half = true, .cut_from = 9, .cut_to = 21},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(specs); i++)
		(void)run_seeds(&specs[i]);
}

/*
 * Guards against a rate that is not used while more is asked for, and against
 * debts, after which nothing is admitted for a while.
 */
static void
rate_is_used(void **state)
{
	static const struct quota_fleet_spec specs[] = {
	    {FLEET, .peak = 1.5, .peak_from = 10, .peak_to = 30, LARGE},
	    {FLEET, .peak = 1.5, .peak_from = 10, .peak_to = 30, .rate = 140000,
		.burst = 140000, .used = 1},
	    {FLEET, .peak = 1.5, .peak_from = 10, .peak_to = 30, .rate = 140000,
		.burst = 140000, .used = 1, .moves = true},
	    {FLEET, PEAK, LARGE},
	};
	struct quota_fleet_result r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(specs); i++) {
		r = run_seeds(&specs[i]);
		assert_true(r.used >= 0.97);
		assert_true(r.used >= 0.97 * r.ideal);
	}
}

/*
 * Guards against refusals below the quota, which a central bucket would not
 * give: of few clients, after restarts, and on either side of a cut.
 */
static void
below_the_quota_nothing_is_refused(void **state)
{
	static const struct quota_fleet_spec specs[] = {
	    {FLEET, .max_cost = 4200, SMALL},
	    {FLEET, .max_cost = 4200, SMALL, .kill_at = 10},
	    {FLEET, .max_cost = 4200, SMALL, .cut_from = 10, .cut_to = 22},
	    {FLEET, .max_cost = 4200, .rate = 29000, .burst = 29000, .used = 1},
	    {FLEET, .max_cost = 4200, .rate = 29000, .burst = 29000, .used = 20,
		.cut_from = 10, .cut_to = 22},
	    {FLEET, .max_cost = 4200, LARGE, .kill_at = 10},
	    {FLEET, .max_cost = 4200, LARGE, .cut_from = 10, .cut_to = 22},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(specs); i++)
		assert_true(run_seeds(&specs[i]).refused == 0);
}

/*
 * Guards against refusals of large requests far beyond those of the central
 * bucket, which one request of 55,000 tokens puts into debt.
 */
static void
large_requests_are_served_as_by_one_bucket(void **state)
{
	static const struct quota_fleet_spec specs[] = {
	    {FLEET, LARGE},
	    {FLEET, LARGE, .kill_at = 10},
	    {FLEET, LARGE, .cut_from = 10, .cut_to = 22},
	};
	struct quota_fleet_result r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(specs); i++) {
		r = run_seeds(&specs[i]);
		assert_true(r.refused <= r.ideal_refused + 0.02);
	}
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test(limit_holds),
    cmocka_unit_test(rate_is_used),
    cmocka_unit_test(below_the_quota_nothing_is_refused),
    cmocka_unit_test(large_requests_are_served_as_by_one_bucket),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
