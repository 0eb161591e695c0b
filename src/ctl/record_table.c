#include <stddef.h>
#include <string.h>

#include "ctl/record_table.h"

/* Default text of an optional number: the key is not in the file. */
#define ABSENT "-1"

/* The values of one file or list element, as the tables below fill them. */
struct share_row {
	char *region;
	int64_t percent;
};

struct entry_rows {
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

struct org_rows {
	char *record;
	int64_t version;
	char *name;
	char *display_name;
	bool disabled;
	GPtrArray *key_hashes;
};

struct model_rows {
	char *record;
	int64_t version;
	char *name;
	char *weights;
	GPtrArray *aliases;
};

static const char *const kinds[] = {"chat", "service", NULL};
static const char *const ranks[] = {"urgent", "background", NULL};

#define AT(rows, member) .offset = offsetof(struct rows, member)
#define COMMON(rows)                                                    \
	{.key = "record",                                               \
	    .type = JH_SET_STRING,                                      \
	    .required = true,                                           \
	    AT(rows, record)},                                          \
	{                                                               \
		.key = "version", .type = JH_SET_INT, .max = INT64_MAX, \
		.fallback = "0", AT(rows, version)                      \
	}
#define TEXT(rows, name)                                               \
	{                                                              \
		.key = #name, .type = JH_SET_STRING, .required = true, \
		AT(rows, name)                                         \
	}
#define CHOICE(rows, name, list)                                       \
	{                                                              \
		.key = #name, .type = JH_SET_STRING, .required = true, \
		.choices = (list), AT(rows, name)                      \
	}
#define TEXTS(rows, name, must)                                           \
	{                                                                 \
		.key = #name, .type = JH_SET_STRINGS, .required = (must), \
		AT(rows, name)                                            \
	}
/* The codec checks the upper bounds. */
#define NUMBER(rows, name)                                                    \
	{                                                                     \
		.key = #name, .type = JH_SET_INT, .required = true, .min = 1, \
		.max = INT64_MAX, AT(rows, name)                              \
	}

static const struct jh_setting share_table[] = {TEXT(share_row, region),
    {.key = "percent",
	.type = JH_SET_INT,
	.required = true,
	.max = 100,
	AT(share_row, percent)},
    {0}};

static const struct jh_setting entry_table[] = {COMMON(entry_rows),
    TEXT(entry_rows, owner),
    {.key = "class",
	.type = JH_SET_STRING,
	.required = true,
	AT(entry_rows, class_name)},
    CHOICE(entry_rows, kind, kinds), CHOICE(entry_rows, rank, ranks),
    CHOICE(entry_rows, rank_ceiling, ranks), TEXTS(entry_rows, models, true),
    NUMBER(entry_rows, cost_tokens_per_second),
    NUMBER(entry_rows, concurrent_requests),
    {.key = "floor_percent",
	.type = JH_SET_INT,
	.min = -1,
	.max = 100,
	.fallback = ABSENT,
	AT(entry_rows, floor_percent)},
    {.key = "idempotent",
	.type = JH_SET_BOOL,
	.required = true,
	AT(entry_rows, idempotent)},
    NUMBER(entry_rows, ttft_target_ms),
    TEXTS(entry_rows, shared_prompts, false),
    {.key = "region_shares",
	.type = JH_SET_LIST,
	.item = share_table,
	.item_size = sizeof(struct share_row),
	AT(entry_rows, region_shares)},
    {0}};

static const struct jh_setting org_table[] = {COMMON(org_rows),
    TEXT(org_rows, name), TEXT(org_rows, display_name),
    {.key = "disabled",
	.type = JH_SET_BOOL,
	.fallback = "false",
	AT(org_rows, disabled)},
    TEXTS(org_rows, key_hashes, true), {0}};

static const struct jh_setting model_table[] = {COMMON(model_rows),
    TEXT(model_rows, name), TEXT(model_rows, weights),
    TEXTS(model_rows, aliases, false), {0}};

static const struct record_table tables[] = {
    [JH_RECORD_ENTRY] = {"entry", entry_table, sizeof(struct entry_rows)},
    [JH_RECORD_ORG] = {"organisation", org_table, sizeof(struct org_rows)},
    [JH_RECORD_MODEL] = {"model", model_table, sizeof(struct model_rows)},
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
