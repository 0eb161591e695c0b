#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/retry.h>

static uint32_t
take_all(struct jh_retry *r, uint64_t now)
{
	uint32_t n = 0;

	while (jh_retry_take(r, now))
		n++;
	return n;
}

/* Guards against retries that multiply the load on failing workers. */
static void
retries_are_a_tenth_of_successes(void **state)
{
	struct jh_retry *r = jh_retry_create(5);
	int i;

	assert_int_equal(take_all(r, 5), JH_RETRY_RESERVE);
	for (i = 0; i < 399; i++)
		jh_retry_success(r, 5);
	assert_int_equal(take_all(r, 5), 39);
	jh_retry_success(r, 5);
	assert_int_equal(take_all(r, 5), 1);
	jh_retry_destroy(r);
}

/* Guards against a long time without failures that earns a burst of retries. */
static void
budget_is_bounded(void **state)
{
	struct jh_retry *r = jh_retry_create(0);
	int i;

	for (i = 0; i < 100000; i++)
		jh_retry_success(r, 0);
	assert_int_equal(jh_retry_left(r, JH_NEVER - 1), JH_RETRY_MAX);
	assert_int_equal(take_all(r, JH_NEVER - 1), JH_RETRY_MAX);
	jh_retry_destroy(r);
}

/*
 * Guards against a daemon with few requests that can never retry, and against
 * time alone earning more than the reserve.
 */
static void
reserve_refills_with_time(void **state)
{
	struct jh_retry *r = jh_retry_create(0);

	take_all(r, 0);
	assert_false(jh_retry_take(r, JH_USEC_PER_SEC - 1));
	assert_true(jh_retry_take(r, JH_USEC_PER_SEC));
	assert_int_equal(take_all(r, 3600 * JH_USEC_PER_SEC), JH_RETRY_RESERVE);
	jh_retry_destroy(r);
}

/* Guards against refilling twice when the time goes back. */
static void
earlier_times_refill_nothing(void **state)
{
	struct jh_retry *r = jh_retry_create(10 * JH_USEC_PER_SEC);

	take_all(r, 10 * JH_USEC_PER_SEC);
	assert_false(jh_retry_take(r, 0));
	assert_false(jh_retry_take(r, 10 * JH_USEC_PER_SEC));
	jh_retry_destroy(r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(retries_are_a_tenth_of_successes),
	    cmocka_unit_test(budget_is_bounded),
	    cmocka_unit_test(reserve_refills_with_time),
	    cmocka_unit_test(earlier_times_refill_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
