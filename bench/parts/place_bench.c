#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "place_bench.h"
#include "place_load.h"
#include "place_server.h"
#include "place_sim.h"

static const struct place_case sizes[] = {
    {.workers = 9, .regions = 2, .region_workers = 6, .region_entries = 2},
    {.workers = 12, .regions = 2, .region_workers = 8, .region_entries = 2},
    {.workers = 120, .regions = 2, .region_workers = 60, .region_entries = 4},
    {.workers = 1200,
	.regions = 6,
	.region_workers = 200,
	.region_entries = 11},
    {.workers = 6400,
	.regions = 6,
	.region_workers = 1067,
	.region_entries = 57},
};

/* Simulations that run in parallel; each is deterministic. */
#define THREADS 3

static const char *const event_names[] = {
    "steady", "hot prefix shift", "herd restart", "worker crashes"};

static const struct jh_place_policy *const policies[] = {&jh_place_round_robin,
    &jh_place_least_load, &jh_place_rendezvous, &jh_place_affinity, NULL};

/* One row of a table. */
struct row {
	const struct place_case *c;
	const struct jh_place_policy *policy;
	struct place_result r;
};

static void
run_row(gpointer data, gpointer unused)
{
	struct row *row = data;

	place_sim_run(row->c, row->policy, &row->r);
}

static double
hit_over_bound(const struct place_stats *t)
{
	return place_stats_hit(t) / place_stats_hit_bound(t);
}

static void
print_row(struct row *row)
{
	struct place_stats *t = &row->r.all, *after;
	double n = t->ttft->len;
	int i;

	printf("%-12s %6.4f %6.4f",
	    row->policy == NULL ? "knows_all" : row->policy->name,
	    place_stats_hit(t), hit_over_bound(t));
	printf(" %7.0f %7.0f %7.0f %7.0f", place_stats_percentile(t, 0.5),
	    place_stats_percentile(t, 0.95), place_stats_percentile(t, 0.99),
	    place_stats_percentile(t, 0.999));
	printf(" %6.0f %6.0f %5.2f %6" PRIu64, (double)t->recomputed / n,
	    (double)(t->prompt_tokens - t->hit_tokens) / n,
	    (double)t->attempts / n, t->refused_by_all);
	for (i = 0; i < PLACE_WINDOWS && row->c->event != PLACE_STEADY; i++) {
		after = &row->r.after[i];
		printf(" %6.4f %7.0f", hit_over_bound(after),
		    place_stats_percentile(after, 0.95));
	}
	printf("\n");
	fflush(stdout);
	place_result_clear(&row->r);
}

static void
print_case(const struct place_case *c)
{
	struct row rows[G_N_ELEMENTS(policies)];
	GThreadPool *pool =
	    g_thread_pool_new(run_row, NULL, THREADS, TRUE, NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(policies); i++) {
		rows[i] = (struct row){.c = c, .policy = policies[i]};
		g_thread_pool_push(pool, &rows[i], NULL);
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	printf("\n%u workers, %s, load %.1f; simulated: a region of %u "
	       "workers and %u entry daemons\n",
	    c->workers, event_names[c->event], c->load, c->region_workers,
	    c->region_entries);
	printf("%-12s %6s %6s %7s %7s %7s %7s %6s %6s %5s %6s%s\n", "policy",
	    "hit", "/bound", "p50", "p95", "p99", "p99.9", "again", "comp",
	    "offers", "forced",
	    c->event == PLACE_STEADY ? "" : "  0-5 s     p95 5-10 s     p95");
	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		print_row(&rows[i]);
}

static uint64_t
now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000000000 + (uint64_t)t.tv_nsec;
}

/* Measures the real time of a decision with the most workers. */
static void
print_cost(const struct jh_place_policy *policy, uint64_t seed)
{
	const struct place_case *c = &sizes[G_N_ELEMENTS(sizes) - 1];
	const uint32_t n = 200000;
	struct place_load *l =
	    place_load_create(seed, 12 * c->region_workers, 1, 19);
	struct place_arrival *a = g_new(struct place_arrival, n);
	struct jh_place_worker *w = g_new0(struct jh_place_worker, c->workers);
	struct jh_placer *p = jh_placer_create(policy, seed);
	struct jh_candidate out[JH_PLACE_MAX_CANDIDATES];
	GArray *ns = g_array_sized_new(FALSE, FALSE, sizeof(float), n);
	struct place_stats cost = {.ttft = ns};
	uint64_t start, used = 0;
	uint32_t i;
	float took;

	for (i = 0; i < c->workers; i++)
		w[i] = (struct jh_place_worker){
		    i, i % c->regions, PLACE_PREFILL_RATE, 200, false};
	jh_placer_set_workers(p, 0, w, c->workers);
	jh_placer_set_entry_daemons(p, c->region_entries);
	for (i = 0; i < n; i++)
		place_load_next(l, &a[i]);
	for (i = 0; i < n; i++) {
		const struct jh_place_request r = {.prefix = &a[i].prefix,
		    .prefill_tokens = 200,
		    .decode_tokens = PLACE_DECODE_TOKENS};

		start = now_ns();
		jh_placer_choose(p, a[i].at, &r, out, G_N_ELEMENTS(out));
		took = (float)(now_ns() - start);
		used += (uint64_t)took;
		g_array_append_val(ns, took);
	}
	printf("%-12s %6.2f %6.2f %6.2f %6.2f us %9.0f decisions/s %8zu "
	       "bytes\n",
	    policy->name, (double)used / n / 1e3,
	    place_stats_percentile(&cost, 0.5) / 1e3,
	    place_stats_percentile(&cost, 0.99) / 1e3,
	    place_stats_percentile(&cost, 0.999) / 1e3, n * 1e9 / (double)used,
	    jh_placer_bytes(p));
	g_array_free(ns, TRUE);
	jh_placer_destroy(p);
	place_load_destroy(l);
	g_free(w);
	g_free(a);
}

int
place_bench_run(uint64_t seed)
{
	size_t f, i;
	int event;

	printf("decision cost, 6400 workers in 6 regions, one core: mean, "
	       "p50, p99, p99.9\n");
	for (i = 0; policies[i] != NULL; i++)
		print_cost(policies[i], seed);
	printf("\nTTFT in ms; again: prompt tokens computed a request although "
	       "another worker had them\ncached; comp: all prompt tokens "
	       "computed; offers: workers tried a request; forced: refused\n"
	       "by all. bound: prompt tokens that any worker computed before. "
	       "knows_all: chooses the\nworker with the earliest first token "
	       "from exact knowledge of queues and caches.\n");
	for (f = 0; f < G_N_ELEMENTS(sizes); f++) {
		for (event = PLACE_STEADY; event <= PLACE_CRASH; event++) {
			struct place_case c = sizes[f];

			c.seed = seed;
			c.load = 0.8;
			c.event = event;
			print_case(&c);
		}
	}
	return 0;
}
