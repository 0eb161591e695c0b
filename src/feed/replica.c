#include <string.h>

#include "feed/replica.h"

struct change {
	char *name;
	GBytes *text; /* NULL: removed */
	uint64_t reached; /* revision at which it became visible */
};

struct jh_replica {
	GTree *objects; /* name to GBytes */
	GQueue *changes; /* struct change */
	GPtrArray *fresh; /* struct change, not visible yet */
	uint64_t revision;
	uint64_t oldest; /* changes up to here are gone */
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
	r->fresh = g_ptr_array_new();
	return r;
}

void
jh_replica_destroy(struct jh_replica *r)
{
	if (r == NULL)
		return;
	g_tree_destroy(r->objects);
	g_queue_free_full(r->changes, free_change);
	g_ptr_array_set_free_func(r->fresh, free_change);
	g_ptr_array_free(r->fresh, TRUE);
	g_free(r);
}

static void
note(struct jh_replica *r, const char *name, GBytes *text)
{
	struct change *c = g_new0(struct change, 1);

	c->name = g_strdup(name);
	c->text = text;
	g_ptr_array_add(r->fresh, c);
}

void
jh_replica_put(struct jh_replica *r, const char *name, struct jh_str text)
{
	note(r, name, g_bytes_new(text.ptr, text.len));
}

void
jh_replica_remove(struct jh_replica *r, const char *name)
{
	note(r, name, NULL);
}

/* A list repeats objects that have not changed. */
static bool
is_known(const struct jh_replica *r, const struct change *c)
{
	GBytes *known = g_tree_lookup(r->objects, c->name);

	if (c->text == NULL || known == NULL)
		return c->text == known;
	return g_bytes_equal(c->text, known);
}

static void
take_over(struct jh_replica *r, struct change *c)
{
	if (is_known(r, c)) {
		free_change(c);
		return;
	}
	c->reached = r->revision;
	if (c->text != NULL)
		g_tree_replace(
		    r->objects, g_strdup(c->name), g_bytes_ref(c->text));
	else
		g_tree_remove(r->objects, c->name);
	g_queue_push_tail(r->changes, c);
}

void
jh_replica_reached(struct jh_replica *r, uint64_t revision)
{
	struct change *c;
	guint i;

	/* What a first list tells is no change that others could follow. */
	if (r->revision == 0)
		r->oldest = revision;
	r->revision = MAX(r->revision, revision);
	for (i = 0; i < r->fresh->len; i++)
		take_over(r, g_ptr_array_index(r->fresh, i));
	g_ptr_array_set_size(r->fresh, 0);
	while (g_queue_get_length(r->changes) > JH_REPLICA_CHANGES) {
		c = g_queue_pop_head(r->changes);
		r->oldest = MAX(r->oldest, c->reached);
		free_change(c);
	}
}

uint64_t
jh_replica_revision(const struct jh_replica *r)
{
	return r->revision;
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

bool
jh_replica_list(const struct jh_replica *r, const char *after,
    unsigned int limit, const struct jh_replica_ops *ops, void *arg)
{
	GTreeNode *n = after != NULL ? g_tree_upper_bound(r->objects, after)
				     : g_tree_node_first(r->objects);

	for (; n != NULL && limit > 0; n = g_tree_node_next(n), limit--)
		ops->object(
		    arg, g_tree_node_key(n), text_of(g_tree_node_value(n)));
	return n != NULL;
}

bool
jh_replica_changes(const struct jh_replica *r, uint64_t since,
    const struct jh_replica_ops *ops, void *arg)
{
	const struct change *c;
	GList *at;

	if (since < r->oldest)
		return false;
	/* Most are asked for the newest few. */
	for (at = r->changes->tail; at != NULL; at = at->prev) {
		c = at->data;
		if (c->reached <= since)
			break;
	}
	at = at == NULL ? r->changes->head : at->next;
	for (; at != NULL; at = at->next) {
		c = at->data;
		ops->object(arg, c->name, text_of(c->text));
	}
	return true;
}
