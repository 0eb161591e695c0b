#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "net/memory_budget.h"

#define LIMIT ((size_t)1024 * 1024)
#define SECOND 1000000

struct held {
	struct jh_memory_account *account;
	size_t counted;
};

static struct jh_memory_budget *budget;
static unsigned int reports;

static const char *
evict(void *arg)
{
	struct held *h = arg;

	jh_memory_account_retire(h->account);
	return "test";
}

static void
observe(void *arg, const struct jh_memory_eviction *eviction)
{
	reports++;
}

static int
set_up(void **state)
{
	budget = jh_memory_budget_create(LIMIT, observe, NULL);
	reports = 0;
	return 0;
}

static int
tear_down(void **state)
{
	assert_int_equal(jh_memory_budget_held(budget), 0);
	jh_memory_budget_destroy(budget);
	return 0;
}

static void
hold(struct held *h, size_t bytes, uint64_t progress_at)
{
	h->counted = 0;
	h->account = jh_memory_account_create(budget, progress_at, evict, h);
	jh_memory_account_update(h->account, &h->counted, bytes);
}

/* Guards against the eviction of a small or busy one before a large idle one.
 */
static void
largest_for_longest_goes_first(void **state)
{
	struct held large, old, busy;

	hold(&large, LIMIT / 2, SECOND);
	hold(&old, LIMIT / 4, 0);
	hold(&busy, LIMIT / 4, 2 * SECOND);
	assert_false(
	    jh_memory_budget_enforce(budget, 2 * SECOND, large.account));
	assert_true(jh_memory_budget_enforce(budget, 2 * SECOND, NULL));
	assert_int_equal(jh_memory_budget_held(budget), LIMIT / 2);
	jh_memory_account_update(busy.account, &busy.counted, LIMIT);
	assert_true(jh_memory_budget_enforce(
			budget, 3 * SECOND, busy.account) == false);
	assert_int_equal(jh_memory_account_held(old.account), LIMIT / 4);
	assert_int_equal(reports, 2);
	jh_memory_account_destroy(large.account);
	jh_memory_account_destroy(old.account);
	jh_memory_account_destroy(busy.account);
}

/* Guards against hostile accounts that use the part of ordinary ones. */
static void
reserve_is_for_small_accounts(void **state)
{
	size_t n = LIMIT / JH_MEMORY_RESERVE_PART / JH_MEMORY_ORDINARY_BYTES;
	struct held large, *small = g_new0(struct held, n + 1);
	size_t i;

	hold(&large, LIMIT - LIMIT / JH_MEMORY_RESERVE_PART, 0);
	assert_true(jh_memory_budget_enforce(budget, 0, NULL));
	assert_int_equal(reports, 0);
	for (i = 0; i < n + 1; i++) {
		hold(&small[i], JH_MEMORY_ORDINARY_BYTES, 0);
		assert_true(
		    jh_memory_budget_enforce(budget, 0, small[i].account));
	}
	/* The large one alone was evicted, at the first small one. */
	assert_int_equal(reports, 1);
	jh_memory_account_destroy(large.account);
	for (i = 0; i < n + 1; i++)
		jh_memory_account_destroy(small[i].account);
	g_free(small);
}

/* Guards against bytes that count on after their account has ended. */
static void
retired_account_counts_nothing(void **state)
{
	struct held h;

	hold(&h, LIMIT, 0);
	jh_memory_account_retire(h.account);
	assert_int_equal(jh_memory_budget_held(budget), 0);
	jh_memory_account_update(h.account, &h.counted, 0);
	assert_int_equal(jh_memory_budget_held(budget), 0);
	jh_memory_account_destroy(h.account);
	assert_true(
	    jh_memory_budget_share((size_t)88 << 20) > (size_t)40 << 20);
}

#define BUDGET_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    BUDGET_TEST(largest_for_longest_goes_first),
	    BUDGET_TEST(reserve_is_for_small_accounts),
	    BUDGET_TEST(retired_account_counts_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
