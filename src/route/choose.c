#include <string.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "route/choose.h"

/*
 * Prompt tokens that a worker reads in a millisecond, from the sheet of the
 * deployments' engines.
 */
#define PREFILL_TOKENS_PER_MSEC 41

/* Round trips, and what the bytes of a request and its answer cost on top. */
#define SAME_REGION_USEC (5 * JH_USEC_PER_MSEC)
#define OTHER_REGION_USEC (35 * JH_USEC_PER_MSEC)

/* A service's worker works this long on one request. */
#define SERVICE_WORK_USEC (40 * JH_USEC_PER_MSEC)

/* Weight of a worker's recent failures. */
#define FAIL_USEC (400 * JH_USEC_PER_MSEC)

/*
 * Old weights: no cost at first, because new ones are on their way; later an
 * answer on them is worth less.
 */
#define OLD_WEIGHTS_FREE_USEC (1200 * JH_USEC_PER_MSEC)
#define OLD_WEIGHTS_USEC (250 * JH_USEC_PER_MSEC)

/*
 * A part that was used this recently is taken to be in its worker's memory;
 * until the second bound it may be there still and is worth asking for.
 */
#define PLACED_USEC (4 * JH_USEC_PER_SEC)
#define PLACED_ONCE_USEC (10 * JH_USEC_PER_SEC)

/* The store drops what was used least recently; it is larger than workers. */
#define STORED_USEC (20 * JH_USEC_PER_SEC)

/*
 * Reading a part again costs more than its time: it takes the memory of other
 * parts, which are then read again as well.
 */
#define AGAIN_WEIGHT 16

/* Smaller parts are not worth telling others of. */
#define NEWS_TOKENS 1000

/* A worker's learned delay fades over this time. */
#define DELAY_USEC (2 * JH_USEC_PER_SEC)

/* Distinct versions of weights that are ranked apart. */
#define MAX_VERSIONS 4

struct jh_chooser {
	char *zone;
	const char *region;
	GHashTable *regions;
	struct jh_placed *placed;
};

/* What is known of one version of weights among the eligible workers. */
struct version {
	uint64_t weights;
	uint64_t score;
	struct jh_worker *home; /* ranked first for parts that nobody has */
	bool held; /* a worker has the deepest shared part */
};

enum scope { SCOPE_ZONE, SCOPE_REGION, SCOPE_ALL };

struct jh_chooser *
jh_chooser_create(const struct jh_choose_site *site)
{
	struct jh_chooser *c = g_new0(struct jh_chooser, 1);

	c->zone = g_strdup(site->zone);
	c->regions = g_hash_table_ref(site->regions);
	c->region = g_hash_table_lookup(c->regions, c->zone);
	c->placed = jh_placed_create();
	return c;
}

void
jh_chooser_destroy(struct jh_chooser *c)
{
	if (c == NULL)
		return;
	g_hash_table_unref(c->regions);
	jh_placed_destroy(c->placed);
	g_free(c->zone);
	g_free(c);
}

static enum scope
distance(const struct jh_chooser *c, const struct jh_worker *w)
{
	if (g_strcmp0(w->zone, c->zone) == 0)
		return SCOPE_ZONE;
	if (w->zone != NULL && c->region != NULL &&
	    g_strcmp0(g_hash_table_lookup(c->regions, w->zone), c->region) == 0)
		return SCOPE_REGION;
	return SCOPE_ALL;
}

static uint64_t
distance_usec(enum scope s)
{
	switch (s) {
	case SCOPE_ZONE:
		return 0;
	case SCOPE_REGION:
		return SAME_REGION_USEC;
	case SCOPE_ALL:
		break;
	}
	return OTHER_REGION_USEC;
}

static uint64_t
prefill_usec(uint64_t tokens)
{
	return tokens * 1000 / PREFILL_TOKENS_PER_MSEC;
}

static bool
is_excluded(const struct jh_choose_request *r, const struct jh_worker *w)
{
	size_t i;

	for (i = 0; i < r->n_excluded; i++)
		if (r->excluded[i] == w->hash)
			return true;
	return false;
}

/* Whether the worker serves such requests at all. */
static bool
serves(const struct jh_choose_request *r, const struct jh_worker *w)
{
	if (g_strcmp0(w->service, r->service) != 0)
		return false;
	if (!r->is_engine)
		return true;
	return w->weights != 0 && g_strcmp0(w->model, r->model) == 0;
}

/* For how long newer weights than the worker's have been named. */
static uint64_t
outdated_usec(
    const struct jh_choose_request *r, const struct jh_worker *w, uint64_t now)
{
	size_t i;

	for (i = 0; i < r->n_named; i++)
		if (r->named[i].version > w->weights)
			return now - MIN(now, r->named[i].since);
	return 0;
}

static bool
may_take(
    const struct jh_choose_request *r, const struct jh_worker *w, uint64_t now)
{
	if (w->leaving || now < w->changing_until || is_excluded(r, w))
		return false;
	return outdated_usec(r, w, now) <= JH_CHOOSE_OLD_WEIGHTS_USEC;
}

static uint64_t
shared_tokens(const struct jh_choose_request *r)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < r->n_levels; i++)
		sum += r->level[i].tokens;
	return sum;
}

/*
 * Parts that take longer to read again than any worker is away are kept once
 * in the whole deployment, smaller ones once in each region or zone.
 */
static enum scope
home_scope(const struct jh_choose_request *r)
{
	uint64_t reading = prefill_usec(shared_tokens(r));

	if (reading > OTHER_REGION_USEC)
		return SCOPE_ALL;
	return reading > SAME_REGION_USEC ? SCOPE_REGION : SCOPE_ZONE;
}

static uint64_t
mix(uint64_t a, uint64_t b)
{
	uint64_t both[2] = {a, b};

	return XXH3_64bits(both, sizeof(both));
}

static uint64_t
part_key(const struct jh_choose_request *r, size_t level, uint64_t weights)
{
	return mix(r->level[level].key, weights);
}

static struct version *
find_version(struct version *versions, size_t *n, uint64_t weights)
{
	size_t i;

	for (i = 0; i < *n; i++)
		if (versions[i].weights == weights)
			return &versions[i];
	if (*n == MAX_VERSIONS)
		return NULL;
	versions[*n] = (struct version){.weights = weights};
	return &versions[(*n)++];
}

static bool
holds(const struct jh_chooser *c, uint64_t key, uint64_t now,
    const struct jh_worker *w, uint64_t within)
{
	uint64_t at = jh_placed_at(c->placed, key, w->hash);

	return at != 0 && now - at < within;
}

/* Tokens of shared parts, from the first on, that the worker has not read. */
static uint32_t
uncached(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct jh_worker *w, uint64_t now)
{
	uint32_t tokens = 0;
	size_t i;

	for (i = r->n_levels; i > 0; i--) {
		if (holds(
			c, part_key(r, i - 1, w->weights), now, w, PLACED_USEC))
			break;
		tokens += r->level[i - 1].tokens;
	}
	return tokens;
}

static uint64_t
wait_usec(
    const struct jh_choose_request *r, const struct jh_worker *w, uint64_t now)
{
	uint64_t held = w->held_tokens + w->others_held + r->own_tokens;
	uint64_t wait, age;

	if (!r->is_engine) {
		uint64_t slots = MAX(w->slots, 1);
		return (w->running + w->others_running) * SERVICE_WORK_USEC /
		       slots;
	}
	wait = prefill_usec(w->prefill_tokens + w->others_prefill);
	if (r->cache_tokens != 0 && held > r->cache_tokens)
		wait += prefill_usec(held - r->cache_tokens);
	age = now - w->delay_known;
	if (w->delay > 0 && age < DELAY_USEC)
		wait += (uint64_t)(w->delay * (double)(DELAY_USEC - age) /
				   (double)DELAY_USEC);
	return wait;
}

static uint64_t
cost_usec(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct jh_worker *w, const struct version *v, uint64_t now)
{
	uint64_t cost = wait_usec(r, w, now) + distance_usec(distance(c, w)) +
			(uint64_t)(w->fail_rate * FAIL_USEC);
	uint64_t reading;

	if (!r->is_engine)
		return cost;
	if (outdated_usec(r, w, now) > OLD_WEIGHTS_FREE_USEC)
		cost += OLD_WEIGHTS_USEC;
	reading = prefill_usec(uncached(c, r, w, now));
	/* What nobody has must be read by some worker: by its home. */
	if (v != NULL && !v->held && v->home == w)
		reading = 0;
	if (!r->fastest)
		reading *= AGAIN_WEIGHT;
	return cost + reading + prefill_usec(r->own_tokens);
}

/* The time to the first token on a worker without other work. */
static uint64_t
base_usec(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct jh_worker *w, uint64_t now)
{
	uint64_t time = distance_usec(distance(c, w));

	if (!r->is_engine)
		return time;
	return time + prefill_usec(uncached(c, r, w, now) + r->own_tokens);
}

/*
 * A worker that has more of the shared parts than the chosen one: the one that
 * was given the deepest of them last.
 */
static struct jh_worker *
find_source(const struct jh_chooser *c, const struct jh_choose_request *r,
    struct jh_fleet *f, const struct jh_worker *to, uint64_t now)
{
	struct jh_worker *best = NULL;
	uint64_t best_at = 0;
	size_t level, i;

	for (level = r->n_levels; level > 0 && best == NULL; level--) {
		uint64_t key = part_key(r, level - 1, to->weights);
		if (holds(c, key, now, to, PLACED_USEC))
			return NULL;
		for (i = 0; i < jh_fleet_count(f); i++) {
			struct jh_worker *w = jh_fleet_at(f, i);
			uint64_t at = jh_placed_at(c->placed, key, w->hash);
			if (w == to || at <= best_at || !serves(r, w) ||
			    now < w->hold_until || w->missing_since != 0 ||
			    w->weights != to->weights ||
			    now - at >= PLACED_ONCE_USEC)
				continue;
			best = w;
			best_at = at;
		}
	}
	return best;
}

/* Whether parts are fetched from the store, or are to be saved there. */
static void
use_store(const struct jh_chooser *c, const struct jh_choose_request *r,
    uint64_t now, struct jh_choice *out)
{
	const struct jh_choose_level *last = &r->level[r->n_levels - 1];
	uint64_t key, at;

	if (r->store == 0 || last->tokens < NEWS_TOKENS ||
	    out->uncached < last->tokens)
		return;
	key = part_key(r, r->n_levels - 1, out->worker->weights);
	at = jh_placed_at(c->placed, key, r->store);
	if (at == 0 || now - at >= STORED_USEC)
		out->save = true;
	else if (out->source == NULL)
		out->from_store = true;
}

/* Ranks the eligible workers of each version for the shared parts. */
static size_t
rank_versions(const struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct version *versions)
{
	enum scope scope = home_scope(r);
	size_t n = 0, i;

	if (r->n_levels == 0)
		return 0;
	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *w = jh_fleet_at(f, i);
		uint64_t score, key;
		struct version *v;
		if (!serves(r, w) || !may_take(r, w, now) ||
		    now < w->hold_until)
			continue;
		v = find_version(versions, &n, w->weights);
		if (v == NULL)
			continue;
		key = part_key(r, r->n_levels - 1, w->weights);
		if (holds(c, key, now, w, PLACED_USEC))
			v->held = true;
		score = mix(key, w->hash);
		if (distance(c, w) <= scope &&
		    (v->home == NULL || score > v->score)) {
			v->score = score;
			v->home = w;
		}
	}
	return n;
}

static void
choose_cheapest(const struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct version *versions,
    size_t n_versions, bool take_held, struct jh_choice *out)
{
	uint64_t best = UINT64_MAX;
	size_t i;

	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *w = jh_fleet_at(f, i);
		uint64_t cost;
		if (!serves(r, w))
			continue;
		out->any_alive = true;
		if (!may_take(r, w, now) || (now < w->hold_until && !take_held))
			continue;
		cost = cost_usec(c, r, w,
		    find_version(versions, &n_versions, w->weights), now);
		if (cost < best) {
			best = cost;
			out->worker = w;
		}
	}
}

void
jh_choose(struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct jh_choice *out)
{
	struct version versions[MAX_VERSIONS];
	size_t n = rank_versions(c, f, now, r, versions);

	memset(out, 0, sizeof(*out));
	choose_cheapest(c, f, now, r, versions, n, false, out);
	/* A held worker may be back, and trying it beats refusing. */
	if (out->worker == NULL)
		choose_cheapest(c, f, now, r, versions, n, true, out);
	if (out->worker == NULL)
		return;
	out->base = base_usec(c, r, out->worker, now);
	out->expected = out->base + wait_usec(r, out->worker, now);
	if (!r->is_engine || r->n_levels == 0)
		return;
	out->uncached = uncached(c, r, out->worker, now);
	out->source = find_source(c, r, f, out->worker, now);
	use_store(c, r, now, out);
}

void
jh_chooser_placed(struct jh_chooser *c, uint64_t now,
    const struct jh_choose_request *r, const struct jh_choice *choice)
{
	bool stored = choice->save || choice->from_store;
	size_t i;

	for (i = 0; i < r->n_levels; i++) {
		struct jh_placement at = {
		    part_key(r, i, choice->worker->weights),
		    choice->worker->hash};
		jh_placed_add(c->placed, now, &at);
		if (r->level[i].tokens >= NEWS_TOKENS)
			jh_placed_tell(c->placed, &at);
		if (!stored || i + 1 < r->n_levels)
			continue;
		at.worker = r->store;
		jh_placed_add(c->placed, now, &at);
		jh_placed_tell(c->placed, &at);
	}
}

void
jh_chooser_told(
    struct jh_chooser *c, uint64_t now, const struct jh_placement *p)
{
	jh_placed_add(c->placed, now, p);
}

size_t
jh_chooser_take_news(struct jh_chooser *c, struct jh_placement *out, size_t max)
{
	return jh_placed_take_news(c->placed, out, max);
}
