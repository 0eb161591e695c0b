#include <string.h>

#include "catalog/internal.h"

static void
free_object(gpointer p)
{
	catalog_object_free(p);
}

static int
compare_version_and_key(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct catalog_object *x = a, *y = b;

	if (x->version != y->version)
		return x->version < y->version ? -1 : 1;
	/*
	 * In the store no two keys have the same version; a peer might
	 * send two that do.
	 */
	return strcmp(x->key, y->key);
}

/*
 * Prefers writers: with the default of glibc, a steady flow of readers can
 * block a writer for ever.
 */
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
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_object);
	c->by_version =
	    g_tree_new_full(compare_version_and_key, NULL, NULL, NULL);
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

/* Adds an object to the statistics (sign 1) or subtracts it (sign -1). */
static void
update_stats(struct jh_catalog *c, const struct catalog_object *s, int sign)
{
	struct jh_catalog_stats *t = &c->stats;
	size_t one = (size_t)(ssize_t)sign;

	t->entries += s->entry != NULL ? one : 0;
	t->orgs += s->org != NULL ? one : 0;
	t->models += s->model != NULL ? one : 0;
	t->tombstones += s->json == NULL ? one : 0;
	t->invalid += catalog_object_is_invalid(s) ? one : 0;
	t->bytes += one * catalog_object_size(s);
}

static void
unlink_object(struct jh_catalog *c, struct catalog_object *s)
{
	update_stats(c, s, -1);
	g_tree_remove(c->by_version, s);
	catalog_index_remove(c, s);
}

static void
link_object(struct jh_catalog *c, struct catalog_object *s)
{
	update_stats(c, s, 1);
	g_tree_insert(c->by_version, s, s);
	catalog_index_add(c, s);
}

static void
remove_object(struct jh_catalog *c, struct catalog_object *s)
{
	unlink_object(c, s);
	g_hash_table_remove(c->by_key, s->key);
}

static void
evict_tombstones(struct jh_catalog *c)
{
	struct catalog_object *s;
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
		c->deletions_after = MAX(c->deletions_after, s->version);
		remove_object(c, s);
	}
}

/* Caller holds the write lock. */
static bool
merge(struct jh_catalog *c, const char *key, uint64_t version, const char *json)
{
	struct catalog_object *s = g_hash_table_lookup(c->by_key, key);

	if (s != NULL && version <= s->version)
		return false;
	/*
	 * This copy is complete up to its revision. A key that is absent and
	 * whose version is not newer has been deleted, and its tombstone has
	 * been evicted.
	 */
	if (s == NULL && version <= c->revision)
		return false;
	if (jh_record_kind_of(key) == JH_RECORD_OTHER)
		return false;
	if (s == NULL) {
		s = g_new0(struct catalog_object, 1);
		s->key = g_strdup(key);
		g_hash_table_insert(c->by_key, s->key, s);
	} else {
		unlink_object(c, s);
	}
	s->version = version;
	catalog_object_set(s, json);
	link_object(c, s);
	evict_tombstones(c);
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

/*
 * Removes the objects whose version is not above revision and whose key is not
 * in the set.
 */
static void
remove_absent(struct jh_catalog *c, GHashTable *keys, uint64_t revision)
{
	struct catalog_object *s;
	GTreeNode *n, *next;

	for (n = g_tree_node_first(c->by_version); n != NULL; n = next) {
		next = g_tree_node_next(n);
		s = g_tree_node_value(n);
		if (s->version > revision)
			break;
		if (!g_hash_table_contains(keys, s->key))
			remove_object(c, s);
	}
}

void
catalog_install_snapshot(struct jh_catalog *c,
    const struct jh_catalog_item *items, size_t n, uint64_t revision,
    uint64_t deletions_after)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	pthread_rwlock_wrlock(&c->lock);
	if (revision > c->revision) {
		for (i = 0; i < n; i++) {
			merge(c, items[i].key, items[i].version, items[i].json);
			g_hash_table_add(keys, (char *)items[i].key);
		}
		remove_absent(c, keys, revision);
		c->revision = revision;
		c->deletions_after = MAX(c->deletions_after, deletions_after);
	}
	pthread_rwlock_unlock(&c->lock);
	g_hash_table_destroy(keys);
}

void
jh_catalog_replace(struct jh_catalog *c, const struct jh_catalog_item *items,
    size_t n, uint64_t revision)
{
	/* A list has no tombstones for deletions before its revision. */
	catalog_install_snapshot(c, items, n, revision, revision);
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
