#include <string.h>

#include "place/mix.h"
#include "place/costs.h"
#include "place/placer.h"

#define MAX_CANDIDATES JH_PLACE_MAX_CANDIDATES

/* Number of workers outside the width in a request's first candidates. */
#define MAX_SPILL 5

/*
 * Least length of a prefix's list of preferred workers. With a longer list, a
 * decision on a prefix without a list takes more than 5 us, because of the
 * sort.
 */
#define MIN_ORDER_LEN 8

/*
 * Widths learned from other entry daemons are used until this one has measured
 * the demand for a prefix for this long.
 */
#define MIN_MEASURED_USEC (10 * JH_USEC_PER_SEC)

/* Time that the request takes of an average worker, in microseconds. */
static double
worker_usec(const struct jh_place_region *g, const struct jh_place_request *r)
{
	return r->prefill_tokens * 1e6 / g->prefill_rate +
	       r->decode_tokens * 1e6 / g->decode_rate;
}

static uint32_t
effective_width(
    const struct jh_place_prefix *e, uint64_t now, uint32_t max_width)
{
	const struct jh_demand *d = &e->demand;
	uint32_t width = MAX(d->width, 1);

	if (now < e->learned_width_deadline &&
	    now - d->first_seen < MIN_MEASURED_USEC)
		width = MAX(width, e->learned_width);
	return MIN(width, max_width);
}

static struct jh_place_prefix *
count_demand(struct jh_placer *p, uint64_t now, const struct jh_place_region *g,
    const struct jh_place_request *r, size_t level)
{
	struct jh_place_prefix *e;

	e = jh_place_table_use(p->table, r->prefix->level[level].hash);
	if (!r->after_refusals) {
		jh_demand_add(&e->demand, now, worker_usec(g, r));
		jh_demand_width(&e->demand, now,
		    jh_demand_load(&e->demand, now) * p->entry_daemons);
	}
	return e;
}

/*
 * Builds the prefix's list of preferred workers, unless it is up to date and
 * has min_len workers or all of the region.
 */
static void
ensure_order(struct jh_placer *p, const struct jh_place_region *g,
    struct jh_place_prefix *e, uint32_t min_len)
{
	uint32_t i, len = MIN_ORDER_LEN;

	min_len = MIN(min_len, g->n);
	if (e->order != NULL && e->order_generation == p->generation &&
	    e->order_region == g->id && e->order_len >= min_len)
		return;
	while (len < min_len)
		len *= 2;
	len = MIN(len, g->n);
	jh_placer_top_workers(p, g, e->key, len);
	jh_place_table_alloc_order(p->table, e, len);
	for (i = 0; i < len; i++)
		e->order[i] = g->first + p->scratch[i].index;
	e->order_generation = p->generation;
	e->order_region = g->id;
}

static bool
usable(const struct jh_placer *p, uint32_t index, uint64_t now)
{
	const struct jh_worker *w = &p->worker[index];

	return !jh_worker_leaving(w, now) && !jh_worker_in_backoff(w, now);
}

/*
 * Moves the k of the n workers in r with the highest rendezvous weights for key
 * to the front, best first.
 */
static void
rerank(const struct jh_placer *p, uint64_t key, struct jh_weighted_worker *r,
    uint32_t n, uint32_t k)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		r[i].weight = jh_place_mix(key, p->id[r[i].index]);
	jh_weighted_select(r, n, k);
}

/* Tokens of earlier turns: all levels but the first two and the last. */
static uint64_t
history_tokens(const struct jh_prefix *prefix)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 2; i + 1 < prefix->n; i++)
		sum += prefix->level[i].tokens;
	return sum;
}

/*
 * Adds the n workers within the width of the first level. Those within the
 * width of the second level come first; they are ordered by the third level, so
 * that a conversation stays on its worker.
 */
static void
add_within_width(struct jh_placer *p, uint64_t now,
    const struct jh_place_region *g, const struct jh_place_request *r,
    uint32_t n, struct jh_place_costs *costs)
{
	struct jh_weighted_worker *s = p->scratch;
	uint32_t i, width2 = 1;
	uint64_t history, second;

	if (r->prefix->n < 2) {
		rerank(
		    p, r->prefix->level[0].hash, s, n, MIN(n, MAX_CANDIDATES));
		for (i = 0; i < MIN(n, MAX_CANDIDATES); i++)
			jh_place_costs_add(costs, p, now, s[i].index, 0);
		return;
	}
	history = jh_placer_prefill_time(g, history_tokens(r->prefix));
	second =
	    history + jh_placer_prefill_time(g, r->prefix->level[1].tokens);
	if (n > 1)
		width2 = effective_width(count_demand(p, now, g, r, 1), now, n);
	rerank(p, r->prefix->level[1].hash, s, n,
	    MIN(n, MAX(width2, MAX_CANDIDATES)));
	rerank(p, jh_prefix_key(r->prefix, 2), s, width2,
	    MIN(width2, MAX_CANDIDATES));
	for (i = 0; i < MIN(n, MAX_CANDIDATES); i++)
		jh_place_costs_add(costs, p, now, s[i].index,
		    i == 0	 ? 0
		    : i < width2 ? history
				 : second);
}

/*
 * Adds workers within the width of the first level, then the next ones in the
 * prefix's order. Workers that are leaving or in backoff are skipped.
 */
static void
add_region(struct jh_placer *p, uint64_t now, const struct jh_place_region *g,
    const struct jh_place_request *r, struct jh_place_costs *costs)
{
	struct jh_place_prefix *e = count_demand(p, now, g, r, 0);
	uint32_t width = effective_width(e, now, g->n);
	uint64_t all = jh_placer_prefill_time(g, jh_prefix_tokens(r->prefix));
	uint32_t spill[MAX_CANDIDATES];
	uint32_t max_outside = r->after_refusals ? MAX_CANDIDATES : MAX_SPILL;
	uint32_t i, inside, outside;

	ensure_order(p, g, e, width + max_outside);
	do {
		inside = outside = 0;
		for (i = 0; i < e->order_len && outside < max_outside; i++) {
			if (!usable(p, e->order[i], now))
				continue;
			if (inside < width)
				p->scratch[inside++].index = e->order[i];
			else
				spill[outside++] = e->order[i];
		}
		if (outside == max_outside || e->order_len == g->n)
			break;
		ensure_order(p, g, e, e->order_len + 1);
	} while (true);
	if (inside > 0)
		add_within_width(p, now, g, r, inside, costs);
	for (i = 0; i < outside; i++)
		jh_place_costs_add(costs, p, now, spill[i], all);
}

/*
 * Appends other workers up to max: those of the request's region, including
 * ones in backoff, if there are no candidates yet; those of other regions,
 * without ones in backoff, if the request allows them. Leaving workers are
 * skipped.
 */
static size_t
add_fallbacks(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t n,
    size_t max)
{
	uint64_t key = jh_prefix_key(r->prefix, 0);
	uint32_t i, k, j;

	for (i = 0; i < p->n_regions && n < max; i++) {
		const struct jh_place_region *g =
		    &p->region[(key + i) % p->n_regions];

		if (g->id == r->region ? n > 0 : !r->any_region)
			continue;
		k = jh_placer_top_workers(p, g, key, g->n);
		for (j = 0; j < k && n < max; j++) {
			const struct jh_worker *w =
			    &p->worker[g->first + p->scratch[j].index];

			if (jh_worker_leaving(w, now) ||
			    (g->id != r->region &&
				jh_worker_in_backoff(w, now)))
				continue;
			out[n].worker = w->listed.id;
			out[n++].max_wait = JH_NEVER;
		}
	}
	return n;
}

static size_t
choose_affinity(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	const struct jh_place_region *g = jh_placer_region(p, r->region);
	struct jh_place_costs costs = {0};
	size_t n = 0;

	if (g != NULL && r->prefix->n > 0) {
		add_region(p, now, g, r, &costs);
		if (r->after_refusals)
			jh_place_costs_apply_refusals(&costs, p, g, r);
		jh_place_costs_sort(&costs);
		/* A quarter of the candidates is kept for other regions. */
		n = jh_place_costs_emit(&costs, p, g, r, out,
		    r->after_refusals && r->any_region ? max - max / 4 : max);
	}
	if (n == 0 || (r->after_refusals && r->any_region))
		n = add_fallbacks(p, now, r, out, n, max);
	return n;
}

const struct jh_place_policy jh_place_affinity = {"affinity", choose_affinity};
