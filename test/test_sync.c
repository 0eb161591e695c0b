#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet.h"

/* Guards against a steady fleet reading more than its watchers must. */
static void
steady_reads_are_two_watches_a_zone(void **state)
{
	struct fleet *f = fleet_create(1);

	fleet_run(f, 20 * JH_USEC_PER_SEC, 0);
	f->reads = 0;
	fleet_run(f, 60 * JH_USEC_PER_SEC, 0);
	/* One watch of 3 s after the other, and one begun on each side. */
	assert_true(f->reads <= ZONES * 2 * (60 / 3 + 1));
	assert_true(f->reads >= ZONES * 2 * (60 / 4));
	fleet_destroy(f);
}

/* Guards against an edit that comes late, is lost or is undone. */
static void
edits_are_in_force_within_the_bound(void **state)
{
	struct fleet *f;
	uint32_t seed;
	unsigned int round;

	for (seed = 1; seed <= 5; seed++) {
		f = fleet_create(seed);
		for (round = 0; round < 6; round++) {
			fleet_run(f, 20 * JH_USEC_PER_SEC, 2);
			fleet_crash_some(f, 4);
			fleet_run(f, 15 * JH_USEC_PER_SEC, 2);
			fleet_set_network(f, round % 2 == 0, 0.3);
			fleet_boot_all(f);
			fleet_run(f, 25 * JH_USEC_PER_SEC, 2);
			fleet_set_network(f, true, 0);
			fleet_boot_all(f);
		}
		assert_true(f->checks > 0);
		fleet_destroy(f);
	}
}

/* Guards against dead watchers being asked for as long as they are listed. */
static void
dead_watchers_are_passed_over(void **state)
{
	struct fleet *f = fleet_create(2);
	unsigned int i, left = FLEET;

	fleet_run(f, 20 * JH_USEC_PER_SEC, 0);
	f->list_frozen = true;
	for (i = 0; i < FLEET; i++) {
		if (jh_sync_is_watcher(f->d[i].sync, f->now)) {
			fleet_crash(f, &f->d[i]);
			left--;
		}
	}
	assert_int_equal(left, FLEET - 2 * ZONES);
	f->checks = 0;
	fleet_run(f, 30 * JH_USEC_PER_SEC, 2);
	assert_true(f->checks > 0);
	fleet_destroy(f);
}

/* Guards against copies that stay empty when all watchers are replaced. */
static void
copies_spread_from_peers_while_the_store_is_down(void **state)
{
	struct fleet *f = fleet_create(3);
	unsigned int i;

	fleet_run(f, 20 * JH_USEC_PER_SEC, 1);
	/* What only crashed daemons knew could not spread. */
	fleet_run(f, IN_FORCE, 0);
	fleet_set_network(f, false, 0);
	for (i = 0; i < FLEET; i++) {
		if (i % PER_ZONE != 0)
			fleet_crash(f, &f->d[i]);
	}
	fleet_boot_all(f);
	fleet_run(f, 30 * JH_USEC_PER_SEC, 0);
	for (i = 0; i < FLEET; i++)
		assert_int_equal(
		    jh_catalog_revision(f->d[i].copy), f->revision);
	fleet_destroy(f);
}

/* Guards against a watch that expired never being made good by a list. */
static void
expired_watches_list_again(void **state)
{
	struct fleet *f = fleet_create(4);

	fleet_run(f, 20 * JH_USEC_PER_SEC, 1);
	fleet_set_network(f, false, 0);
	fleet_run(f, 20 * JH_USEC_PER_SEC, 0);
	f->history = 3;
	f->store_up = true;
	while (f->revision < 100)
		fleet_edit(f);
	fleet_set_network(f, true, 0);
	fleet_run(f, 20 * JH_USEC_PER_SEC, 0);
	assert_true(f->checks > 0);
	fleet_destroy(f);
}

/* A daemon that started at 100 s and has a copy that was confirmed before. */
static struct jh_sync *
started_from_old_copy(GRand *rand, uint64_t start)
{
	static const struct jh_sync_peer peers[] = {
	    {"entry-a", "z1"}, {"entry-b", "z1"}, {"entry-c", "z1"}};
	struct jh_sync_spec spec = {
	    .instance = "entry-d", .zone = "z1", .role = JH_SYNC_ENTRY};
	struct jh_sync_action a;
	struct jh_sync *s;

	spec.rand = rand;
	s = jh_sync_create(&spec, start);
	jh_sync_set_peers(s, peers, G_N_ELEMENTS(peers));
	assert_false(jh_sync_is_watcher(s, start));
	while (jh_sync_next(s, start, 0, &a)) {
		if (a.kind == JH_SYNC_PULL)
			jh_sync_on_pull(s, start, true, 2 * JH_USEC_PER_SEC);
		else
			jh_sync_on_store(s, start, JH_SYNC_FAILED);
		if (jh_sync_confirmed(s) != 0)
			return s;
	}
	fail();
	return NULL;
}

/* Runs the daemon until it asks the store; returns the time, 0 if it does not.
 */
static uint64_t
next_store_call(struct jh_sync *s, uint64_t now, uint64_t end)
{
	struct jh_sync_action a;

	for (; now < end; now += JH_USEC_PER_MSEC) {
		while (jh_sync_next(s, now, 1, &a)) {
			if (a.kind != JH_SYNC_PULL)
				return now;
			jh_sync_on_pull(s, now, true, 3 * JH_USEC_PER_SEC);
		}
	}
	return 0;
}

/*
 * Guards against a restarted entry daemon that answers by a peer's older copy,
 * and so undoes an edit that it served before.
 */
static void
a_start_checks_the_copy_of_a_peer(void **state)
{
	static const enum jh_sync_result results[] = {
	    JH_SYNC_OK, JH_SYNC_IDLE, JH_SYNC_FAILED};
	const uint64_t start = 100 * JH_USEC_PER_SEC;
	GRand *rand = g_rand_new_with_seed(7);
	struct jh_sync *s;
	uint64_t asked;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(results); i++) {
		s = started_from_old_copy(rand, start);
		assert_false(jh_sync_is_current(s, start));
		asked = next_store_call(s, start, start + JH_USEC_PER_SEC);
		assert_true(asked != 0);
		assert_false(jh_sync_is_current(s, asked));
		jh_sync_on_store(s, asked + JH_USEC_PER_MSEC, results[i]);
		assert_true(jh_sync_is_current(s, asked + JH_USEC_PER_MSEC));
		jh_sync_destroy(s);
	}
	g_rand_free(rand);
}

/* Guards against a start that waits for as long as the store is silent. */
static void
a_start_waits_for_a_silent_store_for_a_bound(void **state)
{
	const uint64_t start = 100 * JH_USEC_PER_SEC;
	GRand *rand = g_rand_new_with_seed(7);
	struct jh_sync *s = started_from_old_copy(rand, start);

	assert_true(next_store_call(s, start, start + JH_USEC_PER_SEC) != 0);
	assert_false(jh_sync_is_current(s, start + JH_USEC_PER_SEC));
	assert_true(jh_sync_is_current(s, start + 5 * JH_USEC_PER_SEC));
	jh_sync_destroy(s);
	g_rand_free(rand);
}

/* Guards against daemons that hear no peer asking the store all the time. */
static void
silent_peers_bound_the_reads(void **state)
{
	struct fleet *f = fleet_create(5);

	fleet_run(f, 20 * JH_USEC_PER_SEC, 1);
	fleet_set_network(f, true, 1);
	fleet_run(f, 30 * JH_USEC_PER_SEC, 0);
	f->reads = 0;
	fleet_run(f, 60 * JH_USEC_PER_SEC, 0);
	/* All entry daemons watch in turns of 3 s; agents poll each 30 s. */
	assert_true(f->reads <=
		    ZONES * (ENTRIES * (60 / 3 + 1) + AGENTS * (60 / 30 + 1)));
	fleet_destroy(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(steady_reads_are_two_watches_a_zone),
	    cmocka_unit_test(edits_are_in_force_within_the_bound),
	    cmocka_unit_test(dead_watchers_are_passed_over),
	    cmocka_unit_test(copies_spread_from_peers_while_the_store_is_down),
	    cmocka_unit_test(expired_watches_list_again),
	    cmocka_unit_test(a_start_checks_the_copy_of_a_peer),
	    cmocka_unit_test(a_start_waits_for_a_silent_store_for_a_bound),
	    cmocka_unit_test(silent_peers_bound_the_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
