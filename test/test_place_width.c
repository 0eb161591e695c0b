#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/place.h>

#include "place_fixture.h"

/*
 * Sends count requests for one prefix, gap microseconds apart; returns the time
 * after the last.
 */
static uint64_t
send_requests(struct jh_placer *p, uint64_t now, uint64_t manual, uint64_t gap,
    size_t count)
{
	size_t i;

	for (i = 0; i < count; i++, now += gap) {
		struct jh_prefix x = prefix(manual, i % 5, i);

		first(p, now, &x);
	}
	return now;
}

/*
 * Guards against a frequent prefix that stays on one worker, and against a
 * width that is never reduced.
 */
static void
hot_prefixes_widen_and_narrow(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 0, 0);
	uint64_t now;
	uint32_t hot;

	/* 10 requests/s of 0.755 s work each fill 7.5 workers. */
	now = send_requests(p, 1, 3, 100 * JH_USEC_PER_MSEC, 200);
	hot = jh_placer_width(p, now, &x);
	assert_in_range(hot, 7, 16);
	now = send_requests(p, now, 3, 10 * JH_USEC_PER_SEC, 30);
	assert_in_range(jh_placer_width(p, now, &x), 1, 2);
	jh_placer_destroy(p);
}

/*
 * Guards against widening a prefix for single requests at many entry daemons.
 */
static void
single_requests_do_not_widen(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 0, 0);

	jh_placer_set_entry_daemons(p, 57);
	first(p, 1, &x);
	first(p, 60 * JH_USEC_PER_SEC, &x);
	assert_int_equal(jh_placer_width(p, 60 * JH_USEC_PER_SEC, &x), 1);
	jh_placer_destroy(p);
}

/*
 * Guards against a restarted entry daemon that sends all requests to one worker
 * until it has its own estimate, and against entry daemons that repeat learned
 * widths to each other.
 */
static void
learned_widths_expire(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 1, 1);
	struct jh_place_response a = {.prefix = &x, .width = 12};
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	uint64_t first_worker = first(p, 1, &x);
	uint64_t late = 60 * JH_USEC_PER_SEC;
	size_t i, moved = 0;

	jh_placer_learn(p, 2, first_worker, &a);
	for (i = 0; i < 50; i++) {
		struct jh_prefix y = prefix(3, i, i);

		choose_after_refusals(p, 3, &y, c);
		moved += c[0].worker != first_worker;
	}
	assert_true(moved > 30);
	assert_int_equal(jh_placer_width(p, 3, &x), 1);
	assert_int_equal(first(p, late, &x), first_worker);
	jh_placer_destroy(p);
}

/*
 * Guards against computing one organisation's instructions on every worker
 * within the width.
 */
static void
instructions_stay_together(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 1, 1);
	struct jh_place_response a = {.prefix = &x, .width = 12};
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	uint64_t first_worker;
	size_t i;

	jh_placer_learn(p, 1, first(p, 1, &x), &a);
	choose_after_refusals(p, 2, &x, c);
	first_worker = c[0].worker;
	for (i = 0; i < 20; i++) {
		x = prefix(3, 1, 100 + i);
		choose_after_refusals(p, 2, &x, c);
		assert_int_equal(c[0].worker, first_worker);
	}
	jh_placer_destroy(p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(hot_prefixes_widen_and_narrow),
	    cmocka_unit_test(single_requests_do_not_widen),
	    cmocka_unit_test(learned_widths_expire),
	    cmocka_unit_test(instructions_stay_together),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
