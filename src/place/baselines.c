#include "place/mix.h"
#include "place/placer.h"

uint32_t
jh_placer_top_workers(const struct jh_placer *p,
    const struct jh_place_region *g, uint64_t key, uint32_t k)
{
	return jh_weighted_top(p->scratch, p->id + g->first, g->n, key, k);
}

size_t
jh_placer_emit(const struct jh_placer *p, uint64_t now, const uint32_t *index,
    uint32_t n, struct jh_candidate *out, size_t max)
{
	size_t len = 0;
	uint32_t pass, i;

	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < n && len < max; i++) {
			const struct jh_worker *w = &p->worker[index[i]];

			if (jh_worker_leaving(w, now) ||
			    jh_worker_in_backoff(w, now) != (pass == 1))
				continue;
			out[len].worker = w->listed.id;
			out[len++].max_wait = JH_NEVER;
		}
	}
	return len;
}

/* Workers to rank; more than needed, because leaving ones are skipped. */
#define MAX_RANKED (2 * JH_PLACE_MAX_CANDIDATES)

static size_t
choose_round_robin(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	const struct jh_place_region *g = jh_placer_region(p, r->region);
	uint32_t index[MAX_RANKED];
	uint32_t i, n;

	if (g == NULL)
		return 0;
	n = MIN(g->n, MAX_RANKED);
	for (i = 0; i < n; i++)
		index[i] = g->first + (uint32_t)((p->cursor + i) % g->n);
	p->cursor++;
	return jh_placer_emit(p, now, index, n, out, max);
}

/* Starts at a changing index, so that equal waits do not select one worker. */
static size_t
choose_least_load(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	const struct jh_place_region *g = jh_placer_region(p, r->region);
	uint32_t index[MAX_RANKED];
	uint32_t i, n;

	if (g == NULL)
		return 0;
	p->cursor = jh_place_mix(p->cursor, p->seed | 1);
	for (i = 0; i < g->n; i++) {
		uint32_t at = (uint32_t)((p->cursor + i) % g->n);

		p->scratch[i].index = at;
		p->scratch[i].weight =
		    UINT64_MAX - jh_worker_wait(&p->worker[g->first + at], now);
	}
	n = jh_weighted_select(p->scratch, g->n, MAX_RANKED);
	for (i = 0; i < n; i++)
		index[i] = g->first + p->scratch[i].index;
	return jh_placer_emit(p, now, index, n, out, max);
}

static size_t
choose_by_key(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, uint64_t key, struct jh_candidate *out,
    size_t max)
{
	const struct jh_place_region *g = jh_placer_region(p, r->region);
	uint32_t index[MAX_RANKED];
	uint32_t i, n;

	if (g == NULL)
		return 0;
	n = jh_placer_top_workers(p, g, key, MAX_RANKED);
	for (i = 0; i < n; i++)
		index[i] = g->first + p->scratch[i].index;
	return jh_placer_emit(p, now, index, n, out, max);
}

static size_t
choose_rendezvous(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	return choose_by_key(p, now, r, jh_prefix_key(r->prefix, 0), out, max);
}

static size_t
choose_rendezvous_whole(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	return choose_by_key(p, now, r,
	    jh_prefix_key(r->prefix, JH_PREFIX_MAX_LEVELS - 1), out, max);
}

const struct jh_place_policy jh_place_round_robin = {
    "round_robin", choose_round_robin};
const struct jh_place_policy jh_place_least_load = {
    "least_load", choose_least_load};
const struct jh_place_policy jh_place_rendezvous = {
    "rendezvous", choose_rendezvous};
const struct jh_place_policy jh_place_rendezvous_whole = {
    "rendezvous_whole", choose_rendezvous_whole};
