#include <stdio.h>

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/place.h>

#include "cost.h"

#define REGIONS 6
#define STEP_USEC (JH_USEC_PER_SEC / 19) /* between an entry's requests */
#define BUILD_SAMPLES 300 /* prefixes placed again after a change */

struct placement {
	struct jh_placer *placer;
	struct jh_place_worker *workers;
	uint32_t n;
	uint32_t prefixes;
	uint64_t now;
};

static uint64_t
hash_id(uint64_t x)
{
	x = (x ^ (x >> 31)) * 0x9e3779b97f4a7c15ULL;
	return x ^ (x >> 29);
}

static void
choose(struct placement *f, uint64_t manual)
{
	struct jh_prefix x = {.n = 3,
	    .level = {{hash_id(manual + 1), 8000},
		{hash_id(manual + 2) ^ 5, 400}, {hash_id(f->now), 60}}};
	struct jh_place_request r = {
	    .prefix = &x, .prefill_tokens = 460, .decode_tokens = 256};
	struct jh_candidate out[JH_PLACE_MAX_CANDIDATES];

	f->now += STEP_USEC;
	jh_placer_choose(f->placer, f->now, &r, out, JH_PLACE_MAX_CANDIDATES);
}

static void
choose_known(void *arg, uint64_t i)
{
	struct placement *f = arg;

	choose(f, hash_id(i) % f->prefixes);
}

/*
 * Chooses for a prefix whose order of workers must be built again, because a
 * worker was replaced.
 */
static void
choose_after_change(void *arg, uint64_t i)
{
	struct placement *f = arg;

	choose(f, i % BUILD_SAMPLES);
}

static void
replace_worker(void *arg, uint64_t i)
{
	struct placement *f = arg;

	f->workers[i % f->n].id += 1000003;
	jh_placer_set_workers(f->placer, f->now, f->workers, f->n);
}

static void
set_unchanged(void *arg, uint64_t i)
{
	struct placement *f = arg;

	jh_placer_set_workers(f->placer, f->now, f->workers, f->n);
}

/* Chooses for a new prefix, whose order of workers is not built yet. */
static void
choose_new(void *arg, uint64_t i)
{
	struct placement *f = arg;

	choose(f, f->prefixes + i);
}

/* Stores the first candidate of each prefix in out. */
static void
first_choices(struct placement *f, uint64_t *out)
{
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	struct jh_prefix x = {.n = 1, .level = {{0, 8000}}};
	struct jh_place_request r = {
	    .prefix = &x, .prefill_tokens = 460, .decode_tokens = 256};
	uint32_t i;

	for (i = 0; i < f->prefixes; i++) {
		x.level[0].hash = hash_id(i + 1);
		jh_placer_choose(
		    f->placer, f->now, &r, c, JH_PLACE_MAX_CANDIDATES);
		out[i] = c[0].worker;
	}
}

/*
 * Removes some of the n workers of a region and prints how many prefixes get
 * another first candidate.
 */
static void
remove_zone(uint32_t n, uint32_t lost, uint64_t seed)
{
	struct placement f = {
	    .placer = jh_placer_create(&jh_place_affinity, seed),
	    .workers = g_new0(struct jh_place_worker, n),
	    .n = n,
	    .prefixes = 5000,
	    .now = JH_USEC_PER_SEC};
	uint64_t *before = g_new(uint64_t, f.prefixes);
	uint64_t *after = g_new(uint64_t, f.prefixes);
	uint32_t i, moved = 0;

	for (i = 0; i < n; i++)
		f.workers[i] = (struct jh_place_worker){.id = hash_id(i + 77),
		    .prefill_rate = 40000,
		    .decode_rate = 800};
	jh_placer_set_workers(f.placer, f.now, f.workers, n);
	first_choices(&f, before);
	jh_placer_set_workers(f.placer, f.now, f.workers + lost, n - lost);
	first_choices(&f, after);
	for (i = 0; i < f.prefixes; i++)
		moved += before[i] != after[i];
	printf("place: losing %u of %u workers moves %u of %u prefixes\n", lost,
	    n, moved, f.prefixes);
	jh_placer_destroy(f.placer);
	g_free(f.workers);
	g_free(before);
	g_free(after);
}

static void
measure(uint32_t n, uint32_t prefixes, uint64_t seed)
{
	size_t before = cost_heap();
	struct placement f = {
	    .placer = jh_placer_create(&jh_place_affinity, seed),
	    .workers = g_new0(struct jh_place_worker, n),
	    .n = n,
	    .prefixes = prefixes,
	    .now = JH_USEC_PER_SEC};
	char label[40];
	uint32_t i;

	for (i = 0; i < n; i++)
		f.workers[i] = (struct jh_place_worker){.id = hash_id(i + 77),
		    .region = i % REGIONS,
		    .prefill_rate = 40000,
		    .decode_rate = 800};
	jh_placer_set_workers(f.placer, f.now, f.workers, n);
	jh_placer_set_entry_daemons(f.placer, 57);
	for (i = 0; i < prefixes; i++)
		choose(&f, i);
	g_snprintf(label, sizeof(label), "decide, %u prefixes", prefixes);
	cost_print("place", n, label,
	    cost_measure(COST_THREAD, choose_known, &f, 20000),
	    (double)(cost_heap() - before));
	cost_print("place", n, "  own figure of bytes", (struct cost){0},
	    (double)jh_placer_bytes(f.placer));
	cost_print("place", n, "set workers, unchanged",
	    cost_measure(COST_THREAD, set_unchanged, &f, 20), -1);
	cost_print("place", n, "set workers, one changed",
	    cost_measure(COST_THREAD, replace_worker, &f, 20), -1);
	cost_print("place", n, "decide, order not built",
	    cost_measure(COST_THREAD, choose_new, &f, BUILD_SAMPLES), -1);
	replace_worker(&f, 1);
	cost_print("place", n, "decide, after a change",
	    cost_measure(COST_THREAD, choose_after_change, &f, 1), -1);
	jh_placer_destroy(f.placer);
	g_free(f.workers);
}

void
cost_place(uint64_t seed)
{
	static const uint32_t workers[] = {120, 1067, 6400};
	static const uint32_t prefixes[] = {1000, 10000};
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(workers); i++)
		for (j = 0; j < G_N_ELEMENTS(prefixes); j++)
			measure(workers[i], prefixes[j], seed);
	for (i = 0; i < G_N_ELEMENTS(workers); i++)
		remove_zone(workers[i], workers[i] * 2 / 5, seed);
}
