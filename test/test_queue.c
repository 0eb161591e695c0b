#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "queue_fixture.h"

#define MSEC JH_USEC_PER_MSEC

/* Guards against a background item that starts before a queued urgent one. */
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

/* Guards against starvation of background work by steady urgent work. */
static void
background_gets_guaranteed_share(void **state)
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

/* Guards against background work that occupies the slots for urgent work. */
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

/* Guards against background prompts that queue inside the engine. */
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

/* Guards against an organisation that gets more service by queueing more. */
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

/*
 * Guards against one organisation that occupies every slot, and against slots
 * that stay free although only that organisation has work.
 */
static void
large_organisation_leaves_a_slot(void **state)
{
	struct jh_queue *q = queue_with(8, 100);
	uint64_t now = 1, i;

	offer(q, now, item(99, "small", JH_RANK_URGENT, JH_NEVER));
	for (i = 1; i <= 50; i++)
		offer(q, now, item(i, "large", JH_RANK_URGENT, JH_NEVER));
	assert_in_range(start_all(q, now), 4, 8);
	now += 300 * JH_USEC_PER_SEC;
	for (i = 1; i <= 50; i++)
		jh_queue_finished(q, now, i, JH_QUEUE_END_DONE, 100);
	assert_in_range(start_all(q, now), 3, 6);
	offer(q, now, item(100, "small", JH_RANK_URGENT, JH_NEVER));
	assert_int_equal(next(q, now), 100);
	for (i = 1; i <= 100; i++)
		jh_queue_finished(q, now, i, JH_QUEUE_END_DONE, 100);
	assert_true(start_all(q, now) >= 3);
	jh_queue_destroy(q);
}

/* Guards against an idle organisation that saves up unused service. */
static void
idle_organisation_saves_up_nothing(void **state)
{
	struct jh_queue *q = queue_with(2, 1000);
	uint64_t i, id;
	int late = 0;

	/* This item keeps running, so that its organisation's flow is kept. */
	offer(q, 1, item(300, "late", JH_RANK_URGENT, JH_NEVER));
	assert_int_equal(next(q, 1), 300);
	jh_queue_first_token(q, 1, 300);
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

/* Guards against output longer than expected that is not charged. */
static void
long_output_is_charged(void **state)
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
		/* Expected cost: 100 + 4 * 100; "long" costs 3 times that. */
		jh_queue_finished(
		    q, 1, id, JH_QUEUE_END_DONE, id < 200 ? 350 : 100);
	}
	assert_in_range(long_ones, 9, 11);
	jh_queue_destroy(q);
}

/* Guards against serving a later deadline before an earlier one. */
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

/*
 * Guards against accepting items that cannot meet their deadline, and against
 * refusing items that can.
 */
static void
unreachable_deadlines_are_refused(void **state)
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
	/* With more work before it the same request would be late. */
	for (i = 101; i <= 200; i++)
		offer(q, 1, item(i, "a", JH_RANK_URGENT, 99 * MSEC));
	assert_int_equal(
	    offer(q, 1, item(201, "a", JH_RANK_URGENT, 100 * MSEC)),
	    JH_QUEUE_DEADLINE);
	jh_queue_destroy(q);
}

/* Guards against estimates that ignore the measured speed of the engine. */
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

/*
 * Guards against a high estimate that makes the queue refuse every item:
 * without running items the estimate is never corrected.
 */
static void
estimate_recovers_from_a_stall(void **state)
{
	struct jh_queue *q = queue_with(4, 100);
	uint64_t i, now = 1, accepted = 0;
	struct jh_queue_item it;

	for (i = 1; i <= 200; i++) {
		it = item(i, "a", JH_RANK_URGENT, now + JH_USEC_PER_SEC);
		if (offer(q, now, it) == JH_QUEUE_ACCEPTED) {
			accepted++;
			assert_int_equal(next(q, now), i);
			/* The first 100 take a minute each. */
			now += i <= 100 ? 60 * JH_USEC_PER_SEC : 50 * MSEC;
			run_to_end(q, now, i);
		}
		now += JH_USEC_PER_SEC;
	}
	assert_int_equal(accepted, 200);
	it = item(i, "a", JH_RANK_URGENT, JH_NEVER);
	assert_true(
	    jh_queue_estimate(q, now, &it) - now < 10 * JH_USEC_PER_SEC);
	jh_queue_destroy(q);
}

/* Guards against running items whose deadline has passed. */
static void
expired_items_are_evicted(void **state)
{
	struct jh_queue *q = queue_with(1, 100);
	struct jh_queue_refused r;

	offer(q, 1, item(1, "a", JH_RANK_URGENT, JH_NEVER));
	assert_int_equal(next(q, 1), 1);
	assert_int_equal(
	    offer(q, 1, item(2, "a", JH_RANK_BACKGROUND, 20000 * MSEC)),
	    JH_QUEUE_ACCEPTED);
	assert_in_range(jh_queue_next_wakeup(q), 19000 * MSEC, 20000 * MSEC);
	jh_queue_expire(q, jh_queue_next_wakeup(q) - 1);
	assert_false(jh_queue_take_refused(q, &r));
	jh_queue_expire(q, jh_queue_next_wakeup(q));
	assert_true(jh_queue_take_refused(q, &r));
	assert_int_equal(r.item.id, 2);
	assert_int_equal(r.reason, JH_QUEUE_EXPIRED);
	assert_true(jh_str_eq(r.item.org, JH_STR("a")));
	assert_false(jh_queue_take_refused(q, &r));
	assert_int_equal(jh_queue_next_wakeup(q), JH_NEVER);
	jh_queue_destroy(q);
}

/* Guards against refusing urgent work while background work fills the queue. */
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

/*
 * Guards against a cancelled item that still runs, and against reporting a
 * running item as not run.
 */
static void
only_queued_items_can_be_cancelled(void **state)
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
	    cmocka_unit_test(background_gets_guaranteed_share),
	    cmocka_unit_test(background_leaves_slots_free),
	    cmocka_unit_test(background_waits_for_prefill),
	    cmocka_unit_test(organisations_share_fairly),
	    cmocka_unit_test(large_organisation_leaves_a_slot),
	    cmocka_unit_test(idle_organisation_saves_up_nothing),
	    cmocka_unit_test(long_output_is_charged),
	    cmocka_unit_test(earliest_deadline_first),
	    cmocka_unit_test(unreachable_deadlines_are_refused),
	    cmocka_unit_test(estimate_follows_measured_rates),
	    cmocka_unit_test(estimate_recovers_from_a_stall),
	    cmocka_unit_test(expired_items_are_evicted),
	    cmocka_unit_test(urgent_displaces_background),
	    cmocka_unit_test(only_queued_items_can_be_cancelled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
