#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "route/audience.h"

#define MOST 400

/* Messages that each peer got. */
static unsigned int got[MOST];

static void
count(void *arg, void *peer)
{
	got[GPOINTER_TO_UINT(peer) - 1]++;
}

/* near and far peers; the first ones are near. */
static struct jh_audience *
audience(unsigned int near, unsigned int far)
{
	struct jh_audience *a = jh_audience_create();
	unsigned int i;

	for (i = 0; i < near + far; i++) {
		got[i] = 0;
		jh_audience_add(a, GUINT_TO_POINTER(i + 1), i < near);
	}
	return a;
}

/* Guards against peers of a small deployment that hear less than they could. */
static void
few_peers_hear_every_round(void **state)
{
	struct jh_audience *a = audience(10, 11);
	unsigned int i, round;

	assert_int_equal(jh_audience_period(a), 1);
	for (round = 0; round < 50; round++)
		jh_audience_round(a, count, NULL);
	for (i = 0; i < 21; i++)
		assert_int_equal(got[i], 50);
	jh_audience_destroy(a);
}

/* Guards against a near peer that is passed over within a period. */
static void
near_peers_take_turns(void **state)
{
	struct jh_audience *a = audience(167, 168);
	unsigned int i, round, period = jh_audience_period(a);

	assert_int_equal(
	    period, (167 + JH_AUDIENCE_NEAR - 1) / JH_AUDIENCE_NEAR);
	for (round = 0; round < period; round++)
		jh_audience_round(a, count, NULL);
	for (i = 0; i < 167; i++)
		assert_true(got[i] >= 1);
	jh_audience_destroy(a);
}

/*
 * Guards against traffic that grows with the square of the entries: 300 of them
 * once took the whole link between two regions with their messages.
 */
static void
traffic_between_regions_does_not_grow(void **state)
{
	static const unsigned int sizes[] = {22, 100, 337};
	unsigned int i, k, round, sum;
	struct jh_audience *a;

	for (k = 0; k < G_N_ELEMENTS(sizes); k++) {
		a = audience(sizes[k] / 2 - 1, sizes[k] / 2);
		for (round = 0; round < 100; round++)
			jh_audience_round(a, count, NULL);
		sum = 0;
		for (i = sizes[k] / 2 - 1; i < sizes[k] - 1; i++)
			sum += got[i];
		assert_true(sum * sizes[k] <= 100 * (JH_AUDIENCE_FAR_ALL + 1));
		assert_true(sum > 0);
		sum = 0;
		for (i = 0; i < sizes[k] / 2 - 1; i++)
			sum += got[i];
		assert_true(sum <= 100 * JH_AUDIENCE_NEAR);
		jh_audience_destroy(a);
	}
}

/* Guards against messages to a peer that has left. */
static void
removed_peers_hear_nothing(void **state)
{
	struct jh_audience *a = audience(30, 30);
	unsigned int round;

	jh_audience_round(a, count, NULL);
	jh_audience_remove(a, GUINT_TO_POINTER(1));
	jh_audience_remove(a, GUINT_TO_POINTER(60));
	got[0] = got[59] = 0;
	for (round = 0; round < 20; round++)
		jh_audience_round(a, count, NULL);
	assert_int_equal(got[0], 0);
	assert_int_equal(got[59], 0);
	jh_audience_destroy(a);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test(few_peers_hear_every_round),
    cmocka_unit_test(near_peers_take_turns),
    cmocka_unit_test(traffic_between_regions_does_not_grow),
    cmocka_unit_test(removed_peers_hear_nothing),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
