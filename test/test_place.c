#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/place.h>

#include "place_fixture.h"

/* Guards against different choices by two entry daemons without any state. */
static void
placers_without_state_agree(void **state)
{
	struct jh_placer *a = placer(&jh_place_affinity, FLEET);
	struct jh_placer *b = jh_placer_create(&jh_place_affinity, 99);
	struct jh_place_worker reversed[FLEET];
	size_t i;

	for (i = 0; i < FLEET; i++)
		reversed[i] = fleet[FLEET - 1 - i];
	jh_placer_set_workers(b, 0, reversed, FLEET);
	for (i = 0; i < 500; i++) {
		struct jh_prefix x = prefix(i, i % 7, i);

		assert_int_equal(first(a, i * 1000, &x), first(b, 5, &x));
	}
	jh_placer_destroy(a);
	jh_placer_destroy(b);
}

/* Guards against a change of workers that moves the prefixes of others. */
static void
removal_moves_only_its_prefixes(void **state)
{
	struct jh_placer *a = placer(&jh_place_affinity, FLEET);
	struct jh_placer *b = placer(&jh_place_affinity, FLEET - 2);
	size_t i;

	for (i = 0; i < 500; i++) {
		struct jh_prefix x = prefix(i, 0, 0);
		uint64_t before = first(a, 0, &x);

		if (before < 1000 + FLEET - 2)
			assert_int_equal(first(b, 0, &x), before);
	}
	jh_placer_destroy(a);
	jh_placer_destroy(b);
}

static const struct jh_place_policy *const all_policies[] = {
    &jh_place_round_robin, &jh_place_least_load, &jh_place_rendezvous,
    &jh_place_rendezvous_whole, &jh_place_affinity};

/*
 * Guards against choosing a worker that is leaving, by its response or the
 * list.
 */
static void
leaving_workers_are_not_offered(void **state)
{
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(all_policies); i++) {
		struct jh_placer *p = placer(all_policies[i], FLEET);
		struct jh_prefix x = prefix(3, 1, 1);
		uint64_t gone = first(p, 0, &x);

		learn(p, 0, gone, JH_PLACE_LEAVING, 0);
		for (k = 0; k < 40; k++)
			assert_false(is_candidate(p, k, &x, gone));
		gone = first(p, 0, &x);
		fleet[gone - 1000].leaving = true;
		jh_placer_set_workers(p, 0, fleet, FLEET);
		for (k = 0; k < 40; k++)
			assert_false(is_candidate(p, k, &x, gone));
		jh_placer_destroy(p);
	}
}

static void
check_candidates(const struct jh_candidate *c, size_t n)
{
	size_t j, k;

	for (j = 0; j < n; j++) {
		assert_int_equal(c[j].worker % REGIONS, 0);
		for (k = 0; k < j; k++)
			assert_int_not_equal(c[j].worker, c[k].worker);
	}
}

/*
 * Guards against offers to other regions that the request does not allow,
 * against a worker that appears twice, and against refusing a request while
 * there are workers that it was not offered to.
 */
static void
candidates_are_distinct_and_in_region(void **state)
{
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	size_t i, n;

	for (i = 0; i < G_N_ELEMENTS(all_policies); i++) {
		struct jh_placer *p = placer(all_policies[i], FLEET);
		struct jh_prefix x = prefix(3, 1, 1);

		n = choose(p, 0, &x, c);
		assert_true(n > 1);
		check_candidates(c, n);
		n = choose_after_refusals(p, 0, &x, c);
		assert_int_equal(n, JH_PLACE_MAX_CANDIDATES);
		check_candidates(c, n);
		jh_placer_destroy(p);
	}
}

/*
 * Guards against refusing a request that other regions may serve, and against
 * offers to them before the workers of its own region have refused.
 */
static void
other_regions_follow_when_allowed(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	struct jh_prefix x = prefix(3, 1, 1);
	struct jh_place_request r = {.prefix = &x, .any_region = true};
	size_t n;

	n = jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c));
	check_candidates(c, n);
	r.after_refusals = true;
	n = jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c));
	assert_int_equal(c[0].worker % REGIONS, 0);
	assert_int_equal(c[n - 1].worker % REGIONS, 1);
	r.after_refusals = false;
	r.region = 9;
	assert_true(jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c)) > 0);
	r.any_region = false;
	assert_int_equal(jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c)), 0);
	jh_placer_destroy(p);
}

/* Guards against using a known wait after its deadline. */
static void
known_waits_expire(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 1, 1);
	uint64_t best = first(p, 0, &x);

	learn(p, 0, best, JH_PLACE_BUSY, 60 * JH_USEC_PER_SEC);
	assert_int_not_equal(first(p, 1, &x), best);
	assert_int_not_equal(
	    first(p, JH_PLACE_WAIT_LIFETIME_USEC - 1, &x), best);
	assert_int_equal(first(p, JH_PLACE_WAIT_LIFETIME_USEC, &x), best);
	jh_placer_destroy(p);
}

/*
 * Guards against avoiding a worker that has the prefix cached for a wait that
 * is shorter than computing the prefix elsewhere.
 */
static void
short_waits_do_not_cause_recomputing(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 1, 1);
	uint64_t best = first(p, 0, &x);

	/* 101,200 tokens take 2.53 s at 40,000 tokens/s. */
	learn(p, 0, best, JH_PLACE_ACCEPTED, 2 * JH_USEC_PER_SEC);
	assert_int_equal(first(p, 1, &x), best);
	learn(p, 1, best, JH_PLACE_ACCEPTED, 3 * JH_USEC_PER_SEC);
	assert_int_not_equal(first(p, 2, &x), best);
	assert_int_equal(first(p, 10 * JH_USEC_PER_SEC, &x), best);
	jh_placer_destroy(p);
}

/*
 * Guards against a first choice that makes a request wait, or compute its
 * prefix, while another worker would serve it immediately, and against a second
 * choice that ignores the refusals.
 */
static void
refusals_decide_the_second_choice(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	struct jh_place_refusal refusals[JH_PLACE_MAX_CANDIDATES] = {0};
	struct jh_prefix x = prefix(3, 1, 1);
	struct jh_place_request r = {
	    .prefix = &x, .prefill_tokens = 200, .refusals = refusals};
	size_t i;

	r.n_refusals = jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c));
	assert_true(r.n_refusals >= 4);
	for (i = 0; i < r.n_refusals; i++) {
		assert_in_range(c[i].max_wait, 5000, JH_USEC_PER_SEC);
		refusals[i].worker = c[i].worker;
	}
	refusals[0].wait = 9 * JH_USEC_PER_SEC;
	refusals[0].cached_tokens = 101000;
	refusals[1].wait = 1;
	refusals[2].wait = 300 * JH_USEC_PER_MSEC;
	refusals[2].cached_tokens = 101000;
	refusals[3].wait = 500 * JH_USEC_PER_MSEC;
	refusals[3].cached_tokens = 101000;
	r.after_refusals = true;
	jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c));
	assert_int_equal(c[0].worker, refusals[2].worker);
	assert_int_equal(c[1].worker, refusals[3].worker);
	assert_int_equal(c[2].worker, refusals[1].worker);
	assert_int_equal(c[0].max_wait, JH_NEVER);
	jh_placer_destroy(p);
}

/*
 * Guards against a failed worker that stays in backoff for ever, or that is
 * tried again immediately after each failure.
 */
static void
backoff_grows(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 1, 1);
	uint64_t best = first(p, 0, &x), now = 0, gap, last = 0;
	size_t i;

	for (i = 0; i < 6; i++) {
		learn(p, now, best, JH_PLACE_FAILED, 0);
		assert_false(is_candidate(p, now, &x, best));
		for (gap = 0; !is_candidate(p, now, &x, best); gap++)
			now += 10 * JH_USEC_PER_MSEC;
		assert_true(gap > last);
		last = gap;
	}
	assert_true(now < 60 * JH_USEC_PER_SEC);
	jh_placer_destroy(p);
}

/* Guards against refusing all requests when every worker has failed once. */
static void
all_failed_still_chooses(void **state)
{
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(all_policies); i++) {
		struct jh_placer *p = placer(all_policies[i], FLEET);
		struct jh_prefix x = prefix(3, 1, 1);

		for (k = 0; k < FLEET; k++)
			learn(p, 0, 1000 + k, JH_PLACE_FAILED, 0);
		assert_int_not_equal(first(p, 1, &x), 0);
		jh_placer_destroy(p);
	}
}

/* Guards against state that grows with the number of prefixes seen. */
static void
state_is_bounded(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	uint64_t i;

	for (i = 0; i < 100000; i++) {
		struct jh_prefix x = prefix(i, i, i);

		first(p, i * 100, &x);
	}
	assert_true(jh_placer_bytes(p) < 8 << 20);
	jh_placer_destroy(p);
}

/* Guards against cached orders that refer to a previous worker list. */
static void
changed_worker_lists_are_used(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	struct jh_prefix x = prefix(3, 1, 1);
	size_t i, n;

	choose(p, 0, &x, c);
	jh_placer_set_workers(p, 1, fleet, 4);
	n = choose(p, 2, &x, c);
	assert_int_equal(n, 2);
	for (i = 0; i < n; i++)
		assert_in_range(c[i].worker, 1000, 1003);
	jh_placer_set_workers(p, 3, NULL, 0);
	assert_int_equal(choose(p, 4, &x, c), 0);
	jh_placer_destroy(p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(placers_without_state_agree),
	    cmocka_unit_test(removal_moves_only_its_prefixes),
	    cmocka_unit_test(leaving_workers_are_not_offered),
	    cmocka_unit_test(candidates_are_distinct_and_in_region),
	    cmocka_unit_test(other_regions_follow_when_allowed),
	    cmocka_unit_test(known_waits_expire),
	    cmocka_unit_test(short_waits_do_not_cause_recomputing),
	    cmocka_unit_test(refusals_decide_the_second_choice),
	    cmocka_unit_test(backoff_grows),
	    cmocka_unit_test(all_failed_still_chooses),
	    cmocka_unit_test(state_is_bounded),
	    cmocka_unit_test(changed_worker_lists_are_used),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
