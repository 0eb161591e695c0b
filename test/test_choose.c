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
struct site {
	GHashTable *regions;
	struct jh_fleet *fleet;
	struct jh_chooser *chooser;
};

static struct jh_worker *
list_worker(struct site *s, uint64_t now, const char *id, const char *zone,
    uint64_t weights)
{
	struct jh_listing l = {
	    .id = id,
	    .service = "llm",
	    .zone = zone,
	    .slots = 96,
	    .model = "m",
	    .weights = weights,
	};

	return jh_fleet_list(s->fleet, now, &l);
}

static void
site_init(struct site *s)
{
	struct jh_choose_site at = {"z0", NULL};
	char id[16], zone[8];
	int i;

	s->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(s->regions, "z0", "near");
	g_hash_table_insert(s->regions, "z1", "near");
	g_hash_table_insert(s->regions, "z2", "far");
	s->fleet = jh_fleet_create();
	at.regions = s->regions;
	s->chooser = jh_chooser_create(&at);
	for (i = 0; i < 12; i++) {
		g_snprintf(id, sizeof(id), "w%02d", i);
		g_snprintf(zone, sizeof(zone), "z%d", i % 3);
		list_worker(s, START, id, zone, 1);
	}
}

static void
site_clear(struct site *s)
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
	    .level = {{first, 2500}, {second, 3800}},
	    .n_levels = 2,
	    .own_tokens = 2900,
	    .answer_tokens = 13,
	    .cache_tokens = 83645,
	};

	return r;
}

static struct jh_worker *
send_to(struct site *s, uint64_t now, const struct jh_choose_request *r)
{
	struct jh_choice c;

	jh_choose(s->chooser, s->fleet, now, r, &c);
	assert_non_null(c.worker);
	jh_chooser_placed(s->chooser, now, r, &c);
	return c.worker;
}

/* Guards against a shared part that is read at several workers. */
static void
same_parts_go_to_one_worker(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *first;
	struct site s, other;
	int i;

	site_init(&s);
	site_init(&other);
	first = send_to(&s, START, &r);
	/* Another process that knows nothing yet ranks the workers alike. */
	assert_string_equal(send_to(&other, START, &r)->id, first->id);
	for (i = 1; i < 20; i++)
		assert_ptr_equal(
		    send_to(&s, START + (uint64_t)i * 100 * MSEC, &r), first);
	site_clear(&s);
	site_clear(&other);
}

/* Guards against a small queue that moves a prompt away from its cache. */
static void
short_queue_keeps_a_prompt(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *first;
	struct site s;

	site_init(&s);
	first = send_to(&s, START, &r);
	first->prefill_tokens = 20000; /* about half a second */
	assert_ptr_equal(send_to(&s, START + SEC, &r), first);
	site_clear(&s);
}

/* Guards against a hot prompt that queues while other workers are free. */
static void
long_queue_spreads_a_prompt(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *first;
	struct jh_choice c;
	struct site s;

	site_init(&s);
	first = send_to(&s, START, &r);
	first->prefill_tokens = 40000;
	r.fastest = true;
	jh_choose(s.chooser, s.fleet, START + SEC, &r, &c);
	assert_ptr_not_equal(c.worker, first);
	/* It fetches from the worker that has the parts. */
	assert_ptr_equal(c.source, first);
	site_clear(&s);
}

/* Guards against short prompts that cross regions for a few cached tokens. */
static void
short_prompts_stay_near(void **state)
{
	struct site s;
	uint64_t i;

	site_init(&s);
	for (i = 0; i < 50; i++) {
		struct jh_choose_request r = long_prompt(1000 + i, 2000 + i);
		r.level[0].tokens = 119;
		r.level[1].tokens = 79;
		r.own_tokens = 628;
		assert_string_not_equal(send_to(&s, START, &r)->zone, "z2");
	}
	site_clear(&s);
}

/* Guards against requests to workers that leave, load or were tried. */
static void
unfit_workers_get_nothing(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct site s;
	size_t i;

	site_init(&s);
	for (i = 0; i < jh_fleet_count(s.fleet); i++) {
		struct jh_worker *w = jh_fleet_at(s.fleet, i);
		if (i == 7)
			continue;
		if (i % 3 == 0)
			w->leaving = true;
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
	assert_true(c.any_alive);
	site_clear(&s);
}

/* Guards against a refusal when all workers have just failed once. */
static void
held_workers_are_better_than_none(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct site s;
	size_t i;

	site_init(&s);
	for (i = 0; i < jh_fleet_count(s.fleet); i++)
		jh_fleet_failed(jh_fleet_at(s.fleet, i), START);
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_non_null(c.worker);
	site_clear(&s);
}

/*
 * Guards against requests that begin on weights replaced too long ago: a
 * newer version must not restart the clock of a worker two versions behind.
 */
static void
outdated_since_the_first_newer_version(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct site s;
	uint64_t late = START + JH_CHOOSE_OLD_WEIGHTS_USEC + SEC;

	site_init(&s);
	r.named[0] = (struct jh_named_weights){1, START - SEC};
	r.named[1] = (struct jh_named_weights){2, START};
	r.named[2] = (struct jh_named_weights){3, late - SEC};
	r.n_named = 3;
	jh_choose(s.chooser, s.fleet, START + SEC, &r, &c);
	assert_non_null(c.worker);
	jh_choose(s.chooser, s.fleet, late, &r, &c);
	assert_null(c.worker);
	/* A worker of the version between may still serve. */
	list_worker(&s, late, "w03", "z0", 2);
	jh_choose(s.chooser, s.fleet, late, &r, &c);
	assert_string_equal(c.worker->id, "w03");
	site_clear(&s);
}

/* Guards against cached parts of other weights that count as held. */
static void
parts_belong_to_their_weights(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_worker *first;
	struct jh_choice c;
	struct site s;

	site_init(&s);
	first = send_to(&s, START, &r);
	jh_fleet_saw_weights(first, START, 2);
	jh_choose(s.chooser, s.fleet, START + MSEC, &r, &c);
	assert_int_equal(c.uncached, 6300);
	assert_true(c.source == NULL || c.source->weights == c.worker->weights);
	site_clear(&s);
}

/* Guards against parts that all workers dropped and that the store has. */
static void
store_keeps_what_workers_drop(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_choice c;
	struct site s;

	site_init(&s);
	r.store = 77;
	jh_choose(s.chooser, s.fleet, START, &r, &c);
	assert_true(c.save);
	assert_false(c.from_store);
	jh_chooser_placed(s.chooser, START, &r, &c);
	jh_choose(s.chooser, s.fleet, START + 15 * SEC, &r, &c);
	assert_true(c.from_store);
	assert_null(c.source);
	site_clear(&s);
}

/* Guards against news of placements that are lost or told twice. */
static void
placements_are_told_once(void **state)
{
	struct jh_choose_request r = long_prompt(1, 2);
	struct jh_placement news[8];
	struct site s, other;
	struct jh_worker *w;
	struct jh_choice c;
	size_t n, i;

	site_init(&s);
	site_init(&other);
	w = send_to(&s, START, &r);
	n = jh_chooser_take_news(s.chooser, news, G_N_ELEMENTS(news));
	assert_int_equal(n, 2);
	assert_int_equal(jh_chooser_take_news(s.chooser, news + n, 6), 0);
	for (i = 0; i < n; i++)
		jh_chooser_told(other.chooser, START, &news[i]);
	jh_choose(other.chooser, other.fleet, START + SEC, &r, &c);
	assert_string_equal(c.worker->id, w->id);
	assert_int_equal(c.uncached, 0);
	site_clear(&s);
	site_clear(&other);
}

static struct jh_admit_answer
ask(uint64_t wait, uint64_t base, uint64_t target, uint64_t left)
{
	struct jh_admit_request r = {wait + base, wait, target, left, 512};
	struct jh_admit_answer a;

	jh_admit(&r, &a);
	return a;
}

/* Guards against refusals beside free workers, and against hopeless queues. */
static void
admission_follows_the_wait(void **state)
{
	struct jh_admit_answer a;

	/* A large prompt alone is no reason. */
	assert_true(ask(0, 2 * SEC, SEC, 5 * SEC).admitted);
	assert_true(ask(100 * MSEC, 300 * MSEC, 500 * MSEC, SEC).admitted);
	a = ask(2 * SEC, 200 * MSEC, 1500 * MSEC, 5 * SEC);
	assert_false(a.admitted);
	assert_true(a.retry_seconds > 0.2);
	/* Clients do not honour more than a third of their time. */
	a = ask(20 * SEC, 200 * MSEC, 1500 * MSEC, 3 * SEC);
	assert_true(a.retry_seconds <= 1.0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(same_parts_go_to_one_worker),
	    cmocka_unit_test(short_queue_keeps_a_prompt),
	    cmocka_unit_test(long_queue_spreads_a_prompt),
	    cmocka_unit_test(short_prompts_stay_near),
	    cmocka_unit_test(unfit_workers_get_nothing),
	    cmocka_unit_test(held_workers_are_better_than_none),
	    cmocka_unit_test(outdated_since_the_first_newer_version),
	    cmocka_unit_test(parts_belong_to_their_weights),
	    cmocka_unit_test(store_keeps_what_workers_drop),
	    cmocka_unit_test(placements_are_told_once),
	    cmocka_unit_test(admission_follows_the_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
