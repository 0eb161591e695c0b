#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "member/liveness.h"

#define SEC 1000000ULL

/* Guards against entries of lost instances that stay in the store for ever. */
static void
silent_process_is_removed(void **state)
{
	struct jh_liveness *l = jh_liveness_create();

	jh_liveness_seen(l, SEC, "e1");
	jh_liveness_seen(l, SEC, "e2");
	jh_liveness_seen(l, 100 * SEC, "e2");
	assert_null(
	    jh_liveness_next_dead(l, SEC + JH_LIVENESS_TIMEOUT_USEC - 1));
	assert_string_equal(
	    jh_liveness_next_dead(l, SEC + JH_LIVENESS_TIMEOUT_USEC), "e1");
	jh_liveness_forget(l, "e1");
	assert_null(jh_liveness_next_dead(
	    l, SEC + JH_LIVENESS_TIMEOUT_USEC + 60 * SEC));
	jh_liveness_destroy(l);
}

/* Guards against bursts of removals, each of which wakes every process. */
static void
removals_are_spread(void **state)
{
	struct jh_liveness *l = jh_liveness_create();
	uint64_t late = 2 * JH_LIVENESS_TIMEOUT_USEC;

	jh_liveness_seen(l, SEC, "e1");
	jh_liveness_seen(l, SEC, "e2");
	assert_non_null(jh_liveness_next_dead(l, late));
	assert_null(jh_liveness_next_dead(
	    l, late + JH_LIVENESS_REMOVAL_INTERVAL_USEC - 1));
	assert_non_null(
	    jh_liveness_next_dead(l, late + JH_LIVENESS_REMOVAL_INTERVAL_USEC));
	jh_liveness_destroy(l);
}

/* Guards against the removal of a process that still sends messages. */
static void
live_process_stays(void **state)
{
	struct jh_liveness *l = jh_liveness_create();
	uint64_t now;

	for (now = SEC; now < 3 * JH_LIVENESS_TIMEOUT_USEC; now += 60 * SEC) {
		jh_liveness_seen(l, now, "e1");
		assert_null(jh_liveness_next_dead(l, now + 59 * SEC));
	}
	jh_liveness_destroy(l);
}

/* Guards against processes that all rank first, or a dead one that does. */
static void
live_processes_rank_once_each(void **state)
{
	static const char *const names[] = {"e1", "e2", "e3", "e4"};
	struct jh_liveness *l = jh_liveness_create();
	unsigned int seen = 0;
	size_t i, rank;

	for (i = 0; i < 4; i++)
		jh_liveness_seen(l, SEC, names[i]);
	for (i = 0; i < 4; i++)
		seen |= 1U << jh_liveness_rank(l, 2 * SEC, names[i]);
	assert_int_equal(seen, 0xf);
	rank = jh_liveness_rank(l, SEC + JH_LIVENESS_RECENT_USEC, names[0]);
	assert_int_equal(rank, 0);
	jh_liveness_destroy(l);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test(silent_process_is_removed),
    cmocka_unit_test(removals_are_spread),
    cmocka_unit_test(live_process_stays),
    cmocka_unit_test(live_processes_rank_once_each),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
