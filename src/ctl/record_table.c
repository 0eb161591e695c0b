#include <stddef.h>
#include <string.h>

#include "ctl/record_table.h"

/* Default value of an optional number: not in the file. */
#define ABSENT "-1"

struct share_fields {
	char *region;
	int64_t percent;
};

struct entry_fields {
	char *record;
	int64_t version;
	char *owner;
	char *class_name;
	char *kind;
	char *rank;
	char *rank_ceiling;
	GPtrArray *models;
	int64_t cost_tokens_per_second;
	int64_t concurrent_requests;
	int64_t floor_percent;
	bool idempotent;
	int64_t ttft_target_ms;
	GPtrArray *shared_prompts;
	GPtrArray *region_shares;
};

struct org_fields {
	char *record;
	int64_t version;
	char *name;
	char *display_name;
	bool disabled;
	GPtrArray *key_hashes;
};

struct model_fields {
	char *record;
	int64_t version;
	char *name;
	char *weights;
	GPtrArray *aliases;
};

static const char *const kinds[] = {"chat", "service", NULL};
static const char *const ranks[] = {"urgent", "background", NULL};

#define AT(fields, member) .offset = offsetof(struct fields, member)
#define COMMON(fields)                                                  \
	{.key = "record",                                               \
	    .type = JH_SET_STRING,                                      \
	    .required = true,                                           \
	    AT(fields, record)},                                        \
	{                                                               \
		.key = "version", .type = JH_SET_INT, .max = INT64_MAX, \
		.fallback = "0", AT(fields, version)                    \
	}
#define TEXT(fields, name)                                             \
	{                                                              \
		.key = #name, .type = JH_SET_STRING, .required = true, \
		AT(fields, name)                                       \
	}
#define CHOICE(fields, name, list)                                     \
	{                                                              \
		.key = #name, .type = JH_SET_STRING, .required = true, \
		.choices = (list), AT(fields, name)                    \
	}
#define TEXTS(fields, name, is_required)                    \
	{                                                   \
		.key = #name, .type = JH_SET_STRINGS,       \
		.required = (is_required), AT(fields, name) \
	}
/* The codec checks the upper bounds. */
#define NUMBER(fields, name)                                                  \
	{                                                                     \
		.key = #name, .type = JH_SET_INT, .required = true, .min = 1, \
		.max = INT64_MAX, AT(fields, name)                            \
	}

static const struct jh_setting share_table[] = {TEXT(share_fields, region),
    {.key = "percent",
	.type = JH_SET_INT,
	.required = true,
	.max = 100,
	AT(share_fields, percent)},
    {0}};

static const struct jh_setting entry_table[] = {COMMON(entry_fields),
    TEXT(entry_fields, owner),
    {.key = "class",
	.type = JH_SET_STRING,
	.required = true,
	AT(entry_fields, class_name)},
    CHOICE(entry_fields, kind, kinds), CHOICE(entry_fields, rank, ranks),
    CHOICE(entry_fields, rank_ceiling, ranks),
    TEXTS(entry_fields, models, true),
    NUMBER(entry_fields, cost_tokens_per_second),
    NUMBER(entry_fields, concurrent_requests),
    {.key = "floor_percent",
	.type = JH_SET_INT,
	.min = -1,
	.max = 100,
	.fallback = ABSENT,
	AT(entry_fields, floor_percent)},
    {.key = "idempotent",
	.type = JH_SET_BOOL,
	.required = true,
	AT(entry_fields, idempotent)},
    NUMBER(entry_fields, ttft_target_ms),
    TEXTS(entry_fields, shared_prompts, false),
    {.key = "region_shares",
	.type = JH_SET_LIST,
	.item = share_table,
	.item_size = sizeof(struct share_fields),
	AT(entry_fields, region_shares)},
    {0}};

static const struct jh_setting org_table[] = {COMMON(org_fields),
    TEXT(org_fields, name), TEXT(org_fields, display_name),
    {.key = "disabled",
	.type = JH_SET_BOOL,
	.fallback = "false",
	AT(org_fields, disabled)},
    TEXTS(org_fields, key_hashes, true), {0}};

static const struct jh_setting model_table[] = {COMMON(model_fields),
    TEXT(model_fields, name), TEXT(model_fields, weights),
    TEXTS(model_fields, aliases, false), {0}};

static const struct record_table tables[] = {
    [JH_RECORD_ENTRY] = {"entry", entry_table, sizeof(struct entry_fields)},
    [JH_RECORD_ORG] = {"organisation", org_table, sizeof(struct org_fields)},
    [JH_RECORD_MODEL] = {"model", model_table, sizeof(struct model_fields)},
};

const struct record_table *
record_table_of(enum jh_record_kind kind)
{
	return kind == JH_RECORD_OTHER ? NULL : &tables[kind];
}

enum jh_record_kind
record_table_find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		if (strcmp(tables[i].name, name) == 0)
			return (enum jh_record_kind)i;
	}
	return JH_RECORD_OTHER;
}

static json_t *
strings_json(const GPtrArray *list)
{
	json_t *out = json_array();
	guint i;

	for (i = 0; i < list->len; i++)
		json_array_append_new(out, json_string(list->pdata[i]));
	return out;
}

static json_t *
list_json(const struct jh_setting *item, const GPtrArray *list)
{
	json_t *out = json_array();
	guint i;

	for (i = 0; i < list->len; i++)
		json_array_append_new(
		    out, record_table_json(item, list->pdata[i]));
	return out;
}

/* Converts one field; returns NULL if it is optional and not in the file. */
static json_t *
member_json(const struct jh_setting *s, const void *field)
{
	const GPtrArray *list;
	int64_t number;

	switch (s->type) {
	case JH_SET_STRING:
		return json_string(*(char *const *)field);
	case JH_SET_INT:
		number = *(const int64_t *)field;
		return g_strcmp0(s->fallback, ABSENT) == 0 && number < 0
			   ? NULL
			   : json_integer(number);
	case JH_SET_BOOL:
		return json_boolean(*(const bool *)field);
	case JH_SET_STRINGS:
	case JH_SET_LIST:
		list = *(GPtrArray *const *)field;
		if (list->len == 0 && !s->required)
			return NULL;
		return s->type == JH_SET_LIST ? list_json(s->item, list)
					      : strings_json(list);
	default:
		return NULL;
	}
}

json_t *
record_table_json(const struct jh_setting *table, const void *in)
{
	const struct jh_setting *s;
	json_t *out = json_object(), *v;

	for (s = table; s->key != NULL; s++) {
		if (strcmp(s->key, "record") == 0 ||
		    strcmp(s->key, "version") == 0)
			continue;
		v = member_json(s, (const char *)in + s->offset);
		if (v != NULL)
			json_object_set_new(out, s->key, v);
	}
	return out;
}

int64_t
record_table_version(const struct jh_setting *table, const void *in)
{
	for (; table->key != NULL; table++) {
		if (strcmp(table->key, "version") == 0)
			return *(
			    const int64_t *)(const void *)((const char *)in +
							   table->offset);
	}
	return 0;
}
