#include <stdbool.h>

#include <glib.h>

#include <jacinthhill/cacheview.h>

struct jh_cacheview {
	size_t capacity;
	uint32_t block_tokens;
	bool known; /* the incarnation was set */
	bool started; /* an event of this incarnation was applied */
	uint64_t incarnation;
	uint64_t seq; /* of the last event applied */
	GHashTable *blocks; /* set of block hashes, allocated */
};

struct jh_cacheview *
jh_cacheview_create(size_t capacity, uint32_t block_tokens)
{
	struct jh_cacheview *v = g_new0(struct jh_cacheview, 1);

	v->capacity = capacity;
	v->block_tokens = block_tokens;
	v->blocks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return v;
}

void
jh_cacheview_destroy(struct jh_cacheview *v)
{
	if (v == NULL)
		return;
	g_hash_table_destroy(v->blocks);
	g_free(v);
}

void
jh_cacheview_set_incarnation(struct jh_cacheview *v, uint64_t incarnation)
{
	if (v->known && v->incarnation == incarnation)
		return;
	v->known = true;
	v->started = false;
	v->incarnation = incarnation;
	g_hash_table_remove_all(v->blocks);
}

/* A full view ignores further blocks: it is incomplete, but not wrong. */
static void
store(struct jh_cacheview *v, uint64_t block)
{
	if (g_hash_table_size(v->blocks) >= v->capacity ||
	    g_hash_table_contains(v->blocks, &block))
		return;
	g_hash_table_add(v->blocks, g_memdup2(&block, sizeof(block)));
}

static void
change(struct jh_cacheview *v, const struct jh_cache_event *e)
{
	size_t i;

	if (e->change == JH_CACHE_CLEARED)
		g_hash_table_remove_all(v->blocks);
	for (i = 0; i < e->n; i++) {
		if (e->change == JH_CACHE_STORED)
			store(v, e->blocks[i]);
		else
			g_hash_table_remove(v->blocks, &e->blocks[i]);
	}
}

enum jh_cacheview_result
jh_cacheview_apply(struct jh_cacheview *v, const struct jh_cache_event *e)
{
	bool gap;

	if (!v->known || e->incarnation != v->incarnation)
		return JH_CACHEVIEW_FOREIGN;
	if (v->started && e->seq <= v->seq)
		return JH_CACHEVIEW_REPEATED;
	/* A lost event may have removed any block of the view. */
	gap = v->started && e->seq != v->seq + 1;
	if (gap)
		g_hash_table_remove_all(v->blocks);
	v->started = true;
	v->seq = e->seq;
	change(v, e);
	return gap ? JH_CACHEVIEW_GAP : JH_CACHEVIEW_APPLIED;
}

uint64_t
jh_cacheview_cached_tokens(
    const struct jh_cacheview *v, const uint64_t *chain, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!g_hash_table_contains(v->blocks, &chain[i]))
			break;
	}
	return (uint64_t)i * v->block_tokens;
}

size_t
jh_cacheview_len(const struct jh_cacheview *v)
{
	return g_hash_table_size(v->blocks);
}
