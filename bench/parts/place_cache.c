#include <glib.h>

#include "place_cache.h"

/* A node cached at a worker, in that worker's list by time of last use. */
struct cached {
	uint64_t key; /* worker << 32 | node */
	uint32_t tokens;
	struct cached *newer;
	struct cached *older;
};

struct cache {
	uint64_t tokens;
	struct cached *newest;
	struct cached *oldest;
};

struct place_caches {
	uint32_t workers;
	uint64_t capacity;
	struct cache *cache; /* by worker */
	uint32_t *holders; /* number of workers that have it cached, by node */
	GHashTable *index; /* all cached nodes by key */
};

static guint
hash_key(gconstpointer key)
{
	return (guint)((*(const uint64_t *)key * 0x9e3779b97f4a7c15ULL) >> 32);
}

struct place_caches *
place_caches_create(uint32_t workers, uint32_t nodes, uint64_t capacity_tokens)
{
	struct place_caches *c = g_new0(struct place_caches, 1);

	c->workers = workers;
	c->capacity = capacity_tokens;
	c->cache = g_new0(struct cache, workers);
	c->holders = g_new0(uint32_t, nodes);
	c->index = g_hash_table_new(hash_key, g_int64_equal);
	return c;
}

static struct cached *
find(const struct place_caches *c, uint32_t worker, uint32_t node)
{
	uint64_t key = (uint64_t)worker << 32 | node;

	return g_hash_table_lookup(c->index, &key);
}

bool
place_caches_has(const struct place_caches *c, uint32_t worker, uint32_t node)
{
	return find(c, worker, node) != NULL;
}

uint32_t
place_caches_holders(const struct place_caches *c, uint32_t node)
{
	return c->holders[node];
}

static void
unlink_use(struct cache *w, struct cached *e)
{
	if (e->newer == NULL)
		w->newest = e->older;
	else
		e->newer->older = e->older;
	if (e->older == NULL)
		w->oldest = e->newer;
	else
		e->older->newer = e->newer;
}

static void
link_newest(struct cache *w, struct cached *e)
{
	e->newer = NULL;
	e->older = w->newest;
	if (w->newest != NULL)
		w->newest->newer = e;
	else
		w->oldest = e;
	w->newest = e;
}

static void
evict(struct place_caches *c, struct cache *w)
{
	struct cached *e = w->oldest;

	w->oldest = e->newer;
	if (w->oldest == NULL)
		w->newest = NULL;
	else
		w->oldest->older = NULL;
	w->tokens -= e->tokens;
	c->holders[(uint32_t)e->key]--;
	g_hash_table_remove(c->index, &e->key);
	g_free(e);
}

void
place_caches_use(
    struct place_caches *c, uint32_t worker, uint32_t node, uint32_t tokens)
{
	struct cache *w = &c->cache[worker];
	struct cached *e = find(c, worker, node);

	if (e != NULL) {
		unlink_use(w, e);
		link_newest(w, e);
		return;
	}
	while (w->oldest != NULL && w->tokens + tokens > c->capacity)
		evict(c, w);
	e = g_new0(struct cached, 1);
	e->key = (uint64_t)worker << 32 | node;
	e->tokens = tokens;
	w->tokens += tokens;
	c->holders[node]++;
	g_hash_table_add(c->index, e);
	link_newest(w, e);
}

void
place_caches_clear(struct place_caches *c, uint32_t worker)
{
	while (c->cache[worker].oldest != NULL)
		evict(c, &c->cache[worker]);
}

void
place_caches_destroy(struct place_caches *c)
{
	uint32_t i;

	for (i = 0; i < c->workers; i++)
		place_caches_clear(c, i);
	g_hash_table_destroy(c->index);
	g_free(c->cache);
	g_free(c->holders);
	g_free(c);
}
