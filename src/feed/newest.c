#include <string.h>

#include <xxhash.h>

#include "feed/newest.h"

struct entry {
	struct jh_content_order order;
	struct jh_position at;
	GBytes *text; /* NULL: version 0 */
	uint64_t removed_at; /* 0: the store has it */
};

struct jh_newest {
	GHashTable *entries; /* name to struct entry */
};

static void
free_entry(void *p)
{
	struct entry *e = p;

	if (e->text != NULL)
		g_bytes_unref(e->text);
	g_free(e);
}

struct jh_newest *
jh_newest_create(void)
{
	struct jh_newest *n = g_new0(struct jh_newest, 1);

	n->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
	return n;
}

void
jh_newest_destroy(struct jh_newest *n)
{
	if (n == NULL)
		return;
	g_hash_table_destroy(n->entries);
	g_free(n);
}

bool
jh_content_is_before(
    const struct jh_content_order *a, const struct jh_content_order *b)
{
	if (a->start != b->start)
		return a->start < b->start;
	return a->version < b->version;
}

static bool
was_written_later(const struct jh_position *at, const struct entry *e)
{
	return at->era == e->at.era && at->revision > e->at.revision;
}

bool
jh_newest_offer(struct jh_newest *n, const char *name,
    const struct jh_content_order *order, const struct jh_position *at,
    GBytes *text)
{
	struct entry *e = g_hash_table_lookup(n->entries, name);

	if (e != NULL && jh_content_is_before(order, &e->order) &&
	    !was_written_later(at, e))
		return false;
	e = g_new0(struct entry, 1);
	e->order = *order;
	e->at = *at;
	if (order->version != 0)
		e->text = g_bytes_ref(text);
	g_hash_table_replace(n->entries, g_strdup(name), e);
	return true;
}

/* Forgets what the store has not had for a long time. */
static void
expire(struct jh_newest *n, uint64_t now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, n->entries);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct entry *e = p;
		if (e->removed_at != 0 &&
		    now - e->removed_at > JH_NEWEST_REMOVED_USEC)
			g_hash_table_iter_remove(&it);
	}
}

void
jh_newest_remove(struct jh_newest *n, const char *name, uint64_t now)
{
	struct entry *e;

	expire(n, now);
	e = g_hash_table_lookup(n->entries, name);
	if (e != NULL)
		e->removed_at = now;
}

bool
jh_newest_lacks(const struct jh_newest *n, const char *name,
    const struct jh_content_order *order)
{
	const struct entry *e = g_hash_table_lookup(n->entries, name);

	return e == NULL || jh_content_is_before(&e->order, order);
}

GBytes *
jh_newest_text(const struct jh_newest *n, const char *name)
{
	const struct entry *e = g_hash_table_lookup(n->entries, name);

	return e != NULL ? e->text : NULL;
}

uint64_t
jh_newest_digest(const struct jh_newest *n)
{
	GHashTableIter it;
	gpointer name, p;
	uint64_t digest = 0;

	g_hash_table_iter_init(&it, n->entries);
	while (g_hash_table_iter_next(&it, &name, &p)) {
		const struct jh_content_order *o = &((struct entry *)p)->order;
		uint64_t seed = XXH3_64bits(o, sizeof(*o));
		/* A sum, as the entries have no order. */
		if (o->version != 0)
			digest +=
			    XXH3_64bits_withSeed(name, strlen(name), seed);
	}
	return digest;
}

void
jh_newest_each(const struct jh_newest *n,
    void (*fn)(
	void *arg, const char *name, const struct jh_content_order *order),
    void *arg)
{
	GHashTableIter it;
	gpointer name, p;

	g_hash_table_iter_init(&it, n->entries);
	while (g_hash_table_iter_next(&it, &name, &p)) {
		const struct entry *e = p;
		if (e->order.version != 0)
			fn(arg, name, &e->order);
	}
}
