#include "place/options.h"

/*
 * A first offer is accepted only if the first token comes within this time
 * beside the prefill that every worker has to do; most holders of the prefix
 * with a free slot are found so, at one round trip each.
 */
#define OFFER_USEC 60000ULL

/*
 * Weight of recomputing against waiting. A new copy costs this request and
 * delays others, but serves later ones: docs/placement.md has the figures.
 */
#define RECOMPUTE_WEIGHT 0.8

/* Keeps cold prefixes near the front of their order, where they are found. */
#define RANK_USEC 20000ULL

/*
 * Added for workers past the width that were not asked, which makes them the
 * last resort: copies made there would not be looked for later.
 */
#define UNASKED_USEC (3600 * JH_USEC_PER_SEC)

uint64_t
jh_placer_prefill(const struct jh_place_region *g, uint64_t tokens)
{
	return (uint64_t)((double)tokens * 1e6 / g->prefill_rate);
}

void
jh_place_options_add(struct jh_place_options *o, const struct jh_placer *p,
    uint64_t now, uint32_t index, uint64_t base)
{
	struct jh_place_option *c = &o->at[o->n++];

	c->index = index;
	c->base = base;
	c->cost = base + jh_worker_wait(&p->worker[index], now);
}

static const struct jh_place_heard *
find_heard(const struct jh_place_request *r, uint64_t worker)
{
	size_t i;

	for (i = 0; i < r->n_heard; i++) {
		if (r->heard[i].worker == worker)
			return &r->heard[i];
	}
	return NULL;
}

void
jh_place_options_weigh(struct jh_place_options *o, const struct jh_placer *p,
    const struct jh_place_region *g, const struct jh_place_request *r)
{
	uint64_t all = jh_prefix_tokens(r->prefix), missing;
	const struct jh_place_heard *h;
	struct jh_place_option *c;
	uint32_t i;

	for (i = 0; i < o->n; i++) {
		c = &o->at[i];
		h = find_heard(r, p->id[c->index]);
		if (h != NULL) {
			missing = all - MIN(all, h->cached_tokens);
			c->base = jh_placer_prefill(g, missing);
			c->cost = h->wait;
		} else {
			c->cost -= c->base;
			if (c->base > OFFER_USEC)
				c->cost += UNASKED_USEC;
		}
		c->cost += i * RANK_USEC +
			   (uint64_t)(RECOMPUTE_WEIGHT * (double)c->base);
	}
}

void
jh_place_options_sort(struct jh_place_options *o)
{
	struct jh_place_option v;
	uint32_t i, j;

	for (i = 1; i < o->n; i++) {
		v = o->at[i];
		for (j = i; j > 0 && o->at[j - 1].cost > v.cost; j--)
			o->at[j] = o->at[j - 1];
		o->at[j] = v;
	}
}

size_t
jh_place_options_emit(const struct jh_place_options *o,
    const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	uint64_t bound = OFFER_USEC + jh_placer_prefill(g, r->prefill_tokens);
	size_t i, n = MIN(o->n, max);

	for (i = 0; i < n; i++) {
		out[i].worker = p->id[o->at[i].index];
		out[i].max_wait = r->again ? JH_NEVER : bound;
	}
	return n;
}
