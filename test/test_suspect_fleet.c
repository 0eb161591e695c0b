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

/* Parts that crash workers, and fleets that are beset by them. */

#define SEC JH_USEC_PER_SEC

/* Guards against a quarantine that a router keeps when it missed its end. */
static void
router_that_was_cut_off_learns_that_a_part_is_sound(void **state)
{
	struct jh_suspects *a = suspect_table(), *b = suspect_table();
	uint64_t from_a[SUSPECT_ROUNDS] = {0}, from_b[SUSPECT_ROUNDS] = {0},
		 now = SEC;
	struct jh_fingerprint part = jh_fingerprint_of_part(1);
	unsigned int round, i;

	for (i = 0; i < 3; i++) {
		now += SEC;
		jh_suspects_parts_crashed(a, now, now, i, 1, &part, 1);
	}
	for (round = 0; round < 5; round++)
		suspect_send_round(a, b, now += SEC / 5, from_a, round);
	assert_int_equal(jh_suspects_parts_crashes(b, now, &part, 1, NULL), 3);
	/* b is cut off for 5 s, in which output clears the part at a. */
	jh_suspects_parts_succeeded(a, now, &part, 1);
	for (; round < 30; round++)
		suspect_send_round(a, NULL, now += SEC / 5, from_a, round);
	for (; round < 300; round++) {
		suspect_send_round(a, b, now += SEC / 5, from_a, round);
		suspect_send_round(b, a, now, from_b, round);
	}
	assert_int_equal(jh_suspects_parts_crashes(a, now, &part, 1, NULL), 0);
	assert_int_equal(jh_suspects_parts_crashes(b, now, &part, 1, NULL), 0);
	jh_suspects_destroy(a);
	jh_suspects_destroy(b);
}

/* Guards against a quarantined part that never fits into a message. */
static void
all_quarantined_parts_reach_a_router_that_starts(void **state)
{
	struct jh_suspects *a = suspect_table(), *b = suspect_table();
	struct jh_fingerprint part[6];
	uint64_t from_a[SUSPECT_ROUNDS] = {0}, now = SEC;
	unsigned int round, i;

	/* The cause is the first of five shared parts, in nine crashes. */
	for (i = 0; i < 5; i++)
		part[i] = jh_fingerprint_of_part(1 + i);
	for (i = 0; i < 9; i++) {
		part[5] = jh_fingerprint_of_part(100 + i);
		now += SEC;
		jh_suspects_parts_crashed(a, now, now, i, 1, part, 6);
	}
	for (round = 0; round < 300; round++)
		suspect_send_round(a, b, now += SEC / 5, from_a, round);
	assert_int_equal(jh_suspects_parts_quarantined(b, now), 5);
	assert_in_range(
	    jh_suspects_parts_crashes(b, now, part, 5, NULL), 3, 16);
	jh_suspects_destroy(a);
	jh_suspects_destroy(b);
}

/* Guards against suspecting what two causes share when nothing shows it. */
static void
part_that_two_causes_share_is_served(void **state)
{
	struct jh_suspects *s = suspect_table();
	struct jh_fingerprint p[3], sound[3];
	unsigned int i;

	p[0] = sound[0] = jh_fingerprint_of_part(1);
	sound[1] = jh_fingerprint_of_part(4);
	sound[2] = jh_fingerprint_of_part(5);
	for (i = 0; i < 6; i++) {
		p[1] = jh_fingerprint_of_part(2 + i % 2);
		p[2] = jh_fingerprint_of_part(100 + i);
		jh_suspects_parts_crashed(
		    s, (1 + i) * SEC, (1 + i) * SEC, i, 1, p, 3);
	}
	assert_in_range(
	    jh_suspects_parts_crashes(s, 7 * SEC, sound, 3, NULL), 0, 2);
	jh_suspects_destroy(s);
}

/* Guards against suspecting what one cause and one ordinary crash share. */
static void
part_of_an_ordinary_crash_beside_a_cause_is_served(void **state)
{
	struct jh_suspects *s = suspect_table();
	struct jh_fingerprint p[3], sound[3];
	unsigned int i;

	p[0] = sound[0] = jh_fingerprint_of_part(1);
	sound[1] = jh_fingerprint_of_part(4);
	sound[2] = jh_fingerprint_of_part(5);
	for (i = 0; i < 5; i++) {
		p[1] = jh_fingerprint_of_part(2);
		p[2] = jh_fingerprint_of_part(100 + i);
		jh_suspects_parts_crashed(
		    s, (1 + i) * SEC, (1 + i) * SEC, i, 1, p, 3);
	}
	jh_suspects_parts_crashed(s, 6 * SEC, 6 * SEC, 9, 1, sound, 3);
	sound[1] = jh_fingerprint_of_part(6);
	sound[2] = jh_fingerprint_of_part(7);
	assert_in_range(
	    jh_suspects_parts_crashes(s, 7 * SEC, sound, 3, NULL), 0, 2);
	jh_suspects_destroy(s);
}

/* Guards against power failures that routers notice at different times. */
static void
power_failure_seen_late_counts_once(void **state)
{
	struct jh_suspects *a = suspect_table(), *b = suspect_table(),
			   *c = suspect_table();
	struct jh_fingerprint part = jh_fingerprint_of_part(1);
	uint64_t revision[SUSPECT_ROUNDS] = {0}, alive = SEC - 10000;

	/* Three workers fail at once; b and c are paused for 0.3 and 0.6 s. */
	jh_suspects_parts_crashed(a, SEC, alive, 1, 1, &part, 1);
	jh_suspects_parts_crashed(b, SEC + 300000, alive, 2, 1, &part, 1);
	jh_suspects_parts_crashed(c, SEC + 600000, alive, 3, 1, &part, 1);
	suspect_send_round(b, a, SEC + 600000, revision, 0);
	memset(revision, 0, sizeof(revision));
	suspect_send_round(c, a, SEC + 600000, revision, 0);
	assert_int_equal(
	    jh_suspects_parts_crashes(a, 2 * SEC, &part, 1, NULL), 1);
	jh_suspects_destroy(a);
	jh_suspects_destroy(b);
	jh_suspects_destroy(c);
}

SUSPECT_FLEET(base, 0.7, 0.04, 0, 1, 12, 300, 0, 0, 0, 0, 0)
SUSPECT_FLEET(low_rate_of_the_cause, 0.7, 0.002, 0, 1, 12, 300, 0, 0, 0, 0, 0)
SUSPECT_FLEET(
    low_rate_and_ordinary_crashes, 0.2, 0.002, 0.005, 1, 12, 50, 0, 0, 0, 0, 0)
SUSPECT_FLEET(ordinary_crashes_alone, 0.7, 0, 0.02, 1, 12, 300, 0, 0, 0, 0, 0)
SUSPECT_FLEET(
    ordinary_crashes_low_traffic, 0.05, 0, 0.02, 1, 4, 10, 0, 0, 0, 0, 0)
SUSPECT_FLEET(
    cause_and_ordinary_crashes, 0.2, 0.05, 0.01, 1, 12, 50, 0, 0, 0, 0, 0)
SUSPECT_FLEET(two_causes, 0.2, 0.06, 0, 2, 3, 50, 0, 0, 0, 0, 0)
SUSPECT_FLEET(two_causes_low_traffic, 0.05, 0.06, 0, 2, 2, 10, 0, 0, 0, 0, 0)
SUSPECT_FLEET(four_causes, 0.2, 0.08, 0, 4, 3, 50, 0, 0, 0, 0, 0)
SUSPECT_FLEET(late_output_and_crashes, 0.3, 0, 0.01, 1, 6, 50, 0, 0, 0, 0, 60)
SUSPECT_FLEET(
    late_output_cause_and_crashes, 0.2, 0.04, 0.01, 1, 6, 50, 0, 0, 0, 0, 60)
SUSPECT_FLEET(one_power_failure_paused, 0.3, 0, 0, 1, 6, 50, 0, 0, 2500, 60, 20)
SUSPECT_FLEET(
    one_power_failure_late_output, 0.3, 0, 0, 1, 6, 50, 0, 0, 2500, 0, 60)
SUSPECT_FLEET(
    one_power_failure_one_first_paused, 0.1, 0, 0, 1, 1, 20, 0, 0, 2500, 60, 20)
SUSPECT_FLEET(late_output_cause, 0.2, 0.04, 0, 1, 6, 50, 0, 0, 0, 0, 60)
SUSPECT_FLEET(
    late_output_cause_low_traffic, 0.05, 0.04, 0, 1, 4, 10, 0, 0, 0, 0, 60)
SUSPECT_FLEET(two_causes_among_firsts, 0.3, 0.06, 0, 2, 8, 50, 0, 0, 0, 0, 0)
SUSPECT_FLEET(cause_and_ordinary_crashes_low_traffic, 0.05, 0.05, 0.01, 1, 4,
    10, 0, 0, 0, 0, 0)
SUSPECT_FLEET(
    cause_and_crashes_one_first, 0.05, 0.04, 0.01, 1, 1, 10, 0, 0, 0, 0, 0)
SUSPECT_FLEET(cause_and_power_failures_low_traffic, 0.1, 0.04, 0, 1, 4, 30, 0,
    0, 400, 0, 0)
SUSPECT_FLEET(long_private_prompts, 0.3, 0.08, 0, 1, 3, 50, 3, 5, 0, 0, 0)
SUSPECT_FLEET(long_prompts, 0.3, 0.08, 0, 1, 3, 50, 5, 0, 0, 0, 0)
SUSPECT_FLEET(long_prompts_low_traffic, 0.05, 0.08, 0, 1, 3, 50, 5, 0, 0, 0, 0)
SUSPECT_FLEET(private_parts, 0.3, 0.08, 0, 1, 3, 50, 0, 6, 0, 0, 0)
SUSPECT_FLEET(power_failures, 0.7, 0, 0, 1, 12, 300, 0, 0, 500, 0, 0)
SUSPECT_FLEET(
    power_failures_paused_routers, 0.7, 0, 0, 1, 12, 300, 0, 0, 500, 60, 0)
SUSPECT_FLEET(
    power_failures_paused_low_traffic, 0.2, 0, 0, 1, 4, 30, 0, 0, 500, 60, 0)
SUSPECT_FLEET(
    cause_and_power_failures, 0.7, 0.04, 0, 1, 12, 300, 0, 0, 500, 0, 0)
SUSPECT_FLEET(
    cause_and_paused_routers, 0.3, 0.04, 0, 1, 12, 300, 0, 0, 0, 60, 0)

SUSPECT_FLEET(two_causes_common_first, 0.1, 0.1, 0, 2, 1, 50, 0, 0, 0, 0, 0)
SUSPECT_FLEET(late_output_and_crashes_low_traffic, 0.05, 0, 0.01, 1, 4, 10, 0,
    0, 0, 0, 60)
SUSPECT_FLEET(
    late_output_and_power_failures, 0.3, 0, 0, 1, 6, 50, 0, 0, 400, 0, 60)
SUSPECT_FLEET(
    late_output_power_failures_paused, 0.3, 0, 0, 1, 6, 50, 0, 0, 400, 60, 60)
SUSPECT_FLEET(part_turns_into_a_cause, 0.7, 0.04, 0, 1, 12, 300, 0, 0, 0, 0, 0,
    .sound_steps = 2000)
SUSPECT_FLEET(part_turns_into_a_cause_low_rate, 0.7, 0.002, 0, 1, 12, 300, 0, 0,
    0, 0, 0, .sound_steps = 2000)
SUSPECT_FLEET(part_turns_into_a_cause_low_traffic, 0.05, 0.01, 0.005, 1, 4, 10,
    0, 0, 0, 0, 60, .sound_steps = 2000)
SUSPECT_FLEET(common_first_and_a_part_that_turns, 0.7, 0.04, 0, 1, 1, 10, 0, 0,
    0, 0, 0, .poison_seconds = true, .sound_steps = 2000)
SUSPECT_FLEET(cause_comes_later_one_first, 0.05, 0.1, 0.002, 1, 1, 30, 0, 0, 0,
    0, 30, .from_step = 2000)
SUSPECT_FLEET(cause_comes_later_and_crashes, 0.7, 0.04, 0.005, 1, 4, 10, 0, 0,
    0, 0, 60, .poison_seconds = true, .from_step = 2000)
SUSPECT_FLEET(cause_comes_later_power_failures, 0.7, 0.04, 0, 1, 4, 30, 0, 0,
    1100, 60, 0, .from_step = 2000)
SUSPECT_FLEET(two_causes_come_later, 0.05, 0.04, 0, 2, 1, 30, 0, 0, 0, 0, 0,
    .from_step = 2000)
SUSPECT_FLEET(two_causes_come_later_high_rate, 0.05, 0.1, 0, 2, 1, 30, 0, 0, 0,
    0, 0, .from_step = 2000)
SUSPECT_FLEET(two_parts_turn_into_causes, 0.05, 0.1, 0, 2, 1, 30, 0, 0, 0, 0, 0,
    .sound_steps = 2000)
SUSPECT_FLEET(part_turns_and_crashes_high_rate, 0.7, 0.1, 0.005, 1, 4, 10, 0, 0,
    0, 0, 60, .poison_seconds = true, .sound_steps = 2000)
SUSPECT_FLEET(two_routers, 0.3, 0.04, 0.005, 1, 6, 50, 0, 0, 0, 0, 0,
    .routers = 2, .workers = 4)
SUSPECT_FLEET(two_routers_part_turns_into_a_cause, 0.3, 0.04, 0, 1, 6, 50, 0, 0,
    0, 0, 0, .sound_steps = 2000, .routers = 2, .workers = 4)
SUSPECT_FLEET(many_routers, 0.7, 0.04, 0, 1, 12, 300, 0, 0, 1100, 0, 20,
    .sound_steps = 2000, .routers = 100, .workers = 160)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		router_that_was_cut_off_learns_that_a_part_is_sound),
	    cmocka_unit_test(all_quarantined_parts_reach_a_router_that_starts),
	    cmocka_unit_test(part_that_two_causes_share_is_served),
	    cmocka_unit_test(
		part_of_an_ordinary_crash_beside_a_cause_is_served),
	    cmocka_unit_test(power_failure_seen_late_counts_once),
	    cmocka_unit_test(base),
	    cmocka_unit_test(low_rate_of_the_cause),
	    cmocka_unit_test(low_rate_and_ordinary_crashes),
	    cmocka_unit_test(ordinary_crashes_alone),
	    cmocka_unit_test(ordinary_crashes_low_traffic),
	    cmocka_unit_test(cause_and_ordinary_crashes),
	    cmocka_unit_test(two_causes),
	    cmocka_unit_test(two_causes_low_traffic),
	    cmocka_unit_test(four_causes),
	    cmocka_unit_test(late_output_and_crashes),
	    cmocka_unit_test(late_output_cause_and_crashes),
	    cmocka_unit_test(one_power_failure_paused),
	    cmocka_unit_test(one_power_failure_late_output),
	    cmocka_unit_test(one_power_failure_one_first_paused),
	    cmocka_unit_test(late_output_cause),
	    cmocka_unit_test(late_output_cause_low_traffic),
	    cmocka_unit_test(two_causes_among_firsts),
	    cmocka_unit_test(cause_and_ordinary_crashes_low_traffic),
	    cmocka_unit_test(cause_and_crashes_one_first),
	    cmocka_unit_test(cause_and_power_failures_low_traffic),
	    cmocka_unit_test(long_private_prompts),
	    cmocka_unit_test(long_prompts),
	    cmocka_unit_test(long_prompts_low_traffic),
	    cmocka_unit_test(private_parts),
	    cmocka_unit_test(power_failures),
	    cmocka_unit_test(power_failures_paused_routers),
	    cmocka_unit_test(power_failures_paused_low_traffic),
	    cmocka_unit_test(cause_and_power_failures),
	    cmocka_unit_test(cause_and_paused_routers),
	    cmocka_unit_test(two_causes_common_first),
	    cmocka_unit_test(late_output_and_crashes_low_traffic),
	    cmocka_unit_test(late_output_and_power_failures),
	    cmocka_unit_test(late_output_power_failures_paused),
	    cmocka_unit_test(part_turns_into_a_cause),
	    cmocka_unit_test(part_turns_into_a_cause_low_rate),
	    cmocka_unit_test(part_turns_into_a_cause_low_traffic),
	    cmocka_unit_test(common_first_and_a_part_that_turns),
	    cmocka_unit_test(cause_comes_later_one_first),
	    cmocka_unit_test(cause_comes_later_and_crashes),
	    cmocka_unit_test(cause_comes_later_power_failures),
	    cmocka_unit_test(two_causes_come_later),
	    cmocka_unit_test(two_causes_come_later_high_rate),
	    cmocka_unit_test(two_parts_turn_into_causes),
	    cmocka_unit_test(part_turns_and_crashes_high_rate),
	    cmocka_unit_test(two_routers),
	    cmocka_unit_test(two_routers_part_turns_into_a_cause),
	    cmocka_unit_test(many_routers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
