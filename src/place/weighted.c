#include <math.h>
#include <stdlib.h>

#include "place/mix.h"
#include "place/weighted.h"

/* Insertion sort is faster than qsort() up to about this many. */
#define INSERTION_SORT_MAX 48

static int
cmp_by_weight(const void *a, const void *b)
{
	const struct jh_weighted_worker *x = a, *y = b;

	return x->weight > y->weight ? -1 : x->weight < y->weight;
}

void
jh_weighted_sort(struct jh_weighted_worker *r, uint32_t n)
{
	struct jh_weighted_worker v;
	uint32_t i, j;

	if (n > INSERTION_SORT_MAX) {
		qsort(r, n, sizeof(*r), cmp_by_weight);
		return;
	}
	for (i = 1; i < n; i++) {
		v = r[i];
		for (j = i; j > 0 && r[j - 1].weight < v.weight; j--)
			r[j] = r[j - 1];
		r[j] = v;
	}
}

/*
 * Collects the workers with weights of at least min_weight. Weights are uniform
 * over 64 bits.
 */
static uint32_t
collect(struct jh_weighted_worker *r, const uint64_t *ids, uint32_t n,
    uint64_t key, uint64_t min_weight)
{
	uint32_t i, kept = 0;

	for (i = 0; i < n; i++) {
		uint64_t w = jh_place_mix(key, ids[i]);

		r[kept].weight = w;
		r[kept].index = i;
		kept += w >= min_weight;
	}
	return kept;
}

uint32_t
jh_weighted_top(struct jh_weighted_worker *r, const uint64_t *ids, uint32_t n,
    uint64_t key, uint32_t k)
{
	double share;
	uint32_t kept = 0;

	if (n == 0 || k == 0)
		return 0;
	if (k > n)
		k = n;
	/* A margin of four standard deviations makes a second pass rare. */
	share = (k + 4 * sqrt(k) + 4) / n;
	while (share < 0.9) {
		kept = collect(
		    r, ids, n, key, (uint64_t)ldexp(1 - share, 63) << 1);
		if (kept >= k)
			break;
		share *= 2;
	}
	if (kept < k)
		kept = collect(r, ids, n, key, 0);
	jh_weighted_sort(r, kept);
	return k;
}

uint32_t
jh_weighted_select(struct jh_weighted_worker *r, uint32_t n, uint32_t k)
{
	struct jh_weighted_worker v;
	uint32_t i, j, kept = 0;

	for (i = 0; i < n; i++) {
		if (kept == k && r[i].weight <= r[k - 1].weight)
			continue;
		v = r[i];
		if (kept < k)
			kept++;
		for (j = kept - 1; j > 0 && r[j - 1].weight < v.weight; j--)
			r[j] = r[j - 1];
		r[j] = v;
	}
	return kept;
}
