#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "route/attempt.h"
#include "route/retry_budget.h"

#define SEC JH_USEC_PER_SEC

/* Guards against a second run of a request that may run only once. */
static void
broken_non_idempotent_request_is_not_retried(void **state)
{
	struct jh_attempts a;

	jh_attempts_init(&a, false, 3, 5 * SEC);
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_BROKEN), JH_NEXT_FAIL);
	/* The client is not told either that it has not run. */
	assert_int_equal(jh_attempts_give_up(&a), JH_NEXT_FAIL);
}

/* Guards against refusing a request that another worker could take. */
static void
declined_request_is_retried_then_refused(void **state)
{
	struct jh_attempts a;
	int i;

	jh_attempts_init(&a, false, 1, 5 * SEC);
	for (i = 0; i < JH_ATTEMPTS_MAX_NOT_RUN; i++) {
		jh_attempts_sent(&a);
		assert_int_equal(
		    jh_attempts_ended(&a, SEC, JH_ATTEMPT_DECLINED),
		    JH_NEXT_RETRY);
	}
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_NOT_SENT), JH_NEXT_REFUSE);
}

/*
 * Guards against telling the client that a request has not run after an attempt
 * with an unknown outcome.
 */
static void
unknown_outcome_is_not_reported_as_not_run(void **state)
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
number_of_runs_is_limited(void **state)
{
	struct jh_attempts a;

	jh_attempts_init(&a, true, 2, 5 * SEC);
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_FAILED), JH_NEXT_RETRY);
	jh_attempts_sent(&a);
	/* The worker's own error is relayed. */
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_FAILED), JH_NEXT_RELAY);
}

/* Guards against an attempt that cannot finish before the deadline. */
static void
no_retry_close_to_deadline(void **state)
{
	struct jh_attempts a;

	jh_attempts_init(&a, true, 2, SEC);
	jh_attempts_sent(&a);
	assert_int_equal(jh_attempts_ended(&a, SEC - JH_ATTEMPT_MIN_USEC / 2,
			     JH_ATTEMPT_BROKEN),
	    JH_NEXT_FAIL);
}

/* Guards against retries of all processes that exceed the shared budget. */
static void
processes_share_the_retry_budget(void **state)
{
	const struct jh_retry_budget_spec spec = {0.2, 58, 10 * SEC};
	const unsigned int n = 6;
	unsigned int taken = 0, i, k;

	for (i = 0; i < n; i++) {
		struct jh_retry_budget *b = jh_retry_budget_create(&spec);
		for (k = 0; k < 100; k++)
			jh_retry_budget_add_request(b, SEC, "s");
		while (jh_retry_budget_take(b, SEC, "s", n))
			taken++;
		jh_retry_budget_destroy(b);
	}
	assert_true(taken <= 0.2 * 100 * n + 58);
	assert_true(taken >= 58);
}

/* Guards against a full budget at each side of the border of two windows. */
static void
budget_window_slides(void **state)
{
	const struct jh_retry_budget_spec spec = {0.2, 60, 10 * SEC};
	struct jh_retry_budget *b = jh_retry_budget_create(&spec);
	unsigned int first = 0, second = 0;

	while (jh_retry_budget_take(b, 9 * SEC + SEC / 2, "s", 1))
		first++;
	while (jh_retry_budget_take(b, 10 * SEC + SEC / 2, "s", 1))
		second++;
	assert_true(first > 0);
	assert_int_equal(second, 0);
	while (jh_retry_budget_take(b, 25 * SEC, "s", 1))
		second++;
	assert_int_equal(second, first);
	jh_retry_budget_destroy(b);
}

/* Guards against one service using up another's budget. */
static void
services_have_separate_budgets(void **state)
{
	const struct jh_retry_budget_spec spec = {0.2, 20, 10 * SEC};
	struct jh_retry_budget *b = jh_retry_budget_create(&spec);

	while (jh_retry_budget_take(b, SEC, "a", 1))
		;
	assert_true(jh_retry_budget_take(b, SEC, "b", 1));
	jh_retry_budget_destroy(b);
}

/*
 * Guards against aborting requests at a worker that is slow because the load is
 * at its worst: their work is then done again elsewhere. Replays a burst in
 * which a first event takes up to 4 s at workers that respond to others.
 */
static void
slow_worker_is_not_silent(void **state)
{
	struct jh_silence s = {.quiet_since = 100 * SEC, .may_retry = true};

	for (s.checks = 1; s.checks < JH_SILENCE_MAX_CHECKS; s.checks++) {
		s.worker_responded_at = s.quiet_since + 1;
		assert_false(jh_silence_aborts(&s));
		/* A worker that responds to nobody. */
		s.worker_responded_at = s.quiet_since;
		assert_true(jh_silence_aborts(&s));
	}
	/* A response that was lost is not awaited until the deadline. */
	s.worker_responded_at = s.quiet_since + 1;
	assert_true(jh_silence_aborts(&s));
}

/* Guards against aborting an attempt that cannot be repeated. */
static void
silence_without_retry_is_borne(void **state)
{
	struct jh_silence s = {
	    .quiet_since = 100 * SEC, .checks = JH_SILENCE_MAX_CHECKS};

	assert_false(jh_silence_aborts(&s));
}

/* Guards against a refusal after a few of many crashed workers were tried. */
static void
unsent_attempts_are_repeated(void **state)
{
	struct jh_attempts a;
	int i;

	jh_attempts_init(&a, false, 1, 100 * SEC);
	for (i = 0; i < JH_ATTEMPTS_MAX_NOT_SENT; i++) {
		jh_attempts_sent(&a);
		assert_int_equal(
		    jh_attempts_ended(&a, SEC, JH_ATTEMPT_NOT_SENT),
		    JH_NEXT_RETRY);
	}
	jh_attempts_sent(&a);
	assert_int_equal(
	    jh_attempts_ended(&a, SEC, JH_ATTEMPT_NOT_SENT), JH_NEXT_REFUSE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(broken_non_idempotent_request_is_not_retried),
	    cmocka_unit_test(declined_request_is_retried_then_refused),
	    cmocka_unit_test(unknown_outcome_is_not_reported_as_not_run),
	    cmocka_unit_test(slow_worker_is_not_silent),
	    cmocka_unit_test(silence_without_retry_is_borne),
	    cmocka_unit_test(unsent_attempts_are_repeated),
	    cmocka_unit_test(number_of_runs_is_limited),
	    cmocka_unit_test(no_retry_close_to_deadline),
	    cmocka_unit_test(processes_share_the_retry_budget),
	    cmocka_unit_test(budget_window_slides),
	    cmocka_unit_test(services_have_separate_budgets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
