#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/suspects.h>

#include "suspect_fleet.h"

/*
 * Known limits of suspecting requests by their parts: sound parts that are
 * refused, and causes that are found late. Listed in KNOWN-RED.txt.
 */

SUSPECT_FLEET(part_turns_power_failures_paused_high_rate, 0.7, 0.1, 0, 1, 4, 30,
    0, 0, 1100, 60, 0, .sound_steps = 2000)
SUSPECT_FLEET(two_routers_power_failures, 0.3, 0.04, 0, 1, 6, 50, 0, 0, 900, 0,
    0, .from_step = 1000, .routers = 2, .workers = 4)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(part_turns_power_failures_paused_high_rate),
	    cmocka_unit_test(two_routers_power_failures),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
