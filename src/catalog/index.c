#include <string.h>

#include "catalog/internal.h"

/* Maps name to s, unless it is mapped to an object with a lower key. */
static void
map_name(GHashTable *map, const char *name, struct catalog_object *s)
{
	struct catalog_object *other = g_hash_table_lookup(map, name);

	if (other == NULL || strcmp(s->key, other->key) < 0)
		g_hash_table_replace(map, g_strdup(name), s);
}

static void
add_model(struct jh_catalog *c, struct catalog_object *s)
{
	char **alias;

	map_name(c->models_by_name, s->model->name, s);
	for (alias = s->model->aliases; *alias != NULL; alias++)
		map_name(c->models_by_name, *alias, s);
}

static void
add_org(struct jh_catalog *c, struct catalog_object *s)
{
	char **hash;

	for (hash = s->org->key_hashes; *hash != NULL; hash++)
		map_name(c->orgs_by_hash, *hash, s);
}

void
catalog_index_add(struct jh_catalog *c, struct catalog_object *s)
{
	if (s->org != NULL)
		add_org(c, s);
	if (s->model != NULL)
		add_model(c, s);
}

static gboolean
is_object(gpointer key, gpointer value, gpointer arg)
{
	return value == arg;
}

/*
 * Adds all other objects of a kind to the index again, because another one may
 * list a name that the removed one had. A full scan will do: edits of
 * organisations and models are rare.
 */
static void
reindex_kind(struct jh_catalog *c, const struct catalog_object *removed)
{
	struct catalog_object *s;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->by_key);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (s != removed && s->kind == removed->kind)
			catalog_index_add(c, s);
	}
}

void
catalog_index_remove(struct jh_catalog *c, struct catalog_object *s)
{
	if (s->org != NULL)
		g_hash_table_foreach_remove(c->orgs_by_hash, is_object, s);
	else if (s->model != NULL)
		g_hash_table_foreach_remove(c->models_by_name, is_object, s);
	else
		return;
	reindex_kind(c, s);
}
