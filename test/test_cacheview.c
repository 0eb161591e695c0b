#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include <jacinthhill/cacheview.h>

#define TOKENS 2000

static const uint64_t chain[4] = {11, 22, 33, 44};

static enum jh_cacheview_result
apply(struct jh_cacheview *v, uint64_t incarnation, uint64_t seq,
    enum jh_cache_change change, const uint64_t *blocks, size_t n)
{
	const struct jh_cache_event e = {incarnation, seq, change, blocks, n};

	return jh_cacheview_apply(v, &e);
}

static struct jh_cacheview *
filled_view(void)
{
	struct jh_cacheview *v = jh_cacheview_create(8, TOKENS);

	jh_cacheview_set_incarnation(v, 1);
	assert_int_equal(
	    apply(v, 1, 7, JH_CACHE_STORED, chain, 4), JH_CACHEVIEW_APPLIED);
	assert_int_equal(jh_cacheview_cached_tokens(v, chain, 4), 4 * TOKENS);
	return v;
}

/* Guards against counting blocks that follow a missing one. */
static void
only_leading_blocks_count(void **state)
{
	struct jh_cacheview *v = filled_view();

	apply(v, 1, 8, JH_CACHE_REMOVED, &chain[1], 1);
	assert_int_equal(jh_cacheview_cached_tokens(v, chain, 4), TOKENS);
	assert_int_equal(jh_cacheview_cached_tokens(v, chain + 1, 3), 0);
	jh_cacheview_destroy(v);
}

/* Guards against keeping removed blocks after events were lost. */
static void
gap_empties_the_view(void **state)
{
	struct jh_cacheview *v = filled_view();

	assert_int_equal(
	    apply(v, 1, 9, JH_CACHE_STORED, chain, 1), JH_CACHEVIEW_GAP);
	assert_int_equal(jh_cacheview_cached_tokens(v, chain, 4), TOKENS);
	jh_cacheview_destroy(v);
}

/* Guards against duplicate or reordered events that restore removed blocks. */
static void
duplicates_are_ignored(void **state)
{
	struct jh_cacheview *v = filled_view();

	apply(v, 1, 8, JH_CACHE_REMOVED, chain, 4);
	assert_int_equal(
	    apply(v, 1, 7, JH_CACHE_STORED, chain, 4), JH_CACHEVIEW_REPEATED);
	assert_int_equal(
	    apply(v, 1, 8, JH_CACHE_STORED, chain, 4), JH_CACHEVIEW_REPEATED);
	assert_int_equal(jh_cacheview_len(v), 0);
	jh_cacheview_destroy(v);
}

/* Guards against blocks of, or late events from, an earlier engine process. */
static void
new_incarnation_empties_the_view(void **state)
{
	struct jh_cacheview *v = filled_view();

	jh_cacheview_set_incarnation(v, 1);
	assert_int_equal(jh_cacheview_len(v), 4);
	jh_cacheview_set_incarnation(v, 2);
	assert_int_equal(jh_cacheview_cached_tokens(v, chain, 4), 0);
	assert_int_equal(
	    apply(v, 1, 8, JH_CACHE_STORED, chain, 4), JH_CACHEVIEW_FOREIGN);
	assert_int_equal(
	    apply(v, 2, 1, JH_CACHE_STORED, chain, 1), JH_CACHEVIEW_APPLIED);
	assert_int_equal(jh_cacheview_len(v), 1);
	jh_cacheview_destroy(v);
}

/* Guards against a view that grows without bound, or counts a block twice. */
static void
view_is_bounded(void **state)
{
	struct jh_cacheview *v = filled_view();
	uint64_t block, seq = 8;

	apply(v, 1, seq++, JH_CACHE_STORED, chain, 4);
	assert_int_equal(jh_cacheview_len(v), 4);
	for (block = 100; block < 200; block++)
		apply(v, 1, seq++, JH_CACHE_STORED, &block, 1);
	assert_int_equal(jh_cacheview_len(v), 8);
	apply(v, 1, seq, JH_CACHE_CLEARED, NULL, 0);
	assert_int_equal(jh_cacheview_len(v), 0);
	jh_cacheview_destroy(v);
}

/*
 * Guards against reporting blocks as cached that are not, when events are lost.
 */
static void
removed_blocks_are_never_reported(void **state)
{
	struct jh_cacheview *v = jh_cacheview_create(16, TOKENS);
	GRand *rand = g_rand_new_with_seed(5);
	bool cached[32] = {false}, lost = false;
	uint64_t seq, block;
	int i;

	jh_cacheview_set_incarnation(v, 1);
	for (seq = 1; seq < 20000; seq++) {
		block = g_rand_int_range(rand, 0, 32);
		cached[block] = !cached[block];
		lost = g_rand_int_range(rand, 0, 10) == 0;
		if (!lost)
			apply(v, 1, seq,
			    cached[block] ? JH_CACHE_STORED : JH_CACHE_REMOVED,
			    &block, 1);
		for (i = 0; i < 32 && !lost; i++) {
			block = i;
			if (jh_cacheview_cached_tokens(v, &block, 1) > 0)
				assert_true(cached[i]);
		}
	}
	g_rand_free(rand);
	jh_cacheview_destroy(v);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_leading_blocks_count),
	    cmocka_unit_test(gap_empties_the_view),
	    cmocka_unit_test(duplicates_are_ignored),
	    cmocka_unit_test(new_incarnation_empties_the_view),
	    cmocka_unit_test(view_is_bounded),
	    cmocka_unit_test(removed_blocks_are_never_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
