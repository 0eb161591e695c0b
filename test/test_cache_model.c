#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "route/cache_model.h"

#define WORKER 5

/* Guards against an order of eviction other than that of the last use. */
static void
depth_follows_last_use(void **state)
{
	struct jh_cache_model *m = jh_cache_model_create();

	assert_int_equal(jh_cache_model_depth(m, WORKER, 1), UINT64_MAX);
	jh_cache_model_used(m, WORKER, 1, 100);
	jh_cache_model_used(m, WORKER, 2, 200);
	jh_cache_model_used(m, WORKER + 1, 3, 400);
	assert_int_equal(jh_cache_model_depth(m, WORKER, 1), 300);
	assert_int_equal(jh_cache_model_depth(m, WORKER, 2), 200);
	assert_int_equal(jh_cache_model_depth(m, WORKER, 3), UINT64_MAX);
	/* Used again, by the word of another process. */
	jh_cache_model_used(m, WORKER, 1, 0);
	assert_int_equal(jh_cache_model_depth(m, WORKER, 1), 100);
	assert_int_equal(jh_cache_model_depth(m, WORKER, 2), 300);
	jh_cache_model_destroy(m);
}

/* Guards against memory that grows with the prefixes and the workers. */
static void
old_entries_are_forgotten(void **state)
{
	struct jh_cache_model *m = jh_cache_model_create();
	uint64_t i;

	for (i = 0; i < JH_CACHE_MODEL_PREFIXES + 2; i++)
		jh_cache_model_used(m, WORKER, 10 + i, 1);
	assert_int_equal(jh_cache_model_depth(m, WORKER, 11), UINT64_MAX);
	assert_int_equal(
	    jh_cache_model_depth(m, WORKER, 12), JH_CACHE_MODEL_PREFIXES);
	for (i = 0; i < JH_CACHE_MODEL_WORKERS; i++)
		jh_cache_model_used(m, 1000 + i, 1, 1);
	assert_int_equal(jh_cache_model_depth(m, WORKER, 12), UINT64_MAX);
	assert_int_equal(
	    jh_cache_model_depth(m, 999 + JH_CACHE_MODEL_WORKERS, 1), 1);
	jh_cache_model_destroy(m);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(depth_follows_last_use),
	    cmocka_unit_test(old_entries_are_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
