#include <string.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "route/prefix_store_state.h"

/* Taken if the configuration does not state them; the lowest in use. */
#define DEFAULT_LINK_MBPS 270000
#define DEFAULT_ROOM_TOKENS 1850000

/* Round trip between the regions, which a fetch takes in addition. */
#define REGION_RTT_USEC (24 * JH_USEC_PER_MSEC)

/*
 * Slowest prefill rate of an engine. A transfer from the other region is worth
 * up to this many times the prefill that it saves, because a prefill also
 * delays the other requests of its worker and evicts their prefixes.
 */
#define PREFILL_TOKENS_PER_MSEC 41
#define REGION_WORTH 2

/*
 * Transfers are started while the link's backlog is below this and its load in
 * the last second below a limit, in microseconds. Announcements are some 0.2 s
 * old, so the backlog alone would be exceeded by all processes at once. Fetches
 * come first, then saves; transfers to the other region, which take ten times
 * as long, and saves of what may be there are the least urgent.
 */
#define BACKLOG_USEC (100 * JH_USEC_PER_MSEC)
#define FETCH_LOAD_USEC (800 * JH_USEC_PER_MSEC)
#define SAVE_LOAD_USEC (500 * JH_USEC_PER_MSEC)
#define LOW_LOAD_USEC (250 * JH_USEC_PER_MSEC)

/*
 * A prefix that is fetched is saved as well once in so many fetches, in case
 * the store evicted it earlier than estimated.
 */
#define SAVE_AGAIN_FETCHES 8

/* Time in which all processes notice that a store has lost its prefixes. */
#define DISTRUST_USEC (10 * JH_USEC_PER_SEC)

struct jh_prefix_stores {
	GHashTable *regions;
	struct jh_prefix_store_state store[JH_PREFIX_MAX_STORES];
	size_t n;
	struct jh_placements *stored;
};

/* Whether a prefix is in a store. */
enum presence { ABSENT, UNSURE, PRESENT };

struct jh_prefix_stores *
jh_prefix_stores_create(GHashTable *regions)
{
	struct jh_prefix_stores *s = g_new0(struct jh_prefix_stores, 1);

	s->regions = g_hash_table_ref(regions);
	s->stored = jh_placements_create();
	return s;
}

static void
clear_spec(struct jh_prefix_store *spec)
{
	g_free((char *)spec->name);
	g_free((char *)spec->zone);
}

void
jh_prefix_stores_destroy(struct jh_prefix_stores *s)
{
	size_t i;

	if (s == NULL)
		return;
	for (i = 0; i < s->n; i++)
		clear_spec(&s->store[i].spec);
	jh_placements_destroy(s->stored);
	g_hash_table_unref(s->regions);
	g_free(s);
}

static struct jh_prefix_store_state *
find_store(const struct jh_prefix_stores *s, uint64_t hash)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->store[i].spec.hash == hash)
			return (struct jh_prefix_store_state *)&s->store[i];
	return NULL;
}

void
jh_prefix_stores_configure(
    struct jh_prefix_stores *s, const struct jh_prefix_store *store, size_t n)
{
	struct jh_prefix_store_state kept[JH_PREFIX_MAX_STORES];
	size_t i;

	n = MIN(n, JH_PREFIX_MAX_STORES);
	memset(kept, 0, sizeof(kept));
	for (i = 0; i < n; i++) {
		const struct jh_prefix_store_state *old =
		    find_store(s, store[i].hash);
		if (old != NULL)
			kept[i] = *old;
		kept[i].spec = store[i];
		kept[i].spec.name = g_strdup(store[i].name);
		kept[i].spec.zone = g_strdup(store[i].zone);
		if (kept[i].spec.link_mbps == 0)
			kept[i].spec.link_mbps = DEFAULT_LINK_MBPS;
		if (kept[i].spec.room == 0)
			kept[i].spec.room = DEFAULT_ROOM_TOKENS;
	}
	for (i = 0; i < s->n; i++)
		clear_spec(&s->store[i].spec);
	memcpy(s->store, kept, sizeof(kept));
	s->n = n;
}

size_t
jh_prefix_stores_count(const struct jh_prefix_stores *s)
{
	return s->n;
}

const struct jh_prefix_store *
jh_prefix_stores_find(const struct jh_prefix_stores *s, uint64_t hash)
{
	const struct jh_prefix_store_state *t = find_store(s, hash);

	return t != NULL ? &t->spec : NULL;
}

static enum jh_prefix_distance
distance(const struct jh_prefix_stores *s, const char *zone,
    const struct jh_prefix_store_state *t)
{
	const char *region;

	if (zone == NULL || t->spec.zone == NULL)
		return JH_PREFIX_OTHER_REGION;
	if (strcmp(zone, t->spec.zone) == 0)
		return JH_PREFIX_SAME_ZONE;
	region = g_hash_table_lookup(s->regions, zone);
	if (region != NULL && g_strcmp0(region, g_hash_table_lookup(s->regions,
						    t->spec.zone)) == 0)
		return JH_PREFIX_SAME_REGION;
	return JH_PREFIX_OTHER_REGION;
}

static enum presence
presence(const struct jh_prefix_stores *s, struct jh_prefix_store_state *t,
    uint64_t now, uint64_t key)
{
	uint64_t at = jh_prefix_sites_last(
	    jh_placements_find(s->stored, key), t->spec.hash);

	if (at == 0 || now - at >= JH_PREFIX_STORED_USEC)
		return ABSENT;
	if (at < t->trusted_from ||
	    now - at >= jh_prefix_store_kept_usec(t, now))
		return UNSURE;
	return PRESENT;
}

/* A store that the first prefixes can be fetched from. */
struct candidate {
	struct jh_prefix_store_state *store;
	size_t level; /* number of prefixes */
	enum presence presence;
	enum jh_prefix_distance distance;
	uint64_t usec; /* duration if the worker has nothing likely */
	uint64_t bytes; /* expected */
};

static bool
has_room(struct jh_prefix_store_state *t, uint64_t now, uint64_t load_limit)
{
	return jh_prefix_store_backlog(t, now) <= BACKLOG_USEC &&
	       jh_prefix_store_load(t, now) <= load_limit;
}

static bool
can_fetch(
    const struct jh_prefix_need *need, uint64_t now, const struct candidate *a)
{
	uint64_t tokens = jh_prefix_need_tokens(need, need->cached, a->level);
	uint64_t limit = a->distance == JH_PREFIX_OTHER_REGION
			     ? LOW_LOAD_USEC
			     : FETCH_LOAD_USEC;

	if (!has_room(a->store, now, limit))
		return false;
	return a->distance != JH_PREFIX_OTHER_REGION ||
	       (a->presence == PRESENT &&
		   a->usec + REGION_RTT_USEC <=
		       REGION_WORTH * tokens * 1000 / PREFILL_TOKENS_PER_MSEC);
}

/*
 * A store with more of the prompt is better, then one that surely has it, then
 * the shorter transfer.
 */
static bool
is_better(const struct candidate *a, const struct candidate *b)
{
	if (b->store == NULL || a->level != b->level)
		return b->store == NULL || a->level > b->level;
	if (a->presence != b->presence)
		return a->presence > b->presence;
	return a->usec < b->usec;
}

static struct candidate
find_fetch(struct jh_prefix_stores *s, uint64_t now,
    const struct jh_prefix_need *need, size_t n)
{
	struct candidate best = {0}, a;
	size_t i;

	for (i = 0; i < s->n; i++) {
		a = (struct candidate){.store = &s->store[i], .level = n};
		if (now < a.store->avoid_until)
			continue;
		for (; a.level > need->cached; a.level--) {
			a.presence =
			    presence(s, a.store, now, need->key[a.level - 1]);
			if (a.presence != ABSENT)
				break;
		}
		if (a.level <= need->cached)
			continue;
		a.distance = distance(s, need->zone, a.store);
		a.bytes = jh_prefix_need_bytes(
		    need, jh_prefix_need_tokens(need, need->likely, a.level));
		a.usec = jh_prefix_store_transfer_usec(a.store,
		    jh_prefix_need_bytes(need,
			jh_prefix_need_tokens(need, need->cached, a.level)),
		    a.distance);
		if (can_fetch(need, now, &a) && is_better(&a, &best))
			best = a;
	}
	return best;
}

/* The store of the worker's region that the prefix is saved to. */
static struct jh_prefix_store_state *
find_save(struct jh_prefix_stores *s, uint64_t now,
    const struct jh_prefix_need *need, uint64_t key)
{
	struct jh_prefix_store_state *best = NULL;
	uint64_t best_score = 0, limit;
	size_t i;

	for (i = 0; i < s->n; i++) {
		struct jh_prefix_store_state *t = &s->store[i];
		uint64_t both[2] = {key, t->spec.hash};
		uint64_t score = XXH3_64bits(both, sizeof(both));
		if (distance(s, need->zone, t) == JH_PREFIX_OTHER_REGION ||
		    now < t->avoid_until)
			continue;
		if (presence(s, t, now, key) == PRESENT)
			return NULL;
		if (best == NULL || score > best_score) {
			best = t;
			best_score = score;
		}
	}
	if (best == NULL)
		return NULL;
	limit = presence(s, best, now, key) == ABSENT ? SAVE_LOAD_USEC
						      : LOW_LOAD_USEC;
	if (!has_room(best, now, limit))
		return NULL;
	return best;
}

void
jh_prefix_stores_plan(struct jh_prefix_stores *s, uint64_t now,
    const struct jh_prefix_need *need, struct jh_prefix_plan *out)
{
	size_t n = jh_prefix_need_stored(need), stored;
	struct candidate from;
	struct jh_prefix_store_state *to;

	memset(out, 0, sizeof(*out));
	if (s->n == 0 || n <= need->cached)
		return;
	from = find_fetch(s, now, need, n);
	if (from.store != NULL) {
		out->fetch = &from.store->spec;
		out->n_fetched = from.level;
		out->is_sure = from.presence == PRESENT;
		out->fetch_usec = from.usec;
		out->fetch_bytes = from.bytes;
	}
	to = find_save(s, now, need, need->key[n - 1]);
	if (from.store != NULL && from.distance != JH_PREFIX_OTHER_REGION &&
	    from.level == n &&
	    ++from.store->fetches % SAVE_AGAIN_FETCHES == 0 &&
	    has_room(from.store, now, LOW_LOAD_USEC))
		to = from.store;
	if (to != NULL) {
		out->save = &to->spec;
		for (stored = n; stored > 0; stored--)
			if (presence(s, to, now, need->key[stored - 1]) ==
			    PRESENT)
				break;
		out->save_tokens = jh_prefix_need_tokens(need, stored, n);
		/* The longest prefix may be sent although it is stored. */
		out->save_bytes = jh_prefix_need_bytes(
		    need, jh_prefix_need_tokens(need, MIN(stored, n - 1), n));
	}
}

static void
add_transfer(struct jh_prefix_stores *s, uint64_t now,
    const struct jh_prefix_need *need, uint64_t hash, size_t n, uint64_t bytes,
    uint64_t saved_tokens)
{
	struct jh_prefix_store_state *t = find_store(s, hash);
	struct jh_placement at = {.worker = hash};
	double busy;
	size_t i;

	if (t == NULL)
		return;
	busy = (double)jh_prefix_store_transfer_usec(
	    t, bytes, distance(s, need->zone, t));
	jh_prefix_store_moved(t, now, busy, (double)saved_tokens);
	for (i = 0; i < n; i++) {
		if (need->tokens[i] < JH_PREFIX_MIN_TOKENS)
			continue;
		at.key = need->key[i];
		jh_placements_add(s->stored, now, &at);
	}
}

void
jh_prefix_stores_sent(struct jh_prefix_stores *s, uint64_t now,
    const struct jh_prefix_need *need, const struct jh_prefix_plan *plan)
{
	if (plan->save != NULL)
		add_transfer(s, now, need, plan->save->hash,
		    jh_prefix_need_stored(need), plan->save_bytes,
		    plan->save_tokens);
	/* The use of a prefix that may be gone does not make it present. */
	if (plan->fetch != NULL)
		add_transfer(s, now, need, plan->fetch->hash,
		    plan->is_sure ? plan->n_fetched : 0, plan->fetch_bytes, 0);
}

bool
jh_prefix_stores_heard(
    struct jh_prefix_stores *s, uint64_t now, const struct jh_placement *at)
{
	struct jh_prefix_store_state *t = find_store(s, at->worker);
	bool is_use = t == NULL;
	struct jh_placement stored;

	if (is_use)
		t = find_store(s, at->worker ^ JH_PREFIX_USE);
	if (t == NULL)
		return false;
	jh_prefix_store_heard(t, now);
	stored = (struct jh_placement){at->key, t->spec.hash};
	/*
	 * A process that does not know yet that the store has lost its prefixes
	 * still uses them.
	 */
	if (!is_use || presence(s, t, now, at->key) == PRESENT ||
	    now - MIN(now, t->trusted_from) > DISTRUST_USEC)
		jh_placements_add(s->stored, now, &stored);
	return true;
}

enum jh_prefix_verdict
jh_prefix_stores_first_event(struct jh_prefix_stores *s, uint64_t now,
    uint64_t hash, int64_t late_usec, uint64_t saved_usec)
{
	struct jh_prefix_store_state *t = find_store(s, hash);
	size_t i;

	for (i = 0; i < s->n; i++)
		if (&s->store[i] != t)
			jh_prefix_store_other_late(&s->store[i], late_usec);
	if (t == NULL)
		return JH_PREFIX_NO_CHANGE;
	return jh_prefix_store_late(t, now, late_usec, saved_usec);
}
