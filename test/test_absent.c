#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "member/absent.h"

#define SEC 1000000ULL

/* Guards against entries of lost instances that stay in the store for ever. */
static void
silent_process_is_removed(void **state)
{
	struct jh_absent *l = jh_absent_create();

	jh_absent_heard(l, SEC, "e1");
	jh_absent_heard(l, SEC, "e2");
	jh_absent_heard(l, 100 * SEC, "e2");
	assert_null(jh_absent_next(l, SEC + JH_ABSENT_USEC - 1));
	assert_string_equal(jh_absent_next(l, SEC + JH_ABSENT_USEC), "e1");
	jh_absent_forget(l, "e1");
	assert_null(jh_absent_next(l, SEC + JH_ABSENT_USEC + 60 * SEC));
	jh_absent_destroy(l);
}

/* Guards against bursts of removals, each of which wakes every process. */
static void
removals_are_spread(void **state)
{
	struct jh_absent *l = jh_absent_create();
	uint64_t late = 2 * JH_ABSENT_USEC;

	jh_absent_heard(l, SEC, "e1");
	jh_absent_heard(l, SEC, "e2");
	assert_non_null(jh_absent_next(l, late));
	assert_null(jh_absent_next(l, late + JH_ABSENT_PAUSE_USEC - 1));
	assert_non_null(jh_absent_next(l, late + JH_ABSENT_PAUSE_USEC));
	jh_absent_destroy(l);
}

/* Guards against the removal of a process that is still heard. */
static void
heard_process_stays(void **state)
{
	struct jh_absent *l = jh_absent_create();
	uint64_t now;

	for (now = SEC; now < 3 * JH_ABSENT_USEC; now += 60 * SEC) {
		jh_absent_heard(l, now, "e1");
		assert_null(jh_absent_next(l, now + 59 * SEC));
	}
	jh_absent_destroy(l);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test(silent_process_is_removed),
    cmocka_unit_test(removals_are_spread),
    cmocka_unit_test(heard_process_stays),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
