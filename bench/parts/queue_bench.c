#include <malloc.h>
#include <stdio.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "bench.h"
#include "queue_sim.h"

/* Load of the steady case as a share of capacity. */
#define STEADY_LOAD 0.8
#define FLOOD_FACTOR 5
#define LARGE_FACTOR 10
#define RUN_SECONDS (12 * 3600.0)
/* Targets from the design page. */
#define FLOOD_TARGET 1.1
#define SMALL_ORGS_TARGET 1.25
#define FIRST_TOKEN_TARGET_MS 1000.0
#define FLOOR_TARGET 0.10

enum queue_case {
	CASE_STEADY,
	CASE_BACKGROUND_FLOOD,
	CASE_URGENT_FLOOD,
	CASE_SMALL_ALONE,
	CASE_LARGE_ORGS,
	CASE_FLOOD_SLOWDOWN,
	CASES,
};

/* Factors of each case on the steady load of an organisation. */
static const struct {
	const char *name;
	double rank[JH_RANKS];
	double large;
	double slowdown;
} cases[CASES] = {
    [CASE_STEADY] = {"steady", {1, 1}, 1, 0},
    [CASE_BACKGROUND_FLOOD] = {"background-flood", {1, FLOOD_FACTOR}, 1, 0},
    [CASE_URGENT_FLOOD] = {"urgent-flood", {FLOOD_FACTOR, 1}, 1, 0},
    [CASE_SMALL_ALONE] = {"small-alone", {1, 1}, 0, 0},
    [CASE_LARGE_ORGS] = {"large-callers", {1, 1}, LARGE_FACTOR, 0},
    [CASE_FLOOD_SLOWDOWN] = {"flood-slowdown", {1, FLOOD_FACTOR}, 1, 1.5},
};

static const struct queue_policy *const policies[] = {
    &queue_fifo, &queue_strict, &queue_ranked};

static struct queue_load
case_load(enum queue_case c, double capacity)
{
	static const double share[JH_RANKS] = {0.75, 0.25};
	struct queue_load l = {.slowdown = cases[c].slowdown};
	double each = STEADY_LOAD * capacity / QUEUE_ORGS;
	int o, r;

	for (o = 0; o < QUEUE_ORGS; o++) {
		for (r = 0; r < JH_RANKS; r++)
			l.rate[o][r] =
			    each * share[r] * cases[c].rank[r] *
			    (o < QUEUE_LARGE_ORGS ? cases[c].large : 1);
	}
	return l;
}

static void
print_group(const char *name, const struct queue_group *g, double seconds)
{
	double n = g->arrived > 0 ? (double)g->arrived : 1;

	printf("  %-10s %7.0f %7.0f %7.0f %7.0f  %8.3f %8.3f %8.3f %8.3f"
	       " %8.3f\n",
	    name, queue_group_quantile(g, 0.5), queue_group_quantile(g, 0.95),
	    queue_group_quantile(g, 0.99), queue_group_quantile(g, 0.999),
	    (double)g->on_time / seconds, (double)g->on_time / n,
	    (double)g->refused[JH_QUEUE_DEADLINE] / n,
	    (double)(g->refused[JH_QUEUE_FULL] +
		     g->refused[JH_QUEUE_DISPLACED]) /
		n,
	    (double)g->refused[JH_QUEUE_EXPIRED] / n);
}

static double
background_share(const struct queue_result *r)
{
	uint64_t u = r->rank[JH_RANK_URGENT].cost;
	uint64_t b = r->rank[JH_RANK_BACKGROUND].cost;

	return u + b == 0 ? 0 : (double)b / (double)(u + b);
}

static void
print_result(
    const char *policy, enum queue_case c, const struct queue_result *r)
{
	printf("%s %s: background share of cost %.3f\n", cases[c].name, policy,
	    background_share(r));
	printf("  %-10s %7s %7s %7s %7s  %8s %8s %8s %8s %8s\n", "group",
	    "p50 ms", "p95", "p99", "p99.9", "goodput", "on time", "refused",
	    "no room", "expired");
	print_group("urgent", &r->rank[JH_RANK_URGENT], r->seconds);
	print_group("background", &r->rank[JH_RANK_BACKGROUND], r->seconds);
	print_group("u. small", &r->small, r->seconds);
	print_group("u. large", &r->large, r->seconds);
}

static void
print_target(const char *what, double value, double bound, bool met)
{
	printf("  %-56s %7.3f (target %.2f) %s\n", what, value, bound,
	    met ? "met" : "NOT MET");
}

static void
print_targets(const char *policy, const struct queue_result r[CASES])
{
	double p99[CASES], small, alone, p95, share;
	int c;

	for (c = 0; c < CASES; c++)
		p99[c] = queue_group_quantile(&r[c].rank[JH_RANK_URGENT], 0.99);
	small = queue_group_quantile(&r[CASE_LARGE_ORGS].small, 0.99);
	alone = queue_group_quantile(&r[CASE_SMALL_ALONE].small, 0.99);
	p95 = queue_group_quantile(&r[CASE_STEADY].rank[JH_RANK_URGENT], 0.95);
	share = background_share(&r[CASE_URGENT_FLOOD]);
	printf("targets, %s:\n", policy);
	print_target("urgent p95 TTFT at 0.8, of 1 s",
	    p95 / FIRST_TOKEN_TARGET_MS, 1, p95 <= FIRST_TOKEN_TARGET_MS);
	print_target("urgent p99 in a background flood, of its steady value",
	    p99[CASE_BACKGROUND_FLOOD] / p99[CASE_STEADY], FLOOD_TARGET,
	    p99[CASE_BACKGROUND_FLOOD] <= FLOOD_TARGET * p99[CASE_STEADY]);
	print_target("background share of cost in an urgent flood", share,
	    FLOOR_TARGET, share >= FLOOR_TARGET);
	print_target("small callers' p99 beside large, of it alone",
	    small / alone, SMALL_ORGS_TARGET,
	    small <= SMALL_ORGS_TARGET * alone);
}

static void
run_policy(const struct queue_policy *p, double capacity, uint64_t seed)
{
	struct queue_result r[CASES];
	struct queue_load l;
	int c;

	for (c = 0; c < CASES; c++) {
		l = case_load(c, capacity);
		queue_sim_run(p, &l, seed, RUN_SECONDS, &r[c]);
		print_result(p->name, c, &r[c]);
	}
	print_targets(p->name, r);
	for (c = 0; c < CASES; c++)
		queue_result_clear(&r[c]);
}

static size_t
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* Measures offer, next and finish while depth items are queued. */
static void
measure_speed(size_t depth, unsigned int orgs, GRand *rand)
{
	struct jh_queue_config config;
	struct jh_queue_decision d;
	struct jh_queue_item it = {.decode = 100};
	struct jh_queue *q;
	uint64_t id = 0, t0 = 0, rounds = 200000, i;
	size_t before = heap_bytes(), bytes = 0;
	char org[16];

	jh_queue_config_init(&config);
	config.max_items = 2 * depth;
	config.max_cost = UINT64_MAX / 2;
	q = jh_queue_create(&config);
	for (i = 0; i < depth + rounds; i++) {
		if (i == depth) {
			bytes = heap_bytes() - before;
			t0 = jh_now();
		}
		g_snprintf(org, sizeof(org), "org-%u",
		    (unsigned int)g_rand_int_range(rand, 0, (gint32)orgs));
		it.org = jh_str_from(org);
		it.id = ++id;
		it.rank = id % JH_RANKS;
		it.prefill = (uint32_t)g_rand_int_range(rand, 1, 2000);
		it.deadline = (uint64_t)g_rand_int(rand) * 1000000000;
		jh_queue_offer(q, 1, &it, &d);
		if (i >= depth && jh_queue_next(q, 1, &it)) {
			jh_queue_first_token(q, 1, it.id);
			jh_queue_finished(q, 1, it.id, JH_QUEUE_END_DONE, 100);
		}
	}
	printf("  %8zu %8u %14.0f %12.0f\n", depth, orgs,
	    (double)rounds * JH_USEC_PER_SEC / (double)(jh_now() - t0),
	    (double)bytes / (double)depth);
	jh_queue_destroy(q);
}

static void
print_speed(uint64_t seed)
{
	GRand *rand = g_rand_new_with_seed((guint32)seed);

	printf("speed (real time, one core; one offer, next, first token and "
	       "end is one operation):\n  %8s %8s %14s %12s\n",
	    "queued", "orgs", "operations/s", "bytes/item");
	measure_speed(100, 8, rand);
	measure_speed(1000, 8, rand);
	measure_speed(10000, 8, rand);
	measure_speed(100000, 8, rand);
	measure_speed(4096, 1300, rand);
	measure_speed(100000, 1300, rand);
	g_rand_free(rand);
}

int
queue_bench_run(uint64_t seed)
{
	double capacity = queue_sim_capacity(seed);
	size_t i;

	printf("queue: seed %" G_GUINT64_FORMAT ", capacity %.2f requests/s, "
	       "%.0f s a case, goodput in requests/s, refusals as shares of "
	       "arrivals\n",
	    seed, capacity, RUN_SECONDS);
	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		run_policy(policies[i], capacity, seed);
	print_speed(seed);
	return 0;
}
