#include <string.h>

#include "catalog/internal.h"

static size_t
item_bytes(const struct catalog_object *s)
{
	return sizeof(struct jh_catalog_item) + strlen(s->key) + s->json_len;
}

static void
add_item(GArray *items, const struct catalog_object *s)
{
	struct jh_catalog_item item = {
	    g_strdup(s->key), s->version, g_strdup(s->json)};

	g_array_append_val(items, item);
}

/*
 * Copies the objects with a version above the given one, in order of version.
 * Returns false if it stopped because of max_bytes. The caller holds the read
 * lock.
 */
static bool
copy_items(
    struct jh_catalog *c, uint64_t above, size_t max_bytes, GArray *items)
{
	struct catalog_object from = {.key = (char *)"", .version = above + 1};
	const struct catalog_object *s;
	size_t bytes = 0;
	GTreeNode *n;

	for (n = g_tree_lower_bound(c->by_version, &from); n != NULL;
	     n = g_tree_node_next(n)) {
		s = g_tree_node_value(n);
		if (s->version > c->revision)
			break;
		bytes += item_bytes(s);
		if (bytes > max_bytes)
			return false;
		add_item(items, s);
	}
	return true;
}

static void
move_items(GArray *items, struct jh_catalog_delta *out)
{
	out->n = items->len;
	out->items =
	    (struct jh_catalog_item *)(void *)g_array_free(items, FALSE);
}

/* The caller holds the read lock. */
static bool
fill(struct jh_catalog *c, uint64_t revision, size_t max_bytes,
    struct jh_catalog_delta *out)
{
	GArray *items =
	    g_array_new(FALSE, FALSE, sizeof(struct jh_catalog_item));
	bool complete;

	out->full = revision < c->deletions_after;
	out->deletions_after = c->deletions_after;
	out->revision = c->revision;
	complete = copy_items(c, out->full ? 0 : revision, max_bytes, items);
	if (!complete && !out->full && items->len > 0)
		out->revision =
		    g_array_index(items, struct jh_catalog_item, items->len - 1)
			.version;
	move_items(items, out);
	return complete || (!out->full && out->n > 0);
}

bool
jh_catalog_delta(struct jh_catalog *c, uint64_t revision, size_t max_bytes,
    struct jh_catalog_delta *out)
{
	bool ok = false;

	memset(out, 0, sizeof(*out));
	pthread_rwlock_rdlock(&c->lock);
	if (c->revision >= revision)
		ok = fill(c, revision, max_bytes, out);
	pthread_rwlock_unlock(&c->lock);
	if (!ok)
		jh_catalog_delta_clear(out);
	return ok;
}

void
jh_catalog_delta_clear(struct jh_catalog_delta *d)
{
	size_t i;

	for (i = 0; i < d->n; i++) {
		g_free((char *)d->items[i].key);
		g_free((char *)d->items[i].json);
	}
	g_free(d->items);
	memset(d, 0, sizeof(*d));
}

bool
jh_catalog_apply(struct jh_catalog *c, uint64_t asked_revision,
    const struct jh_catalog_delta *d)
{
	uint64_t old_revision = jh_catalog_revision(c);
	size_t i;

	if (d->full) {
		catalog_install_snapshot(c, d->items, d->n, d->revision,
		    d->deletions_after == 0 ? d->revision : d->deletions_after);
	} else if (asked_revision <= old_revision) {
		for (i = 0; i < d->n; i++)
			jh_catalog_merge(c, d->items[i].key,
			    d->items[i].version, d->items[i].json);
		jh_catalog_advance(c, d->revision);
	}
	return jh_catalog_revision(c) > old_revision;
}
