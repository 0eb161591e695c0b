#include <stddef.h>

#include "config/settings.h"
#include "file.h"

struct row {
	char *id;
	char *role;
	char *address;
	char *rpc_address;
	char *zone;
	char *region;
	char *incarnation;
	char *service;
	GPtrArray *models;
	bool leaving;
};

struct file {
	GPtrArray *instances;
};

#define TEXT(name, must)                                                 \
	{                                                                \
		.key = #name, .type = JH_SET_STRING, .required = (must), \
		.offset = offsetof(struct row, name)                     \
	}

static const struct jh_setting row_table[] = {TEXT(id, true), TEXT(role, true),
    TEXT(address, true), TEXT(rpc_address, true), TEXT(zone, true),
    TEXT(region, true), TEXT(incarnation, false), TEXT(service, false),
    {.key = "models",
	.type = JH_SET_STRINGS,
	.offset = offsetof(struct row, models)},
    {.key = "leaving",
	.type = JH_SET_BOOL,
	.fallback = "false",
	.offset = offsetof(struct row, leaving)},
    {0}};

static const struct jh_setting file_table[] = {
    {.key = "instances",
	.type = JH_SET_LIST,
	.required = true,
	.item = row_table,
	.item_size = sizeof(struct row),
	.offset = offsetof(struct file, instances)},
    {0}};

static json_t *
row_json(const struct row *r)
{
	json_t *models = json_array(), *o;
	guint i;

	for (i = 0; i < r->models->len; i++)
		json_array_append_new(models, json_string(r->models->pdata[i]));
	o = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:o, s:b}", "id", r->id,
	    "role", r->role, "address", r->address, "rpc_address",
	    r->rpc_address, "zone", r->zone, "region", r->region, "models",
	    models, "leaving", (int)r->leaving);
	if (r->incarnation != NULL)
		json_object_set_new(
		    o, "incarnation", json_string(r->incarnation));
	if (r->service != NULL)
		json_object_set_new(o, "service", json_string(r->service));
	return o;
}

json_t *
fake_list_load(const char *path, GError **err)
{
	struct file f = {0};
	json_t *list = NULL;
	guint i;

	if (jh_settings_load(path, file_table, &f, err)) {
		list = json_array();
		for (i = 0; i < f.instances->len; i++)
			json_array_append_new(
			    list, row_json(f.instances->pdata[i]));
	}
	jh_settings_clear(file_table, &f);
	return list;
}
