#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "route/admit.h"
#include "route/choose.h"

#define MSEC JH_USEC_PER_MSEC
#define SEC JH_USEC_PER_SEC
#define START (100 * SEC)

/* Two regions; four engines in each of three availability zones. */
struct fixture {
	GHashTable *regions;
	struct jh_fleet *fleet;
	struct jh_chooser *chooser;
};

static struct jh_worker *
list_worker(struct fixture *s, uint64_t now, const char *id, const char *zone,
    uint64_t weights)
{
	struct jh_listed_worker l = {
	    .id = id,
	    .service = "llm",
	    .zone = zone,
	    .slots = 96,
	    .models = {{"m", weights}},
	    .n_models = 1,
	};

	return jh_fleet_update(s->fleet, now, &l);
}

static void
fixture_init(struct fixture *s)
{
	struct jh_choose_topology topology = {"z0", NULL};
	char id[16], zone[8];
	int i;

	s->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(s->regions, "z0", "near");
	g_hash_table_insert(s->regions, "z1", "near");
	g_hash_table_insert(s->regions, "z2", "far");
	s->fleet = jh_fleet_create();
	topology.regions = s->regions;
	s->chooser = jh_chooser_create(&topology);
	for (i = 0; i < 12; i++) {
		g_snprintf(id, sizeof(id), "w%02d", i);
		g_snprintf(zone, sizeof(zone), "z%d", i % 3);
		list_worker(s, START, id, zone, 1);
	}
}

static void
fixture_clear(struct fixture *s)
{
	jh_chooser_destroy(s->chooser);
	jh_fleet_destroy(s->fleet);
	g_hash_table_destroy(s->regions);
}

static struct jh_choose_request
long_prompt(uint64_t first, uint64_t second)
{
	struct jh_choose_request r = {
	    .service = "llm",
	    .is_engine = true,
	    .model = "m",
	    .prefix = {{first, 2500}, {second, 3800}},
	    .n_prefixes = 2,
	    .own_tokens = 2900,
	    .output_tokens = 13,
	    .cache_tokens = 83645,
	};

	return r;
}

static struct jh_worker *
send_to(struct fixture *s, uint64_t now, const struct jh_choose_request *r)
{
	struct jh_choice c;

	jh_choose(s->chooser, s->fleet, now, r, &c);
	assert_non_null(c.worker);
	jh_chooser_sent(s->chooser, now, r, &c);
	return c.worker;
}

/* Guards against a shared prefix that is computed at several workers. */
static void
same_prefix_goes_to_one_worker(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *first;
	struct fixture s, other;
	int i;

	fixture_init(&s);
	fixture_init(&other);
	first = send_to(&s, START, &r);
	/* Another process without any placements ranks the workers alike. */
	assert_string_equal(send_to(&other, START, &r)->id, first->id);
	for (i = 1; i < 20; i++)
		assert_ptr_equal(
		    send_to(&s, START + (uint64_t)i * 100 * MSEC, &r), first);
	fixture_clear(&s);
	fixture_clear(&other);
}

/* Guards against a short queue that moves a prompt away from its prefix. */
static void
short_queue_keeps_prefix_at_worker(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *first;
	struct fixture s;

	fixture_init(&s);
	first = send_to(&s, START, &r);
	first->prefill_tokens = 20000; /* about half a second of prefill */
	assert_ptr_equal(send_to(&s, START + SEC, &r), first);
	fixture_clear(&s);
}

/* Guards against a queue for a popular prefix while other workers are free. */
static void
long_queue_moves_prefix_to_other_worker(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *first;
	struct jh_choice c;
	struct fixture s;

	fixture_init(&s);
	first = send_to(&s, START, &r);
	first->prefill_tokens = 40000;
	r.minimise_ttft = true;
	jh_choose(s.chooser, s.fleet, START + SEC, &r, &c);
	assert_ptr_not_equal(c.worker, first);
	/* It fetches the prefix from the worker that has it. */
	assert_ptr_equal(c.source, first);
	fixture_clear(&s);
}

/* Guards against sending short prompts to other regions for few tokens. */
static void
short_prompts_stay_in_region(void **state)
{
	struct fixture s;
	uint64_t i;

	fixture_init(&s);
	for (i = 0; i < 50; i++) {
		struct jh_choose_request r = long_prompt(1000 + i, 2000 + i);
		r.prefix[0].tokens = 119;
		r.prefix[1].tokens = 79;
		r.own_tokens = 628;
		assert_string_not_equal(send_to(&s, START, &r)->zone, "z2");
	}
	fixture_clear(&s);
}

/* Guards against requests to workers that leave, load weights or were tried. */
static void
ineligible_workers_get_no_requests(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct fixture s;
	size_t i;

	fixture_init(&s);
	for (i = 0; i < jh_fleet_count(s.fleet); i++) {
		struct jh_worker *w = jh_fleet_at(s.fleet, i);
		if (i == 7)
			continue;
		if (i % 6 == 0)
			w->leaving = true;
		else if (i % 6 == 3)
			jh_worker_heard_leaving(w, START);
		else if (i % 3 == 1)
			w->changing_until = START + SEC;
		else
			r.excluded[r.n_excluded++] = w->hash;
	}
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_string_equal(c.worker->id, "w07");
	jh_fleet_at(s.fleet, 7)->leaving = true;
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_null(c.worker);
	assert_true(c.any_worker);
	fixture_clear(&s);
}

/* Guards against a worker that is used for the first of its models only. */
static void
worker_is_used_for_each_of_its_models(void **state)
{
	struct jh_listed_worker l = {.id = "w03",
	    .service = "llm",
	    .zone = "z0",
	    .slots = 96,
	    .models = {{"m", 1}, {"a", 7}, {"z", 5}},
	    .n_models = 3};
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct fixture s;

	fixture_init(&s);
	jh_fleet_update(s.fleet, START, &l);
	r.model = "z";
	r.versions[0] = (struct jh_weights_version){5, START};
	r.n_versions = 1;
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_non_null(c.worker);
	assert_string_equal(c.worker->id, "w03");
	/* New weights of one model are not those of another. */
	jh_worker_observed_weights(c.worker, START, "a", 8);
	assert_int_equal(jh_worker_weights(c.worker, "z"), 5);
	assert_int_equal(jh_worker_weights(c.worker, "m"), 1);
	r.versions[0] = (struct jh_weights_version){6, START};
	jh_choose(
	    s.chooser, s.fleet, START + JH_CHOOSE_OUTDATED_USEC + SEC, &r, &c);
	assert_null(c.worker);
	/* A model that it lists no longer. */
	l.n_models = 1;
	jh_fleet_update(s.fleet, START, &l);
	r.n_versions = 0;
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_null(c.worker);
	r.model = "m";
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_non_null(c.worker);
	fixture_clear(&s);
}

/* Guards against a refusal while all workers are in backoff. */
static void
workers_in_backoff_are_used_last(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct fixture s;
	size_t i;

	fixture_init(&s);
	for (i = 0; i < jh_fleet_count(s.fleet); i++)
		jh_worker_attempt_failed(jh_fleet_at(s.fleet, i), START);
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_non_null(c.worker);
	fixture_clear(&s);
}

/*
 * Guards against requests to a worker with weights that were replaced too long
 * ago: a still newer version must not restart the time that it may serve.
 */
static void
outdated_since_first_newer_version(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct fixture s;
	uint64_t late = START + JH_CHOOSE_OUTDATED_USEC + SEC;

	fixture_init(&s);
	r.versions[0] = (struct jh_weights_version){1, START - SEC};
	r.versions[1] = (struct jh_weights_version){2, START};
	r.versions[2] = (struct jh_weights_version){3, late - SEC};
	r.n_versions = 3;
	jh_choose(s.chooser, s.fleet, START + SEC, &r, &c);
	assert_non_null(c.worker);
	jh_choose(s.chooser, s.fleet, late, &r, &c);
	assert_null(c.worker);
	/* A worker with the version in between may still serve. */
	list_worker(&s, late, "w03", "z0", 2);
	jh_choose(s.chooser, s.fleet, late, &r, &c);
	assert_string_equal(c.worker->id, "w03");
	fixture_clear(&s);
}

/* Guards against counting prefixes of other weights as cached. */
static void
prefixes_belong_to_their_weights(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *first;
	struct jh_choice c;
	struct fixture s;

	fixture_init(&s);
	first = send_to(&s, START, &r);
	jh_worker_observed_weights(first, START, "m", 2);
	jh_choose(s.chooser, s.fleet, START + MSEC, &r, &c);
	assert_int_equal(c.uncached, 6300);
	assert_true(c.source == NULL || jh_worker_weights(c.source, "m") ==
					    jh_worker_weights(c.worker, "m"));
	fixture_clear(&s);
}

/* Guards against computing a prefix that no worker has but the store. */
static void
prefix_is_fetched_from_store(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct fixture s;

	fixture_init(&s);
	r.prefix_store = 77;
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_true(c.save);
	assert_false(c.from_store);
	jh_chooser_sent(s.chooser, START, &r, &c);
	jh_choose(s.chooser, s.fleet, START + 15 * SEC, &r, &c);
	assert_true(c.from_store);
	assert_null(c.source);
	fixture_clear(&s);
}

/* A store in each of the zones z1 and z2. */
static void
use_stores(struct fixture *s)
{
	struct jh_prefix_store stores[] = {
	    {.hash = 71, .name = "a", .zone = "z1", .link_mbps = 270000},
	    {.hash = 72, .name = "b", .zone = "z2", .link_mbps = 270000},
	};

	jh_prefix_stores_configure(
	    jh_chooser_stores(s->chooser), stores, G_N_ELEMENTS(stores));
}

/*
 * Guards against a prefix that is computed again because its worker may have
 * evicted it, though a store has it, and against transfers without a need.
 */
static void
stores_have_what_workers_evict(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c, first;
	struct fixture s;

	fixture_init(&s);
	use_stores(&s);
	r.prefix_store = 77;
	jh_choose(s.chooser, s.fleet, START, &r, &first);
	assert_non_null(first.stores.save);
	assert_false(first.save);
	assert_null(first.stores.fetch);
	jh_chooser_sent(s.chooser, START, &r, &first);
	/* Surely still there. */
	jh_choose(s.chooser, s.fleet, START + SEC / 2, &r, &c);
	assert_ptr_equal(c.worker, first.worker);
	assert_null(c.stores.fetch);
	/* Likely there: a source is named, but nothing expected of it. */
	jh_choose(s.chooser, s.fleet, START + 5 * SEC, &r, &c);
	assert_ptr_equal(c.worker, first.worker);
	assert_int_equal(c.uncached, 0);
	assert_int_equal(c.from_stores, 0);
	assert_ptr_equal(c.stores.fetch, first.stores.save);
	/* Not there. */
	jh_choose(s.chooser, s.fleet, START + 9 * SEC, &r, &c);
	assert_int_equal(c.from_stores, 6300);
	assert_true(c.idle_ttft + 100 * MSEC < first.idle_ttft);
	assert_false(c.from_store);
	fixture_clear(&s);
}

/* Guards against trust in a cache whose memory running requests have taken. */
static void
evictions_follow_memory(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *w;
	struct jh_choice c;
	struct fixture s;
	uint64_t i;

	fixture_init(&s);
	use_stores(&s);
	w = send_to(&s, START, &r);
	w->held_tokens = 60000;
	jh_choose(s.chooser, s.fleet, START + 2 * SEC, &r, &c);
	assert_int_equal(c.uncached, 0);
	/* Room for 23,645 tokens; seven prefixes of some 3,000 follow. */
	for (i = 0; i < 7; i++) {
		struct jh_placement at = {100 + i, w->hash};
		jh_chooser_add_placement(s.chooser, START + SEC, &at);
	}
	jh_choose(s.chooser, s.fleet, START + 2 * SEC, &r, &c);
	assert_int_equal(c.uncached, 6300);
	/* It is there as long as it is in use. */
	jh_choose(s.chooser, s.fleet, START + SEC / 4, &r, &c);
	assert_int_equal(c.uncached, 0);
	fixture_clear(&s);
}

/* Guards against a store's slower link while a worker nearby is sure. */
static void
near_worker_comes_before_stores(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *from;
	struct jh_choice c;
	struct fixture s;
	size_t i;

	fixture_init(&s);
	use_stores(&s);
	from = send_to(&s, START, &r);
	for (i = 0; i < jh_fleet_count(s.fleet); i++) {
		struct jh_worker *w = jh_fleet_at(s.fleet, i);
		w->leaving = w == from || g_strcmp0(w->zone, from->zone) != 0;
	}
	jh_choose(s.chooser, s.fleet, START + SEC / 2, &r, &c);
	assert_ptr_equal(c.source, from);
	assert_null(c.stores.fetch);
	jh_choose(s.chooser, s.fleet, START + 2 * SEC, &r, &c);
	assert_null(c.source);
	assert_non_null(c.stores.fetch);
	fixture_clear(&s);
}

/* Guards against other decisions without several stores. */
static void
one_store_is_used_as_before(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c, first;
	struct fixture s;

	fixture_init(&s);
	r.prefix_store = 77;
	jh_choose(s.chooser, s.fleet, START, &r, &first);
	assert_null(first.stores.save);
	jh_chooser_sent(s.chooser, START, &r, &first);
	first.worker->held_tokens = r.cache_tokens;
	jh_choose(s.chooser, s.fleet, START + 3 * SEC, &r, &c);
	assert_int_equal(c.worker == first.worker ? c.uncached : 0, 0);
	jh_choose(s.chooser, s.fleet, START + 15 * SEC, &r, &c);
	assert_true(c.from_store);
	assert_int_equal(c.from_stores, 0);
	fixture_clear(&s);
}

/* Guards against placements that are not announced, or twice. */
static void
placements_are_announced_once(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_placement announced[8];
	struct fixture s, other;
	struct jh_worker *w;
	struct jh_choice c;
	size_t n, i;

	fixture_init(&s);
	fixture_init(&other);
	w = send_to(&s, START, &r);
	n = jh_chooser_take_announcements(
	    s.chooser, announced, G_N_ELEMENTS(announced));
	assert_int_equal(n, 2);
	assert_int_equal(
	    jh_chooser_take_announcements(s.chooser, announced + n, 6), 0);
	for (i = 0; i < n; i++)
		jh_chooser_add_placement(other.chooser, START, &announced[i]);
	jh_choose(other.chooser, other.fleet, START + SEC, &r, &c);
	assert_string_equal(c.worker->id, w->id);
	assert_int_equal(c.uncached, 0);
	fixture_clear(&s);
	fixture_clear(&other);
}

static struct jh_admit_decision
decide_admission(
    uint64_t wait, uint64_t base, uint64_t target, uint64_t time_left)
{
	struct jh_admit_request r = {wait + base, wait, target, time_left, 512};
	struct jh_admit_decision a;

	jh_admit(&r, &a);
	return a;
}

/* Guards against rejections while workers are free, and against long queues. */
static void
admission_depends_on_queue_wait(void **state)
{
	struct jh_admit_decision a;

	/* A large prompt alone is no reason to reject a request. */
	assert_true(decide_admission(0, 2 * SEC, SEC, 5 * SEC).admitted);
	assert_true(
	    decide_admission(100 * MSEC, 300 * MSEC, 500 * MSEC, SEC).admitted);
	a = decide_admission(2 * SEC, 200 * MSEC, 1500 * MSEC, 5 * SEC);
	assert_false(a.admitted);
	assert_true(a.retry_seconds > 0.2);
	/* Clients honour a delay of up to a third of their time left. */
	a = decide_admission(20 * SEC, 200 * MSEC, 1500 * MSEC, 3 * SEC);
	assert_true(a.retry_seconds <= 1.0);
}

static void
retries_are_spread_and_not_early(void **state)
{
	unsigned int differ = 0, hash;
	double delay;

	for (hash = 0; hash < 1000; hash++) {
		delay = jh_admit_spread_retry(2, hash);
		assert_true(delay >= 2 && delay <= 3);
		differ += delay > 2.25 && delay < 2.75;
	}
	assert_in_range(differ, 300, 700);
}

/* Names a limit of one request a second, and uses up what it allows now. */
static void
use_up_limit(struct jh_rate_limits *l, const struct jh_worker *w)
{
	jh_rate_limits_named(l, START, w->hash, w->started_ms, 1);
	while (jh_rate_limits_room_at(l, START, w->hash) <= START)
		jh_rate_limits_sent(l, START, w->hash);
}

/* Guards against requests to a worker that has no room within its limit. */
static void
worker_with_room_comes_first(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *cached;
	struct jh_choice c;
	struct fixture s;
	size_t i;

	fixture_init(&s);
	r.rate_limits = jh_rate_limits_create(START - 10 * SEC);
	cached = send_to(&s, START, &r);
	assert_ptr_equal(send_to(&s, START, &r), cached);
	use_up_limit(r.rate_limits, cached);
	assert_ptr_not_equal(send_to(&s, START, &r), cached);
	for (i = 0; i < jh_fleet_count(s.fleet); i++)
		use_up_limit(r.rate_limits, jh_fleet_at(s.fleet, i));
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_null(c.worker);
	assert_true(c.any_worker);
	assert_in_range(c.room_at, START + 1, START + SEC + 1);
	jh_choose(s.chooser, s.fleet, c.room_at, &r, &c);
	assert_non_null(c.worker);
	jh_rate_limits_destroy(r.rate_limits);
	fixture_clear(&s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(same_prefix_goes_to_one_worker),
	    cmocka_unit_test(short_queue_keeps_prefix_at_worker),
	    cmocka_unit_test(long_queue_moves_prefix_to_other_worker),
	    cmocka_unit_test(short_prompts_stay_in_region),
	    cmocka_unit_test(ineligible_workers_get_no_requests),
	    cmocka_unit_test(worker_is_used_for_each_of_its_models),
	    cmocka_unit_test(workers_in_backoff_are_used_last),
	    cmocka_unit_test(outdated_since_first_newer_version),
	    cmocka_unit_test(prefixes_belong_to_their_weights),
	    cmocka_unit_test(prefix_is_fetched_from_store),
	    cmocka_unit_test(stores_have_what_workers_evict),
	    cmocka_unit_test(evictions_follow_memory),
	    cmocka_unit_test(near_worker_comes_before_stores),
	    cmocka_unit_test(one_store_is_used_as_before),
	    cmocka_unit_test(placements_are_announced_once),
	    cmocka_unit_test(admission_depends_on_queue_wait),
	    cmocka_unit_test(retries_are_spread_and_not_early),
	    cmocka_unit_test(worker_with_room_comes_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
