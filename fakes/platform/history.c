#include <string.h>

#include "fakes/platform/history.h"

struct fake_history {
	GPtrArray *changes; /* of struct fake_change, since the start */
	GHashTable *objects; /* "kind/name" to struct fake_change, borrowed */
	uint64_t revision;
	uint64_t oldest; /* changes up to this revision are dropped */
};

static void
free_change(void *arg)
{
	struct fake_change *c = arg;

	g_free(c->kind);
	g_free(c->name);
	json_decref(c->spec);
	g_free(c);
}

struct fake_history *
fake_history_create(void)
{
	struct fake_history *h = g_new0(struct fake_history, 1);

	h->changes = g_ptr_array_new_with_free_func(free_change);
	h->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return h;
}

void
fake_history_destroy(struct fake_history *h)
{
	g_hash_table_destroy(h->objects);
	g_ptr_array_unref(h->changes);
	g_free(h);
}

static void
apply(struct fake_history *h, struct fake_change *c)
{
	char *key = g_strdup_printf("%s/%s", c->kind, c->name);

	if (c->spec != NULL) {
		g_hash_table_replace(h->objects, key, c);
		return;
	}
	g_hash_table_remove(h->objects, key);
	g_free(key);
}

void
fake_history_add(struct fake_history *h, uint64_t now, enum fake_writer writer,
    const char *kind, const char *name, json_t *spec)
{
	struct fake_change *c = g_new0(struct fake_change, 1);

	c->kind = g_strdup(kind);
	c->name = g_strdup(name);
	c->revision = ++h->revision;
	c->spec = json_incref(spec);
	c->at = now;
	c->writer = writer;
	g_ptr_array_add(h->changes, c);
	apply(h, c);
}

uint64_t
fake_history_revision(const struct fake_history *h)
{
	return h->revision;
}

const struct fake_change *
fake_history_object(
    const struct fake_history *h, const char *kind, const char *name)
{
	char *key = g_strdup_printf("%s/%s", kind, name);
	const struct fake_change *c = g_hash_table_lookup(h->objects, key);

	g_free(key);
	return c;
}

json_t *
fake_change_encode(const struct fake_change *c)
{
	return json_pack("{s:{s:s, s:I}, s:O?}", "metadata", "name", c->name,
	    "revision", (json_int_t)c->revision, "specification", c->spec);
}

json_t *
fake_history_list(const struct fake_history *h, const char *kind)
{
	json_t *items = json_array();
	GHashTableIter it;
	gpointer c;

	g_hash_table_iter_init(&it, h->objects);
	while (g_hash_table_iter_next(&it, NULL, &c))
		if (strcmp(((struct fake_change *)c)->kind, kind) == 0)
			json_array_append_new(items, fake_change_encode(c));
	return items;
}

json_t *
fake_history_events(
    const struct fake_history *h, const char *kind, uint64_t since)
{
	json_t *events = json_array();
	const struct fake_change *c;
	guint i;

	for (i = 0; i < h->changes->len; i++) {
		c = g_ptr_array_index(h->changes, i);
		if (c->revision > since && strcmp(c->kind, kind) == 0)
			json_array_append_new(events,
			    json_pack("{s:b, s:o}", "deleted", c->spec == NULL,
				"object", fake_change_encode(c)));
	}
	return events;
}

void
fake_history_drop(struct fake_history *h)
{
	h->oldest = ++h->revision;
}

bool
fake_history_has(const struct fake_history *h, uint64_t since)
{
	return since >= h->oldest && since <= h->revision;
}

/* Removes an earlier change of the same object. */
static void
drop_same_object(GPtrArray *changes, const struct fake_change *c)
{
	guint i;

	for (i = changes->len; i > 0; i--) {
		struct fake_change *other = g_ptr_array_index(changes, i - 1);
		if (strcmp(other->kind, c->kind) == 0 &&
		    strcmp(other->name, c->name) == 0)
			g_ptr_array_remove_index(changes, i - 1);
	}
}

GPtrArray *
fake_history_go_back(struct fake_history *h, uint64_t to)
{
	GPtrArray *lost = g_ptr_array_new_with_free_func(free_change);
	struct fake_change *c;
	guint kept = 0, i;

	while (
	    kept < h->changes->len &&
	    ((struct fake_change *)g_ptr_array_index(h->changes, kept))->at <=
		to)
		kept++;
	while (h->changes->len > kept) {
		c = g_ptr_array_steal_index(h->changes, kept);
		if (c->writer == FAKE_WRITER_OTHER) {
			drop_same_object(lost, c);
			g_ptr_array_add(lost, c);
		} else {
			free_change(c);
		}
	}
	g_hash_table_remove_all(h->objects);
	h->revision = 0;
	for (i = 0; i < kept; i++) {
		c = g_ptr_array_index(h->changes, i);
		apply(h, c);
		h->revision = c->revision;
	}
	h->oldest = MIN(h->oldest, h->revision);
	return lost;
}
