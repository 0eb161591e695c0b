#include <stdlib.h>
#include <string.h>

#include "place/placer.h"

static int
cmp_worker(const void *a, const void *b)
{
	const struct jh_place_worker *x = a, *y = b;

	if (x->region != y->region)
		return x->region < y->region ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

/* Drops duplicate ids, so that a worker appears once among the candidates. */
static size_t
drop_duplicates(struct jh_place_worker *w, size_t n)
{
	size_t i, kept = 0;

	for (i = 0; i < n; i++) {
		if (kept == 0 || cmp_worker(&w[kept - 1], &w[i]) != 0)
			w[kept++] = w[i];
	}
	return kept;
}

static gint
cmp_by_id(gconstpointer a, gconstpointer b, gpointer ids)
{
	uint64_t x = ((const uint64_t *)ids)[*(const uint32_t *)a];
	uint64_t y = ((const uint64_t *)ids)[*(const uint32_t *)b];

	return x < y ? -1 : x > y;
}

static bool
same_workers(
    const struct jh_placer *p, const struct jh_place_worker *w, size_t n)
{
	size_t i;

	if (n != p->n)
		return false;
	for (i = 0; i < n; i++) {
		const struct jh_place_worker *g = &p->worker[i].listed;

		if (cmp_worker(g, &w[i]) != 0 ||
		    g->prefill_rate != w[i].prefill_rate ||
		    g->decode_rate != w[i].decode_rate)
			return false;
	}
	return true;
}

/* Both arrays are sorted alike, so that one pass finds the common workers. */
static void
copy_known_state(
    struct jh_worker *dst, size_t n, const struct jh_worker *src, size_t n_src)
{
	size_t i, j = 0;
	int c = 1;

	for (i = 0; i < n; i++) {
		struct jh_place_worker listed = dst[i].listed;

		while (
		    j < n_src && (c = cmp_worker(&src[j].listed, &listed)) < 0)
			j++;
		if (j < n_src && c == 0) {
			dst[i] = src[j];
			dst[i].listed = listed;
		}
	}
}

static void
add_region(struct jh_placer *p, uint32_t first)
{
	struct jh_place_region *g;
	uint32_t i;

	p->region =
	    g_renew(struct jh_place_region, p->region, p->n_regions + 1);
	g = &p->region[p->n_regions++];
	memset(g, 0, sizeof(*g));
	g->id = p->worker[first].listed.region;
	g->first = first;
	for (i = first; i < p->n && p->worker[i].listed.region == g->id; i++) {
		g->prefill_rate += p->worker[i].listed.prefill_rate;
		g->decode_rate += p->worker[i].listed.decode_rate;
		g->n++;
	}
	g->prefill_rate = MAX(g->prefill_rate / g->n, 1);
	g->decode_rate = MAX(g->decode_rate / g->n, 1);
}

static void
index_workers(struct jh_placer *p)
{
	uint32_t i;

	p->id = g_renew(uint64_t, p->id, p->n);
	p->by_id = g_renew(uint32_t, p->by_id, p->n);
	p->scratch = g_renew(struct jh_weighted_worker, p->scratch, p->n);
	for (i = 0; i < p->n; i++) {
		p->id[i] = p->worker[i].listed.id;
		p->by_id[i] = i;
	}
	if (p->n > 0)
		g_qsort_with_data(
		    p->by_id, (gint)p->n, sizeof(*p->by_id), cmp_by_id, p->id);
	p->n_regions = 0;
	for (i = 0; i < p->n; i += p->region[p->n_regions - 1].n)
		add_region(p, i);
}

void
jh_placer_set_workers(struct jh_placer *p, uint64_t now,
    const struct jh_place_worker *workers, size_t n)
{
	struct jh_place_worker *sorted =
	    g_memdup2(workers, n * sizeof(*sorted));
	struct jh_worker *new_workers;
	size_t i;

	if (n > 1) {
		qsort(sorted, n, sizeof(*sorted), cmp_worker);
		n = drop_duplicates(sorted, n);
	}
	if (same_workers(p, sorted, n)) {
		for (i = 0; i < n; i++)
			p->worker[i].listed = sorted[i];
		g_free(sorted);
		return;
	}
	new_workers = g_new0(struct jh_worker, n);
	for (i = 0; i < n; i++)
		new_workers[i].listed = sorted[i];
	copy_known_state(new_workers, n, p->worker, p->n);
	g_free(sorted);
	g_free(p->worker);
	p->worker = new_workers;
	p->n = (uint32_t)n;
	p->generation++;
	index_workers(p);
}

const struct jh_place_region *
jh_placer_region(const struct jh_placer *p, uint32_t id)
{
	uint32_t lo = 0, hi = p->n_regions, mid;

	while (lo < hi) {
		mid = lo + (hi - lo) / 2;
		if (p->region[mid].id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < p->n_regions && p->region[lo].id == id ? &p->region[lo]
							   : NULL;
}
