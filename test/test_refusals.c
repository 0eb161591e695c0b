#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "refuse_simulation.h"

#define SEEDS 100

/*
 * Guards against refusals that are counted twice, and against lost ones that
 * are not reported as a gap, with lost results, late writes, outages and
 * crashes.
 */
static void
counts_exactly_or_shows_a_gap(void **state)
{
	const char *difference;
	guint32 seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		difference = refuse_simulation_run(seed, seed % 2 == 0, false);
		if (difference != NULL)
			fail_msg("seed %u: %s", seed, difference);
	}
}

/* Guards against a check that cannot detect an overwritten record. */
static void
check_detects_late_overwrites(void **state)
{
	guint32 seed;
	int caught = 0;

	for (seed = 1; seed <= SEEDS; seed++)
		caught +=
		    refuse_simulation_run(seed, seed % 2 == 0, true) != NULL;
	print_message("detected by %d of %d seeds\n", caught, SEEDS);
	assert_true(caught > 0);
}

static void
add_all_writes(
    struct jh_refusals *r, uint64_t now, struct jh_refusal_report *report)
{
	struct jh_refusals_write *w;

	while ((w = jh_refusals_next(r, now)) != NULL) {
		assert_true(w->value_len < 4096);
		assert_true(jh_refusal_report_add(report, w->object,
		    (struct jh_str){w->value, w->value_len}, NULL));
		jh_refusals_result(r, now, w->op, JH_STORE_OK, 1);
		jh_refusals_write_free(w);
	}
	jh_refusal_report_finish(report, now + 2 * JH_USEC_PER_HOUR);
}

/* Guards against lost counts if names are too many or too long. */
static void
overflow_row_keeps_the_rest(void **state)
{
	struct jh_refusals_settings s = {
	    JH_REFUSALS_DEFAULTS, .instance = JH_STR("e"), .incarnation = 1};
	struct jh_refusal_report *report = jh_refusal_report_create(HOUR);
	const struct jh_refusal_row *rows;
	char name[JH_REFUSALS_NAME_MAX + 2] = {0};
	struct jh_refusals *r;
	uint64_t total = 0;
	size_t i, n;

	s.max_bytes = 4096;
	r = jh_refusals_create(&s, START);
	memset(name, 'x', sizeof(name) - 1);
	jh_refusals_count(r, START, jh_str_from(name), JH_STR("c"));
	jh_refusals_count(r, START, JH_STR("a\"b"), JH_STR("c"));
	for (i = 0; i < 1000; i++) {
		snprintf(name, sizeof(name), "o%d", (int)(i % 100));
		jh_refusals_count(r, START, jh_str_from(name), JH_STR("c"));
	}
	jh_refusals_close(r, START);
	add_all_writes(r, START, report);
	assert_true(jh_refusals_idle(r));
	n = jh_refusal_report_rows(report, &rows);
	assert_true(n > 10);
	assert_null(rows[0].owner);
	for (i = 0; i < n; i++)
		total += rows[i].count;
	assert_int_equal(total, 1002);
	jh_refusal_report_destroy(report);
	jh_refusals_destroy(r);
}

/*
 * Guards against unbounded memory in a long outage, and against dropped hours
 * that a report does not show as a gap.
 */
static void
dropped_hours_are_gaps(void **state)
{
	struct jh_refusals_settings s = {
	    JH_REFUSALS_DEFAULTS, .instance = JH_STR("e"), .incarnation = 1};
	struct jh_refusal_report *report = jh_refusal_report_create(HOUR);
	const struct jh_refusal_gap *gaps;
	uint64_t now = START;
	struct jh_refusals *r;

	s.max_hours = 2;
	r = jh_refusals_create(&s, now);
	for (; now < START + 4 * JH_USEC_PER_HOUR; now += JH_USEC_PER_MINUTE)
		jh_refusals_count(r, now, JH_STR("o"), JH_STR("c"));
	assert_int_equal(jh_refusals_dropped(r), 3);
	jh_refusals_close(r, now);
	while (!jh_refusals_idle(r)) {
		struct jh_refusals_write *w = jh_refusals_next(r, now);

		jh_refusal_report_add(report, w->object,
		    (struct jh_str){w->value, w->value_len}, NULL);
		jh_refusals_result(r, now, w->op, JH_STORE_OK, 1);
		jh_refusals_write_free(w);
	}
	jh_refusal_report_finish(report, now);
	assert_int_equal(jh_refusal_report_gaps(report, &gaps), 1);
	assert_int_equal(gaps[0].from, HOUR * JH_MINUTES_PER_HOUR + 58);
	assert_int_equal(gaps[0].until, (HOUR + 1) * JH_MINUTES_PER_HOUR);
	jh_refusal_report_destroy(report);
	jh_refusals_destroy(r);
}

/* Guards against a malformed or misplaced record that counts as no refusals. */
static void
unreadable_record_is_a_gap(void **state)
{
	struct jh_refusal_report *report = jh_refusal_report_create(HOUR);
	char *prefix = jh_refusals_prefix(HOUR);
	char *name = g_strdup_printf("%se-%016x", prefix, 7);
	const struct jh_refusal_gap *gaps;
	GError *err = NULL;

	assert_false(jh_refusal_report_add(report, name, JH_STR("{}"), &err));
	assert_true(
	    g_error_matches(err, JH_REFUSALS_ERROR, JH_REFUSALS_ERROR_INVALID));
	g_clear_error(&err);
	assert_false(
	    jh_refusal_report_add(report, "other", JH_STR("{}"), &err));
	assert_true(
	    g_error_matches(err, JH_REFUSALS_ERROR, JH_REFUSALS_ERROR_NAME));
	g_clear_error(&err);
	jh_refusal_report_finish(report, (HOUR + 2) * JH_USEC_PER_HOUR);
	assert_int_equal(jh_refusal_report_gaps(report, &gaps), 1);
	assert_int_equal(gaps[0].until - gaps[0].from, JH_MINUTES_PER_HOUR);
	assert_int_equal(gaps[0].reason, JH_REFUSAL_GAP_UNREADABLE);
	jh_refusal_report_destroy(report);
	g_free(prefix);
	g_free(name);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(counts_exactly_or_shows_a_gap),
	    cmocka_unit_test(check_detects_late_overwrites),
	    cmocka_unit_test(overflow_row_keeps_the_rest),
	    cmocka_unit_test(dropped_hours_are_gaps),
	    cmocka_unit_test(unreadable_record_is_a_gap),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
