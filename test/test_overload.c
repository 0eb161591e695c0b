#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "route/admit.h"
#include "route/choose.h"

/*
 * Replays, in virtual time, the load of the deployments' busiest minutes: long
 * prompts that share parts come at more than twice their usual rate beside
 * short urgent ones, while a third of the workers is away. The workers are
 * simple: they read prompts one after another and keep parts in an LRU memory.
 */

#define MSEC JH_USEC_PER_MSEC
#define SEC JH_USEC_PER_SEC
#define WORKERS 8
#define TOKENS_PER_MSEC 41
#define MEMORY 83645
#define LONG_PER_SEC 70
#define SHORT_PER_SEC 50
#define SUBJECTS 240
#define MANUALS 4
#define LENGTH (20 * SEC)
#define STREAM_USEC (900 * MSEC) /* a started answer holds its slot so long */

enum part { MANUAL = 2500, SUBJECT = 3800, LONG_OWN = 2900, SHORT_OWN = 630 };

/* A part in a worker's memory. */
struct kept {
	uint64_t key;
	uint32_t tokens;
	uint64_t used;
};

struct engine {
	struct jh_worker *worker;
	uint64_t free_at; /* has read what was sent so far */
	GArray *memory; /* struct kept */
	uint64_t memory_used;
};

/* A request whose first token or end is to come. */
struct running {
	struct engine *engine;
	uint64_t first_at, end_at;
	uint32_t prefill, held;
	bool started;
};

struct policy {
	bool admit; /* turn away what would wait too long */
	bool fastest; /* weigh reading again by its time alone */
};

struct outcome {
	unsigned int asked[2], in_aim[2], turned_away; /* long, short */
	uint64_t read_again; /* tokens of shared parts */
};

struct replay {
	GRand *rand;
	struct jh_fleet *fleet;
	struct jh_chooser *chooser;
	struct engine engines[WORKERS];
	GPtrArray *running;
	GHashTable *ever_read; /* keys that some worker has read */
	struct outcome out;
};

static bool
is_kept(struct engine *e, uint64_t key, uint64_t now)
{
	guint i;

	for (i = 0; i < e->memory->len; i++) {
		struct kept *k = &g_array_index(e->memory, struct kept, i);
		if (k->key == key) {
			k->used = now;
			return true;
		}
	}
	return false;
}

static void
keep(struct engine *e, uint64_t key, uint32_t tokens, uint64_t now)
{
	struct kept fresh = {key, tokens, now};

	g_array_append_val(e->memory, fresh);
	e->memory_used += tokens;
	while (e->memory_used > MEMORY && e->memory->len > 1) {
		guint oldest = 0, i;
		for (i = 1; i < e->memory->len; i++)
			if (g_array_index(e->memory, struct kept, i).used <
			    g_array_index(e->memory, struct kept, oldest).used)
				oldest = i;
		e->memory_used -=
		    g_array_index(e->memory, struct kept, oldest).tokens;
		g_array_remove_index_fast(e->memory, oldest);
	}
}

/* Tokens of the part that the worker has to read. */
static uint32_t
read_part(struct replay *r, struct engine *e, uint64_t key, uint32_t tokens,
    uint64_t now)
{
	if (is_kept(e, key, now))
		return 0;
	if (!g_hash_table_add(r->ever_read, g_memdup2(&key, sizeof(key))))
		r->out.read_again += tokens;
	keep(e, key, tokens, now);
	return tokens;
}

static struct engine *
engine_of(struct replay *r, const struct jh_worker *w)
{
	size_t i;

	for (i = 0; i < WORKERS; i++)
		if (r->engines[i].worker == w)
			return &r->engines[i];
	return NULL;
}

static void
start(struct replay *r, const struct jh_choose_request *q,
    const struct jh_choice *c, uint64_t now, bool is_long)
{
	struct engine *e = engine_of(r, c->worker);
	struct running *x = g_new0(struct running, 1);
	uint64_t aim = is_long ? 1500 * MSEC : 500 * MSEC;
	uint32_t tokens = q->own_tokens;
	size_t i;

	for (i = 0; i < q->n_levels; i++)
		tokens +=
		    read_part(r, e, q->level[i].key, q->level[i].tokens, now);
	keep(e, (uint64_t)g_rand_int(r->rand) << 32 | 1, q->own_tokens, now);
	x->engine = e;
	x->prefill = q->own_tokens + c->uncached;
	x->held = q->own_tokens;
	e->worker->prefill_tokens += x->prefill;
	e->worker->held_tokens += x->held;
	e->worker->running++;
	e->free_at = MAX(e->free_at, now) + tokens * 1000 / TOKENS_PER_MSEC;
	x->first_at = e->free_at;
	x->end_at = x->first_at + STREAM_USEC;
	g_ptr_array_add(r->running, x);
	jh_chooser_placed(r->chooser, now, q, c);
	if (x->first_at - now <= aim)
		r->out.in_aim[is_long ? 0 : 1]++;
}

static void
advance(struct replay *r, uint64_t now)
{
	guint i;

	for (i = r->running->len; i > 0; i--) {
		struct running *x = g_ptr_array_index(r->running, i - 1);
		struct jh_worker *w = x->engine->worker;
		if (!x->started && now >= x->first_at) {
			x->started = true;
			w->prefill_tokens -= x->prefill;
		}
		if (now >= x->end_at) {
			w->held_tokens -= x->held;
			w->running--;
			g_ptr_array_remove_index_fast(r->running, i - 1);
			g_free(x);
		}
	}
}

static void
arrive(
    struct replay *r, const struct policy *policy, uint64_t now, bool is_long)
{
	uint64_t subject = (uint64_t)g_rand_int_range(r->rand, 0, SUBJECTS);
	struct jh_choose_request q = {
	    .service = "llm",
	    .is_engine = true,
	    .model = "m",
	    .own_tokens = is_long ? LONG_OWN : SHORT_OWN,
	    .answer_tokens = 20,
	    .cache_tokens = MEMORY,
	    .fastest = policy->fastest,
	};
	struct jh_admit_request a = {
	    .target = is_long ? 1500 * MSEC : 500 * MSEC, .left = 5 * SEC};
	struct jh_admit_answer answer;
	struct jh_choice c;

	if (is_long) {
		q.n_levels = 2;
		q.level[0] =
		    (struct jh_choose_level){1000 + subject % MANUALS, MANUAL};
		q.level[1] = (struct jh_choose_level){5000 + subject, SUBJECT};
	}
	r->out.asked[is_long ? 0 : 1]++;
	jh_choose(r->chooser, r->fleet, now, &q, &c);
	assert_non_null(c.worker);
	a.expected = c.expected;
	a.wait = c.expected - c.base;
	a.hash = g_rand_int(r->rand);
	jh_admit(&a, &answer);
	if (policy->admit && !answer.admitted) {
		r->out.turned_away++;
		return;
	}
	start(r, &q, &c, now, is_long);
}

static struct outcome
replay(const struct policy *policy, unsigned int seed)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	struct jh_choose_site site = {"z", regions};
	struct replay r = {.rand = g_rand_new_with_seed(seed)};
	uint64_t now, step = MSEC;
	char id[8];
	size_t i;

	r.fleet = jh_fleet_create();
	r.chooser = jh_chooser_create(&site);
	r.running = g_ptr_array_new();
	r.ever_read =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (i = 0; i < WORKERS; i++) {
		struct jh_listing l = {.id = id,
		    .service = "llm",
		    .zone = "z",
		    .slots = 96,
		    .model = "m",
		    .weights = 1};
		g_snprintf(id, sizeof(id), "w%zu", i);
		r.engines[i].worker = jh_fleet_list(r.fleet, SEC, &l);
		r.engines[i].memory =
		    g_array_new(FALSE, FALSE, sizeof(struct kept));
	}
	for (now = SEC; now < SEC + LENGTH; now += step) {
		advance(&r, now);
		if (g_rand_double(r.rand) < LONG_PER_SEC / 1000.0)
			arrive(&r, policy, now, true);
		if (g_rand_double(r.rand) < SHORT_PER_SEC / 1000.0)
			arrive(&r, policy, now, false);
	}
	advance(&r, UINT64_MAX / 2);
	for (i = 0; i < WORKERS; i++)
		g_array_free(r.engines[i].memory, TRUE);
	g_ptr_array_free(r.running, TRUE);
	g_hash_table_destroy(r.ever_read);
	jh_chooser_destroy(r.chooser);
	jh_fleet_destroy(r.fleet);
	g_hash_table_unref(regions);
	g_rand_free(r.rand);
	return r.out;
}

/* Guards against placement by time alone, which copies parts everywhere. */
static void
weighing_reads_saves_reading(void **state)
{
	const struct policy by_time = {true, true}, weighed = {true, false};
	uint64_t again[2] = {0, 0};
	unsigned int in_aim[2] = {0, 0}, seed;

	for (seed = 1; seed <= 5; seed++) {
		struct outcome a = replay(&by_time, seed);
		struct outcome b = replay(&weighed, seed);
		again[0] += a.read_again;
		again[1] += b.read_again;
		in_aim[0] += a.in_aim[0] + a.in_aim[1];
		in_aim[1] += b.in_aim[0] + b.in_aim[1];
	}
	print_message("read again: %llu by time, %llu weighed; in aim %u, %u\n",
	    (unsigned long long)again[0], (unsigned long long)again[1],
	    in_aim[0], in_aim[1]);
	assert_true(again[1] < again[0]);
	assert_true(in_aim[1] >= in_aim[0]);
}

/* Guards against queues in which everything is late. */
static void
admission_keeps_aims(void **state)
{
	const struct policy open = {false, false}, bounded = {true, false};
	unsigned int in_aim[2] = {0, 0}, urgent[2] = {0, 0}, seed;

	for (seed = 1; seed <= 5; seed++) {
		struct outcome a = replay(&open, seed);
		struct outcome b = replay(&bounded, seed);
		in_aim[0] += a.in_aim[0] + a.in_aim[1];
		in_aim[1] += b.in_aim[0] + b.in_aim[1];
		urgent[0] += a.in_aim[1];
		urgent[1] += b.in_aim[1];
		assert_true(b.turned_away > 0);
	}
	print_message("in aim: %u open, %u bounded; urgent %u, %u\n", in_aim[0],
	    in_aim[1], urgent[0], urgent[1]);
	assert_true(in_aim[1] > in_aim[0]);
	assert_true(urgent[1] > urgent[0]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(weighing_reads_saves_reading),
	    cmocka_unit_test(admission_keeps_aims),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
