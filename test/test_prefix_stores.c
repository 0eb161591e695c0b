#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "gateway/gateway.h"
#include "route/prefix_stores.h"

#define MSEC JH_USEC_PER_MSEC
#define SEC JH_USEC_PER_SEC
#define START (100 * SEC)
#define TOKEN_BYTES 96256
#define PREFILL_USEC (92 * MSEC) /* of the second part */

/*
 * Two stores in the near region, one in the far one. The hashes differ in more
 * than JH_PREFIX_USE.
 */
static const struct jh_prefix_store specs[] = {
    {.hash = 1,
	.name = "a",
	.zone = "z0",
	.link_mbps = 270000,
	.room = 1853103},
    {.hash = 2,
	.name = "b",
	.zone = "z1",
	.link_mbps = 270000,
	.room = 1853103},
    {.hash = 4,
	.name = "c",
	.zone = "z2",
	.link_mbps = 270000,
	.room = 1853103},
};
static const uint32_t tokens[] = {2520, 3780};

struct fixture {
	GHashTable *regions;
	struct jh_prefix_stores *stores;
	uint64_t key[2];
	struct jh_prefix_need need;
};

static int
fixture_setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(f->regions, "z0", "near");
	g_hash_table_insert(f->regions, "z1", "near");
	g_hash_table_insert(f->regions, "z2", "far");
	f->stores = jh_prefix_stores_create(f->regions);
	jh_prefix_stores_configure(f->stores, specs, G_N_ELEMENTS(specs));
	f->need = (struct jh_prefix_need){.zone = "z0",
	    .key = f->key,
	    .tokens = tokens,
	    .n = 2,
	    .token_bytes = TOKEN_BYTES};
	*state = f;
	return 0;
}

static int
fixture_teardown(void **state)
{
	struct fixture *f = *state;

	jh_prefix_stores_destroy(f->stores);
	g_hash_table_destroy(f->regions);
	g_free(f);
	return 0;
}

static struct jh_prefix_plan
plan(struct fixture *f, uint64_t now, uint64_t subject)
{
	struct jh_prefix_plan p;

	f->key[0] = 1000 + subject % 4;
	f->key[1] = 2000 + subject;
	jh_prefix_stores_plan(f->stores, now, &f->need, &p);
	return p;
}

static struct jh_prefix_plan
use(struct fixture *f, uint64_t now, uint64_t subject)
{
	struct jh_prefix_plan p = plan(f, now, subject);

	jh_prefix_stores_sent(f->stores, now, &f->need, &p);
	return p;
}

/* Another process announces that the store has the subject's prefix. */
static void
hear(struct fixture *f, uint64_t now, uint64_t subject, uint64_t store)
{
	struct jh_placement at = {2000 + subject, store};

	assert_true(jh_prefix_stores_heard(f->stores, now, &at));
}

/* Guards against one store that carries all prefixes of a region. */
static void
prefixes_are_spread_over_the_region(void **state)
{
	struct fixture *f = *state;
	unsigned int saved[5] = {0};
	uint64_t i;

	for (i = 0; i < 300; i++) {
		struct jh_prefix_plan p = use(f, START + i * SEC / 10, i);
		assert_non_null(p.save);
		saved[p.save->hash]++;
	}
	assert_in_range(saved[1], 100, 200);
	assert_in_range(saved[2], 100, 200);
	assert_int_equal(saved[4], 0);
}

/* Guards against a prefix that is saved again instead of fetched. */
static void
saved_prefix_is_fetched(void **state)
{
	struct fixture *f = *state;
	struct jh_prefix_plan first = use(f, START, 5), p;

	assert_null(first.fetch);
	p = plan(f, START + 10 * SEC, 5);
	assert_ptr_equal(p.fetch, first.save);
	assert_true(p.is_sure);
	assert_int_equal(p.n_fetched, 2);
	assert_null(p.save);
	assert_null(plan(f, START + 60 * SEC, 5).fetch);
	/* The first part alone, which other subjects have as well. */
	p = plan(f, START + SEC, 9);
	assert_int_equal(p.n_fetched, 1);
	assert_non_null(p.save);
	/* What the worker has is not fetched. */
	f->need.cached = 1;
	assert_null(plan(f, START + SEC, 9).fetch);
}

/* Guards against the longer transfer, and a slow one from the other region. */
static void
nearest_store_is_the_source(void **state)
{
	struct fixture *f = *state;
	struct jh_prefix_plan p;

	hear(f, START, 7, 4);
	p = plan(f, START, 7);
	assert_int_equal(p.fetch->hash, 4);
	assert_in_range(p.fetch_usec, 175 * MSEC, 185 * MSEC);
	assert_int_not_equal(p.save->hash, 4);
	hear(f, START, 7, 2);
	assert_int_equal(plan(f, START, 7).fetch->hash, 2);
	hear(f, START, 7, 1);
	assert_int_equal(plan(f, START, 7).fetch->hash, 1);
	/* Tokens of this size take twelve times the prefill that they save. */
	f->need.token_bytes = 10 * TOKEN_BYTES;
	hear(f, START, 8, 4);
	assert_null(plan(f, START, 8).fetch);
}

/* Guards against transfers that wait for a link in full use. */
static void
busy_link_is_left_alone(void **state)
{
	struct fixture *f = *state;
	struct jh_prefix_plan p;
	unsigned int used[5] = {0};
	uint64_t i;

	for (i = 0; i < 200; i++) {
		hear(f, START, i, 1);
		hear(f, START, i, 2);
	}
	for (i = 0; i < 200; i++) {
		p = use(f, START + i * 5 * MSEC, i);
		used[p.fetch != NULL ? p.fetch->hash : 0]++;
	}
	/* 800 ms of a second, 18 ms each in the zone and 36 ms beyond it. */
	assert_in_range(used[1], 40, 48);
	assert_in_range(used[2], 20, 26);
	/* At one time, those of 100 ms. */
	memset(used, 0, sizeof(used));
	for (i = 0; i < 200; i++) {
		p = use(f, START + 5 * SEC, i);
		used[p.fetch != NULL ? p.fetch->hash : 0]++;
	}
	assert_in_range(used[1], 5, 7);
	assert_in_range(used[2], 2, 4);
}

/* Guards against trust in prefixes that later ones have pushed out. */
static void
full_store_is_not_trusted(void **state)
{
	struct fixture *f = *state;
	struct jh_prefix_store one = specs[0];
	struct jh_prefix_plan p;
	uint64_t i;

	one.room = 100000;
	jh_prefix_stores_configure(f->stores, &one, 1);
	use(f, START, 0);
	assert_true(plan(f, START + 3 * SEC, 0).is_sure);
	for (i = 1; i < 40; i++)
		use(f, START + i * 75 * MSEC, i);
	p = plan(f, START + 3 * SEC, 0);
	assert_non_null(p.fetch);
	assert_false(p.is_sure);
	assert_ptr_equal(p.save, p.fetch);
}

static enum jh_prefix_verdict
late(struct fixture *f, uint64_t now, uint64_t store, int64_t usec, int n)
{
	enum jh_prefix_verdict v = JH_PREFIX_NO_CHANGE;

	while (n-- > 0 && v == JH_PREFIX_NO_CHANGE)
		v = jh_prefix_stores_first_event(
		    f->stores, now, store, usec, PREFILL_USEC);
	return v;
}

/* Guards against fetches from a store that is dead, and one never tried again.
 */
static void
dead_store_is_avoided_for_a_time(void **state)
{
	struct fixture *f = *state;

	hear(f, START, 7, 1);
	assert_int_equal(
	    late(f, START, 1, 400 * MSEC, 10), JH_PREFIX_STORE_AVOIDED);
	assert_null(plan(f, START + SEC, 7).fetch);
	assert_int_equal(plan(f, START + SEC, 7).save->hash, 2);
	assert_false(plan(f, START + 2 * SEC, 7).is_sure);
	/* The second time is longer. */
	assert_int_equal(late(f, START + 3 * SEC, 1, 400 * MSEC, 10),
	    JH_PREFIX_STORE_AVOIDED);
	assert_null(plan(f, START + 6 * SEC, 7).fetch);
	assert_non_null(plan(f, START + 7 * SEC, 7).fetch);
}

/* Guards against overload that is taken for a fault of a store. */
static void
overload_is_no_fault_of_a_store(void **state)
{
	struct fixture *f = *state;
	int i;

	for (i = 0; i < 40; i++) {
		assert_int_equal(
		    late(f, START, 0, 500 * MSEC, 1), JH_PREFIX_NO_CHANGE);
		assert_int_equal(
		    late(f, START, 1, 500 * MSEC, i > 10), JH_PREFIX_NO_CHANGE);
	}
}

/* Guards against prefixes that are computed again and again, but not saved. */
static void
restarted_store_is_saved_to_again(void **state)
{
	struct fixture *f = *state;
	struct jh_prefix_plan p;

	hear(f, START, 7, 1);
	assert_true(plan(f, START + SEC, 7).is_sure);
	assert_int_equal(
	    late(f, START + SEC, 1, PREFILL_USEC, 10), JH_PREFIX_STORE_EMPTY);
	p = plan(f, START + SEC, 7);
	assert_false(p.is_sure);
	assert_non_null(p.save);
	jh_prefix_stores_sent(f->stores, START + SEC + MSEC, &f->need, &p);
	assert_true(plan(f, START + 2 * SEC, 7).is_sure);
}

/*
 * Guards against prefixes that count as stored because another process, which
 * has not noticed that the store lost them, still fetches them.
 */
static void
use_by_others_does_not_restore_trust(void **state)
{
	struct fixture *f = *state;
	struct jh_placement at = {2007, 1 ^ JH_PREFIX_USE};

	hear(f, START, 7, 1);
	assert_int_equal(
	    late(f, START + SEC, 1, PREFILL_USEC, 10), JH_PREFIX_STORE_EMPTY);
	assert_true(jh_prefix_stores_heard(f->stores, START + SEC, &at));
	assert_false(plan(f, START + 2 * SEC, 7).is_sure);
	hear(f, START + 2 * SEC, 7, 1);
	assert_true(plan(f, START + 2 * SEC, 7).is_sure);
}

/* Guards against state that a change of the configuration loses or keeps. */
static void
configuration_may_change(void **state)
{
	struct fixture *f = *state;
	struct jh_placement at = {2007, 1};

	hear(f, START, 7, 2);
	assert_int_equal(
	    late(f, START, 2, 400 * MSEC, 10), JH_PREFIX_STORE_AVOIDED);
	jh_prefix_stores_configure(f->stores, specs + 1, 2);
	assert_null(plan(f, START + SEC, 7).fetch);
	assert_null(plan(f, START + SEC, 7).save);
	assert_null(jh_prefix_stores_find(f->stores, 1));
	assert_false(jh_prefix_stores_heard(f->stores, START, &at));
}

/* Guards against new decisions without several stores and the setting. */
static void
several_stores_are_used_if_set(void **state)
{
	struct jh_choose_topology topology = {
	    "z0", ((struct fixture *)*state)->regions};
	struct jh_gateway gw = {.chooser = jh_chooser_create(&topology)};
	struct jh_prefix_stores *stores = jh_chooser_stores(gw.chooser);
	char name[8];
	int i, j;

	for (i = 1; i <= 3; i++) {
		gw.routes = jh_route_table_create(1);
		for (j = 0; j < i; j++) {
			g_snprintf(name, sizeof(name), "s%d", j);
			jh_route_table_add_service(gw.routes, name)
			    ->is_cache_store = true;
		}
		gw.all_prefix_stores = false;
		jh_gateway_update_prefix_stores(&gw);
		assert_int_equal(jh_prefix_stores_count(stores), 0);
		gw.all_prefix_stores = true;
		jh_gateway_update_prefix_stores(&gw);
		assert_int_equal(jh_prefix_stores_count(stores), i > 1 ? i : 0);
		jh_route_table_unref(gw.routes);
	}
	jh_chooser_destroy(gw.chooser);
}

#define TEST(f) \
	cmocka_unit_test_setup_teardown(f, fixture_setup, fixture_teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(prefixes_are_spread_over_the_region),
	    TEST(saved_prefix_is_fetched),
	    TEST(nearest_store_is_the_source),
	    TEST(busy_link_is_left_alone),
	    TEST(full_store_is_not_trusted),
	    TEST(dead_store_is_avoided_for_a_time),
	    TEST(overload_is_no_fault_of_a_store),
	    TEST(restarted_store_is_saved_to_again),
	    TEST(use_by_others_does_not_restore_trust),
	    TEST(configuration_may_change),
	    TEST(several_stores_are_used_if_set),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
