#include <string.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "route/cache_model.h"
#include "route/choose.h"
#include "route/overload.h"

/* Prefill rate that the deployments' engines are specified with. */
#define PREFILL_TOKENS_PER_MSEC 41

/* Round trip and transfer of a request and its response. */
#define SAME_REGION_RTT_USEC (5 * JH_USEC_PER_MSEC)
#define OTHER_REGION_RTT_USEC (35 * JH_USEC_PER_MSEC)

/* Time that a worker which is no engine takes for one request. */
#define SERVICE_TIME_USEC (40 * JH_USEC_PER_MSEC)

/* Cost of a worker of which all recent attempts failed. */
#define FAIL_RATE_COST_USEC (400 * JH_USEC_PER_MSEC)

/*
 * Outdated weights cost nothing at first, because the new ones are being
 * loaded; after that, a response computed with them is worth less.
 */
#define OUTDATED_GRACE_USEC (1200 * JH_USEC_PER_MSEC)
#define OUTDATED_COST_USEC (250 * JH_USEC_PER_MSEC)

/*
 * A prefix that was placed at a worker within the first time is taken to be in
 * its cache; within the second it may still be there, and another worker tries
 * to fetch it from there.
 */
#define CACHED_USEC (4 * JH_USEC_PER_SEC)
#define MAYBE_CACHED_USEC (10 * JH_USEC_PER_SEC)

/*
 * A prefix that was saved this recently is taken to be in the store, which
 * evicts the least recently used and is larger than the workers' caches.
 */
#define STORED_USEC (20 * JH_USEC_PER_SEC)

/*
 * With several stores, a worker that was sent a prefix within this time surely
 * has it, and is a better source than a store if it is in the same zone: its
 * link is four times as fast.
 */
#define SURELY_CACHED_USEC JH_USEC_PER_SEC

/*
 * With several stores, a worker is taken to have a large prefix, in place of
 * CACHED_USEC, for as long as it and what was used later fit beside the running
 * requests: at least for the first time, because the request that uses it is
 * running then, and at most for the second.
 */
#define CACHED_MIN_USEC (500 * JH_USEC_PER_MSEC)
#define CACHED_MAX_USEC (8 * JH_USEC_PER_SEC)

/*
 * Computing a prefix again costs more than its time: it evicts other prefixes,
 * which then have to be computed again as well.
 */
#define RECOMPUTE_WEIGHT 16

/* Smaller prefixes are not worth announcing to other processes. */
#define ANNOUNCE_MIN_TOKENS JH_PREFIX_MIN_TOKENS

/* A worker's observed excess TTFT decays to 0 over this time. */
#define TTFT_EXCESS_DECAY_USEC (2 * JH_USEC_PER_SEC)

/* Workers with further versions of the weights get no requests. */
#define MAX_VERSIONS 16

struct jh_chooser {
	char *zone;
	const char *region;
	GHashTable *regions;
	struct jh_placements *placed;
	struct jh_prefix_stores *stores;
	struct jh_cache_model *caches;
};

/* The eligible workers with one version of the weights. */
struct version {
	uint64_t weights;
	uint64_t score;
	struct jh_worker *home; /* computes a prefix that no worker has */
	bool cached; /* a worker has the longest shared prefix */
	/* Where each prefix of the request was placed. */
	const struct jh_prefix_sites *sites[JH_CHOOSE_MAX_PREFIXES];
};

enum scope { SCOPE_ZONE, SCOPE_REGION, SCOPE_ALL };

struct jh_chooser *
jh_chooser_create(const struct jh_choose_topology *topology)
{
	struct jh_chooser *c = g_new0(struct jh_chooser, 1);

	c->zone = g_strdup(topology->zone);
	c->regions = g_hash_table_ref(topology->regions);
	c->region = g_hash_table_lookup(c->regions, c->zone);
	c->placed = jh_placements_create();
	c->stores = jh_prefix_stores_create(c->regions);
	c->caches = jh_cache_model_create();
	return c;
}

void
jh_chooser_destroy(struct jh_chooser *c)
{
	if (c == NULL)
		return;
	jh_cache_model_destroy(c->caches);
	jh_prefix_stores_destroy(c->stores);
	g_hash_table_unref(c->regions);
	jh_placements_destroy(c->placed);
	g_free(c->zone);
	g_free(c);
}

struct jh_prefix_stores *
jh_chooser_stores(struct jh_chooser *c)
{
	return c->stores;
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
		return SAME_REGION_RTT_USEC;
	case SCOPE_ALL:
		break;
	}
	return OTHER_REGION_RTT_USEC;
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

/* Version of the weights that the worker has for the request's model. */
static uint64_t
weights_of(const struct jh_choose_request *r, const struct jh_worker *w)
{
	return r->is_engine ? jh_worker_weights(w, r->model) : 0;
}

/*
 * Whether the worker serves the request's service and model; *weights is as
 * weights_of() has it.
 */
static bool
serves(const struct jh_choose_request *r, const struct jh_worker *w,
    uint64_t *weights)
{
	if (g_strcmp0(w->service, r->service) != 0)
		return false;
	*weights = weights_of(r, w);
	return !r->is_engine || *weights != 0;
}

/* Time since a newer version than these weights was published first. */
static uint64_t
outdated_for_usec(
    const struct jh_choose_request *r, uint64_t weights, uint64_t now)
{
	size_t i;

	for (i = 0; i < r->n_versions; i++)
		if (r->versions[i].version > weights)
			return now - MIN(now, r->versions[i].since);
	return 0;
}

static bool
is_eligible(const struct jh_choose_request *r, const struct jh_worker *w,
    uint64_t weights, uint64_t now)
{
	if (jh_worker_is_leaving(w) || now < w->heard_leaving_until ||
	    now < w->replaced_until || now < w->changing_until ||
	    is_excluded(r, w))
		return false;
	return outdated_for_usec(r, weights, now) <= JH_CHOOSE_OUTDATED_USEC;
}

/* Whether the worker is avoided as long as there are others. */
static bool
is_backed_off(
    const struct jh_choose_request *r, const struct jh_worker *w, uint64_t now)
{
	return now < w->backoff_until ||
	       (r->overload && now < w->heard_unreachable_until);
}

/*
 * When the worker and its rate limit allow a request: now or earlier if they
 * do.
 */
static uint64_t
room_at(
    const struct jh_choose_request *r, const struct jh_worker *w, uint64_t now)
{
	uint64_t at = jh_worker_accepts_at(w, now);

	if (r->rate_limits == NULL)
		return at;
	return MAX(at, jh_rate_limits_room_at(r->rate_limits, now, w->hash));
}

static uint64_t
shared_tokens(const struct jh_choose_request *r)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < r->n_prefixes; i++)
		sum += r->prefix[i].tokens;
	return sum;
}

/*
 * Prefixes that take longer to compute than a round trip to any worker are kept
 * once in the whole deployment, smaller ones once in each region or zone.
 */
static enum scope
placement_scope(const struct jh_choose_request *r)
{
	uint64_t compute_usec = prefill_usec(shared_tokens(r));

	if (compute_usec > OTHER_REGION_RTT_USEC)
		return SCOPE_ALL;
	return compute_usec > SAME_REGION_RTT_USEC ? SCOPE_REGION : SCOPE_ZONE;
}

static uint64_t
mix(uint64_t a, uint64_t b)
{
	uint64_t both[2] = {a, b};

	return XXH3_64bits(both, sizeof(both));
}

static uint64_t
prefix_key(const struct jh_choose_request *r, size_t level, uint64_t weights)
{
	return mix(r->prefix[level].key, weights);
}

/*
 * Finds the version, or adds it and looks up where its prefixes are: once for
 * all workers, because there may be thousands. Returns NULL if there are too
 * many versions.
 */
static struct version *
find_version(const struct jh_chooser *c, const struct jh_choose_request *r,
    struct version *versions, size_t *n, uint64_t weights)
{
	struct version *v;
	size_t i;

	for (i = 0; i < *n; i++)
		if (versions[i].weights == weights)
			return &versions[i];
	if (*n == MAX_VERSIONS)
		return NULL;
	v = &versions[(*n)++];
	*v = (struct version){.weights = weights};
	for (i = 0; i < r->n_prefixes; i++)
		v->sites[i] =
		    jh_placements_find(c->placed, prefix_key(r, i, weights));
	return v;
}

static bool
was_placed_within(const struct version *v, size_t level, uint64_t now,
    const struct jh_worker *w, uint64_t within)
{
	uint64_t at = jh_prefix_sites_last(v->sites[level], w->hash);

	return at != 0 && now - at < within;
}

/* Whether the worker is taken to have the prefix in its cache. */
static bool
is_cached(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct version *v, size_t level, const struct jh_worker *w,
    uint64_t now)
{
	uint64_t held = w->held_tokens + w->others_held;

	if (jh_prefix_stores_count(c->stores) == 0 || r->cache_tokens == 0 ||
	    r->prefix[level].tokens < ANNOUNCE_MIN_TOKENS)
		return was_placed_within(v, level, now, w, CACHED_USEC);
	if (!was_placed_within(v, level, now, w, CACHED_MAX_USEC))
		return false;
	if (was_placed_within(v, level, now, w, CACHED_MIN_USEC))
		return true;
	return jh_cache_model_depth(
		   c->caches, w->hash, prefix_key(r, level, v->weights)) <=
	       r->cache_tokens - MIN(held, r->cache_tokens);
}

/* Shared tokens behind the longest prefix that the worker has. */
static uint32_t
uncached_tokens(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct version *v, const struct jh_worker *w, uint64_t now)
{
	uint32_t tokens = 0;
	size_t i;

	for (i = r->n_prefixes; i > 0; i--) {
		if (is_cached(c, r, v, i - 1, w, now))
			break;
		tokens += r->prefix[i - 1].tokens;
	}
	return tokens;
}

uint64_t
jh_choose_held_tokens(const struct jh_choose_request *r)
{
	uint64_t held = (uint64_t)r->own_tokens + r->output_tokens;

	/*
	 * The last shared part stays in memory as well; the parts before it are
	 * in use by many requests and counted with none.
	 */
	if (r->overload && r->n_prefixes > 0)
		held += r->prefix[r->n_prefixes - 1].tokens;
	return held;
}

/* Times of the request at the worker, which computes that many tokens of it. */
static struct jh_overload_time
overload_time(const struct jh_choose_request *r, const struct jh_worker *w,
    uint64_t prefill)
{
	struct jh_overload_work work = {.rank = r->rank,
	    .prefill = prefill,
	    .memory = jh_choose_held_tokens(r),
	    .capacity = r->cache_tokens};
	struct jh_overload_time time;

	jh_overload_estimate(w, &work, &time);
	return time;
}

static uint64_t
queue_wait_usec(
    const struct jh_choose_request *r, const struct jh_worker *w, uint64_t now)
{
	uint64_t demand = w->held_tokens + w->others_held + r->own_tokens;
	uint64_t wait, excess_age;

	if (!r->is_engine) {
		uint64_t slots = MAX(w->slots, 1);
		return (w->running + w->others_running) * SERVICE_TIME_USEC /
		       slots;
	}
	wait = prefill_usec(w->prefill_tokens + w->others_prefill);
	if (r->cache_tokens != 0 && demand > r->cache_tokens)
		wait += prefill_usec(demand - r->cache_tokens);
	excess_age = now - w->ttft_excess_at;
	if (w->ttft_excess > 0 && excess_age < TTFT_EXCESS_DECAY_USEC)
		wait +=
		    (uint64_t)(w->ttft_excess *
			       (double)(TTFT_EXCESS_DECAY_USEC - excess_age) /
			       (double)TTFT_EXCESS_DECAY_USEC);
	return wait;
}

static uint64_t
cost_usec(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct jh_worker *w, const struct version *v, uint64_t now)
{
	uint64_t cost = distance_usec(distance(c, w)) +
			(uint64_t)(w->fail_rate * FAIL_RATE_COST_USEC);
	uint64_t compute_usec;

	if (!r->is_engine)
		return cost + queue_wait_usec(r, w, now);
	cost += r->overload
		    ? overload_time(r, w, r->own_tokens).total
		    : queue_wait_usec(r, w, now) + prefill_usec(r->own_tokens);
	if (outdated_for_usec(r, v->weights, now) > OUTDATED_GRACE_USEC)
		cost += OUTDATED_COST_USEC;
	compute_usec = prefill_usec(uncached_tokens(c, r, v, w, now));
	/* A prefix that no worker has must be computed once: at its home. */
	if (!v->cached && v->home == w)
		compute_usec = 0;
	if (!r->minimise_ttft)
		compute_usec *= RECOMPUTE_WEIGHT;
	return cost + compute_usec;
}

/* TTFT if the worker had no other work. */
static uint64_t
idle_ttft_usec(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct jh_worker *w, const struct version *v, uint64_t now)
{
	uint64_t time = distance_usec(distance(c, w));

	if (!r->is_engine)
		return time;
	return time +
	       prefill_usec(uncached_tokens(c, r, v, w, now) + r->own_tokens);
}

/*
 * The worker where the prefix was placed last within that time, but for the
 * chosen one; in the zone, unless that is NULL.
 */
static struct jh_worker *
find_last_placed(const struct jh_choose_request *r, struct jh_fleet *f,
    const struct jh_prefix_sites *sites, uint64_t weights,
    const struct jh_worker *to, const char *zone, uint64_t within, uint64_t now)
{
	struct jh_worker *best = NULL, *w;
	uint64_t best_at = 0, has;
	size_t i;

	for (i = 0; sites != NULL && i < JH_PLACEMENTS_WORKERS; i++) {
		if (sites->at[i] <= best_at || now - sites->at[i] >= within)
			continue;
		w = jh_fleet_find_hash(f, sites->worker[i]);
		if (w == NULL || w == to || !serves(r, w, &has) ||
		    now < w->backoff_until || now < w->replaced_until ||
		    w->missing_since != 0 || has != weights ||
		    (zone != NULL && g_strcmp0(w->zone, zone) != 0))
			continue;
		best = w;
		best_at = sites->at[i];
	}
	return best;
}

/*
 * Returns a worker with a longer shared prefix than the chosen one, namely the
 * one where the longest of them was placed last, or NULL.
 */
static struct jh_worker *
find_fetch_source(const struct jh_choose_request *r, struct jh_fleet *f,
    const struct version *v, const struct jh_worker *to, uint64_t now)
{
	struct jh_worker *found = NULL;
	size_t level;

	for (level = r->n_prefixes; level > 0 && found == NULL; level--) {
		if (was_placed_within(v, level - 1, now, to, CACHED_USEC))
			return NULL;
		found = find_last_placed(r, f, v->sites[level - 1], v->weights,
		    to, NULL, MAYBE_CACHED_USEC, now);
	}
	return found;
}

/* Decides whether the prefix is fetched from the store or saved to it. */
static void
use_store(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct version *v, uint64_t now, struct jh_choice *out)
{
	const struct jh_choose_prefix *last = &r->prefix[r->n_prefixes - 1];
	uint64_t key, at;

	if (r->prefix_store == 0 || last->tokens < ANNOUNCE_MIN_TOKENS ||
	    out->uncached < last->tokens)
		return;
	key = prefix_key(r, r->n_prefixes - 1, v->weights);
	at = jh_prefix_sites_last(
	    jh_placements_find(c->placed, key), r->prefix_store);
	if (at == 0 || now - at >= STORED_USEC)
		out->save = true;
	else if (out->source == NULL)
		out->from_store = true;
}

/* What the request needs from the stores; the keys are filled in. */
static struct jh_prefix_need
prefix_need(const struct jh_choose_request *r, uint64_t weights,
    const struct jh_worker *to, uint64_t *keys, uint32_t *tokens)
{
	struct jh_prefix_need need = {.zone = to->zone,
	    .key = keys,
	    .tokens = tokens,
	    .n = r->n_prefixes,
	    .token_bytes = r->token_bytes};
	size_t i;

	for (i = 0; i < r->n_prefixes; i++) {
		keys[i] = prefix_key(r, i, weights);
		tokens[i] = r->prefix[i].tokens;
	}
	return need;
}

/* Counts a fetch that surely succeeds as faster than computing the prefix. */
static void
expect_fetch(const struct jh_choose_request *r, struct jh_choice *out)
{
	uint64_t beyond = 0, saved;
	size_t i;

	for (i = out->stores.n_fetched; i < r->n_prefixes; i++)
		beyond += r->prefix[i].tokens;
	if (!out->stores.is_sure || out->uncached <= beyond)
		return;
	out->from_stores = out->uncached - (uint32_t)beyond;
	saved = prefill_usec(out->from_stores);
	saved -= MIN(saved, out->stores.fetch_usec);
	out->idle_ttft -= MIN(out->idle_ttft, saved);
	out->expected_ttft -= MIN(out->expected_ttft, saved);
}

/*
 * Decides what is fetched and saved with several stores. The source is a worker
 * of the same zone that surely has the longest prefix, else a store that surely
 * has it, else a worker that is taken to have it, else what may have part of
 * it. A worker that surely has all gets no source; one that has all
 * nevertheless does not use its source.
 */
static void
use_stores(const struct jh_chooser *c, const struct jh_choose_request *r,
    struct jh_fleet *f, const struct version *v, uint64_t now,
    struct jh_choice *out)
{
	uint64_t keys[JH_CHOOSE_MAX_PREFIXES];
	uint32_t tokens[JH_CHOOSE_MAX_PREFIXES];
	struct jh_prefix_need need =
	    prefix_need(r, v->weights, out->worker, keys, tokens);
	size_t last = r->n_prefixes - 1;
	struct jh_worker *other;

	for (need.cached = need.n; need.cached > 0; need.cached--)
		if (was_placed_within(v, need.cached - 1, now, out->worker,
			SURELY_CACHED_USEC) &&
		    is_cached(c, r, v, need.cached - 1, out->worker, now))
			break;
	if (need.cached == need.n)
		return;
	for (need.likely = need.n; need.likely > need.cached; need.likely--)
		if (is_cached(c, r, v, need.likely - 1, out->worker, now))
			break;
	jh_prefix_stores_plan(c->stores, now, &need, &out->stores);
	out->source = find_last_placed(r, f, v->sites[last], v->weights,
	    out->worker, out->worker->zone, SURELY_CACHED_USEC, now);
	if (out->source == NULL &&
	    (!out->stores.is_sure || out->stores.n_fetched <= last)) {
		other = find_fetch_source(r, f, v, out->worker, now);
		if (other != NULL && (out->stores.fetch == NULL ||
					 is_cached(c, r, v, last, other, now)))
			out->source = other;
	}
	if (out->source != NULL)
		out->stores.fetch = NULL;
	if (out->stores.fetch != NULL)
		expect_fetch(r, out);
}

/* Finds the home of the longest shared prefix for each version of weights. */
static void
rank_versions(const struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct version *versions, size_t *n)
{
	enum scope scope = placement_scope(r);
	size_t last = r->n_prefixes - 1, i;

	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *w = jh_fleet_at(f, i);
		struct version *v;
		uint64_t score, weights;
		if (!serves(r, w, &weights) ||
		    !is_eligible(r, w, weights, now) ||
		    is_backed_off(r, w, now) || room_at(r, w, now) > now)
			continue;
		v = find_version(c, r, versions, n, weights);
		if (v == NULL)
			continue;
		if (is_cached(c, r, v, last, w, now))
			v->cached = true;
		score = mix(prefix_key(r, last, v->weights), w->hash);
		if (distance(c, w) <= scope &&
		    (v->home == NULL || score > v->score)) {
			v->score = score;
			v->home = w;
		}
	}
}

static void
choose_cheapest(const struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct version *versions,
    size_t *n_versions, bool include_backed_off, struct jh_choice *out)
{
	uint64_t best = UINT64_MAX, cost, room, weights;
	size_t i;

	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *w = jh_fleet_at(f, i);
		struct version *v;
		if (!serves(r, w, &weights))
			continue;
		out->any_worker = true;
		if (!is_eligible(r, w, weights, now) ||
		    (is_backed_off(r, w, now) && !include_backed_off))
			continue;
		room = room_at(r, w, now);
		if (room > now) {
			if (out->room_at == 0 || room < out->room_at)
				out->room_at = room;
			continue;
		}
		v = find_version(c, r, versions, n_versions, weights);
		if (v == NULL)
			continue;
		cost = cost_usec(c, r, w, v, now);
		if (cost < best) {
			best = cost;
			out->worker = w;
		}
	}
}

/* The request is a demand for each worker that could serve it. */
static void
count_demand(
    struct jh_fleet *f, uint64_t now, const struct jh_choose_request *r)
{
	uint64_t weights;
	size_t i;

	if (r->rate_limits == NULL || jh_rate_limits_count(r->rate_limits) == 0)
		return;
	for (i = 0; i < jh_fleet_count(f); i++) {
		const struct jh_worker *w = jh_fleet_at(f, i);
		if (serves(r, w, &weights) && is_eligible(r, w, weights, now))
			jh_rate_limits_request(r->rate_limits, now, w->hash);
	}
}

/* Times to the first token at the chosen worker. */
static void
set_times(const struct jh_chooser *c, const struct jh_choose_request *r,
    const struct version *v, uint64_t now, struct jh_choice *out)
{
	const struct jh_worker *w = out->worker;
	struct jh_overload_time time;

	if (!r->is_engine || !r->overload) {
		out->idle_ttft = idle_ttft_usec(c, r, w, v, now);
		out->expected_ttft =
		    out->idle_ttft + queue_wait_usec(r, w, now);
		return;
	}
	time = overload_time(
	    r, w, (uint64_t)uncached_tokens(c, r, v, w, now) + r->own_tokens);
	out->expected_ttft = distance_usec(distance(c, w)) + time.total;
	out->idle_ttft = out->expected_ttft - time.wait;
	out->nominal_ttft = distance_usec(distance(c, w)) + time.nominal;
}

void
jh_choose(struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct jh_choice *out)
{
	struct version versions[MAX_VERSIONS];
	const struct version *v;
	size_t n = 0;

	memset(out, 0, sizeof(*out));
	count_demand(f, now, r);
	if (r->n_prefixes > 0)
		rank_versions(c, f, now, r, versions, &n);
	choose_cheapest(c, f, now, r, versions, &n, false, out);
	/* A worker in backoff may work again; trying it beats a refusal. */
	if (out->worker == NULL)
		choose_cheapest(c, f, now, r, versions, &n, true, out);
	if (out->worker == NULL)
		return;
	v = find_version(c, r, versions, &n, weights_of(r, out->worker));
	set_times(c, r, v, now, out);
	if (!r->is_engine || r->n_prefixes == 0)
		return;
	out->uncached = uncached_tokens(c, r, v, out->worker, now);
	if (jh_prefix_stores_count(c->stores) > 0) {
		use_stores(c, r, f, v, now, out);
		return;
	}
	out->source = find_fetch_source(r, f, v, out->worker, now);
	use_store(c, r, v, now, out);
}

/*
 * Records what the stores have after the request. The longest prefix alone is
 * announced: the shorter ones are few, and each process soon uses them itself.
 */
static void
record_stores(struct jh_chooser *c, uint64_t now,
    const struct jh_choose_request *r, const struct jh_choice *choice)
{
	const struct jh_prefix_plan *plan = &choice->stores;
	uint64_t keys[JH_CHOOSE_MAX_PREFIXES];
	uint32_t tokens[JH_CHOOSE_MAX_PREFIXES];
	struct jh_prefix_need need;
	struct jh_placement at;
	size_t last = r->n_prefixes;

	if (plan->fetch == NULL && plan->save == NULL)
		return;
	need = prefix_need(
	    r, weights_of(r, choice->worker), choice->worker, keys, tokens);
	jh_prefix_stores_sent(c->stores, now, &need, plan);
	while (last > 0 && tokens[last - 1] < ANNOUNCE_MIN_TOKENS)
		last--;
	if (last == 0)
		return;
	at.key = keys[last - 1];
	if (plan->save != NULL) {
		at.worker = plan->save->hash;
		jh_placements_announce(c->placed, &at);
	}
	if (plan->fetch != NULL && plan->fetch != plan->save && plan->is_sure &&
	    plan->n_fetched >= last) {
		at.worker = plan->fetch->hash ^ JH_PREFIX_USE;
		jh_placements_announce(c->placed, &at);
	}
}

static void
announce_cached(
    struct jh_chooser *c, const struct jh_placement *at, uint32_t tokens)
{
	jh_placements_announce(c->placed, at);
	if (jh_prefix_stores_count(c->stores) > 0)
		jh_cache_model_used(c->caches, at->worker, at->key, tokens);
}

void
jh_chooser_sent(struct jh_chooser *c, uint64_t now,
    const struct jh_choose_request *r, const struct jh_choice *choice)
{
	bool in_store = choice->save || choice->from_store;
	uint64_t weights = weights_of(r, choice->worker);
	size_t i;

	record_stores(c, now, r, choice);
	for (i = 0; i < r->n_prefixes; i++) {
		struct jh_placement at = {
		    prefix_key(r, i, weights), choice->worker->hash};
		jh_placements_add(c->placed, now, &at);
		if (r->prefix[i].tokens >= ANNOUNCE_MIN_TOKENS)
			announce_cached(c, &at, r->prefix[i].tokens);
		if (!in_store || i + 1 < r->n_prefixes)
			continue;
		at.worker = r->prefix_store;
		jh_placements_add(c->placed, now, &at);
		jh_placements_announce(c->placed, &at);
	}
}

void
jh_chooser_add_placement(
    struct jh_chooser *c, uint64_t now, const struct jh_placement *p)
{
	if (jh_prefix_stores_heard(c->stores, now, p))
		return;
	jh_placements_add(c->placed, now, p);
	if (jh_prefix_stores_count(c->stores) > 0)
		jh_cache_model_used(c->caches, p->worker, p->key, 0);
}

size_t
jh_chooser_take_announcements(
    struct jh_chooser *c, struct jh_placement *out, size_t max)
{
	return jh_placements_take_announcements(c->placed, out, max);
}
