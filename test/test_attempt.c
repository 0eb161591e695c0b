#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "route/attempt.h"
#include "route/budget.h"

#define SEC JH_USEC_PER_SEC

/* Guards against a second run of a request that may run only once. */
static void
broken_once_is_never_repeated(void **state)
{
	struct jh_attempts a;

	jh_attempts_init(&a, false, 3, 5 * SEC);
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_BROKEN), JH_NEXT_FAIL);
	/* And it is not said to have not run. */
	assert_int_equal(jh_attempts_give_up(&a), JH_NEXT_FAIL);
}

/* Guards against a refusal of work that could go to another worker. */
static void
declined_goes_elsewhere_and_is_refused_truly(void **state)
{
	struct jh_attempts a;
	int i;

	jh_attempts_init(&a, false, 1, 5 * SEC);
	for (i = 0; i < JH_ATTEMPTS_MOST_DECLINED; i++) {
		jh_attempts_sent(&a);
		assert_int_equal(
		    jh_attempts_ended(&a, SEC, JH_ATTEMPT_DECLINED),
		    JH_NEXT_RETRY);
	}
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_NOT_SENT), JH_NEXT_REFUSE);
}

/* Guards against "not run" after an attempt whose fate is unknown. */
static void
unknown_fate_outlives_a_refusal(void **state)
{
	struct jh_attempts a;

	jh_attempts_init(&a, true, 2, 5 * SEC);
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_BROKEN), JH_NEXT_RETRY);
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, 5 * SEC, JH_ATTEMPT_DECLINED), JH_NEXT_FAIL);
}

/* Guards against more runs than the route allows. */
static void
runs_are_bounded(void **state)
{
	struct jh_attempts a;

	jh_attempts_init(&a, true, 2, 5 * SEC);
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_FAILED), JH_NEXT_RETRY);
	jh_attempts_sent(&a);
	/* The worker's own answer is passed on. */
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_FAILED), JH_NEXT_PASS);
}

/* Guards against an attempt that cannot end before the deadline. */
static void
no_attempt_at_the_deadline(void **state)
{
	struct jh_attempts a;

	jh_attempts_init(&a, true, 2, SEC);
	jh_attempts_sent(&a);
	assert_int_equal(jh_attempts_ended(&a, SEC - JH_ATTEMPT_LEAST_USEC / 2,
			     JH_ATTEMPT_BROKEN),
	    JH_NEXT_FAIL);
}

/* Guards against repeats of all processes that exceed the shared budget. */
static void
processes_share_the_budget(void **state)
{
	const struct jh_budget_spec spec = {0.2, 58, 10 * SEC};
	const unsigned int n = 6;
	unsigned int taken = 0, i, k;

	for (i = 0; i < n; i++) {
		struct jh_budget *b = jh_budget_create(&spec);
		for (k = 0; k < 100; k++)
			jh_budget_request(b, SEC, "s");
		while (jh_budget_take(b, SEC, "s", n))
			taken++;
		jh_budget_destroy(b);
	}
	assert_true(taken <= 0.2 * 100 * n + 58);
	assert_true(taken >= 58);
}

/* Guards against repeats at the end of one window and the start of the next. */
static void
budget_slides(void **state)
{
	const struct jh_budget_spec spec = {0.2, 60, 10 * SEC};
	struct jh_budget *b = jh_budget_create(&spec);
	unsigned int first = 0, second = 0;

	while (jh_budget_take(b, 9 * SEC + SEC / 2, "s", 1))
		first++;
	while (jh_budget_take(b, 10 * SEC + SEC / 2, "s", 1))
		second++;
	assert_true(first > 0);
	assert_int_equal(second, 0);
	while (jh_budget_take(b, 25 * SEC, "s", 1))
		second++;
	assert_int_equal(second, first);
	jh_budget_destroy(b);
}

/* Guards against one service that uses up another's budget. */
static void
services_are_apart(void **state)
{
	const struct jh_budget_spec spec = {0.2, 20, 10 * SEC};
	struct jh_budget *b = jh_budget_create(&spec);

	while (jh_budget_take(b, SEC, "a", 1))
		;
	assert_true(jh_budget_take(b, SEC, "b", 1));
	jh_budget_destroy(b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(broken_once_is_never_repeated),
	    cmocka_unit_test(declined_goes_elsewhere_and_is_refused_truly),
	    cmocka_unit_test(unknown_fate_outlives_a_refusal),
	    cmocka_unit_test(runs_are_bounded),
	    cmocka_unit_test(no_attempt_at_the_deadline),
	    cmocka_unit_test(processes_share_the_budget),
	    cmocka_unit_test(budget_slides),
	    cmocka_unit_test(services_are_apart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
