#include <pthread.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "relay.h"

#define CALL_USEC (600 * JH_USEC_PER_SEC)

/* One relayed request; the request and the engine call hold one each. */
struct pass {
	int refs; /* atomic */
	struct jh_http_req *req;
	pthread_mutex_t lock; /* guards call and blocked */
	struct jh_http_call *call;
	bool blocked;
};

static void
pass_unref(struct pass *p)
{
	if (!g_atomic_int_dec_and_test(&p->refs))
		return;
	jh_http_call_unref(p->call);
	pthread_mutex_destroy(&p->lock);
	g_free(p);
}

static void
on_begun(void *arg, struct jh_http_call *call)
{
	static const char *const names[] = {"Content-Type", "X-Cached-Tokens"};
	struct pass *p = arg;
	const char *value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		value = jh_http_call_header(call, names[i]);
		if (value != NULL)
			jh_http_req_add_header(p->req, names[i], value);
	}
	jh_http_req_begin(p->req, jh_http_call_status(call));
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct pass *p = arg;

	pthread_mutex_lock(&p->lock);
	if (p->blocked) {
		pthread_mutex_unlock(&p->lock);
		return false;
	}
	if (!jh_http_req_write(p->req, data.ptr, data.len))
		p->blocked = true;
	pthread_mutex_unlock(&p->lock);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct pass *p = arg;

	if (result == JH_HTTP_OK)
		jh_http_req_end(p->req);
	else
		jh_http_req_abort(p->req);
	jh_http_req_unref(p->req);
	pass_unref(p);
}

static const struct jh_http_call_ops call_ops = {
    .begun = on_begun, .data = on_data, .done = on_done};

static void
on_writable(void *arg)
{
	struct pass *p = arg;

	pthread_mutex_lock(&p->lock);
	p->blocked = false;
	if (p->call != NULL)
		jh_http_call_resume(p->call);
	pthread_mutex_unlock(&p->lock);
}

static void
on_closed(void *arg)
{
	struct pass *p = arg;

	pthread_mutex_lock(&p->lock);
	if (p->call != NULL)
		jh_http_call_cancel(p->call);
	pthread_mutex_unlock(&p->lock);
}

static void
on_released(void *arg)
{
	pass_unref(arg);
}

static const struct jh_http_req_ops req_ops = {
    .writable = on_writable, .closed = on_closed, .released = on_released};

static char **
copy_headers(const struct jh_http_req *req)
{
	static const char *const names[] = {"Content-Type", "X-Cache-Salt",
	    "X-Shared-Salt", "X-Shared-Messages", "X-Request-Id", "X-Priority"};
	GPtrArray *lines = g_ptr_array_new();
	const char *value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		value = jh_http_req_header(req, names[i]);
		if (value != NULL)
			g_ptr_array_add(
			    lines, g_strdup_printf("%s: %s", names[i], value));
	}
	g_ptr_array_add(lines, NULL);
	return (char **)g_ptr_array_free(lines, FALSE);
}

static void
on_request(void *arg, struct jh_http_req *req)
{
	struct relay *r = arg;
	guint n = (guint)g_atomic_int_add((gint *)&r->next, 1);
	struct pass *p = g_new0(struct pass, 1);
	char **headers = copy_headers(req);
	GBytes *bytes = jh_http_req_take_body(req);
	struct jh_body *body = jh_body_create(NULL, bytes);
	struct jh_http_call_spec spec = {
	    .peer = g_array_index(
		r->engines, struct sockaddr_in, n % r->engines->len),
	    .method = "POST",
	    .path = "/v1/chat/completions",
	    .headers = (const char *const *)headers,
	    .shared = body,
	    .deadline = jh_now() + CALL_USEC,
	    .ops = &call_ops,
	    .arg = p};

	p->refs = 2;
	p->req = req;
	pthread_mutex_init(&p->lock, NULL);
	jh_http_req_watch(req, &req_ops, p);
	pthread_mutex_lock(&p->lock);
	p->call = jh_http_call_start(r->client, &spec);
	pthread_mutex_unlock(&p->lock);
	g_strfreev(headers);
	g_bytes_unref(bytes);
	jh_body_unref(body);
	if (p->call == NULL) {
		jh_http_req_reply(req, 503, "text/plain", "", 0);
		jh_http_req_unref(req);
		pass_unref(p);
	}
}

const struct jh_http_server_ops relay_server_ops = {.request = on_request};
