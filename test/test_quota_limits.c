#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "quota_fleet.h"

/*
 * Guards against more than the limit in a window when routers are cut off from
 * each other at the moment at which an organisation begins to ask for too much:
 * both sides may use the burst until they notice the cut.
 */

#define SEEDS 100

static void
check_seeds(const struct quota_fleet_spec *s)
{
	unsigned int above = 0;
	double worst = 0;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		double most = quota_fleet_run(s, seed).most;
		if (most > 1)
			print_message("seed %u: %.3f\n", seed, most);
		above += most > 1;
		worst = most > worst ? most : worst;
	}
	print_message("%u of %u seeds above the limit, worst %.3f\n", above,
	    SEEDS, worst);
	assert_int_equal(above, 0);
}

/* Half of the routers is cut off as the demand rises, half restarts then. */
static void
cut_at_the_rise_and_restarts(void **state)
{
	static const struct quota_fleet_spec spec = {.routers = 32,
	    .used = 32,
	    .loss = 0.025,
	    .calm = 1 / 1.8,
	    .peak = 7.5 / 1.8,
	    .peak_from = 8,
	    .peak_to = 14,
	    .rate = 140000,
	    .burst = 140000,
	    .half = true,
	    .cut_from = 8,
	    .cut_to = 20,
	    .kill_at = 9};

	check_seeds(&spec);
}

/* A burst of several seconds of the rate. */
static void
cut_at_the_rise_large_burst(void **state)
{
	static const struct quota_fleet_spec spec = {.routers = 32,
	    .used = 32,
	    .loss = 0.025,
	    .calm = 1 / 1.8,
	    .peak = 4.2,
	    .peak_from = 8,
	    .peak_to = 14,
	    .rate = 76283,
	    .burst = 270000,
	    .half = true,
	    .cut_from = 9,
	    .cut_to = 21};

	check_seeds(&spec);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(cut_at_the_rise_and_restarts),
	    cmocka_unit_test(cut_at_the_rise_large_burst),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
