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

#define SEC JH_USEC_PER_SEC

/* Guards against power failures that routers notice at different times. */
static void
power_failure_seen_late_counts_once(void **state)
{
	struct jh_suspects *a = suspect_table(), *b = suspect_table(),
			   *c = suspect_table();
	struct jh_fingerprint part = jh_fingerprint_of_part(1);
	uint64_t revision[SUSPECT_ROUNDS] = {0};

	/* Three workers fail at once; b and c are paused for 0.3 and 0.6 s. */
	jh_suspects_parts_crashed(a, SEC, 1, 1, &part, 1);
	jh_suspects_parts_crashed(b, SEC + 300000, 2, 1, &part, 1);
	jh_suspects_parts_crashed(c, SEC + 600000, 3, 1, &part, 1);
	suspect_send_round(b, a, SEC + 600000, revision, 0);
	memset(revision, 0, sizeof(revision));
	suspect_send_round(c, a, SEC + 600000, revision, 0);
	assert_int_equal(
	    jh_suspects_parts_crashes(a, 2 * SEC, &part, 1, NULL), 1);
	jh_suspects_destroy(a);
	jh_suspects_destroy(b);
	jh_suspects_destroy(c);
}

SUSPECT_FLEET(part_turns_power_failures_paused_high_rate, 0.7, 0.1, 0, 1, 4, 30,
    0, 0, 1100, 60, 0, .sound_steps = 2000)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(power_failure_seen_late_counts_once),
	    cmocka_unit_test(part_turns_power_failures_paused_high_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
