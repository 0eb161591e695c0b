#include <string.h>

#include "place/mix.h"
#include "place/placer.h"

#define TRIES JH_PLACE_MAX_CANDIDATES

/*
 * A first offer is accepted only if the first token comes within this time
 * beside the prefill that every worker has to do; most holders of the prefix
 * with a free slot are found so, at one round trip each.
 */
#define OFFER_USEC 60000ULL

/*
 * Weight of recomputing against waiting: it delays other requests too.
 */
#define RECOMPUTE_WEIGHT 0.8

/* Keeps cold prefixes near the front of their order, where they are found. */
#define RANK_USEC 20000ULL

/* Workers outside the width that are offered a request. */
#define SPILL 5

/*
 * Added for workers past the width that were not asked, which makes them the
 * last resort: copies made there would not be looked for later.
 */
#define UNASKED_USEC (3600 * JH_USEC_PER_SEC)

/* Learned widths count until a prefix was watched here for this long. */
#define CONFIDENT_AGE_USEC (10 * JH_USEC_PER_SEC)

/* One worker under consideration. */
struct option {
	uint32_t index;
	uint64_t base; /* recomputing what it is not expected to hold */
	uint64_t cost; /* base and known wait, microseconds */
};

/* The options of one decision. */
struct options {
	uint32_t n;
	struct option at[3 * TRIES];
};

static double
request_work(const struct jh_place_region *g, const struct jh_place_request *r)
{
	return r->prefill_tokens * 1e6 / g->prefill_rate +
	       r->decode_tokens * 1e6 / g->decode_rate;
}

static uint64_t
prefill_usec(const struct jh_place_region *g, uint64_t tokens)
{
	return (uint64_t)((double)tokens * 1e6 / g->prefill_rate);
}

static uint32_t
effective_width(const struct jh_place_prefix *e, uint64_t now, uint32_t most)
{
	const struct jh_demand *d = &e->demand;
	uint32_t width = MAX(d->width, 1);

	if (now < e->learned_deadline && now - d->first < CONFIDENT_AGE_USEC)
		width = MAX(width, e->learned);
	return MIN(width, most);
}

static struct jh_place_prefix *
note_demand(struct jh_placer *p, uint64_t now, const struct jh_place_region *g,
    const struct jh_place_request *r, size_t level)
{
	struct jh_place_prefix *e;

	e = jh_place_table_use(p->table, r->prefix->level[level].hash);
	if (!r->again) {
		jh_demand_add(&e->demand, now, request_work(g, r));
		jh_demand_width(&e->demand, now,
		    jh_demand_load(&e->demand, now) * p->entries);
	}
	return e;
}

static void
need_order(struct jh_placer *p, const struct jh_place_region *g,
    struct jh_place_prefix *e, uint32_t want)
{
	uint32_t i, len = 2 * TRIES;

	want = MIN(want, g->n);
	if (e->order != NULL && e->generation == p->generation &&
	    e->region == g->id && e->order_len >= want)
		return;
	while (len < want)
		len *= 2;
	len = MIN(len, g->n);
	jh_placer_rank(p, g, e->key, len);
	jh_place_table_resize(p->table, e, len);
	for (i = 0; i < len; i++)
		e->order[i] = g->first + p->scratch[i].index;
	e->generation = p->generation;
	e->region = g->id;
}

static bool
usable(const struct jh_placer *p, uint32_t index, uint64_t now)
{
	const struct jh_worker *w = &p->worker[index];

	return !jh_worker_leaving(w, now) && !jh_worker_failed(w, now);
}

static void
add_option(const struct jh_placer *p, uint64_t now, struct options *o,
    uint32_t index, uint64_t base)
{
	struct option *c = &o->at[o->n++];

	c->index = index;
	c->base = base;
	c->cost = base + jh_worker_wait(&p->worker[index], now);
}

/*
 * Reorders the n ranked workers by rendezvous weight for key, so that the
 * first k are the best.
 */
static void
rerank(const struct jh_placer *p, uint64_t key, struct jh_ranked *r, uint32_t n,
    uint32_t k)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		r[i].weight = jh_place_mix(key, p->id[r[i].index]);
	jh_rank_select(r, n, k);
}

/* Tokens of earlier turns: all but the first two levels and the last. */
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
 * Adds workers within the width: those of the second level's own width first,
 * ordered by the third level so that a conversation stays on its worker.
 */
static void
add_inside(struct jh_placer *p, uint64_t now, const struct jh_place_region *g,
    const struct jh_place_request *r, uint32_t n, struct options *o)
{
	struct jh_ranked *s = p->scratch;
	uint32_t i, width2 = 1;
	uint64_t history, second;

	if (r->prefix->n < 2) {
		rerank(p, r->prefix->level[0].hash, s, n, MIN(n, TRIES));
		for (i = 0; i < MIN(n, TRIES); i++)
			add_option(p, now, o, s[i].index, 0);
		return;
	}
	history = prefill_usec(g, history_tokens(r->prefix));
	second = history + prefill_usec(g, r->prefix->level[1].tokens);
	if (n > 1)
		width2 = effective_width(note_demand(p, now, g, r, 1), now, n);
	rerank(p, r->prefix->level[1].hash, s, n, MIN(n, MAX(width2, TRIES)));
	rerank(p, jh_prefix_key(r->prefix, 2), s, width2, MIN(width2, TRIES));
	for (i = 0; i < MIN(n, TRIES); i++)
		add_option(p, now, o, s[i].index,
		    i == 0	 ? 0
		    : i < width2 ? history
				 : second);
}

/* Adds workers within the width, then the next ones of the order. */
static void
add_region(struct jh_placer *p, uint64_t now, const struct jh_place_region *g,
    const struct jh_place_request *r, struct options *o)
{
	struct jh_place_prefix *e = note_demand(p, now, g, r, 0);
	uint32_t width = effective_width(e, now, g->n);
	uint64_t all = prefill_usec(g, jh_prefix_tokens(r->prefix));
	uint32_t spill[TRIES];
	uint32_t i, inside, outside;

	need_order(p, g, e, width + TRIES);
	do {
		inside = outside = 0;
		for (i = 0; i < e->order_len && outside < TRIES; i++) {
			if (!usable(p, e->order[i], now))
				continue;
			if (inside < width)
				p->scratch[inside++].index = e->order[i];
			else
				spill[outside++] = e->order[i];
		}
		if (outside == TRIES || e->order_len == g->n)
			break;
		need_order(p, g, e, e->order_len + 1);
	} while (true);
	if (inside > 0)
		add_inside(p, now, g, r, inside, o);
	if (!r->again)
		outside = MIN(outside, SPILL);
	for (i = 0; i < outside; i++)
		add_option(p, now, o, spill[i], all);
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

/* Costs the options anew by what the workers told that refused. */
static void
weigh_heard(const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r, struct options *o)
{
	uint64_t all = jh_prefix_tokens(r->prefix), missing;
	const struct jh_place_heard *h;
	struct option *c;
	uint32_t i;

	for (i = 0; i < o->n; i++) {
		c = &o->at[i];
		h = find_heard(r, p->id[c->index]);
		if (h != NULL) {
			missing = all - MIN(all, h->cached_tokens);
			c->base = prefill_usec(g, missing);
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

/* Keeps the order of equal costs: it is what entry daemons agree on. */
static void
sort_options(struct options *o)
{
	struct option v;
	uint32_t i, j;

	for (i = 1; i < o->n; i++) {
		v = o->at[i];
		for (j = i; j > 0 && o->at[j - 1].cost > v.cost; j--)
			o->at[j] = o->at[j - 1];
		o->at[j] = v;
	}
}

static size_t
emit(const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r, const struct options *o,
    struct jh_candidate *out, size_t max)
{
	uint64_t bound = OFFER_USEC + prefill_usec(g, r->prefill_tokens);
	size_t i, n = MIN(o->n, max);

	for (i = 0; i < n; i++) {
		out[i].worker = p->id[o->at[i].index];
		out[i].max_wait = r->again ? JH_NEVER : bound;
	}
	return n;
}

/* Fills up with workers that are held out, then with other regions'. */
static size_t
add_rest(struct jh_placer *p, uint64_t now, const struct jh_place_request *r,
    struct jh_candidate *out, size_t n, size_t max)
{
	uint64_t key = jh_prefix_key(r->prefix, 0);
	uint32_t i, k, j;

	for (i = 0; i < p->n_regions && n < max; i++) {
		const struct jh_place_region *g =
		    &p->region[(key + i) % p->n_regions];

		if (g->id == r->region ? n > 0 : !r->any_region)
			continue;
		k = jh_placer_rank(p, g, key, g->n);
		for (j = 0; j < k && n < max; j++) {
			const struct jh_worker *w =
			    &p->worker[g->first + p->scratch[j].index];

			if (jh_worker_leaving(w, now) ||
			    (g->id != r->region && jh_worker_failed(w, now)))
				continue;
			out[n].worker = w->given.id;
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
	struct options o = {0};
	size_t n = 0;

	if (g != NULL && r->prefix->n > 0) {
		add_region(p, now, g, r, &o);
		if (r->again)
			weigh_heard(p, g, r, &o);
		sort_options(&o);
		/* A quarter of the places is kept for other regions. */
		n = emit(p, g, r, &o, out, r->any_region ? max - max / 4 : max);
	}
	if (n == 0 || r->any_region)
		n = add_rest(p, now, r, out, n, max);
	return n;
}

const struct jh_place_policy jh_place_affinity = {"affinity", choose_affinity};
