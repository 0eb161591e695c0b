#include <stdio.h>

#include "catalog/internal.h"

/* Fits the longest valid key with its prefix, in bytes. */
#define KEY_SIZE 160

/*
 * Finds the object whose key is the concatenation of the four strings, or
 * returns NULL. The caller holds the read lock.
 */
static struct catalog_object *
find_object(struct jh_catalog *c, const char *prefix, const char *name1,
    const char *separator, const char *name2)
{
	char key[KEY_SIZE];
	int n;

	n = snprintf(
	    key, sizeof(key), "%s%s%s%s", prefix, name1, separator, name2);
	if (n < 0 || (size_t)n >= sizeof(key))
		return NULL;
	return g_hash_table_lookup(c->by_key, key);
}

struct jh_catalog_entry *
jh_catalog_find_entry(
    struct jh_catalog *c, const char *org, const char *class_name)
{
	struct jh_catalog_entry *e = NULL;
	struct catalog_object *s;

	pthread_rwlock_rdlock(&c->lock);
	s = find_object(c, JH_RECORD_PREFIX_ENTRY, org, "/", class_name);
	if (s != NULL && s->entry != NULL)
		e = jh_catalog_entry_ref(s->entry);
	pthread_rwlock_unlock(&c->lock);
	return e;
}

struct jh_org *
jh_catalog_find_org(struct jh_catalog *c, const char *name)
{
	struct jh_org *o = NULL;
	struct catalog_object *s;

	pthread_rwlock_rdlock(&c->lock);
	s = find_object(c, JH_RECORD_PREFIX_ORG, name, "", "");
	if (s != NULL && s->org != NULL)
		o = jh_org_ref(s->org);
	pthread_rwlock_unlock(&c->lock);
	return o;
}

struct jh_org *
jh_catalog_find_org_by_key(struct jh_catalog *c, const char *key_hash)
{
	struct jh_org *o = NULL;
	struct catalog_object *s;

	pthread_rwlock_rdlock(&c->lock);
	s = g_hash_table_lookup(c->orgs_by_hash, key_hash);
	if (s != NULL)
		o = jh_org_ref(s->org);
	pthread_rwlock_unlock(&c->lock);
	return o;
}

struct jh_model *
jh_catalog_find_model(struct jh_catalog *c, const char *name)
{
	struct jh_model *m = NULL;
	struct catalog_object *s;

	pthread_rwlock_rdlock(&c->lock);
	s = find_object(c, JH_RECORD_PREFIX_MODEL, name, "", "");
	if (s == NULL || s->model == NULL)
		s = g_hash_table_lookup(c->models_by_name, name);
	if (s != NULL && s->model != NULL)
		m = jh_model_ref(s->model);
	pthread_rwlock_unlock(&c->lock);
	return m;
}

void
jh_catalog_foreach(struct jh_catalog *c,
    void (*fn)(void *arg, const struct jh_catalog_item *item), void *arg)
{
	struct jh_catalog_item item;
	struct catalog_object *s;
	GHashTableIter it;
	gpointer value;

	pthread_rwlock_rdlock(&c->lock);
	g_hash_table_iter_init(&it, c->by_key);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (s->json == NULL)
			continue;
		item = (struct jh_catalog_item){s->key, s->version, s->json};
		fn(arg, &item);
	}
	pthread_rwlock_unlock(&c->lock);
}
