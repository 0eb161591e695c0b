#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "agent/widths.h"

/* Guards against telling a restarted entry daemon too small a width. */
static void
returns_greatest_recent_width(void **state)
{
	struct agent_widths *w = agent_widths_create();
	uint64_t now = JH_USEC_PER_SEC;

	assert_int_equal(agent_widths_record(w, now, 7, 4), 4);
	assert_int_equal(agent_widths_record(w, now, 7, 1), 4);
	assert_int_equal(agent_widths_record(w, now, 8, 1), 1);
	/* The greater width has expired. */
	now += 6 * JH_USEC_PER_SEC;
	assert_int_equal(agent_widths_record(w, now, 7, 2), 2);
	agent_widths_destroy(w);
}

/* Guards against a table that grows with the number of prefixes seen. */
static void
stays_bounded(void **state)
{
	struct agent_widths *w = agent_widths_create();
	uint64_t now = JH_USEC_PER_SEC, p;

	for (p = 1; p <= 5000; p++)
		assert_int_equal(agent_widths_record(w, now, p, 3), 3);
	/* No prefix is recorded in a full table. */
	assert_int_equal(agent_widths_record(w, now, 5000, 1), 1);
	/* Expired entries make room. */
	now += 6 * JH_USEC_PER_SEC;
	assert_int_equal(agent_widths_record(w, now, 5000, 3), 3);
	assert_int_equal(agent_widths_record(w, now, 5000, 1), 3);
	agent_widths_destroy(w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(returns_greatest_recent_width),
	    cmocka_unit_test(stays_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
