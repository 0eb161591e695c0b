#include <pthread.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "relay.h"

#define CALL_USEC (600 * JH_USEC_PER_SEC)

/*
 * A request that is relayed to an engine. The client's request and the call to
 * the engine hold one reference each.
 */
struct relay_call {
	int refs; /* atomic */
	struct jh_http_req *req;
	pthread_mutex_t lock; /* guards call and blocked */
	struct jh_http_call *call;
	bool blocked;
};

static void
relay_call_unref(struct relay_call *c)
{
	if (!g_atomic_int_dec_and_test(&c->refs))
		return;
	jh_http_call_unref(c->call);
	pthread_mutex_destroy(&c->lock);
	g_free(c);
}

static void
on_begun(void *arg, struct jh_http_call *call)
{
	static const char *const relayed_headers[] = {
	    "Content-Type", "X-Cached-Tokens"};
	struct relay_call *c = arg;
	const char *value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(relayed_headers); i++) {
		value = jh_http_call_header(call, relayed_headers[i]);
		if (value != NULL)
			jh_http_req_add_header(
			    c->req, relayed_headers[i], value);
	}
	jh_http_req_begin(c->req, jh_http_call_status(call));
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct relay_call *c = arg;

	pthread_mutex_lock(&c->lock);
	if (c->blocked) {
		pthread_mutex_unlock(&c->lock);
		return false;
	}
	if (!jh_http_req_write(c->req, data.ptr, data.len))
		c->blocked = true;
	pthread_mutex_unlock(&c->lock);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct relay_call *c = arg;

	if (result == JH_HTTP_OK)
		jh_http_req_end(c->req);
	else
		jh_http_req_abort(c->req);
	jh_http_req_unref(c->req);
	relay_call_unref(c);
}

static const struct jh_http_call_ops call_ops = {
    .begun = on_begun, .data = on_data, .done = on_done};

static void
on_writable(void *arg)
{
	struct relay_call *c = arg;

	pthread_mutex_lock(&c->lock);
	c->blocked = false;
	if (c->call != NULL)
		jh_http_call_resume(c->call);
	pthread_mutex_unlock(&c->lock);
}

static void
on_closed(void *arg)
{
	struct relay_call *c = arg;

	pthread_mutex_lock(&c->lock);
	if (c->call != NULL)
		jh_http_call_cancel(c->call);
	pthread_mutex_unlock(&c->lock);
}

static void
on_released(void *arg)
{
	relay_call_unref(arg);
}

static const struct jh_http_req_ops req_ops = {
    .writable = on_writable, .closed = on_closed, .released = on_released};

static char **
copy_headers(const struct jh_http_req *req)
{
	static const char *const relayed_headers[] = {"Content-Type",
	    "X-Cache-Salt", "X-Shared-Salt", "X-Shared-Messages",
	    "X-Request-Id", "X-Priority"};
	GPtrArray *lines = g_ptr_array_new();
	const char *value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(relayed_headers); i++) {
		value = jh_http_req_header(req, relayed_headers[i]);
		if (value != NULL)
			g_ptr_array_add(lines, g_strdup_printf("%s: %s",
						   relayed_headers[i], value));
	}
	g_ptr_array_add(lines, NULL);
	return (char **)g_ptr_array_free(lines, FALSE);
}

static void
on_request(void *arg, struct jh_http_req *req)
{
	struct relay *r = arg;
	guint n = (guint)g_atomic_int_add((gint *)&r->next, 1);
	struct relay_call *c = g_new0(struct relay_call, 1);
	char **headers = copy_headers(req);
	GBytes *bytes = jh_http_req_take_body(req);
	struct jh_body *body = jh_body_create(NULL, bytes);
	struct jh_http_call_spec spec = {
	    .peer = g_array_index(
		r->engines, struct sockaddr_in, n % r->engines->len),
	    .method = "POST",
	    .path = "/v1/chat/completions",
	    .headers = (const char *const *)headers,
	    .shared_body = body,
	    .deadline = jh_now() + CALL_USEC,
	    .ops = &call_ops,
	    .arg = c};

	c->refs = 2;
	c->req = req;
	pthread_mutex_init(&c->lock, NULL);
	jh_http_req_set_callbacks(req, &req_ops, c);
	pthread_mutex_lock(&c->lock);
	c->call = jh_http_call_start(r->client, &spec);
	pthread_mutex_unlock(&c->lock);
	g_strfreev(headers);
	g_bytes_unref(bytes);
	jh_body_unref(body);
	if (c->call == NULL) {
		jh_http_req_reply(req, 503, "text/plain", "", 0);
		jh_http_req_unref(req);
		relay_call_unref(c);
	}
}

const struct jh_http_server_ops relay_server_ops = {.request = on_request};
