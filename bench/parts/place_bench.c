#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "place_bench.h"
#include "place_load.h"
#include "place_server.h"
#include "place_sim.h"

static const struct place_case fleets[] = {
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

static const char *const event_names[] = {
    "steady", "hot prefix shift", "herd restart", "worker crashes"};

static const struct jh_place_policy *const policies[] = {&jh_place_round_robin,
    &jh_place_least_load, &jh_place_rendezvous, &jh_place_affinity, NULL};

static void
print_row(const struct place_case *c, const struct jh_place_policy *policy)
{
	struct place_result r;
	struct place_stats *t = &r.all;

	place_sim_run(c, policy, &r);
	printf("%-12s %6.4f %6.4f",
	    policy == NULL ? "full_know." : policy->name, place_stats_hit(t),
	    place_stats_hit(t) / place_stats_hit_bound(t));
	printf(" %7.0f %7.0f %7.0f %7.0f", place_stats_percentile(t, 0.5),
	    place_stats_percentile(t, 0.95), place_stats_percentile(t, 0.99),
	    place_stats_percentile(t, 0.999));
	printf(" %9.0f %8.0f %5.2f %6" PRIu64, (double)t->again / 1e3,
	    (double)(t->asked - t->found) / t->ttft->len,
	    (double)t->attempts / t->ttft->len, t->refused);
	if (c->event != PLACE_STEADY)
		printf(" %6.4f %7.0f %6.4f %7.0f",
		    place_stats_hit(&r.after[0]) /
			place_stats_hit_bound(&r.after[0]),
		    place_stats_percentile(&r.after[0], 0.95),
		    place_stats_hit(&r.after[1]) /
			place_stats_hit_bound(&r.after[1]),
		    place_stats_percentile(&r.after[1], 0.95));
	printf("\n");
	fflush(stdout);
	place_result_clear(&r);
}

static void
print_case(const struct place_case *c)
{
	size_t i;

	printf("\n%u workers, %s, load %.1f: region of %u workers, %u entry "
	       "daemons, %s\n",
	    c->workers, event_names[c->event], c->load, c->region_workers,
	    c->region_entries, "TTFT in ms");
	printf("%-12s %6s %6s %7s %7s %7s %7s %9s %8s %5s %6s%s\n", "policy",
	    "hit", "/bound", "p50", "p95", "p99", "p99.9", "again_kt",
	    "comp/req", "tries", "refus.",
	    c->event == PLACE_STEADY ? "" : " h0-5s p95_0-5 h5-10s p95_5-10");
	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		print_row(c, policies[i]);
}

/* Real time of decisions at the largest fleet. */
static void
print_cost(const struct jh_place_policy *policy, uint64_t seed)
{
	const struct place_case *c = &fleets[G_N_ELEMENTS(fleets) - 1];
	const uint32_t n = 200000;
	struct place_load *l =
	    place_load_create(seed, 12 * c->region_workers, 1, 19);
	struct place_arrival *a = g_new(struct place_arrival, n);
	struct jh_place_worker *w = g_new0(struct jh_place_worker, c->workers);
	struct jh_placer *p = jh_placer_create(policy, seed);
	struct jh_candidate out[JH_PLACE_MAX_CANDIDATES];
	uint64_t start, used;
	uint32_t i;

	for (i = 0; i < c->workers; i++)
		w[i] = (struct jh_place_worker){
		    i, i % c->regions, PLACE_PREFILL_RATE, 200, false};
	jh_placer_set_workers(p, 0, w, c->workers);
	jh_placer_set_entries(p, c->region_entries);
	for (i = 0; i < n; i++)
		place_load_next(l, &a[i]);
	start = jh_now();
	for (i = 0; i < n; i++) {
		const struct jh_place_request r = {.prefix = &a[i].prefix,
		    .prefill_tokens = 200,
		    .decode_tokens = PLACE_DECODE_TOKENS};

		jh_placer_choose(p, a[i].at, &r, out, G_N_ELEMENTS(out));
	}
	used = jh_now() - start;
	printf("%-16s %8.2f us %10.0f decisions/s %8zu bytes\n", policy->name,
	    (double)used / n, n * 1e6 / (double)used, jh_placer_bytes(p));
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

	printf("decision cost, 6400 workers in 6 regions, one core\n");
	for (i = 0; policies[i] != NULL; i++)
		print_cost(policies[i], seed);
	for (f = 0; f < G_N_ELEMENTS(fleets); f++) {
		for (event = PLACE_STEADY; event <= PLACE_CRASH; event++) {
			struct place_case c = fleets[f];

			c.seed = seed;
			c.load = 0.8;
			c.event = event;
			print_case(&c);
		}
	}
	return 0;
}
