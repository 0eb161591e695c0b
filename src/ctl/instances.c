#include <stdlib.h>

#include <jansson.h>

#include "config/settings.h"
#include "ctl/fetch.h"
#include "ctl/instances.h"

static GPtrArray *
parse_list(struct ctl *c, struct jh_str body, int *status)
{
	GPtrArray *list;
	unsigned int faults = 0;

	list = jh_instances_parse(body, &faults);
	if (list == NULL || faults > 0)
		fprintf(c->err,
		    "the instance list is malformed, %u instances are "
		    "ignored\n",
		    faults);
	/*
	 * Malformed instances cannot be queried and are left out; without a
	 * list the command fails.
	 */
	if (list == NULL)
		*status = CTL_FAILED;
	return list;
}

GPtrArray *
ctl_read_instances(struct ctl *c, int *status)
{
	GPtrArray *list;
	GString *body;

	if (c->settings.instance_list.sin_port == 0) {
		fprintf(c->err, "the settings have no instance_list\n");
		*status = CTL_USAGE;
		return NULL;
	}
	body = ctl_fetch(c, &c->settings.instance_list, "/v1/instances");
	if (body == NULL) {
		fprintf(c->err, "the instance list is unavailable\n");
		*status = CTL_UNAVAILABLE;
		return NULL;
	}
	list = parse_list(c, (struct jh_str){body->str, body->len}, status);
	g_string_free(body, TRUE);
	return list;
}

static json_t *
to_json(const struct jh_instance *i, const char *address, const char *rpc)
{
	json_t *models = json_array();
	char **m;

	for (m = i->models; m != NULL && *m != NULL; m++)
		json_array_append_new(models, json_string(*m));
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:o, s:s*, s:b}", "id",
	    i->id, "role", i->role == JH_ROLE_ENTRY ? "entry" : "agent",
	    "address", address, "rpc_address", rpc, "availability_zone",
	    i->zone, "region", i->region, "models", models, "service",
	    i->service, "leaving", i->leaving);
}

static void
print_instance(struct ctl *c, const struct jh_instance *i)
{
	char *address = jh_address_format(&i->address);
	char *rpc = jh_address_format(&i->rpc_address);
	char *text;
	json_t *o;

	if (c->json) {
		o = to_json(i, address, rpc);
		text = json_dumps(o, JSON_COMPACT);
		fprintf(c->out, "%s\n", text);
		free(text);
		json_decref(o);
	} else {
		fprintf(c->out, "%-20s %-6s %-22s %-22s %-10s %s%s\n", i->id,
		    i->role == JH_ROLE_ENTRY ? "entry" : "agent", address, rpc,
		    i->zone, i->region, i->leaving ? " leaving" : "");
	}
	g_free(address);
	g_free(rpc);
}

static int
print_list(struct ctl *c)
{
	int status = CTL_OK;
	GPtrArray *list = ctl_read_instances(c, &status);
	guint i;

	if (list == NULL)
		return status;
	for (i = 0; i < list->len; i++)
		print_instance(c, list->pdata[i]);
	g_ptr_array_free(list, TRUE);
	return CTL_OK;
}

static int
run_instances(struct ctl *c, const struct ctl_command *self, char **args)
{
	int status = ctl_parse_options(c, self, NULL, &args, 0, 0);

	if (status == CTL_CONTINUE)
		status = ctl_load_settings(c);
	if (status == CTL_CONTINUE)
		status = print_list(c);
	g_strfreev(args);
	return status;
}

const struct ctl_command ctl_instances_commands[] = {
    {"instances", "", "List the platform's instances", run_instances}, {0}};
