#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "queue_calls.h"

#define MSEC JH_USEC_PER_MSEC

/* Guards against drafting that is served before a waiting urgent item. */
static void
urgent_goes_first(void **state)
{
	struct jh_queue *q = queue_with(1, 100);

	offer(q, 1, item(1, "a", JH_RANK_BACKGROUND, JH_NEVER));
	offer(q, 1, item(2, "a", JH_RANK_URGENT, JH_NEVER));
	assert_int_equal(next(q, 1), 2);
	assert_int_equal(next(q, 1), 0);
	run_to_end(q, 2, 2);
	assert_int_equal(next(q, 2), 1);
	jh_queue_destroy(q);
}

/* Guards against background that starves while urgent work never ends. */
static void
background_keeps_its_floor(void **state)
{
	struct jh_queue *q = queue_with(1, 5000);
	uint64_t i, id;
	int background = 0;

	for (i = 1; i <= 1000; i++)
		offer(q, 1, item(i, "a", JH_RANK_URGENT, JH_NEVER));
	for (i = 1001; i <= 2000; i++)
		offer(q, 1, item(i, "b", JH_RANK_BACKGROUND, JH_NEVER));
	for (i = 0; i < 1000; i++) {
		id = next(q, 1);
		background += id > 1000;
		run_to_end(q, 1, id);
	}
	assert_in_range(background, 98, 102);
	jh_queue_destroy(q);
}

/* Guards against background that takes the slots that urgent work needs. */
static void
background_leaves_slots_free(void **state)
{
	struct jh_queue *q = queue_with(8, 100);
	uint64_t i, started = 0;

	for (i = 1; i <= 20; i++)
		offer(q, 1, item(i, "b", JH_RANK_BACKGROUND, JH_NEVER));
	while ((i = next(q, 1)) != 0) {
		jh_queue_first_token(q, 1, i);
		started++;
	}
	assert_int_equal(started, 7);
	offer(q, 1, item(99, "u", JH_RANK_URGENT, JH_NEVER));
	assert_int_equal(next(q, 1), 99);
	jh_queue_destroy(q);
}

/* Guards against background prompts queued up inside the engine. */
static void
background_waits_for_prefill(void **state)
{
	struct jh_queue *q = queue_with(8, 100);

	offer(q, 1, item(1, "b", JH_RANK_BACKGROUND, JH_NEVER));
	offer(q, 1, item(2, "b", JH_RANK_BACKGROUND, JH_NEVER));
	assert_int_equal(next(q, 1), 1);
	assert_int_equal(next(q, 1), 0);
	jh_queue_first_token(q, 2, 1);
	assert_int_equal(next(q, 2), 2);
	jh_queue_destroy(q);
}

/* Guards against an organisation that buys time by queueing more. */
static void
organisations_share_fairly(void **state)
{
	struct jh_queue *q = queue_with(1, 1000);
	struct jh_queue_item it;
	uint64_t i, id;
	int small = 0;

	for (i = 1; i <= 100; i++)
		offer(q, 1, item(i, "large", JH_RANK_URGENT, JH_NEVER));
	for (i = 101; i <= 120; i++) {
		it = item(i, "small", JH_RANK_URGENT, JH_NEVER);
		it.weight = 2;
		offer(q, 1, it);
	}
	for (i = 0; i < 30; i++) {
		id = next(q, 1);
		small += id > 100;
		run_to_end(q, 1, id);
	}
	assert_in_range(small, 19, 20);
	jh_queue_destroy(q);
}

/* Guards against one organisation that takes every slot, and against slots
 * that stay empty although only it has work. */
static void
large_organisation_leaves_a_slot(void **state)
{
	struct jh_queue *q = queue_with(8, 100);
	uint64_t now = 1, i;

	offer(q, now, item(99, "small", JH_RANK_URGENT, JH_NEVER));
	for (i = 1; i <= 50; i++)
		offer(q, now, item(i, "large", JH_RANK_URGENT, JH_NEVER));
	assert_in_range(fill(q, now), 4, 8);
	now += 300 * JH_USEC_PER_SEC;
	for (i = 1; i <= 50; i++)
		jh_queue_finished(q, now, i, JH_QUEUE_END_DONE, 100);
	assert_in_range(fill(q, now), 3, 6);
	offer(q, now, item(100, "small", JH_RANK_URGENT, JH_NEVER));
	assert_int_equal(next(q, now), 100);
	for (i = 1; i <= 100; i++)
		jh_queue_finished(q, now, i, JH_QUEUE_END_DONE, 100);
	assert_true(fill(q, now) >= 3);
	jh_queue_destroy(q);
}

/* Guards against unspent time saved up by an idle organisation. */
static void
idle_organisation_gains_nothing(void **state)
{
	struct jh_queue *q = queue_with(1, 1000);
	uint64_t i, id;
	int late = 0;

	for (i = 1; i <= 100; i++)
		offer(q, 1, item(i, "early", JH_RANK_URGENT, JH_NEVER));
	for (i = 0; i < 50; i++)
		run_to_end(q, 1, next(q, 1));
	for (i = 201; i <= 240; i++)
		offer(q, 1, item(i, "late", JH_RANK_URGENT, JH_NEVER));
	for (i = 0; i < 20; i++) {
		id = next(q, 1);
		late += id > 200;
		run_to_end(q, 1, id);
	}
	assert_in_range(late, 9, 11);
	jh_queue_destroy(q);
}

/* Guards against answers that turn out long being paid for by others. */
static void
long_answers_are_charged(void **state)
{
	struct jh_queue *q = queue_with(1, 1000);
	uint64_t i, id;
	int long_ones = 0;

	for (i = 1; i <= 100; i++) {
		offer(q, 1, item(i, "long", JH_RANK_URGENT, JH_NEVER));
		offer(q, 1, item(200 + i, "short", JH_RANK_URGENT, JH_NEVER));
	}
	for (i = 0; i < 40; i++) {
		id = next(q, 1);
		long_ones += id < 200;
		jh_queue_first_token(q, 1, id);
		/* Expected: 100 + 4 * 100; "long" really costs 3 times that. */
		jh_queue_finished(
		    q, 1, id, JH_QUEUE_END_DONE, id < 200 ? 350 : 100);
	}
	assert_in_range(long_ones, 9, 11);
	jh_queue_destroy(q);
}

/* Guards against a late deadline served before an early one. */
static void
earliest_deadline_first(void **state)
{
	struct jh_queue *q = queue_with(1, 100);
	static const uint64_t order[] = {3, 1, 4, 2};
	uint64_t i;

	for (i = 0; i < 4; i++)
		offer(q, 1,
		    item(order[i], "a", JH_RANK_URGENT,
			(10 + order[i]) * JH_USEC_PER_SEC));
	for (i = 1; i <= 4; i++) {
		assert_int_equal(next(q, 1), i);
		run_to_end(q, 1, i);
	}
	jh_queue_destroy(q);
}

/* Guards against accepting what cannot be on time, and against the reverse. */
static void
refuses_early_what_cannot_be_on_time(void **state)
{
	struct jh_queue *q = queue_with(2, 1000);
	struct jh_queue_decision d;
	struct jh_queue_item it;
	uint64_t i;

	for (i = 1; i <= 50; i++)
		offer(q, 1, item(i, "a", JH_RANK_URGENT, JH_NEVER));
	it = item(99, "a", JH_RANK_URGENT, JH_NEVER);
	it.deadline = 100 * MSEC;
	/* Earliest deadline first puts it before the 50 others. */
	assert_true(jh_queue_offer(q, 1, &it, &d));
	it = item(100, "a", JH_RANK_URGENT, JH_USEC_PER_SEC * 100);
	it.deadline = d.first_token - 1;
	it.prefill = 1000;
	assert_false(jh_queue_offer(q, 1, &it, &d));
	assert_int_equal(d.reason, JH_QUEUE_DEADLINE);
	assert_true(d.first_token > it.deadline);
	/* Work before it makes the same request late. */
	for (i = 101; i <= 200; i++)
		offer(q, 1, item(i, "a", JH_RANK_URGENT, 99 * MSEC));
	assert_int_equal(
	    offer(q, 1, item(201, "a", JH_RANK_URGENT, 100 * MSEC)),
	    JH_QUEUE_DEADLINE);
	jh_queue_destroy(q);
}

/* Guards against estimates that ignore a slow engine. */
static void
estimate_follows_measured_rates(void **state)
{
	struct jh_queue *q = queue_with(1, 100);
	struct jh_queue_item it = item(1, "a", JH_RANK_URGENT, JH_NEVER);
	uint64_t i, now = 1, before = jh_queue_estimate(q, now, &it) - now;

	for (i = 1; i <= 200; i++) {
		offer(q, now, item(i, "a", JH_RANK_URGENT, JH_NEVER));
		assert_int_equal(next(q, now), i);
		now += 500 * MSEC;
		jh_queue_first_token(q, now, i);
		now += 500 * MSEC;
		jh_queue_finished(q, now, i, JH_QUEUE_END_DONE, 100);
	}
	assert_true(before < 100 * MSEC);
	assert_in_range(
	    jh_queue_estimate(q, now, &it) - now, 400 * MSEC, 600 * MSEC);
	jh_queue_destroy(q);
}

/* Guards against running work whose answer nobody waits for any more. */
static void
expired_items_are_handed_back(void **state)
{
	struct jh_queue *q = queue_with(1, 100);
	struct jh_queue_refused r;

	offer(q, 1, item(1, "a", JH_RANK_URGENT, JH_NEVER));
	assert_int_equal(next(q, 1), 1);
	assert_int_equal(
	    offer(q, 1, item(2, "a", JH_RANK_BACKGROUND, 20000 * MSEC)),
	    JH_QUEUE_ACCEPTED);
	assert_in_range(jh_queue_wake_at(q), 19000 * MSEC, 20000 * MSEC);
	jh_queue_expire(q, jh_queue_wake_at(q) - 1);
	assert_false(jh_queue_take_refused(q, &r));
	jh_queue_expire(q, jh_queue_wake_at(q));
	assert_true(jh_queue_take_refused(q, &r));
	assert_int_equal(r.item.id, 2);
	assert_int_equal(r.reason, JH_QUEUE_EXPIRED);
	assert_true(jh_str_eq(r.item.org, JH_STR("a")));
	assert_false(jh_queue_take_refused(q, &r));
	assert_int_equal(jh_queue_wake_at(q), JH_NEVER);
	jh_queue_destroy(q);
}

/* Guards against urgent work refused because drafting fills the queue. */
static void
urgent_displaces_background(void **state)
{
	struct jh_queue *q = queue_with(1, 4);
	struct jh_queue_refused r;
	uint64_t i;

	offer(q, 1, item(1, "few", JH_RANK_BACKGROUND, JH_NEVER));
	offer(q, 1, item(2, "many", JH_RANK_BACKGROUND, 90 * JH_USEC_PER_SEC));
	offer(q, 1, item(3, "many", JH_RANK_BACKGROUND, 95 * JH_USEC_PER_SEC));
	offer(q, 1, item(4, "many", JH_RANK_BACKGROUND, 80 * JH_USEC_PER_SEC));
	assert_int_equal(
	    offer(q, 1, item(5, "many", JH_RANK_BACKGROUND, JH_NEVER)),
	    JH_QUEUE_FULL);
	assert_int_equal(offer(q, 1, item(6, "u", JH_RANK_URGENT, JH_NEVER)),
	    JH_QUEUE_ACCEPTED);
	assert_true(jh_queue_take_refused(q, &r));
	assert_int_equal(r.item.id, 3);
	assert_int_equal(r.reason, JH_QUEUE_DISPLACED);
	for (i = 7; i <= 9; i++)
		assert_int_equal(
		    offer(q, 1, item(i, "u", JH_RANK_URGENT, JH_NEVER)),
		    JH_QUEUE_ACCEPTED);
	assert_int_equal(offer(q, 1, item(10, "u", JH_RANK_URGENT, JH_NEVER)),
	    JH_QUEUE_FULL);
	/* A small organisation displaces the largest of its own rank. */
	assert_int_equal(offer(q, 1, item(11, "v", JH_RANK_URGENT, JH_NEVER)),
	    JH_QUEUE_ACCEPTED);
	jh_queue_destroy(q);
}

/* Guards against cancelled work that still runs, and against a wrong "not
 * run" for work that does. */
static void
cancel_reaches_queued_items_only(void **state)
{
	struct jh_queue *q = queue_with(1, 100);

	offer(q, 1, item(1, "a", JH_RANK_URGENT, JH_NEVER));
	offer(q, 1, item(2, "a", JH_RANK_URGENT, JH_NEVER));
	assert_int_equal(offer(q, 1, item(2, "a", JH_RANK_URGENT, JH_NEVER)),
	    JH_QUEUE_DUPLICATE);
	assert_int_equal(next(q, 1), 1);
	assert_false(jh_queue_cancel(q, 1));
	assert_false(jh_queue_cancel(q, 3));
	assert_true(jh_queue_cancel(q, 2));
	assert_true(jh_queue_finished(q, 1, 1, JH_QUEUE_END_ABORTED, 0));
	assert_false(jh_queue_finished(q, 1, 1, JH_QUEUE_END_ABORTED, 0));
	assert_int_equal(next(q, 1), 0);
	jh_queue_destroy(q);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(urgent_goes_first),
	    cmocka_unit_test(background_keeps_its_floor),
	    cmocka_unit_test(background_leaves_slots_free),
	    cmocka_unit_test(background_waits_for_prefill),
	    cmocka_unit_test(organisations_share_fairly),
	    cmocka_unit_test(large_organisation_leaves_a_slot),
	    cmocka_unit_test(idle_organisation_gains_nothing),
	    cmocka_unit_test(long_answers_are_charged),
	    cmocka_unit_test(earliest_deadline_first),
	    cmocka_unit_test(refuses_early_what_cannot_be_on_time),
	    cmocka_unit_test(estimate_follows_measured_rates),
	    cmocka_unit_test(expired_items_are_handed_back),
	    cmocka_unit_test(urgent_displaces_background),
	    cmocka_unit_test(cancel_reaches_queued_items_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
