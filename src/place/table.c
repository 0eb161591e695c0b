#include <string.h>

#include <glib.h>

#include "place/mix.h"
#include "place/table.h"

/* No entry. */
#define NONE UINT32_MAX

struct jh_place_table {
	uint32_t capacity;
	uint32_t used;
	uint32_t mask; /* number of buckets - 1 */
	uint32_t newest; /* ends of the list by time of use */
	uint32_t oldest;
	size_t order_budget; /* indices in all orders together */
	size_t order_used;
	uint32_t *bucket; /* index of the first entry, or NONE */
	struct jh_place_prefix *entry;
};

struct jh_place_table *
jh_place_table_create(uint32_t capacity, size_t order_budget)
{
	struct jh_place_table *t = g_new0(struct jh_place_table, 1);
	uint32_t buckets = 1;

	while (buckets < capacity)
		buckets <<= 1;
	t->capacity = capacity;
	t->order_budget = order_budget;
	t->mask = buckets - 1;
	t->newest = t->oldest = NONE;
	t->bucket = g_new(uint32_t, buckets);
	memset(t->bucket, 0xff, buckets * sizeof(*t->bucket));
	t->entry = g_new0(struct jh_place_prefix, capacity);
	return t;
}

void
jh_place_table_destroy(struct jh_place_table *t)
{
	uint32_t i;

	if (t == NULL)
		return;
	for (i = 0; i < t->used; i++)
		g_free(t->entry[i].order);
	g_free(t->entry);
	g_free(t->bucket);
	g_free(t);
}

static uint32_t *
bucket_of(struct jh_place_table *t, uint64_t key)
{
	return &t->bucket[jh_place_mix(key, 0) & t->mask];
}

struct jh_place_prefix *
jh_place_table_find(struct jh_place_table *t, uint64_t key)
{
	uint32_t i = *bucket_of(t, key);

	while (i != NONE && t->entry[i].key != key)
		i = t->entry[i].chain;
	return i == NONE ? NULL : &t->entry[i];
}

static void
lru_unlink(struct jh_place_table *t, struct jh_place_prefix *e)
{
	if (e->newer == NONE)
		t->newest = e->older;
	else
		t->entry[e->newer].older = e->older;
	if (e->older == NONE)
		t->oldest = e->newer;
	else
		t->entry[e->older].newer = e->newer;
}

static void
lru_link_newest(struct jh_place_table *t, struct jh_place_prefix *e)
{
	uint32_t i = (uint32_t)(e - t->entry);

	e->newer = NONE;
	e->older = t->newest;
	if (t->newest != NONE)
		t->entry[t->newest].newer = i;
	else
		t->oldest = i;
	t->newest = i;
}

static void
free_order(struct jh_place_table *t, struct jh_place_prefix *e)
{
	t->order_used -= e->order_len;
	g_clear_pointer(&e->order, g_free);
	e->order_len = 0;
}

static struct jh_place_prefix *
evict_oldest(struct jh_place_table *t)
{
	struct jh_place_prefix *e = &t->entry[t->oldest];
	uint32_t i = t->oldest;
	uint32_t *link = bucket_of(t, e->key);

	while (*link != i)
		link = &t->entry[*link].chain;
	*link = e->chain;
	lru_unlink(t, e);
	free_order(t, e);
	return e;
}

struct jh_place_prefix *
jh_place_table_use(struct jh_place_table *t, uint64_t key)
{
	struct jh_place_prefix *e = jh_place_table_find(t, key);
	uint32_t *b;

	if (e != NULL) {
		lru_unlink(t, e);
		lru_link_newest(t, e);
		return e;
	}
	e = t->used < t->capacity ? &t->entry[t->used++] : evict_oldest(t);
	memset(e, 0, sizeof(*e));
	e->key = key;
	b = bucket_of(t, key);
	e->chain = *b;
	*b = (uint32_t)(e - t->entry);
	lru_link_newest(t, e);
	return e;
}

void
jh_place_table_alloc_order(
    struct jh_place_table *t, struct jh_place_prefix *e, uint32_t len)
{
	uint32_t i = t->oldest;

	free_order(t, e);
	while (t->order_used + len > t->order_budget && i != NONE) {
		free_order(t, &t->entry[i]);
		i = t->entry[i].newer;
	}
	e->order = g_new(uint32_t, len);
	e->order_len = len;
	t->order_used += len;
}

size_t
jh_place_table_bytes(const struct jh_place_table *t)
{
	return sizeof(*t) + (t->mask + 1) * sizeof(*t->bucket) +
	       t->capacity * sizeof(*t->entry) +
	       t->order_used * sizeof(uint32_t);
}
