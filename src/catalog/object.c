#include <string.h>

#include "catalog/internal.h"

/* Estimated overhead of hash table, tree and allocator, in bytes. */
#define OBJECT_OVERHEAD_BYTES 160
/*
 * Memory for an object as a multiple of its JSON text: the text itself, and
 * about twice its size in small allocations of the parsed record.
 */
#define JSON_SIZE_FACTOR 3

static void
clear_value(struct catalog_object *s)
{
	jh_catalog_entry_unref(s->entry);
	jh_org_unref(s->org);
	jh_model_unref(s->model);
	g_free(s->json);
	s->entry = NULL;
	s->org = NULL;
	s->model = NULL;
	s->json = NULL;
	s->json_len = 0;
}

void
catalog_object_set(struct catalog_object *s, const char *json)
{
	struct jh_str text = jh_str_from(json);

	clear_value(s);
	s->kind = jh_record_kind_of(s->key);
	if (json == NULL)
		return;
	s->json = g_strdup(json);
	s->json_len = text.len;
	/* A record whose names do not match its key must not be used. */
	if (!jh_record_check(s->key, text, NULL))
		return;
	if (s->kind == JH_RECORD_ENTRY)
		s->entry = jh_catalog_entry_parse(text, NULL);
	else if (s->kind == JH_RECORD_ORG)
		s->org = jh_org_parse(text, NULL);
	else if (s->kind == JH_RECORD_MODEL)
		s->model = jh_model_parse(text, NULL);
}

void
catalog_object_free(struct catalog_object *s)
{
	clear_value(s);
	g_free(s->key);
	g_free(s);
}

size_t
catalog_object_size(const struct catalog_object *s)
{
	return sizeof(*s) + OBJECT_OVERHEAD_BYTES + strlen(s->key) +
	       JSON_SIZE_FACTOR * s->json_len;
}

bool
catalog_object_is_invalid(const struct catalog_object *s)
{
	return s->json != NULL && s->entry == NULL && s->org == NULL &&
	       s->model == NULL;
}
