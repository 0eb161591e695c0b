#include <stdlib.h>

#include <jansson.h>

#include "base/thread.h"
#include "config/settings.h"
#include "ctl/instances.h"
#include "http/client.h"

#define BODY_LIMIT (16 << 20)

/* One read that the tool waits for. */
struct reading {
	GString *body;
	pthread_mutex_t lock; /* guards ended */
	pthread_cond_t cond;
	bool ended;
	enum jh_http_result result;
	unsigned int http_status;
};

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct reading *r = arg;

	if (r->body->len + data.len <= BODY_LIMIT)
		g_string_append_len(r->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct reading *r = arg;

	pthread_mutex_lock(&r->lock);
	r->result = result;
	r->http_status = jh_http_call_status(call);
	r->ended = true;
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
}

static const struct jh_http_call_ops ops = {.data = on_data, .done = on_done};

static void
read_body(struct ctl *c, struct reading *r)
{
	struct jh_http_client *client = jh_http_client_create("list", 1);
	struct jh_http_call_spec spec = {.peer = c->settings.instance_list,
	    .method = "GET",
	    .path = "/v1/instances",
	    .deadline = ctl_deadline(c),
	    .ops = &ops,
	    .arg = r};
	struct jh_http_call *call = jh_http_call_start(client, &spec);

	pthread_mutex_lock(&r->lock);
	while (call != NULL && !r->ended)
		pthread_cond_wait(&r->cond, &r->lock);
	pthread_mutex_unlock(&r->lock);
	jh_http_call_unref(call);
	jh_http_client_destroy(client);
}

static GPtrArray *
parse(struct ctl *c, const struct reading *r, int *status)
{
	GPtrArray *list = NULL;
	unsigned int faults = 0;

	if (!r->ended || r->result != JH_HTTP_OK || r->http_status != 200) {
		fprintf(c->err, "the instance list does not answer\n");
		*status = CTL_UNAVAILABLE;
		return NULL;
	}
	list = jh_instances_parse(
	    (struct jh_str){r->body->str, r->body->len}, &faults);
	if (list == NULL || faults > 0)
		fprintf(c->err,
		    "the instance list is malformed, %u instances are left "
		    "out\n",
		    faults);
	/* A malformed instance can't be asked, so nothing holds for all. */
	if (list == NULL)
		*status = CTL_FAILED;
	return list;
}

GPtrArray *
ctl_instances_read(struct ctl *c, int *status)
{
	struct reading r = {0};
	GPtrArray *list;

	if (c->settings.instance_list.sin_port == 0) {
		fprintf(c->err, "the settings give no instance_list\n");
		*status = CTL_USAGE;
		return NULL;
	}
	r.body = g_string_new(NULL);
	pthread_mutex_init(&r.lock, NULL);
	jh_cond_init(&r.cond);
	read_body(c, &r);
	list = parse(c, &r, status);
	pthread_cond_destroy(&r.cond);
	pthread_mutex_destroy(&r.lock);
	g_string_free(r.body, TRUE);
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
print_one(struct ctl *c, const struct jh_instance *i)
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
	GPtrArray *list = ctl_instances_read(c, &status);
	guint i;

	if (list == NULL)
		return status;
	for (i = 0; i < list->len; i++)
		print_one(c, list->pdata[i]);
	g_ptr_array_free(list, TRUE);
	return CTL_OK;
}

static int
run_instances(struct ctl *c, const struct ctl_command *self, char **args)
{
	int status = ctl_parse(c, self, NULL, &args, 0, 0);

	if (status == CTL_GO_ON)
		status = ctl_load_settings(c);
	if (status == CTL_GO_ON)
		status = print_list(c);
	g_strfreev(args);
	return status;
}

const struct ctl_command ctl_instances_commands[] = {
    {"instances", "", "List the platform's instances", run_instances}, {0}};
