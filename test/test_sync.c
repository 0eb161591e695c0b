#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "sync_simulation.h"

/* Guards against more store reads than those of the watchers. */
static void
steady_reads_are_two_watches_a_zone(void **state)
{
	struct sync_simulation *f = sync_simulation_create(1);

	sync_simulation_run(f, 20 * JH_USEC_PER_SEC, 0);
	f->reads = 0;
	sync_simulation_run(f, 60 * JH_USEC_PER_SEC, 0);
	/* Watches of 3 s in sequence, and one that extends over an end. */
	assert_true(f->reads <= ZONES * 2 * (60 / 3 + 1));
	assert_true(f->reads >= ZONES * 2 * (60 / 4));
	sync_simulation_destroy(f);
}

/* Guards against an edit that is late, lost or undone. */
static void
edits_are_in_force_within_the_bound(void **state)
{
	struct sync_simulation *f;
	uint32_t seed;
	unsigned int round;

	for (seed = 1; seed <= 5; seed++) {
		f = sync_simulation_create(seed);
		for (round = 0; round < 6; round++) {
			sync_simulation_run(f, 20 * JH_USEC_PER_SEC, 2);
			sync_simulation_crash_some(f, 4);
			sync_simulation_run(f, 15 * JH_USEC_PER_SEC, 2);
			sync_simulation_set_network(f, round % 2 == 0, 0.3);
			sync_simulation_start_all(f);
			sync_simulation_run(f, 25 * JH_USEC_PER_SEC, 2);
			sync_simulation_set_network(f, true, 0);
			sync_simulation_start_all(f);
		}
		assert_true(f->checks > 0);
		sync_simulation_destroy(f);
	}
}

/* Guards against pulls from dead watchers for as long as they are listed. */
static void
dead_watchers_are_skipped(void **state)
{
	struct sync_simulation *f = sync_simulation_create(2);
	unsigned int i, left = N_DAEMONS;

	sync_simulation_run(f, 20 * JH_USEC_PER_SEC, 0);
	f->list_frozen = true;
	for (i = 0; i < N_DAEMONS; i++) {
		if (jh_sync_is_watcher(f->daemons[i].sync, f->now)) {
			sync_simulation_crash(f, &f->daemons[i]);
			left--;
		}
	}
	assert_int_equal(left, N_DAEMONS - 2 * ZONES);
	f->checks = 0;
	sync_simulation_run(f, 30 * JH_USEC_PER_SEC, 2);
	assert_true(f->checks > 0);
	sync_simulation_destroy(f);
}

/* Guards against copies that stay empty after all watchers are replaced. */
static void
copies_spread_from_peers_while_the_store_is_down(void **state)
{
	struct sync_simulation *f = sync_simulation_create(3);
	unsigned int i;

	sync_simulation_run(f, 20 * JH_USEC_PER_SEC, 1);
	/* Else edits that only crashed daemons have could not spread. */
	sync_simulation_run(f, IN_FORCE, 0);
	sync_simulation_set_network(f, false, 0);
	for (i = 0; i < N_DAEMONS; i++) {
		if (i % PER_ZONE != 0)
			sync_simulation_crash(f, &f->daemons[i]);
	}
	sync_simulation_start_all(f);
	sync_simulation_run(f, 30 * JH_USEC_PER_SEC, 0);
	for (i = 0; i < N_DAEMONS; i++)
		assert_int_equal(
		    jh_catalog_revision(f->daemons[i].copy), f->revision);
	sync_simulation_destroy(f);
}

/*
 * In an outage of the store the daemons miss many edits, of which a watch can't
 * bring them all; checks that they know them in time after it.
 */
static void
miss_edits(struct sync_simulation *f, uint64_t history, uint64_t max_changes)
{
	sync_simulation_run(f, 20 * JH_USEC_PER_SEC, 1);
	sync_simulation_set_network(f, false, 0);
	sync_simulation_run(f, 20 * JH_USEC_PER_SEC, 0);
	f->history = history;
	f->max_changes = max_changes;
	f->store_up = true;
	while (f->revision < 100)
		sync_simulation_edit(f);
	sync_simulation_set_network(f, true, 0);
	sync_simulation_run(f, 20 * JH_USEC_PER_SEC, 0);
	assert_true(f->checks > 0);
	sync_simulation_destroy(f);
}

/* Guards against an expired watch that is not followed by a list. */
static void
expired_watch_is_followed_by_list(void **state)
{
	miss_edits(sync_simulation_create(4), 3, 0);
}

/*
 * Guards against a watcher that repeats a watch whose response can't be used,
 * and stays without the edits of an outage.
 */
static void
unusable_watch_is_followed_by_list(void **state)
{
	struct sync_simulation *f = sync_simulation_create(5);

	miss_edits(f, f->history, 3);
}

/* Guards against a list that takes too long and is given no more time. */
static void
unusable_list_gets_more_time(void **state)
{
	GRand *rand = g_rand_new_with_seed(7);
	struct jh_sync_spec spec = {.instance = "entry-a",
	    .zone = "z1",
	    .role = JH_SYNC_ENTRY,
	    .rand = rand};
	struct jh_sync_peer self = {"entry-a", "z1"};
	struct jh_sync *s = jh_sync_create(&spec, 1);
	uint64_t now = 1, granted[3];
	struct jh_sync_action a;
	unsigned int n = 0;

	jh_sync_set_peers(s, &self, 1);
	for (; n < G_N_ELEMENTS(granted); now += JH_USEC_PER_MSEC) {
		if (!jh_sync_next(s, now, 0, &a))
			continue;
		assert_int_equal(a.kind, JH_SYNC_LIST);
		granted[n++] = a.deadline - now;
		now = a.deadline;
		jh_sync_on_store(s, now, JH_SYNC_UNUSABLE);
	}
	assert_true(granted[1] > granted[0] && granted[2] > granted[1]);
	jh_sync_destroy(s);
	g_rand_free(rand);
}

/* An entry daemon that starts at 100 s with a copy confirmed before that. */
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
		if (jh_sync_confirmed_at(s) != 0)
			return s;
	}
	fail();
	return NULL;
}

/* Runs the daemon until it calls the store; returns the time, 0 if never. */
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
 * Guards against a restarted entry daemon that serves by a peer's older copy,
 * and so undoes an edit that was in force before the restart.
 */
static void
starting_daemon_checks_copy_of_peer(void **state)
{
	static const enum jh_sync_result results[] = {
	    JH_SYNC_OK, JH_SYNC_UNCHANGED, JH_SYNC_FAILED};
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

/* Guards against a start that waits until a hanging store replies. */
static void
starting_daemon_waits_for_store_up_to_timeout(void **state)
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

/* Guards against constant store calls by daemons without a reply of a peer. */
static void
reads_are_bounded_without_peers(void **state)
{
	struct sync_simulation *f = sync_simulation_create(5);

	sync_simulation_run(f, 20 * JH_USEC_PER_SEC, 1);
	sync_simulation_set_network(f, true, 1);
	sync_simulation_run(f, 30 * JH_USEC_PER_SEC, 0);
	f->reads = 0;
	sync_simulation_run(f, 60 * JH_USEC_PER_SEC, 0);
	/* All entry daemons watch for 3 s each; agents poll every 30 s. */
	assert_true(f->reads <=
		    ZONES * (ENTRIES * (60 / 3 + 1) + AGENTS * (60 / 30 + 1)));
	sync_simulation_destroy(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(steady_reads_are_two_watches_a_zone),
	    cmocka_unit_test(edits_are_in_force_within_the_bound),
	    cmocka_unit_test(dead_watchers_are_skipped),
	    cmocka_unit_test(copies_spread_from_peers_while_the_store_is_down),
	    cmocka_unit_test(expired_watch_is_followed_by_list),
	    cmocka_unit_test(unusable_watch_is_followed_by_list),
	    cmocka_unit_test(unusable_list_gets_more_time),
	    cmocka_unit_test(starting_daemon_checks_copy_of_peer),
	    cmocka_unit_test(starting_daemon_waits_for_store_up_to_timeout),
	    cmocka_unit_test(reads_are_bounded_without_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
