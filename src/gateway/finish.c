#include <jansson.h>

#include <jacinthhill/clock.h>

#include "gateway/exchange.h"
#include "gateway/quota.h"

static void
on_closed(uv_handle_t *h)
{
	struct exchange *x = h->data;

	if (--x->open_handles > 0)
		return;
	jh_route_table_unref(x->routes);
	jh_sse_parser_destroy(x->events);
	g_string_free(x->fields, TRUE);
	g_free(x->worker_id);
	g_free(x->model);
	g_free(x);
}

void
exchange_free(struct exchange *x)
{
	if (!x->attempts.may_have_run &&
	    x->attempts.sent == x->attempts.not_run)
		jh_gateway_refund_quota(x->gateway, x->org, x->quota_cost);
	exchange_release_body(x);
	uv_close((uv_handle_t *)&x->deadline_timer, on_closed);
	uv_close((uv_handle_t *)&x->silence_timer, on_closed);
}

/* Logs the end of a request and counts it. */
static void
log_end(struct exchange *x, unsigned int status, const char *reason)
{
	struct jh_metrics *m = x->gateway->metrics;
	uint64_t took = jh_now() - x->arrived;
	char name[64];

	g_snprintf(name, sizeof(name), "jh_answers{status=\"%u\"}", status);
	jh_metrics_add(m, name, 1);
	jh_metrics_observe(m, "jh_request_ms", took);
	jh_json_log(x->gateway->log, "ended",
	    "s:s#, s:s, s:i, s:s, s:i, s:b, s:I, s:i, s:I, s:b", "request",
	    x->request.id.ptr, (int)x->request.id.len, "route", x->route->name,
	    "status", (int)status, "reason", reason, "attempts",
	    (int)x->attempts.sent, "may_have_run",
	    (int)x->attempts.may_have_run, "took_us", (json_int_t)took,
	    "events", (int)x->n_events, "first_us",
	    (json_int_t)(x->first_at != 0 ? x->first_at - x->arrived : 0),
	    "begun", (int)x->response_begun);
}

static const char *
status_text(unsigned int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Answer";
	}
}

void
exchange_relay_response(struct exchange *x)
{
	struct jh_server_request *v = x->conn_request;
	struct jh_str body = JH_STR("");

	if (x->body != NULL)
		body =
		    (struct jh_str){(const char *)x->body->data, x->body->len};
	log_end(x, x->status, "answered");
	jh_server_request_set_ops(v, NULL, NULL);
	jh_server_request_respond(v, x->status, status_text(x->status),
	    (struct jh_str){x->fields->str, x->fields->len}, body);
	exchange_free(x);
}

static void
send_own_response(struct exchange *x, unsigned int status, double seconds)
{
	GString *fields = g_string_new(NULL);

	x->gateway->codec->write_error_fields(fields, &x->request);
	if (seconds > 0)
		g_string_append_printf(
		    fields, "Retry-After: %.2f\r\n", seconds);
	jh_server_request_respond(x->conn_request, status, status_text(status),
	    (struct jh_str){fields->str, fields->len}, JH_STR(""));
	g_string_free(fields, TRUE);
	exchange_free(x);
}

void
exchange_refuse(struct exchange *x, const char *reason, double seconds)
{
	log_end(x, 503, reason);
	send_own_response(x, 503, seconds);
}

void
exchange_fail(struct exchange *x, unsigned int status, const char *reason)
{
	log_end(x, status, reason);
	send_own_response(x, status, 0);
}

void
exchange_end_stream(struct exchange *x)
{
	log_end(x, x->status, "answered");
	jh_server_request_end(x->conn_request);
	exchange_free(x);
}

void
exchange_break_stream(struct exchange *x, const char *reason)
{
	log_end(x, 0, reason);
	jh_server_request_abort(x->conn_request);
	exchange_free(x);
}
