#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/place.h>

#define FLEET 60
#define REGIONS 2
#define PER_REGION (FLEET / REGIONS)

static struct jh_place_worker fleet[FLEET];

static struct jh_placer *
placer(const struct jh_place_policy *policy, size_t n)
{
	struct jh_placer *p = jh_placer_create(policy, 7);
	size_t i;

	for (i = 0; i < FLEET; i++)
		fleet[i] = (struct jh_place_worker){.id = 1000 + i,
		    .region = (uint32_t)(i % REGIONS),
		    .prefill_rate = 40000,
		    .decode_rate = 200};
	jh_placer_set_workers(p, 0, fleet, n);
	return p;
}

static struct jh_prefix
prefix(uint64_t manual, uint64_t tenant, uint64_t question)
{
	return (struct jh_prefix){.n = 3,
	    .level = {{manual * 0x9e3779b97f4a7c15ULL, 100000},
		{manual * 31 + tenant * 0xbf58476d1ce4e5b9ULL, 1000},
		{manual * 37 + tenant * 41 + question * 0x94d049bb133111ebULL,
		    200}}};
}

static size_t
choose(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    struct jh_candidate *out)
{
	const struct jh_place_request r = {
	    .prefix = x, .prefill_tokens = 200, .decode_tokens = 150};

	return jh_placer_choose(p, now, &r, out, JH_PLACE_MAX_CANDIDATES);
}

static uint64_t
first(struct jh_placer *p, uint64_t now, const struct jh_prefix *x)
{
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];

	return choose(p, now, x, c) > 0 ? c[0].worker : 0;
}

/* Looks without counting as demand. */
static size_t
peek(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    struct jh_candidate *out)
{
	const struct jh_place_request r = {.prefix = x, .again = true};

	return jh_placer_choose(p, now, &r, out, JH_PLACE_MAX_CANDIDATES);
}

static bool
offers(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    uint64_t worker)
{
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	size_t i, n = peek(p, now, x, c);

	for (i = 0; i < n; i++) {
		if (c[i].worker == worker)
			return true;
	}
	return false;
}

static void
learn(struct jh_placer *p, uint64_t now, uint64_t worker,
    enum jh_place_outcome outcome, uint64_t wait)
{
	const struct jh_place_answer a = {
	    .outcome = outcome, .has_wait = wait > 0, .wait = wait};

	jh_placer_learn(p, now, worker, &a);
}

/* Runs requests for one prefix at a steady rate and returns the time. */
static uint64_t
drive(struct jh_placer *p, uint64_t now, uint64_t manual, uint64_t gap,
    size_t count)
{
	size_t i;

	for (i = 0; i < count; i++, now += gap) {
		struct jh_prefix x = prefix(manual, i % 5, i);

		first(p, now, &x);
	}
	return now;
}

/* Guards against two cold entry daemons that choose differently. */
static void
cold_placers_agree(void **state)
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

/* Guards against most prefixes moving when one worker goes. */
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

static const struct jh_place_policy *const all[] = {&jh_place_round_robin,
    &jh_place_least_load, &jh_place_rendezvous, &jh_place_rendezvous_whole,
    &jh_place_affinity};

/* Guards against a leaving worker that is still chosen, by either source. */
static void
leaving_workers_are_not_offered(void **state)
{
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		struct jh_placer *p = placer(all[i], FLEET);
		struct jh_prefix x = prefix(3, 1, 1);
		uint64_t gone = first(p, 0, &x);

		learn(p, 0, gone, JH_PLACE_LEAVING, 0);
		for (k = 0; k < 40; k++)
			assert_false(offers(p, k, &x, gone));
		gone = first(p, 0, &x);
		fleet[gone - 1000].leaving = true;
		jh_placer_set_workers(p, 0, fleet, FLEET);
		for (k = 0; k < 40; k++)
			assert_false(offers(p, k, &x, gone));
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

/* Guards against offers to other regions that the request does not allow,
 * against a worker that appears twice, and against refusing a request while
 * workers that were not asked remain. */
static void
candidates_are_distinct_and_in_region(void **state)
{
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	size_t i, n;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		struct jh_placer *p = placer(all[i], FLEET);
		struct jh_prefix x = prefix(3, 1, 1);

		n = choose(p, 0, &x, c);
		assert_true(n > 1);
		check_candidates(c, n);
		n = peek(p, 0, &x, c);
		assert_int_equal(n, JH_PLACE_MAX_CANDIDATES);
		check_candidates(c, n);
		jh_placer_destroy(p);
	}
}

/* Guards against work that is refused although other regions may serve it. */
static void
other_regions_follow_when_allowed(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	struct jh_prefix x = prefix(3, 1, 1);
	struct jh_place_request r = {.prefix = &x, .any_region = true};
	size_t n;

	n = jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c));
	assert_int_equal(c[0].worker % REGIONS, 0);
	assert_int_equal(c[n - 1].worker % REGIONS, 1);
	r.region = 9;
	assert_true(jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c)) > 0);
	r.any_region = false;
	assert_int_equal(jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c)), 0);
	jh_placer_destroy(p);
}

/* Guards against stale load hints that are used after their deadline. */
static void
hints_expire(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 1, 1);
	uint64_t best = first(p, 0, &x);

	learn(p, 0, best, JH_PLACE_BUSY, 60 * JH_USEC_PER_SEC);
	assert_int_not_equal(first(p, 1, &x), best);
	assert_int_not_equal(first(p, JH_PLACE_HINT_USEC - 1, &x), best);
	assert_int_equal(first(p, JH_PLACE_HINT_USEC, &x), best);
	jh_placer_destroy(p);
}

/* Guards against leaving a warm worker for less than recomputing costs. */
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

/* Guards against a first offer that makes a request wait or recompute where a
 * further worker would serve it at once, and against choosing again without
 * what the refusals told. */
static void
refusals_decide_the_second_choice(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	struct jh_place_heard heard[JH_PLACE_MAX_CANDIDATES] = {0};
	struct jh_prefix x = prefix(3, 1, 1);
	struct jh_place_request r = {
	    .prefix = &x, .prefill_tokens = 200, .heard = heard};
	size_t i;

	r.n_heard = jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c));
	assert_true(r.n_heard >= 4);
	for (i = 0; i < r.n_heard; i++) {
		assert_in_range(c[i].max_wait, 5000, JH_USEC_PER_SEC);
		heard[i].worker = c[i].worker;
	}
	heard[0].wait = 9 * JH_USEC_PER_SEC;
	heard[0].cached_tokens = 101000;
	heard[1].wait = 1;
	heard[2].wait = 300 * JH_USEC_PER_MSEC;
	heard[2].cached_tokens = 101000;
	heard[3].wait = 500 * JH_USEC_PER_MSEC;
	heard[3].cached_tokens = 101000;
	r.again = true;
	jh_placer_choose(p, 0, &r, c, G_N_ELEMENTS(c));
	assert_int_equal(c[0].worker, heard[2].worker);
	assert_int_equal(c[1].worker, heard[3].worker);
	assert_int_equal(c[2].worker, heard[1].worker);
	assert_int_equal(c[0].max_wait, JH_NEVER);
	jh_placer_destroy(p);
}

/* Guards against a failed worker that is held out for ever, or is tried again
 * at once on each failure. */
static void
failure_deadlines_grow(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 1, 1);
	uint64_t best = first(p, 0, &x), now = 0, gap, last = 0;
	size_t i;

	for (i = 0; i < 6; i++) {
		learn(p, now, best, JH_PLACE_FAILED, 0);
		assert_false(offers(p, now, &x, best));
		for (gap = 0; !offers(p, now, &x, best); gap++)
			now += 10 * JH_USEC_PER_MSEC;
		assert_true(gap > last);
		last = gap;
	}
	assert_true(now < 60 * JH_USEC_PER_SEC);
	jh_placer_destroy(p);
}

/* Guards against refusing everything when all workers failed once. */
static void
all_failed_still_offers(void **state)
{
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		struct jh_placer *p = placer(all[i], FLEET);
		struct jh_prefix x = prefix(3, 1, 1);

		for (k = 0; k < FLEET; k++)
			learn(p, 0, 1000 + k, JH_PLACE_FAILED, 0);
		assert_int_not_equal(first(p, 1, &x), 0);
		jh_placer_destroy(p);
	}
}

/* Guards against a hot prefix that stays on one worker, and against a width
 * that never comes back. */
static void
hot_prefixes_widen_and_narrow(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 0, 0);
	uint64_t now;
	uint32_t hot;

	/* 10 requests/s of 0.755 s work each fill 7.5 workers. */
	now = drive(p, 1, 3, 100 * JH_USEC_PER_MSEC, 200);
	hot = jh_placer_width(p, now, &x);
	assert_in_range(hot, 7, 16);
	now = drive(p, now, 3, 10 * JH_USEC_PER_SEC, 30);
	assert_in_range(jh_placer_width(p, now, &x), 1, 2);
	jh_placer_destroy(p);
}

/* Guards against one request of many entry daemons that widens a prefix. */
static void
single_requests_do_not_widen(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 0, 0);

	jh_placer_set_entries(p, 57);
	first(p, 1, &x);
	first(p, 60 * JH_USEC_PER_SEC, &x);
	assert_int_equal(jh_placer_width(p, 60 * JH_USEC_PER_SEC, &x), 1);
	jh_placer_destroy(p);
}

/* Guards against a restarted entry daemon that crowds one worker until its own
 * estimate is ready, and against learned widths that echo. */
static void
widths_are_learned_and_forgotten(void **state)
{
	struct jh_placer *p = placer(&jh_place_affinity, FLEET);
	struct jh_prefix x = prefix(3, 1, 1);
	struct jh_place_answer a = {.prefix = &x, .width = 12};
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	uint64_t home = first(p, 1, &x);
	uint64_t late = 60 * JH_USEC_PER_SEC;
	size_t i, moved = 0;

	jh_placer_learn(p, 2, home, &a);
	for (i = 0; i < 50; i++) {
		struct jh_prefix y = prefix(3, i, i);

		peek(p, 3, &y, c);
		moved += c[0].worker != home;
	}
	assert_true(moved > 30);
	assert_int_equal(jh_placer_width(p, 3, &x), 1);
	assert_int_equal(first(p, late, &x), home);
	jh_placer_destroy(p);
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

/* Guards against orders that point into a worker list that is gone. */
static void
changed_lists_are_followed(void **state)
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
	    cmocka_unit_test(cold_placers_agree),
	    cmocka_unit_test(removal_moves_only_its_prefixes),
	    cmocka_unit_test(leaving_workers_are_not_offered),
	    cmocka_unit_test(candidates_are_distinct_and_in_region),
	    cmocka_unit_test(other_regions_follow_when_allowed),
	    cmocka_unit_test(hints_expire),
	    cmocka_unit_test(short_waits_do_not_cause_recomputing),
	    cmocka_unit_test(refusals_decide_the_second_choice),
	    cmocka_unit_test(failure_deadlines_grow),
	    cmocka_unit_test(all_failed_still_offers),
	    cmocka_unit_test(hot_prefixes_widen_and_narrow),
	    cmocka_unit_test(single_requests_do_not_widen),
	    cmocka_unit_test(widths_are_learned_and_forgotten),
	    cmocka_unit_test(state_is_bounded),
	    cmocka_unit_test(changed_lists_are_followed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
