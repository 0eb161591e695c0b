#include <stddef.h>

#include "config/settings.h"
#include "file.h"

/* One instance of the file; TEXT uses the names of its members as keys. */
struct listed_instance {
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

struct instance_file {
	GPtrArray *instances;
};

#define TEXT(name, must)                                                 \
	{                                                                \
		.key = #name, .type = JH_SET_STRING, .required = (must), \
		.offset = offsetof(struct listed_instance, name)         \
	}

static const struct jh_setting instance_settings[] = {TEXT(id, true),
    TEXT(role, true), TEXT(address, true), TEXT(rpc_address, true),
    TEXT(zone, true), TEXT(region, true), TEXT(incarnation, false),
    TEXT(service, false),
    {.key = "models",
	.type = JH_SET_STRINGS,
	.offset = offsetof(struct listed_instance, models)},
    {.key = "leaving",
	.type = JH_SET_BOOL,
	.fallback = "false",
	.offset = offsetof(struct listed_instance, leaving)},
    {0}};

static const struct jh_setting file_settings[] = {
    {.key = "instances",
	.type = JH_SET_LIST,
	.required = true,
	.item = instance_settings,
	.item_size = sizeof(struct listed_instance),
	.offset = offsetof(struct instance_file, instances)},
    {0}};

static json_t *
instance_json(const struct listed_instance *r)
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
	struct instance_file f = {0};
	json_t *list = NULL;
	guint i;

	if (jh_settings_load(path, file_settings, &f, err)) {
		list = json_array();
		for (i = 0; i < f.instances->len; i++)
			json_array_append_new(
			    list, instance_json(f.instances->pdata[i]));
	}
	jh_settings_clear(file_settings, &f);
	return list;
}
