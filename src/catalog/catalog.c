#include <string.h>

#include "catalog/table.h"

static void
free_slot(gpointer p)
{
	catalog_slot_free(p);
}

static int
compare_versions(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct catalog_slot *x = a, *y = b;

	if (x->version != y->version)
		return x->version < y->version ? -1 : 1;
	/* The store never gives one version to two keys; a peer might. */
	return strcmp(x->key, y->key);
}

/* By default glibc lets a steady flow of readers keep an edit out for ever. */
static void
init_lock(struct jh_catalog *c)
{
	pthread_rwlockattr_t attr;

	pthread_rwlockattr_init(&attr);
	pthread_rwlockattr_setkind_np(
	    &attr, PTHREAD_RWLOCK_PREFER_WRITER_NONRECURSIVE_NP);
	pthread_rwlock_init(&c->lock, &attr);
	pthread_rwlockattr_destroy(&attr);
}

struct jh_catalog *
jh_catalog_create(void)
{
	struct jh_catalog *c = g_new0(struct jh_catalog, 1);

	init_lock(c);
	c->by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_slot);
	c->by_version = g_tree_new_full(compare_versions, NULL, NULL, NULL);
	c->orgs_by_hash =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->models_by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

void
jh_catalog_destroy(struct jh_catalog *c)
{
	if (c == NULL)
		return;
	g_tree_unref(c->by_version);
	g_hash_table_destroy(c->orgs_by_hash);
	g_hash_table_destroy(c->models_by_name);
	g_hash_table_destroy(c->by_key);
	pthread_rwlock_destroy(&c->lock);
	g_free(c);
}

/* Counts a slot in (sign 1) or out (sign -1). */
static void
count(struct jh_catalog *c, const struct catalog_slot *s, int sign)
{
	struct jh_catalog_stats *t = &c->stats;
	size_t one = (size_t)(ssize_t)sign;

	t->entries += s->entry != NULL ? one : 0;
	t->orgs += s->org != NULL ? one : 0;
	t->models += s->model != NULL ? one : 0;
	t->tombstones += s->json == NULL ? one : 0;
	t->invalid += catalog_slot_is_invalid(s) ? one : 0;
	t->bytes += one * catalog_slot_bytes(s);
}

static void
take_out(struct jh_catalog *c, struct catalog_slot *s)
{
	count(c, s, -1);
	g_tree_remove(c->by_version, s);
	catalog_index_remove(c, s);
}

static void
put_in(struct jh_catalog *c, struct catalog_slot *s)
{
	count(c, s, 1);
	g_tree_insert(c->by_version, s, s);
	catalog_index_add(c, s);
}

static void
forget(struct jh_catalog *c, struct catalog_slot *s)
{
	take_out(c, s);
	g_hash_table_remove(c->by_key, s->key);
}

static void
bound_tombstones(struct jh_catalog *c)
{
	struct catalog_slot *s;
	GTreeNode *n, *next;

	if (c->stats.tombstones <= JH_CATALOG_TOMBSTONES)
		return;
	n = g_tree_node_first(c->by_version);
	for (; n != NULL && c->stats.tombstones > JH_CATALOG_TOMBSTONES;
	     n = next) {
		next = g_tree_node_next(n);
		s = g_tree_node_value(n);
		if (s->json != NULL)
			continue;
		c->floor = MAX(c->floor, s->version);
		forget(c, s);
	}
}

/* Caller holds the write lock. */
static bool
merge(struct jh_catalog *c, const char *key, uint64_t version, const char *json)
{
	struct catalog_slot *s = g_hash_table_lookup(c->by_key, key);

	if (s != NULL && version <= s->version)
		return false;
	/*
	 * This copy is complete up to its revision, so an absent key of an
	 * older version has been deleted and its tombstone forgotten.
	 */
	if (s == NULL && version <= c->revision)
		return false;
	if (jh_record_kind_of(key) == JH_RECORD_OTHER)
		return false;
	if (s == NULL) {
		s = g_new0(struct catalog_slot, 1);
		s->key = g_strdup(key);
		g_hash_table_insert(c->by_key, s->key, s);
	} else {
		take_out(c, s);
	}
	s->version = version;
	catalog_slot_fill(s, json);
	put_in(c, s);
	bound_tombstones(c);
	return true;
}

bool
jh_catalog_merge(
    struct jh_catalog *c, const char *key, uint64_t version, const char *json)
{
	bool changed;

	pthread_rwlock_wrlock(&c->lock);
	changed = merge(c, key, version, json);
	pthread_rwlock_unlock(&c->lock);
	return changed;
}

void
jh_catalog_advance(struct jh_catalog *c, uint64_t revision)
{
	pthread_rwlock_wrlock(&c->lock);
	c->revision = MAX(c->revision, revision);
	pthread_rwlock_unlock(&c->lock);
}

/* Drops what is no newer than revision and not in the set of keys. */
static void
drop_absent(struct jh_catalog *c, GHashTable *keys, uint64_t revision)
{
	struct catalog_slot *s;
	GTreeNode *n, *next;

	for (n = g_tree_node_first(c->by_version); n != NULL; n = next) {
		next = g_tree_node_next(n);
		s = g_tree_node_value(n);
		if (s->version > revision)
			break;
		if (!g_hash_table_contains(keys, s->key))
			forget(c, s);
	}
}

void
catalog_take_copy(struct jh_catalog *c, const struct jh_catalog_item *items,
    size_t n, uint64_t revision, uint64_t floor)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	pthread_rwlock_wrlock(&c->lock);
	if (revision > c->revision) {
		for (i = 0; i < n; i++) {
			merge(c, items[i].key, items[i].version, items[i].json);
			g_hash_table_add(keys, (char *)items[i].key);
		}
		drop_absent(c, keys, revision);
		c->revision = revision;
		c->floor = MAX(c->floor, floor);
	}
	pthread_rwlock_unlock(&c->lock);
	g_hash_table_destroy(keys);
}

void
jh_catalog_replace(struct jh_catalog *c, const struct jh_catalog_item *items,
    size_t n, uint64_t revision)
{
	/* A list does not tell what was deleted before. */
	catalog_take_copy(c, items, n, revision, revision);
}

uint64_t
jh_catalog_revision(struct jh_catalog *c)
{
	uint64_t revision;

	pthread_rwlock_rdlock(&c->lock);
	revision = c->revision;
	pthread_rwlock_unlock(&c->lock);
	return revision;
}

void
jh_catalog_stats(struct jh_catalog *c, struct jh_catalog_stats *out)
{
	pthread_rwlock_rdlock(&c->lock);
	*out = c->stats;
	pthread_rwlock_unlock(&c->lock);
}
