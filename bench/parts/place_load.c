#include <math.h>

#include "place_load.h"

#define SHIFTED_MANUALS 5

/* Zipf exponents of the popularity of manuals and of instructions. */
#define MANUAL_SKEW 1.0
#define ORG_SKEW 1.1

struct place_load {
	GRand *rand;
	uint64_t seed;
	uint64_t now;
	uint64_t questions;
	uint32_t manuals;
	uint32_t entries;
	double gap; /* mean microseconds between requests */
	double *manual_cdf; /* by popularity rank */
	double org_cdf[PLACE_ORGS];
	uint32_t *manual_by_rank; /* by popularity rank */
	uint32_t *tokens; /* by node */
};

static void
fill_cdf(double *cdf, uint32_t n, double skew)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < n; i++) {
		sum += pow(i + 1, -skew);
		cdf[i] = sum;
	}
	for (i = 0; i < n; i++)
		cdf[i] /= sum;
}

static uint32_t
draw(GRand *rand, const double *cdf, uint32_t n)
{
	double x = g_rand_double(rand);
	uint32_t lo = 0, hi = n - 1;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (cdf[mid] <= x)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct place_load *
place_load_create(
    uint64_t seed, uint32_t manuals, uint32_t entries, double rate)
{
	struct place_load *l = g_new0(struct place_load, 1);
	uint32_t i, nodes = manuals * (1 + PLACE_ORGS);

	l->rand = g_rand_new_with_seed((guint32)seed);
	l->seed = seed;
	l->manuals = manuals;
	l->entries = entries;
	l->gap = 1e6 / rate;
	l->manual_cdf = g_new(double, manuals);
	l->manual_by_rank = g_new(uint32_t, manuals);
	l->tokens = g_new(uint32_t, nodes);
	fill_cdf(l->manual_cdf, manuals, MANUAL_SKEW);
	fill_cdf(l->org_cdf, PLACE_ORGS, ORG_SKEW);
	for (i = 0; i < manuals; i++)
		l->manual_by_rank[i] = i;
	for (i = 0; i < nodes; i++)
		l->tokens[i] =
		    (uint32_t)(i < manuals
				   ? g_rand_int_range(l->rand, 60000, 140000)
				   : g_rand_int_range(l->rand, 500, 1500));
	return l;
}

void
place_load_destroy(struct place_load *l)
{
	g_rand_free(l->rand);
	g_free(l->manual_cdf);
	g_free(l->manual_by_rank);
	g_free(l->tokens);
	g_free(l);
}

static uint64_t
node_key(const struct place_load *l, uint64_t node)
{
	uint64_t x = (node + 1) * 0x9e3779b97f4a7c15ULL + l->seed;

	x = (x ^ (x >> 31)) * 0xbf58476d1ce4e5b9ULL;
	return x ^ (x >> 29);
}

void
place_load_next(struct place_load *l, struct place_arrival *a)
{
	uint32_t rank = draw(l->rand, l->manual_cdf, l->manuals);
	double gap = -log1p(-g_rand_double(l->rand)) * l->gap;
	double decode = -log1p(-g_rand_double(l->rand));

	l->now += (uint64_t)gap;
	a->at = l->now;
	a->manual = l->manual_by_rank[rank];
	a->org = l->manuals + a->manual * PLACE_ORGS +
		 draw(l->rand, l->org_cdf, PLACE_ORGS);
	a->decode_tokens = 1 + (uint32_t)(decode * (PLACE_DECODE_TOKENS - 1));
	a->entry = (uint32_t)g_rand_int_range(l->rand, 0, (gint32)l->entries);
	a->prefix.n = 3;
	a->prefix.level[0].hash = node_key(l, a->manual);
	a->prefix.level[0].tokens = l->tokens[a->manual];
	a->prefix.level[1].hash = node_key(l, a->org);
	a->prefix.level[1].tokens = l->tokens[a->org];
	a->prefix.level[2].hash = node_key(l, (1ULL << 40) + l->questions++);
	a->prefix.level[2].tokens =
	    (uint32_t)g_rand_int_range(l->rand, 100, 300);
}

void
place_load_shift(struct place_load *l)
{
	uint32_t i, cold, tmp;

	for (i = 0; i < SHIFTED_MANUALS; i++) {
		cold = (uint32_t)g_rand_int_range(
		    l->rand, (gint32)l->manuals / 2, (gint32)l->manuals);
		tmp = l->manual_by_rank[i];
		l->manual_by_rank[i] = l->manual_by_rank[cold];
		l->manual_by_rank[cold] = tmp;
	}
}

uint32_t
place_load_nodes(const struct place_load *l)
{
	return l->manuals * (1 + PLACE_ORGS);
}

uint32_t
place_load_tokens(const struct place_load *l, uint32_t node)
{
	return l->tokens[node];
}
