#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "member/absent.h"

#define SEC 1000000ULL

/* Guards against entries of lost machines that stay in the store for good. */
static void
silent_process_is_removed(void **state)
{
	struct jh_absent *a = jh_absent_create();

	jh_absent_heard(a, SEC, "e1");
	jh_absent_heard(a, SEC, "e2");
	jh_absent_heard(a, 100 * SEC, "e2");
	assert_null(jh_absent_next(a, SEC + JH_ABSENT_USEC - 1));
	assert_string_equal(jh_absent_next(a, SEC + JH_ABSENT_USEC), "e1");
	jh_absent_forget(a, "e1");
	assert_null(jh_absent_next(a, SEC + JH_ABSENT_USEC + 60 * SEC));
	jh_absent_destroy(a);
}

/* Guards against many removals at once, each of which wakes every process. */
static void
removals_are_spread(void **state)
{
	struct jh_absent *a = jh_absent_create();
	uint64_t late = 2 * JH_ABSENT_USEC;

	jh_absent_heard(a, SEC, "e1");
	jh_absent_heard(a, SEC, "e2");
	assert_non_null(jh_absent_next(a, late));
	assert_null(jh_absent_next(a, late + JH_ABSENT_PAUSE_USEC - 1));
	assert_non_null(jh_absent_next(a, late + JH_ABSENT_PAUSE_USEC));
	jh_absent_destroy(a);
}

/* Guards against the removal of a process that was heard again. */
static void
heard_process_stays(void **state)
{
	struct jh_absent *a = jh_absent_create();
	uint64_t now;

	for (now = SEC; now < 3 * JH_ABSENT_USEC; now += 60 * SEC) {
		jh_absent_heard(a, now, "e1");
		assert_null(jh_absent_next(a, now + 59 * SEC));
	}
	jh_absent_destroy(a);
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
