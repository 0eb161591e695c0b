#include <jacinthhill/clock.h>

#include "agent/service_call.h"

/* Time limit for one call to a plain service. */
#define SERVICE_CALL_USEC (60 * JH_USEC_PER_SEC)

struct service_call {
	struct agent *agent;
	const struct service_call_ops *ops;
	void *arg;
	GString *body;
	bool too_long;
};

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct service_call *c = arg;

	if (c->body->len + data.len > (size_t)c->agent->settings.body_limit)
		c->too_long = true;
	else
		g_string_append_len(c->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct service_call *c = arg;
	struct service_call_response response = {.result = result,
	    .too_long = c->too_long,
	    .status = jh_http_call_status(call),
	    .type = jh_http_call_header(call, "Content-Type"),
	    .body = {c->body->str, c->body->len}};

	c->ops->done(c->arg, &response);
	g_string_free(c->body, TRUE);
	g_free(c);
}

static const struct jh_http_call_ops call_ops = {
    .data = on_data, .done = on_done};

bool
service_call_start(struct agent *a, const char *method, const char *path,
    const char *content_type, struct jh_str body,
    const struct service_call_ops *ops, void *arg)
{
	char *type_line = g_strdup_printf("Content-Type: %s",
	    content_type == NULL ? "application/json" : content_type);
	const char *headers[] = {type_line, NULL};
	struct service_call *c = g_new0(struct service_call, 1);
	struct jh_http_call_spec spec = {.peer = a->settings.backend,
	    .method = method,
	    .path = path,
	    .headers = headers,
	    .body = body,
	    .deadline = jh_now() + SERVICE_CALL_USEC,
	    .at_most_once = true,
	    .ops = &call_ops,
	    .arg = c};
	struct jh_http_call *call;

	c->agent = a;
	c->ops = ops;
	c->arg = arg;
	c->body = g_string_new(NULL);
	call = jh_http_call_start(a->client, &spec);
	g_free(type_line);
	if (call == NULL) {
		g_string_free(c->body, TRUE);
		g_free(c);
		return false;
	}
	jh_http_call_unref(call);
	return true;
}
