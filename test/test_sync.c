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
	    cmocka_unit_test(silent_peers_bound_the_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
