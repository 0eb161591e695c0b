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
filled(void)
{
	struct jh_cacheview *v = jh_cacheview_create(8, TOKENS);

	jh_cacheview_set_incarnation(v, 1);
	assert_int_equal(
	    apply(v, 1, 7, JH_CACHE_STORED, chain, 4), JH_CACHEVIEW_APPLIED);
	assert_int_equal(jh_cacheview_cached(v, chain, 4), 4 * TOKENS);
	return v;
}

/* Guards against counting blocks behind one that is missing. */
static void
only_leading_blocks_count(void **state)
{
	struct jh_cacheview *v = filled();

	apply(v, 1, 8, JH_CACHE_REMOVED, &chain[1], 1);
	assert_int_equal(jh_cacheview_cached(v, chain, 4), TOKENS);
	assert_int_equal(jh_cacheview_cached(v, chain + 1, 3), 0);
	jh_cacheview_destroy(v);
}

/* Guards against a gap in events that leaves wrong knowledge. */
static void
gap_empties(void **state)
{
	struct jh_cacheview *v = filled();

	assert_int_equal(
	    apply(v, 1, 9, JH_CACHE_STORED, chain, 1), JH_CACHEVIEW_GAP);
	assert_int_equal(jh_cacheview_cached(v, chain, 4), TOKENS);
	jh_cacheview_destroy(v);
}

/* Guards against repeated or reordered events that bring back blocks. */
static void
repeats_are_ignored(void **state)
{
	struct jh_cacheview *v = filled();

	apply(v, 1, 8, JH_CACHE_REMOVED, chain, 4);
	assert_int_equal(
	    apply(v, 1, 7, JH_CACHE_STORED, chain, 4), JH_CACHEVIEW_REPEATED);
	assert_int_equal(
	    apply(v, 1, 8, JH_CACHE_STORED, chain, 4), JH_CACHEVIEW_REPEATED);
	assert_int_equal(jh_cacheview_len(v), 0);
	jh_cacheview_destroy(v);
}

/* Guards against knowledge of a dead engine, or late events from it. */
static void
new_incarnation_empties(void **state)
{
	struct jh_cacheview *v = filled();

	jh_cacheview_set_incarnation(v, 1);
	assert_int_equal(jh_cacheview_len(v), 4);
	jh_cacheview_set_incarnation(v, 2);
	assert_int_equal(jh_cacheview_cached(v, chain, 4), 0);
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
	struct jh_cacheview *v = filled();
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

/* Guards against claims that differ from a cache whose events get lost. */
static void
never_claims_what_is_gone(void **state)
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
			if (jh_cacheview_cached(v, &block, 1) > 0)
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
	    cmocka_unit_test(gap_empties),
	    cmocka_unit_test(repeats_are_ignored),
	    cmocka_unit_test(new_incarnation_empties),
	    cmocka_unit_test(view_is_bounded),
	    cmocka_unit_test(never_claims_what_is_gone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
