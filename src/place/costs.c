#include "place/costs.h"

/*
 * Candidates of the first choice should accept a request only if its first
 * token comes within this time, besides the prefill that any worker has to do.
 * Most workers that have the prefix cached and a free slot are found this way,
 * at one round trip each.
 */
#define FIRST_OFFER_USEC 60000ULL

/*
 * Cost of a second of prefill relative to a second of waiting. Computing the
 * prefix on another worker delays this request and others, but serves later
 * ones: docs/placement.md has the figures.
 */
#define PREFILL_WEIGHT 0.8

/*
 * Penalty for each place further back in the order; it keeps prefixes that are
 * not cached yet on the first workers, where later requests find them.
 */
#define ORDER_PENALTY_USEC 20000ULL

/*
 * Penalty for workers outside the width that the request was not offered to. It
 * puts them last: later requests would not look for a prefix cached there.
 */
#define NOT_OFFERED_PENALTY_USEC (3600 * JH_USEC_PER_SEC)

uint64_t
jh_placer_prefill_time(const struct jh_place_region *g, uint64_t tokens)
{
	return (uint64_t)((double)tokens * 1e6 / g->prefill_rate);
}

void
jh_place_costs_add(struct jh_place_costs *costs, const struct jh_placer *p,
    uint64_t now, uint32_t index, uint64_t prefill)
{
	struct jh_place_cost *c = &costs->at[costs->n++];

	c->index = index;
	c->prefill = prefill;
	c->cost = prefill + jh_worker_wait(&p->worker[index], now);
}

static const struct jh_place_refusal *
find_refusal(const struct jh_place_request *r, uint64_t worker)
{
	size_t i;

	for (i = 0; i < r->n_refusals; i++) {
		if (r->refusals[i].worker == worker)
			return &r->refusals[i];
	}
	return NULL;
}

void
jh_place_costs_apply_refusals(struct jh_place_costs *costs,
    const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r)
{
	uint64_t all = jh_prefix_tokens(r->prefix), missing;
	const struct jh_place_refusal *refusal;
	struct jh_place_cost *c;
	uint32_t i;

	for (i = 0; i < costs->n; i++) {
		c = &costs->at[i];
		refusal = find_refusal(r, p->id[c->index]);
		if (refusal != NULL) {
			missing = all - MIN(all, refusal->cached_tokens);
			c->prefill = jh_placer_prefill_time(g, missing);
			c->cost = refusal->wait;
		} else {
			c->cost -= c->prefill;
			if (c->prefill > FIRST_OFFER_USEC)
				c->cost += NOT_OFFERED_PENALTY_USEC;
		}
		c->cost += i * ORDER_PENALTY_USEC +
			   (uint64_t)(PREFILL_WEIGHT * (double)c->prefill);
	}
}

void
jh_place_costs_sort(struct jh_place_costs *costs)
{
	struct jh_place_cost v;
	uint32_t i, j;

	for (i = 1; i < costs->n; i++) {
		v = costs->at[i];
		for (j = i; j > 0 && costs->at[j - 1].cost > v.cost; j--)
			costs->at[j] = costs->at[j - 1];
		costs->at[j] = v;
	}
}

size_t
jh_place_costs_emit(const struct jh_place_costs *costs,
    const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	uint64_t bound =
	    FIRST_OFFER_USEC + jh_placer_prefill_time(g, r->prefill_tokens);
	size_t i, n = MIN(costs->n, max);

	for (i = 0; i < n; i++) {
		out[i].worker = p->id[costs->at[i].index];
		out[i].max_wait = r->after_refusals ? JH_NEVER : bound;
	}
	return n;
}
