#include <pthread.h>
#include <string.h>

#include <microhttpd.h>

#include <jacinthhill/clock.h>

#include "http/server.h"
#include "instances.h"

#define BODY_LIMIT (16 * 1024 * 1024)
#define BUFFER_LIMIT (16 * 1024 * 1024) /* bytes; a reply is a single write */
#define MAX_CONNS 1024
#define SERVER_THREADS 2

/* A change that readers do not see yet. */
struct change {
	uint64_t due; /* jh_now() from which it is visible */
	json_t *request;
};

struct fake_list {
	struct jh_http_server *http;
	uint64_t lag_usec;
	pthread_mutex_t lock; /* guards all below */
	json_t *instances; /* JSON object, by instance id */
	GQueue *changes; /* of struct change, oldest first */
	uint64_t revision; /* incremented by each change that becomes visible */
};

static void
free_change(gpointer p)
{
	struct change *c = p;

	json_decref(c->request);
	g_free(c);
}

static const char *
instance_id(const json_t *instance)
{
	return json_string_value(json_object_get(instance, "id"));
}

/* Caller holds the lock. */
static void
apply(struct fake_list *l, const json_t *request)
{
	json_t *v, *instance;
	size_t i;

	json_array_foreach(json_object_get(request, "add"), i, v)
	{
		json_object_set(l->instances, instance_id(v), v);
	}
	json_array_foreach(json_object_get(request, "leaving"), i, v)
	{
		instance = json_object_get(l->instances, json_string_value(v));
		if (instance != NULL)
			json_object_set_new(instance, "leaving", json_true());
	}
	json_array_foreach(json_object_get(request, "remove"), i, v)
	{
		json_object_del(l->instances, json_string_value(v));
	}
}

/* Caller holds the lock. */
static void
apply_due(struct fake_list *l)
{
	struct change *c;

	while (
	    (c = g_queue_peek_head(l->changes)) != NULL && c->due <= jh_now()) {
		apply(l, c->request);
		l->revision++;
		free_change(g_queue_pop_head(l->changes));
	}
}

static bool
is_string_list(const json_t *list)
{
	json_t *v;
	size_t i;

	json_array_foreach(list, i, v)
	{
		if (!json_is_string(v))
			return false;
	}
	return true;
}

static bool
is_valid(const json_t *o)
{
	json_t *add = NULL, *leaving = NULL, *removed = NULL, *v;
	size_t i;

	if (json_unpack((json_t *)o, "{s?o, s?o, s?o !}", "add", &add,
		"leaving", &leaving, "remove", &removed) != 0)
		return false;
	json_array_foreach(add, i, v)
	{
		if (instance_id(v) == NULL)
			return false;
	}
	return is_string_list(leaving) && is_string_list(removed);
}

bool
fake_list_control(struct fake_list *l, const json_t *o, bool lag)
{
	struct change *c;

	if (!is_valid(o))
		return false;
	c = g_new(struct change, 1);
	c->due = jh_now() + (lag ? l->lag_usec : 0);
	c->request = json_deep_copy(o);
	pthread_mutex_lock(&l->lock);
	g_queue_push_tail(l->changes, c);
	pthread_mutex_unlock(&l->lock);
	return true;
}

/* Returns the visible list as JSON text and sets *etag to its entity tag. */
static char *
render_list(struct fake_list *l, char **etag)
{
	json_t *list = json_array(), *v;
	const char *id;
	char *text;

	pthread_mutex_lock(&l->lock);
	apply_due(l);
	*etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", l->revision);
	json_object_foreach(l->instances, id, v)
	{
		json_array_append(list, v);
	}
	text = json_dumps(list, JSON_COMPACT);
	/* Releases references, which jansson does not count atomically. */
	json_decref(list);
	pthread_mutex_unlock(&l->lock);
	return text;
}

static unsigned int
control(struct fake_list *l, struct jh_str body)
{
	json_t *o = json_loadb(body.ptr, body.len, 0, NULL);
	bool ok = o != NULL && fake_list_control(l, o, true);

	json_decref(o);
	return ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST;
}

/* Responds with 304 and no body to a client that has the current version. */
static void
reply_list(struct fake_list *l, struct jh_http_req *req)
{
	const char *client_etag = jh_http_req_header(req, "If-None-Match");
	char *etag, *text = render_list(l, &etag);

	jh_http_req_add_header(req, "ETag", etag);
	if (g_strcmp0(client_etag, etag) == 0)
		jh_http_req_reply(req, MHD_HTTP_NOT_MODIFIED, NULL, "", 0);
	else
		jh_http_req_reply(
		    req, MHD_HTTP_OK, "application/json", text, strlen(text));
	g_free(etag);
	free(text);
}

static void
on_request(void *arg, struct jh_http_req *req)
{
	const char *path = jh_http_req_path(req);
	struct fake_list *l = arg;
	unsigned int status = MHD_HTTP_NOT_FOUND;

	if (strcmp(path, "/v1/instances") == 0) {
		reply_list(l, req);
	} else {
		if (strcmp(path, "/control") == 0 &&
		    strcmp(jh_http_req_method(req), "POST") == 0)
			status = control(l, jh_http_req_body(req));
		jh_http_req_reply(req, status, "text/plain", "", 0);
	}
	jh_http_req_unref(req);
}

struct fake_list *
fake_list_create(const struct fake_list_options *options, GError **err)
{
	static const struct jh_http_server_ops ops = {on_request};
	struct fake_list *l = g_new0(struct fake_list, 1);
	struct jh_http_server_spec spec = {.listen = options->listen,
	    .body_limit = BODY_LIMIT,
	    .buffer_limit = BUFFER_LIMIT,
	    .max_conns = MAX_CONNS,
	    .threads = SERVER_THREADS,
	    .ops = &ops,
	    .arg = l};

	pthread_mutex_init(&l->lock, NULL);
	l->lag_usec = options->lag_usec;
	l->instances = json_object();
	l->changes = g_queue_new();
	l->http = jh_http_server_create(&spec, err);
	if (l->http != NULL)
		return l;
	fake_list_destroy(l);
	return NULL;
}

void
fake_list_destroy(struct fake_list *l)
{
	if (l->http != NULL)
		jh_http_server_destroy(l->http);
	g_queue_free_full(l->changes, free_change);
	json_decref(l->instances);
	pthread_mutex_destroy(&l->lock);
	g_free(l);
}

unsigned int
fake_list_port(const struct fake_list *l)
{
	return jh_http_server_port(l->http);
}
