#include <jacinthhill/clock.h>

#include "agent/backend_crash.h"
#include "agent/service_call.h"

/* Time limit for one call to a plain service. */
#define SERVICE_CALL_USEC (60 * JH_USEC_PER_SEC)

struct service_call {
	struct agent *agent;
	const struct service_call_ops *ops;
	void *arg;
	struct jh_job_parts parts;
	uint64_t sent_at;
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
report_crash(struct service_call *c, enum jh_http_result result)
{
	switch (result) {
	case JH_HTTP_OK:
		agent_backend_responded(c->agent, &c->parts);
		break;
	case JH_HTTP_CONNECTION_LOST:
		agent_backend_crashed(c->agent, c->sent_at, &c->parts);
		break;
	case JH_HTTP_NOT_SENT:
		agent_backend_unreachable(c->agent);
		break;
	case JH_HTTP_TIMED_OUT:
	case JH_HTTP_CANCELLED:
		break;
	}
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

	report_crash(c, result);
	c->ops->done(c->arg, &response);
	g_string_free(c->body, TRUE);
	g_free(c);
}

static const struct jh_http_call_ops call_ops = {
    .data = on_data, .done = on_done};

bool
service_call_start(struct agent *a, const struct service_call_spec *request)
{
	char *type_line = g_strdup_printf("Content-Type: %s",
	    request->content_type == NULL ? "application/json"
					  : request->content_type);
	const char *headers[] = {type_line, NULL};
	struct service_call *c = g_new0(struct service_call, 1);
	struct jh_http_call_spec spec = {.peer = a->settings.backend,
	    .method = request->method,
	    .path = request->path,
	    .headers = headers,
	    .body = request->body,
	    .deadline = jh_now() + SERVICE_CALL_USEC,
	    .own_connection = true,
	    .ops = &call_ops,
	    .arg = c};
	struct jh_http_call *call;

	c->agent = a;
	c->ops = request->ops;
	c->arg = request->arg;
	c->parts = request->parts;
	c->sent_at = jh_now();
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
