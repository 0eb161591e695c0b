#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "route/fanout.h"

#define MAX_PEERS 400

/* Messages that each peer received. */
static unsigned int received[MAX_PEERS];

static void
count(void *arg, void *peer)
{
	received[GPOINTER_TO_UINT(peer) - 1]++;
}

/* Adds peers of the same region first, then those of other regions. */
static struct jh_fanout *
create_fanout(unsigned int n_same, unsigned int n_other)
{
	struct jh_fanout *a = jh_fanout_create();
	unsigned int i;

	for (i = 0; i < n_same + n_other; i++) {
		received[i] = 0;
		jh_fanout_add(a, GUINT_TO_POINTER(i + 1), i < n_same);
	}
	return a;
}

/* Guards against peers of a small deployment being left out of a round. */
static void
few_peers_get_every_round(void **state)
{
	struct jh_fanout *a = create_fanout(10, 11);
	unsigned int i, round;

	assert_int_equal(jh_fanout_period(a), 1);
	for (round = 0; round < 50; round++)
		jh_fanout_round(a, count, NULL);
	for (i = 0; i < 21; i++)
		assert_int_equal(received[i], 50);
	jh_fanout_destroy(a);
}

/* Guards against leaving out a peer of the same region for a whole period. */
static void
same_region_peers_take_turns(void **state)
{
	struct jh_fanout *a = create_fanout(167, 168);
	unsigned int i, round, period = jh_fanout_period(a);

	assert_int_equal(
	    period, (167 + JH_FANOUT_SAME_REGION - 1) / JH_FANOUT_SAME_REGION);
	for (round = 0; round < period; round++)
		jh_fanout_round(a, count, NULL);
	for (i = 0; i < 167; i++)
		assert_true(received[i] >= 1);
	jh_fanout_destroy(a);
}

/*
 * Guards against traffic between regions that grows with the square of the
 * number of processes: messages of 300 of them filled the whole link between
 * two regions.
 */
static void
traffic_between_regions_does_not_grow(void **state)
{
	static const unsigned int sizes[] = {22, 100, 337};
	unsigned int i, k, round, sum;
	struct jh_fanout *a;

	for (k = 0; k < G_N_ELEMENTS(sizes); k++) {
		a = create_fanout(sizes[k] / 2 - 1, sizes[k] / 2);
		for (round = 0; round < 100; round++)
			jh_fanout_round(a, count, NULL);
		sum = 0;
		for (i = sizes[k] / 2 - 1; i < sizes[k] - 1; i++)
			sum += received[i];
		assert_true(
		    sum * sizes[k] <= 100 * (JH_FANOUT_INTER_REGION_TOTAL + 1));
		assert_true(sum > 0);
		sum = 0;
		for (i = 0; i < sizes[k] / 2 - 1; i++)
			sum += received[i];
		assert_true(sum <= 100 * JH_FANOUT_SAME_REGION);
		jh_fanout_destroy(a);
	}
}

/* Guards against messages to a removed peer. */
static void
removed_peers_get_nothing(void **state)
{
	struct jh_fanout *a = create_fanout(30, 30);
	unsigned int round;

	jh_fanout_round(a, count, NULL);
	jh_fanout_remove(a, GUINT_TO_POINTER(1));
	jh_fanout_remove(a, GUINT_TO_POINTER(60));
	received[0] = received[59] = 0;
	for (round = 0; round < 20; round++)
		jh_fanout_round(a, count, NULL);
	assert_int_equal(received[0], 0);
	assert_int_equal(received[59], 0);
	jh_fanout_destroy(a);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test(few_peers_get_every_round),
    cmocka_unit_test(same_region_peers_take_turns),
    cmocka_unit_test(traffic_between_regions_does_not_grow),
    cmocka_unit_test(removed_peers_get_nothing),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
