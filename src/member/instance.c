#include <arpa/inet.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/members.h>

#include "base/json_decode.h"

void
jh_instance_free(struct jh_instance *i)
{
	if (i == NULL)
		return;
	g_free(i->id);
	g_free(i->zone);
	g_free(i->region);
	g_free(i->service);
	g_strfreev(i->models);
	g_free(i);
}

struct jh_instance *
jh_instance_copy(const struct jh_instance *i)
{
	struct jh_instance *copy = g_memdup2(i, sizeof(*i));

	copy->id = g_strdup(i->id);
	copy->zone = g_strdup(i->zone);
	copy->region = g_strdup(i->region);
	copy->service = g_strdup(i->service);
	copy->models =
	    i->models == NULL ? g_new0(char *, 1) : g_strdupv(i->models);
	return copy;
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	char **parts;
	guint64 port;
	bool ok;

	if (text == NULL)
		return false;
	parts = g_strsplit(text, ":", 2);
	ok = g_strv_length(parts) == 2 &&
	     inet_pton(AF_INET, parts[0], &out->sin_addr) == 1 &&
	     g_ascii_string_to_unsigned(parts[1], 10, 1, 65535, &port, NULL);
	if (ok) {
		out->sin_family = AF_INET;
		out->sin_port = htons((uint16_t)port);
	}
	g_strfreev(parts);
	return ok;
}

static bool
parse_role(const char *text, enum jh_role *out)
{
	if (g_strcmp0(text, "entry") != 0 && g_strcmp0(text, "agent") != 0)
		return false;
	*out = strcmp(text, "entry") == 0 ? JH_ROLE_ENTRY : JH_ROLE_AGENT;
	return true;
}

static char **
parse_models(json_t *list)
{
	char **models = g_new0(char *, json_array_size(list) + 1);
	size_t i, n = 0;
	json_t *v;

	json_array_foreach(list, i, v)
	{
		if (json_is_string(v))
			models[n++] = g_strdup(json_string_value(v));
	}
	return models;
}

static struct jh_instance *
parse_instance(json_t *o)
{
	const char *id, *role, *address, *rpc, *zone, *region;
	const char *service = NULL, *incarnation = "0";
	struct jh_instance *i;
	json_t *models = NULL;
	int leaving = 0;

	if (json_unpack(o, "{s:s, s:s, s:s, s:s, s:s, s:s, s?s, s?s, s?b, s?o}",
		"id", &id, "role", &role, "address", &address, "rpc_address",
		&rpc, "zone", &zone, "region", &region, "service", &service,
		"incarnation", &incarnation, "leaving", &leaving, "models",
		&models) != 0)
		return NULL;
	i = g_new0(struct jh_instance, 1);
	i->id = g_strdup(id);
	i->zone = g_strdup(zone);
	i->region = g_strdup(region);
	i->service = g_strdup(service);
	i->models = parse_models(models);
	i->leaving = leaving != 0;
	if (parse_role(role, &i->role) && parse_address(address, &i->address) &&
	    parse_address(rpc, &i->rpc_address) &&
	    g_ascii_string_to_unsigned(
		incarnation, 16, 0, G_MAXUINT64, &i->incarnation, NULL))
		return i;
	jh_instance_free(i);
	return NULL;
}

static void
free_instance(gpointer p)
{
	jh_instance_free(p);
}

GPtrArray *
jh_instances_parse(struct jh_str text, unsigned int *malformed)
{
	json_t *list = jh_json_decode(text), *o;
	struct jh_instance *i;
	GPtrArray *out;
	size_t n;

	*malformed = 0;
	if (!json_is_array(list)) {
		json_decref(list);
		return NULL;
	}
	out = g_ptr_array_new_with_free_func(free_instance);
	json_array_foreach(list, n, o)
	{
		i = parse_instance(o);
		if (i == NULL)
			(*malformed)++;
		else
			g_ptr_array_add(out, i);
	}
	json_decref(list);
	return out;
}
