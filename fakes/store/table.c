#include <string.h>

#include <glib.h>

#include "table.h"

struct change {
	uint64_t revision;
	struct fake_object *object;
};

struct fake_table {
	GTree *objects; /* struct fake_object by key, with deleted ones */
	GArray *log; /* ring of struct change, at revision % history */
	unsigned int history;
	uint64_t revision;
};

static void
free_object(gpointer p)
{
	struct fake_object *o = p;

	g_free(o->key);
	g_free(o->value);
	g_free(o);
}

static int
compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
	return strcmp(a, b);
}

struct fake_table *
fake_table_create(unsigned int history)
{
	struct fake_table *t = g_new0(struct fake_table, 1);

	t->objects = g_tree_new_full(compare_keys, NULL, NULL, free_object);
	t->history = history;
	t->log = g_array_sized_new(FALSE, TRUE, sizeof(struct change), history);
	g_array_set_size(t->log, history);
	return t;
}

void
fake_table_destroy(struct fake_table *t)
{
	g_tree_unref(t->objects);
	g_array_free(t->log, TRUE);
	g_free(t);
}

uint64_t
fake_table_revision(const struct fake_table *t)
{
	return t->revision;
}

const struct fake_object *
fake_table_get(struct fake_table *t, const char *key)
{
	const struct fake_object *o = g_tree_lookup(t->objects, key);

	return o == NULL || o->value == NULL ? NULL : o;
}

uint64_t
fake_table_set(
    struct fake_table *t, const char *key, const char *value, size_t len)
{
	struct fake_object *o = g_tree_lookup(t->objects, key);
	struct change *c;

	if (value == NULL && (o == NULL || o->value == NULL))
		return t->revision;
	if (o == NULL) {
		o = g_new0(struct fake_object, 1);
		o->key = g_strdup(key);
		g_tree_insert(t->objects, o->key, o);
	}
	g_free(o->value);
	o->value = value == NULL ? NULL : g_strndup(value, len);
	o->len = len;
	o->version = ++t->revision;
	c = &g_array_index(
	    t->log, struct change, (guint)(t->revision % t->history));
	c->revision = t->revision;
	c->object = o;
	return o->version;
}

void
fake_table_list(
    struct fake_table *t, const char *after, const struct fake_walk *w)
{
	GTreeNode *n = g_tree_upper_bound(t->objects, after);
	const struct fake_object *o;

	for (; n != NULL; n = g_tree_node_next(n)) {
		o = g_tree_node_value(n);
		if (o->value != NULL && !w->object(w->arg, o))
			return;
	}
}

bool
fake_table_changes(
    struct fake_table *t, uint64_t from, const struct fake_walk *w)
{
	const struct change *c;
	uint64_t r;

	if (from > t->revision || t->revision - from > t->history)
		return false;
	for (r = from + 1; r <= t->revision; r++) {
		c = &g_array_index(
		    t->log, struct change, (guint)(r % t->history));
		/* Skips a change if a later one of the same object follows. */
		if (c->object->version == r && !w->object(w->arg, c->object))
			break;
	}
	return true;
}
