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
 * answer on them is worth less, and in the end nothing.
 */
#define OLD_WEIGHTS_FREE_USEC (1200 * JH_USEC_PER_MSEC)
#define OLD_WEIGHTS_USEC (250 * JH_USEC_PER_MSEC)
#define OLD_WEIGHTS_LAST_USEC (5000 * JH_USEC_PER_MSEC)

/* Parts that were used this recently are taken to be in a worker's memory. */
#define PLACED_USEC (4 * JH_USEC_PER_SEC)

/* Workers remembered for one part, and parts remembered at all. */
#define PLACED_WORKERS 4
#define PLACED_PARTS 4096

/* A worker's learned delay fades over this time. */
#define DELAY_USEC (2 * JH_USEC_PER_SEC)

/* Distinct versions of weights that are ranked apart. */
#define MAX_VERSIONS 4

struct placed {
	uint64_t worker[PLACED_WORKERS];
	uint64_t at[PLACED_WORKERS];
};

struct jh_chooser {
	char *zone;
	const char *region;
	GHashTable *regions;
	GHashTable *placed; /* part key to struct placed */
};

/* The best-ranked worker of one version of weights. */
struct home {
	uint64_t weights;
	uint64_t score;
	struct jh_worker *worker;
	/* The next one: the best before the list of workers last changed. */
	uint64_t second_score;
	struct jh_worker *second;
};

enum scope { SCOPE_ZONE, SCOPE_REGION, SCOPE_ALL };

struct jh_chooser *
jh_chooser_create(const struct jh_choose_site *site)
{
	struct jh_chooser *c = g_new0(struct jh_chooser, 1);

	c->zone = g_strdup(site->zone);
	c->regions = g_hash_table_ref(site->regions);
	c->region = g_hash_table_lookup(c->regions, c->zone);
	c->placed =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return c;
}

void
jh_chooser_destroy(struct jh_chooser *c)
{
	if (c == NULL)
		return;
	g_hash_table_unref(c->regions);
	g_hash_table_destroy(c->placed);
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

static bool
may_take(const struct jh_choose_request *r, const struct jh_worker *w,
    uint64_t now)
{
	if (w->leaving || now < w->changing_until || is_excluded(r, w))
		return false;
	if (r->is_engine && r->newest_weights > w->weights &&
	    now - r->newest_since > OLD_WEIGHTS_LAST_USEC)
		return false;
	return true;
}

/*
 * Parts that take longer to read again than any worker is away are kept once
 * in the whole deployment, smaller ones once in each region or zone.
 */
static enum scope
home_scope(const struct jh_choose_request *r)
{
	uint64_t reading = prefill_usec(r->shared_tokens);

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
part_key(const struct jh_choose_request *r, const struct jh_worker *w)
{
	return mix(r->shared_key, w->weights);
}

static struct home *
find_home(struct home *homes, size_t *n, uint64_t weights)
{
	size_t i;

	for (i = 0; i < *n; i++)
		if (homes[i].weights == weights)
			return &homes[i];
	if (*n == MAX_VERSIONS)
		return NULL;
	homes[*n] = (struct home){.weights = weights};
	return &homes[(*n)++];
}

static bool
was_placed(const struct jh_chooser *c, uint64_t key, uint64_t now,
    const struct jh_worker *w)
{
	const struct placed *p = g_hash_table_lookup(c->placed, &key);
	size_t i;

	if (p == NULL)
		return false;
	for (i = 0; i < PLACED_WORKERS; i++)
		if (p->worker[i] == w->hash && now - p->at[i] < PLACED_USEC)
			return true;
	return false;
}

static uint64_t
wait_usec(const struct jh_choose_request *r, const struct jh_worker *w,
    uint64_t now)
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
    const struct jh_worker *w, const struct home *home, uint64_t now)
{
	uint64_t cost = wait_usec(r, w, now) +
	    distance_usec(distance(c, w)) + (uint64_t)(w->fail_rate * FAIL_USEC);

	if (!r->is_engine)
		return cost;
	if (r->newest_weights > w->weights &&
	    now - r->newest_since > OLD_WEIGHTS_FREE_USEC)
		cost += OLD_WEIGHTS_USEC;
	if (r->shared_key != 0 && (home == NULL || home->worker != w) &&
	    !was_placed(c, part_key(r, w), now, w))
		cost += prefill_usec(r->shared_tokens);
	return cost + prefill_usec(r->own_tokens);
}

static void
rank(struct home *home, uint64_t score, struct jh_worker *w)
{
	if (home->worker == NULL || score >= home->score) {
		home->second = home->worker;
		home->second_score = home->score;
		home->worker = w;
		home->score = score;
	} else if (home->second == NULL || score >= home->second_score) {
		home->second = w;
		home->second_score = score;
	}
}

/* The worker of these weights that has the shared parts most likely. */
static struct jh_worker *
find_source(const struct jh_chooser *c, const struct jh_choose_request *r,
    struct jh_fleet *f, const struct jh_worker *to, const struct home *home,
    uint64_t now)
{
	uint64_t key = part_key(r, to);
	size_t i;

	if (home != NULL && home->worker != NULL && home->worker != to)
		return home->worker;
	if (home != NULL && home->second != NULL)
		return home->second;
	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *w = jh_fleet_at(f, i);
		if (w != to && serves(r, w) && w->weights == to->weights &&
		    was_placed(c, key, now, w))
			return w;
	}
	return NULL;
}

void
jh_choose(struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct jh_choice *out)
{
	struct home homes[MAX_VERSIONS];
	struct home *home;
	enum scope scope = home_scope(r);
	uint64_t best = UINT64_MAX;
	bool take_held = false;
	size_t n_homes = 0, i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *w = jh_fleet_at(f, i);
		uint64_t score;
		if (!serves(r, w))
			continue;
		out->any_alive = true;
		if (r->shared_key == 0 || !may_take(r, w, now) ||
		    now < w->hold_until || distance(c, w) > scope)
			continue;
		home = find_home(homes, &n_homes, w->weights);
		score = mix(part_key(r, w), w->hash);
		if (home != NULL)
			rank(home, score, w);
	}
again:
	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *w = jh_fleet_at(f, i);
		uint64_t cost;
		if (!serves(r, w) || !may_take(r, w, now))
			continue;
		if (now < w->hold_until && !take_held)
			continue;
		home = find_home(homes, &n_homes, w->weights);
		cost = cost_usec(c, r, w, home, now);
		if (cost < best) {
			best = cost;
			out->worker = w;
		}
	}
	if (out->worker == NULL && !take_held) {
		/* A held worker may be back; better than refusing. */
		take_held = true;
		goto again;
	}
	if (out->worker == NULL)
		return;
	out->expected = best;
	out->base = best - MIN(best, wait_usec(r, out->worker, now));
	if (!r->is_engine || r->shared_key == 0)
		return;
	home = find_home(homes, &n_homes, out->worker->weights);
	out->uncached = (home == NULL || home->worker != out->worker) &&
	    !was_placed(c, part_key(r, out->worker), now, out->worker);
	if (!was_placed(c, part_key(r, out->worker), now, out->worker))
		out->source = find_source(c, r, f, out->worker, home, now);
}

void
jh_chooser_placed(struct jh_chooser *c, uint64_t now, uint64_t shared_key,
    const struct jh_worker *w)
{
	uint64_t key = mix(shared_key, w->weights);
	struct placed *p;
	size_t i, oldest = 0;

	if (shared_key == 0)
		return;
	p = g_hash_table_lookup(c->placed, &key);
	if (p == NULL) {
		if (g_hash_table_size(c->placed) >= PLACED_PARTS)
			g_hash_table_remove_all(c->placed);
		p = g_new0(struct placed, 1);
		g_hash_table_insert(
		    c->placed, g_memdup2(&key, sizeof(key)), p);
	}
	for (i = 0; i < PLACED_WORKERS; i++) {
		if (p->worker[i] == w->hash) {
			oldest = i;
			break;
		}
		if (p->at[i] < p->at[oldest])
			oldest = i;
	}
	p->worker[oldest] = w->hash;
	p->at[oldest] = now;
}
