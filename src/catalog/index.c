#include <string.h>

#include "catalog/table.h"

/* Gives name to s unless a slot that is first by key has it. */
static void
claim(GHashTable *map, const char *name, struct catalog_slot *s)
{
	struct catalog_slot *other = g_hash_table_lookup(map, name);

	if (other == NULL || strcmp(s->key, other->key) < 0)
		g_hash_table_replace(map, g_strdup(name), s);
}

static void
add_model(struct jh_catalog *c, struct catalog_slot *s)
{
	char **alias;

	claim(c->models_by_name, s->model->name, s);
	for (alias = s->model->aliases; *alias != NULL; alias++)
		claim(c->models_by_name, *alias, s);
}

static void
add_org(struct jh_catalog *c, struct catalog_slot *s)
{
	char **hash;

	for (hash = s->org->key_hashes; *hash != NULL; hash++)
		claim(c->orgs_by_hash, *hash, s);
}

void
catalog_index_add(struct jh_catalog *c, struct catalog_slot *s)
{
	if (s->org != NULL)
		add_org(c, s);
	if (s->model != NULL)
		add_model(c, s);
}

static gboolean
is_slot(gpointer key, gpointer value, gpointer arg)
{
	return value == arg;
}

/* Another slot may list a name that the removed one had; organisation and
 * model edits are rare, so all of them are asked again. */
static void
claim_again(struct jh_catalog *c, const struct catalog_slot *removed)
{
	struct catalog_slot *s;
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
catalog_index_remove(struct jh_catalog *c, struct catalog_slot *s)
{
	if (s->org != NULL)
		g_hash_table_foreach_remove(c->orgs_by_hash, is_slot, s);
	else if (s->model != NULL)
		g_hash_table_foreach_remove(c->models_by_name, is_slot, s);
	else
		return;
	claim_again(c, s);
}
