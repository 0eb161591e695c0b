#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "member/publication.h"
#include "route/choose.h"

#define MSEC 1000ULL
#define SEC (1000 * MSEC)

/* What the users require: outdated weights are not used later than this. */
#define LIMIT (8 * SEC)
/* A process counts as connected so long after a start, a pause or an outage. */
#define CONTACT (4 * SEC)

/* Guards against the use of a change that is dated too late after a start. */
static void
unknown_age_counts_from_the_start(void **state)
{
	struct jh_publication p = {
	    .now = 100 * SEC, .connected_since = 99 * SEC};
	uint64_t until = jh_publication_time(&p) + JH_CHOOSE_OUTDATED_USEC;

	assert_in_range(until, 99 * SEC, 99 * SEC + CONTACT);
	p.now = 104 * SEC;
	assert_int_equal(
	    jh_publication_time(&p) + JH_CHOOSE_OUTDATED_USEC, until);
}

/* Guards against workers that are avoided too soon: a change is mostly new. */
static void
change_without_a_pause_is_new(void **state)
{
	struct jh_publication p = {.now = 100 * SEC,
	    .earliest = 100 * SEC,
	    .previous_call = 90 * SEC,
	    .connected_since = 10 * SEC};

	assert_int_equal(jh_publication_time(&p), 100 * SEC);
	/* Long after a short pause. */
	p.resumed_at = 95 * SEC;
	p.paused_for = 300 * MSEC;
	assert_int_equal(jh_publication_time(&p), 100 * SEC);
	/* After an outage. */
	p.earliest = 92 * SEC;
	assert_int_equal(jh_publication_time(&p), 92 * SEC);
}

/* Guards against a pause that is noticed as the change is read, and ignored. */
static void
pause_that_has_just_ended_counts(void **state)
{
	struct jh_publication p = {.now = 100 * SEC,
	    .earliest = 100 * SEC,
	    .previous_call = 90 * SEC,
	    .connected_since = 10 * SEC,
	    .resumed_at = 100 * SEC,
	    .paused_for = 5 * SEC};

	assert_true(jh_publication_time(&p) < 99 * SEC);
	p.resumed_at++;
	assert_true(jh_publication_time(&p) < 99 * SEC);
}

/*
 * Guards against a change that is published during a pause of the process and
 * counts as published at its end. The change is read at once or when it has
 * been sent again.
 */
static void
change_of_a_pause_is_not_used_beyond_the_limit(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	unsigned int i;

	for (i = 0; i < 100000; i++) {
		uint64_t pause = (uint64_t)g_rand_int_range(rand, 1, 20000);
		uint64_t at = (uint64_t)g_rand_int_range(rand, 0, (int)pause);
		uint64_t delay =
		    (uint64_t)g_rand_int_range(rand, 0, (int)pause);
		uint64_t begun = 100 * SEC, until;
		struct jh_publication p = {
		    .now = begun + (pause + delay) * MSEC,
		    .earliest = begun + (pause + delay) * MSEC,
		    .previous_call =
			begun -
			(uint64_t)g_rand_int_range(rand, 0, 12000) * MSEC,
		    .connected_since = SEC,
		    .resumed_at = begun + pause * MSEC,
		    .paused_for = pause * MSEC,
		};

		until = jh_publication_time(&p) + JH_CHOOSE_OUTDATED_USEC;
		assert_true(until <= begun + at * MSEC + LIMIT ||
			    until <= p.resumed_at + CONTACT);
	}
	g_rand_free(rand);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(unknown_age_counts_from_the_start),
	    cmocka_unit_test(change_without_a_pause_is_new),
	    cmocka_unit_test(pause_that_has_just_ended_counts),
	    cmocka_unit_test(change_of_a_pause_is_not_used_beyond_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
