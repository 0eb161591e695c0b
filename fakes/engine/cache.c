#include "cache.h"

/* Events; readers see a gap in the sequence where older ones are dropped. */
#define EVENT_LOG_LEN 65536

struct block {
	uint64_t hash;
	GList link; /* in lru, most recently used first */
};

struct cache {
	size_t capacity; /* blocks */
	uint64_t event_lag; /* microseconds */
	uint64_t next_sequence;
	GHashTable *blocks; /* &hash -> struct block */
	GQueue lru;
	GArray *log; /* of struct cache_event; slot sequence % EVENT_LOG_LEN */
};

struct cache *
cache_create(size_t capacity_blocks, uint64_t event_lag_usec)
{
	struct cache *c = g_new0(struct cache, 1);

	c->capacity = capacity_blocks;
	c->event_lag = event_lag_usec;
	c->next_sequence = 1;
	c->blocks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&c->lru);
	c->log = g_array_new(FALSE, TRUE, sizeof(struct cache_event));
	g_array_set_size(c->log, EVENT_LOG_LEN);
	return c;
}

void
cache_destroy(struct cache *c)
{
	g_hash_table_destroy(c->blocks);
	g_array_free(c->log, TRUE);
	g_free(c);
}

static void
publish(struct cache *c, enum cache_change change, uint64_t hash, uint64_t now)
{
	struct cache_event *ev;

	ev = &g_array_index(
	    c->log, struct cache_event, c->next_sequence % EVENT_LOG_LEN);
	ev->sequence = c->next_sequence++;
	ev->hash = hash;
	ev->change = change;
	ev->visible_at = now + c->event_lag;
}

static void
evict_one(struct cache *c, uint64_t now)
{
	GList *last = g_queue_peek_tail_link(&c->lru);
	struct block *p = last->data;

	g_queue_unlink(&c->lru, last);
	publish(c, CACHE_REMOVED, p->hash, now);
	g_hash_table_remove(c->blocks, &p->hash);
}

void
cache_clear(struct cache *c)
{
	g_queue_init(&c->lru);
	g_hash_table_remove_all(c->blocks);
}

static void
mark_used(struct cache *c, struct block *p)
{
	g_queue_unlink(&c->lru, &p->link);
	g_queue_push_head_link(&c->lru, &p->link);
}

size_t
cache_match(struct cache *c, const uint64_t *chain, size_t n)
{
	struct block *p;
	size_t i;

	for (i = 0; i < n; i++) {
		p = g_hash_table_lookup(c->blocks, &chain[i]);
		if (p == NULL)
			break;
		mark_used(c, p);
	}
	return i;
}

void
cache_store(struct cache *c, const uint64_t *chain, size_t n, uint64_t now)
{
	struct block *p;
	size_t i;

	for (i = 0; i < n; i++) {
		p = g_hash_table_lookup(c->blocks, &chain[i]);
		if (p != NULL) {
			mark_used(c, p);
			continue;
		}
		while (g_hash_table_size(c->blocks) >= c->capacity)
			evict_one(c, now);
		p = g_new0(struct block, 1);
		p->hash = chain[i];
		p->link.data = p;
		g_hash_table_insert(c->blocks, &p->hash, p);
		g_queue_push_head_link(&c->lru, &p->link);
		publish(c, CACHE_STORED, p->hash, now);
	}
}

void
cache_events(
    struct cache *c, uint64_t from, uint64_t now, size_t max, GArray *out)
{
	const struct cache_event *ev;
	uint64_t seq = from + 1;

	if (c->next_sequence > EVENT_LOG_LEN &&
	    seq < c->next_sequence - EVENT_LOG_LEN)
		seq = c->next_sequence - EVENT_LOG_LEN;
	for (; seq < c->next_sequence && out->len < max; seq++) {
		ev = &g_array_index(
		    c->log, struct cache_event, seq % EVENT_LOG_LEN);
		if (ev->visible_at > now)
			break;
		g_array_append_val(out, *ev);
	}
}

size_t
cache_len(const struct cache *c)
{
	return g_hash_table_size(c->blocks);
}
