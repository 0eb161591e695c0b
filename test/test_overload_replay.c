#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "overload_replay.h"
#include "route/peers.h"

#define ENGINES 44

static double
share(unsigned int n, const struct replay_rank *r)
{
	return (double)n / r->sent;
}

static void
check_fairness(const struct replay_result *r)
{
	unsigned int i, served[2];

	for (i = 0; i < 2; i++) {
		const struct replay_rank *k = &r->rank[i];
		served[i] = k->on_time + k->late;
		/* The largest tenth at least half as often as the kind. */
		assert_true(
		    k->big_served * 2.0 / k->big >= share(served[i], k));
		/* Each kind at least a quarter as often as all. */
		assert_true(share(served[i], k) >= 0.25);
	}
	assert_true(share(served[0], &r->rank[0]) + 0.05 >=
		    share(served[1], &r->rank[1]));
}

/* Replays the load with and without overload control. */
static void
compare(enum replay_load load, double urgent_on_time)
{
	struct replay_result before, after;

	replay_run(load, false, ENGINES, &before);
	replay_run(load, true, ENGINES, &after);
	print_message("value %.0f before, %.0f after; urgent on time %.3f "
		      "before, %.3f after; others served %.3f; declined %u "
		      "before, %u of %u after; no connection %u, %u\n",
	    before.value, after.value,
	    share(before.rank[0].on_time, &before.rank[0]),
	    share(after.rank[0].on_time, &after.rank[0]),
	    1 - share(after.rank[1].refused, &after.rank[1]), before.declined,
	    after.declined, after.arrivals, before.no_connection,
	    after.no_connection);
	assert_true(after.value > before.value);
	assert_true(share(before.rank[0].on_time, &before.rank[0]) <
		    share(after.rank[0].on_time, &after.rank[0]));
	assert_true(
	    share(after.rank[0].on_time, &after.rank[0]) >= urgent_on_time);
	assert_true(after.declined * 100 < after.arrivals);
	assert_true(after.no_connection <= before.no_connection / 2);
	check_fairness(&after);
}

/*
 * Guards against urgent requests that wait behind less urgent ones while
 * engines crash, one kind doubles and one organisation quadruples.
 */
static void
heaviest_day(void **state)
{
	compare(REPLAY_DAY, 0.85);
}

/* Guards against the same while the less urgent kind triples. */
static void
burst(void **state)
{
	compare(REPLAY_BURST, 0.98);
}

/* Guards against one engine that gets all requests of a prefix. */
static void
hot_prefix(void **state)
{
	compare(REPLAY_HOT_PREFIX, 0.98);
}

/* Guards against retries that count on clients that wait. */
static void
retries_at_once(void **state)
{
	compare(REPLAY_RETRY_AT_ONCE, 0.98);
}

/* Guards against work of lost routers that is still counted. */
static void
half_of_the_routers_end(void **state)
{
	compare(REPLAY_LOST_ROUTERS, 0.98);
}

/*
 * Guards against a worker that all routers avoid because one of them cannot
 * reach it.
 */
static void
one_report_takes_no_worker_out(void **state)
{
	struct jh_worker w = {0};

	jh_worker_heard_unreachable(&w, 1000, 1, JH_PEERS_RESPONDED_USEC);
	jh_worker_heard_unreachable(&w, 2000, 1, JH_PEERS_RESPONDED_USEC);
	assert_int_equal(w.heard_unreachable_until, 0);
	w.responded_at = 2500;
	jh_worker_heard_unreachable(&w, 3000, 2, JH_PEERS_RESPONDED_USEC);
	assert_int_equal(w.heard_unreachable_until, 0);
	w.responded_at = 0;
	jh_worker_heard_unreachable(&w, 4000, 1, JH_PEERS_RESPONDED_USEC);
	assert_true(w.heard_unreachable_until > 4000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(heaviest_day),
	    cmocka_unit_test(burst), cmocka_unit_test(hot_prefix),
	    cmocka_unit_test(retries_at_once),
	    cmocka_unit_test(half_of_the_routers_end),
	    cmocka_unit_test(one_report_takes_no_worker_out)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
