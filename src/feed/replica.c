#include <string.h>

#include "feed/replica.h"

struct change {
	char *name;
	GBytes *text; /* NULL: the object was removed */
	uint64_t committed; /* the revision of the commit, of the same era */
};

struct jh_replica {
	GTree *objects; /* object name to GBytes */
	GQueue *changes; /* of struct change, oldest first */
	GPtrArray *pending; /* of struct change, not committed yet */
	struct jh_position position; /* of the last commit */
	uint64_t dropped_until; /* changes up to this revision are dropped */
};

static void
free_change(void *p)
{
	struct change *c = p;

	g_free(c->name);
	if (c->text != NULL)
		g_bytes_unref(c->text);
	g_free(c);
}

static int
compare(const void *a, const void *b, void *unused)
{
	return strcmp(a, b);
}

struct jh_replica *
jh_replica_create(void)
{
	struct jh_replica *r = g_new0(struct jh_replica, 1);

	r->objects = g_tree_new_full(
	    compare, NULL, g_free, (GDestroyNotify)g_bytes_unref);
	r->changes = g_queue_new();
	r->pending = g_ptr_array_new();
	return r;
}

void
jh_replica_destroy(struct jh_replica *r)
{
	if (r == NULL)
		return;
	g_tree_destroy(r->objects);
	g_queue_free_full(r->changes, free_change);
	g_ptr_array_set_free_func(r->pending, free_change);
	g_ptr_array_free(r->pending, TRUE);
	g_free(r);
}

static void
add_pending(struct jh_replica *r, const char *name, GBytes *text)
{
	struct change *c = g_new0(struct change, 1);

	c->name = g_strdup(name);
	c->text = text;
	g_ptr_array_add(r->pending, c);
}

void
jh_replica_put(struct jh_replica *r, const char *name, struct jh_str text)
{
	add_pending(r, name, g_bytes_new(text.ptr, text.len));
}

void
jh_replica_put_bytes(struct jh_replica *r, const char *name, GBytes *text)
{
	add_pending(r, name, g_bytes_ref(text));
}

void
jh_replica_remove(struct jh_replica *r, const char *name)
{
	add_pending(r, name, NULL);
}

/* Whether the object has that text already, as when it is listed again. */
static bool
is_unchanged(const struct jh_replica *r, const struct change *c)
{
	GBytes *known = g_tree_lookup(r->objects, c->name);

	if (c->text == NULL || known == NULL)
		return c->text == known;
	return g_bytes_equal(c->text, known);
}

static void
commit_change(struct jh_replica *r, struct change *c)
{
	if (is_unchanged(r, c)) {
		free_change(c);
		return;
	}
	c->committed = r->position.revision;
	if (c->text != NULL)
		g_tree_replace(
		    r->objects, g_strdup(c->name), g_bytes_ref(c->text));
	else
		g_tree_remove(r->objects, c->name);
	g_queue_push_tail(r->changes, c);
}

static void
begin_era(struct jh_replica *r, uint64_t era)
{
	g_tree_remove_all(r->objects);
	g_queue_clear_full(r->changes, free_change);
	r->position = (struct jh_position){era, 0};
}

void
jh_replica_commit(struct jh_replica *r, const struct jh_position *to)
{
	struct change *c;
	guint i;

	if (to->era != r->position.era)
		begin_era(r, to->era);
	/* Objects of the first list are not changes to follow. */
	if (r->position.revision == 0)
		r->dropped_until = to->revision;
	r->position.revision = MAX(r->position.revision, to->revision);
	for (i = 0; i < r->pending->len; i++)
		commit_change(r, g_ptr_array_index(r->pending, i));
	g_ptr_array_set_size(r->pending, 0);
	while (g_queue_get_length(r->changes) > JH_REPLICA_MAX_CHANGES) {
		c = g_queue_pop_head(r->changes);
		r->dropped_until = MAX(r->dropped_until, c->committed);
		free_change(c);
	}
}

struct jh_position
jh_replica_position(const struct jh_replica *r)
{
	return r->position;
}

static struct jh_str
text_of(GBytes *b)
{
	gsize n = 0;
	const char *p;

	if (b == NULL)
		return (struct jh_str){NULL, 0};
	p = g_bytes_get_data(b, &n);
	return (struct jh_str){p, n};
}

/* Adds an object to those that are passed; returns false if it is too much. */
static bool
take(const struct jh_replica_limit *limit, struct jh_replica_limit *taken,
    GBytes *text)
{
	size_t bytes = text != NULL ? g_bytes_get_size(text) : 0;

	if (taken->objects > 0 && (taken->objects >= limit->objects ||
				      taken->bytes + bytes > limit->bytes))
		return false;
	taken->objects++;
	taken->bytes += bytes;
	return true;
}

bool
jh_replica_list(const struct jh_replica *r, const char *after,
    const struct jh_replica_limit *limit, const struct jh_replica_ops *ops,
    void *arg)
{
	GTreeNode *n = after != NULL ? g_tree_upper_bound(r->objects, after)
				     : g_tree_node_first(r->objects);
	struct jh_replica_limit taken = {0};

	for (; n != NULL && take(limit, &taken, g_tree_node_value(n));
	     n = g_tree_node_next(n))
		ops->object(
		    arg, g_tree_node_key(n), text_of(g_tree_node_value(n)));
	return n != NULL;
}

/* Returns the first change after the revision, or NULL. */
static GList *
first_after(const struct jh_replica *r, uint64_t revision)
{
	GList *at;

	/* Searched from the newest, as most callers lack only a few. */
	for (at = r->changes->tail; at != NULL; at = at->prev) {
		const struct change *c = at->data;
		if (c->committed <= revision)
			return at->next;
	}
	return r->changes->head;
}

bool
jh_replica_changes(const struct jh_replica *r, const struct jh_position *since,
    const struct jh_replica_limit *limit, const struct jh_replica_ops *ops,
    void *arg)
{
	struct jh_replica_limit taken = {0};
	const struct change *c;
	GList *first, *at;

	if (since->era != r->position.era || since->revision < r->dropped_until)
		return false;
	first = first_after(r, since->revision);
	for (at = first; at != NULL; at = at->next) {
		c = at->data;
		if (!take(limit, &taken, c->text))
			return false;
	}
	for (at = first; at != NULL; at = at->next) {
		c = at->data;
		ops->object(arg, c->name, text_of(c->text));
	}
	return true;
}
