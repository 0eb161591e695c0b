#include <string.h>

#include <glib.h>

#include "route/cache_model.h"

/* Average of the prefixes before there are any, and weight of a new one. */
#define INITIAL_MEAN_TOKENS 3000
#define MEAN_WEIGHT (1.0 / 16)

struct prefix {
	uint64_t key;
	uint64_t tokens;
};

struct cache {
	struct prefix prefix[JH_CACHE_MODEL_PREFIXES]; /* last used first */
	size_t n;
};

struct jh_cache_model {
	GHashTable *caches; /* hash of the worker to struct cache */
	double mean_tokens;
};

struct jh_cache_model *
jh_cache_model_create(void)
{
	struct jh_cache_model *m = g_new0(struct jh_cache_model, 1);

	m->caches =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	m->mean_tokens = INITIAL_MEAN_TOKENS;
	return m;
}

void
jh_cache_model_destroy(struct jh_cache_model *m)
{
	if (m == NULL)
		return;
	g_hash_table_destroy(m->caches);
	g_free(m);
}

/* Index of the prefix, or n if it is not kept. */
static size_t
find_prefix(const struct cache *c, uint64_t key)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (c->prefix[i].key == key)
			break;
	return i;
}

static struct cache *
get_cache(struct jh_cache_model *m, uint64_t worker)
{
	struct cache *c = g_hash_table_lookup(m->caches, &worker);

	if (c != NULL)
		return c;
	if (g_hash_table_size(m->caches) >= JH_CACHE_MODEL_WORKERS)
		g_hash_table_remove_all(m->caches);
	c = g_new0(struct cache, 1);
	g_hash_table_insert(m->caches, g_memdup2(&worker, sizeof(worker)), c);
	return c;
}

void
jh_cache_model_used(
    struct jh_cache_model *m, uint64_t worker, uint64_t key, uint32_t tokens)
{
	struct cache *c = get_cache(m, worker);
	size_t at = find_prefix(c, key);
	struct prefix p = {key, tokens};

	if (tokens != 0)
		m->mean_tokens +=
		    MEAN_WEIGHT * ((double)tokens - m->mean_tokens);
	else
		p.tokens =
		    at < c->n ? c->prefix[at].tokens : (uint64_t)m->mean_tokens;
	if (at == c->n) {
		if (c->n == JH_CACHE_MODEL_PREFIXES)
			at--;
		else
			c->n++;
	}
	memmove(c->prefix + 1, c->prefix, at * sizeof(c->prefix[0]));
	c->prefix[0] = p;
}

uint64_t
jh_cache_model_depth(
    const struct jh_cache_model *m, uint64_t worker, uint64_t key)
{
	const struct cache *c = g_hash_table_lookup(m->caches, &worker);
	uint64_t sum = 0;
	size_t at, i;

	if (c == NULL)
		return UINT64_MAX;
	at = find_prefix(c, key);
	if (at == c->n)
		return UINT64_MAX;
	for (i = 0; i <= at; i++)
		sum += c->prefix[i].tokens;
	return sum;
}
