#include <jansson.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "gateway/exchange.h"
#include "gateway/quota.h"

/* Retry delay for clients of a stopping process; others serve them at once. */
#define STOPPING_RETRY_SECONDS 0.05

/* Retry delay for clients while there is no configuration or no service. */
#define NOT_READY_RETRY_SECONDS 0.5

static void
on_client_left(void *arg)
{
	struct exchange *x = arg;

	x->conn_request = NULL;
	jh_metrics_add(x->gateway->metrics, "jh_clients_left", 1);
	jh_json_log(x->gateway->log, "client_left", "s:s#, s:I, s:b, s:i",
	    "request", x->request.id.ptr != NULL ? x->request.id.ptr : "",
	    (int)x->request.id.len, "after_us",
	    (json_int_t)(jh_now() - x->arrived), "answer_begun",
	    (int)x->response_begun, "attempts", (int)x->attempts.sent);
	exchange_cancel_attempt(x);
	exchange_free(x);
}

static void
on_drained(void *arg)
{
	exchange_drained(arg);
}

/* Why a request is not forwarded. */
struct refusal {
	unsigned int status;
	const char *text; /* of the status */
	const char *why;
	double retry_seconds; /* the client may retry it after that; 0: none */
};

/* Counts and logs the refusal, and appends the header lines of its response. */
static void
write_refusal(struct jh_gateway *gw, const struct jh_client_request *request,
    const struct refusal *r, GString *fields)
{
	char name[64];

	g_snprintf(name, sizeof(name), "jh_answers{status=\"%u\"}", r->status);
	jh_metrics_add(gw->metrics, name, 1);
	jh_json_log(gw->log, "refused", "s:s#, s:i, s:s, s:I", "request",
	    request->id.ptr != NULL ? request->id.ptr : "",
	    (int)request->id.len, "status", (int)r->status, "reason", r->why,
	    "config",
	    (json_int_t)(gw->routes != NULL ? jh_route_table_version(gw->routes)
					    : 0));
	gw->codec->write_error_fields(fields, request);
	if (r->retry_seconds > 0)
		g_string_append_printf(
		    fields, "Retry-After: %.2f\r\n", r->retry_seconds);
}

/* Responds to a request for which no exchange is started. */
static void
send_error(struct jh_gateway *gw, struct jh_server_request *v,
    const struct jh_client_request *request, const struct refusal *r)
{
	GString *fields = g_string_new(NULL);

	write_refusal(gw, request, r, fields);
	jh_server_request_respond(v, r->status, r->text,
	    (struct jh_str){fields->str, fields->len}, JH_STR(""));
	g_string_free(fields, TRUE);
}

/* Gives the final response at once. */
static void
end_unanswered(struct exchange *x, const char *reason, double retry_seconds)
{
	bool ran = x->attempts.may_have_run ||
		   (x->call != NULL && jh_call_was_sent(x->call));

	exchange_cancel_attempt(x);
	if (x->response_begun)
		exchange_break_stream(x, reason);
	else if (ran)
		exchange_fail(x, 504, reason);
	else
		exchange_refuse(x, reason, retry_seconds);
}

static void
on_deadline(uv_timer_t *t)
{
	struct exchange *x = t->data;

	/* After a pause of the loop, a response that is ready is read first. */
	if (!x->overdue || x->polls == jh_uv_client_polls(x->gateway->client)) {
		x->overdue = true;
		x->polls = jh_uv_client_polls(x->gateway->client);
		uv_timer_start(t, on_deadline, JH_CALL_OVERDUE_READ_MSEC, 0);
		return;
	}
	end_unanswered(x, "deadline", 0);
}

static void
on_server_stops(void *arg)
{
	end_unanswered(arg, "the process stops", STOPPING_RETRY_SECONDS);
}

static void
on_evicted(void *arg)
{
	exchange_evict(arg);
}

static size_t
on_unread(void *arg)
{
	const struct exchange *x = arg;

	return x->paused && x->call != NULL ? jh_call_unread(x->call) : 0;
}

static const struct jh_server_request_ops conn_request_ops = {
    .disconnected = on_client_left,
    .drained = on_drained,
    .stopping = on_server_stops,
    .evicted = on_evicted,
    .unread = on_unread,
};

/* Whether requests are placed by load and speed. */
static bool
has_overload_control(const struct jh_gateway *gw)
{
	return gw->overload_placement || jh_quota_ledger_count(gw->quotas) > 0;
}

/* Fills in what the choice of a worker depends on, but for prefix keys. */
static void
set_choose_request(struct exchange *x)
{
	const struct jh_client_request *request = &x->request;
	size_t i;

	x->choose.service = x->service_name;
	x->choose.rate_limits = x->gateway->rate_limits;
	x->choose.is_engine = x->service != NULL && x->service->is_engine;
	x->choose.own_tokens = request->prompt_tokens;
	x->choose.output_tokens = request->output_tokens;
	if (!x->choose.is_engine)
		return;
	x->choose.model = x->model;
	x->choose.overload = has_overload_control(x->gateway);
	x->choose.rank = exchange_effective_rank(x);
	x->choose.cache_tokens = x->service->cache_tokens;
	x->choose.token_bytes = x->service->token_bytes;
	x->prefix_store = jh_route_table_cache_store(x->routes);
	if (x->prefix_store != NULL)
		x->choose.prefix_store = XXH3_64bits(
		    x->prefix_store->name, strlen(x->prefix_store->name));
	if (request->n_parts == 0)
		return;
	for (i = 0; i + 1 < request->n_parts; i++)
		x->choose.prefix[i].tokens = request->part[i].tokens;
	x->choose.n_prefixes = request->n_parts - 1;
	x->choose.own_tokens = request->part[request->n_parts - 1].tokens;
}

/*
 * Whether the process may have stopped before the request has its response. How
 * long a worker takes is not known: requests that others can serve in time are
 * not worth the risk.
 */
static bool
may_outlast_process(const struct exchange *x, uint64_t now)
{
	return x->gateway->stop_at != 0 && now >= x->gateway->refuse_from &&
	       x->attempts.deadline > x->gateway->stop_at;
}

static void
start_exchange(struct jh_gateway *gw, struct jh_server_request *v,
    const struct jh_client_request *request, const struct jh_route *route,
    const struct jh_route_org *org, const char *service, double quota_cost)
{
	struct exchange *x = g_new0(struct exchange, 1);
	uint64_t time_limit = route->timeout;
	uint64_t now = jh_now();

	x->gateway = gw;
	x->conn_request = v;
	x->request = *request;
	x->routes = jh_route_table_ref(gw->routes);
	x->route = route;
	x->org = org;
	x->quota_cost = quota_cost;
	x->service_name = service;
	x->service = jh_route_table_find_service(gw->routes, service);
	x->model = jh_str_dup(request->model);
	x->arrived = jh_server_request_started(v);
	x->account = jh_server_request_account(v);
	x->fields = g_string_new(NULL);
	x->has_last_event = request->resumes;
	x->last_event = request->resume_after;
	if (request->has_time_limit)
		time_limit = MIN(time_limit, request->time_limit);
	jh_attempts_init(&x->attempts, jh_route_repeatable(route),
	    route->max_runs, x->arrived + time_limit);
	set_choose_request(x);
	exchange_set_suspect_parts(x);
	uv_timer_init(gw->loop, &x->deadline_timer);
	uv_timer_init(gw->loop, &x->silence_timer);
	x->deadline_timer.data = x;
	x->silence_timer.data = x;
	x->open_handles = 2;
	uv_update_time(gw->loop);
	uv_timer_start(&x->deadline_timer, on_deadline,
	    x->attempts.deadline <= now
		? 0
		: (x->attempts.deadline - now) / JH_USEC_PER_MSEC,
	    0);
	jh_server_request_set_ops(v, &conn_request_ops, x);
	if (may_outlast_process(x, now)) {
		exchange_refuse(
		    x, "the process is stopping", STOPPING_RETRY_SECONDS);
		return;
	}
	if (x->attempts.deadline <= now) {
		exchange_refuse(x,
		    "the deadline passed before the request "
		    "was read",
		    0);
		return;
	}
	jh_retry_budget_add_request(gw->retry_budget, now, service);
	exchange_start_attempt(x);
}

/*
 * Finds the route and the organisation of a request, by its head alone. Returns
 * false and sets *out if it is refused.
 */
static bool
find_route(const struct jh_gateway *gw, const struct jh_client_request *request,
    const struct jh_route **route, const struct jh_route_org **org,
    struct refusal *out)
{
	if (gw->routes == NULL) {
		*out = (struct refusal){503, "Service Unavailable",
		    "no configuration is known", NOT_READY_RETRY_SECONDS};
		return false;
	}
	*route =
	    jh_route_table_find_route(gw->routes, request->host, request->path);
	if (*route == NULL) {
		*out =
		    (struct refusal){404, "Not Found", "no route matches", 0};
		return false;
	}
	if (!jh_route_table_has_orgs(gw->routes) || (*route)->anonymous)
		return true;
	*org = jh_route_table_find_key(gw->routes, request->key);
	if (*org != NULL)
		return true;
	*out = (struct refusal){
	    401, "Unauthorized", "the API key is not known", 0};
	return false;
}

void
jh_gateway_check_head(
    void *arg, const struct jh_head *head, struct jh_server_rejection *out)
{
	struct jh_gateway *gw = arg;
	const struct jh_route_org *org = NULL;
	const struct jh_route *route;
	const char *reason = NULL;
	struct jh_client_request request;
	struct refusal r;

	if (gw->codec->read_client_request(head, &request, &reason)) {
		if (find_route(gw, &request, &route, &org, &r))
			return;
	} else {
		r = (struct refusal){400, "Bad Request", reason, 0};
	}
	jh_metrics_add(gw->metrics, "jh_requests", 1);
	write_refusal(gw, &request, &r, out->fields);
	out->status = r.status;
	out->reason = r.text;
}

/* Whether the request may be forwarded; if not, sets *out. */
static bool
check_request(struct jh_gateway *gw, const struct jh_client_request *request,
    const struct jh_route *route, const char *service, struct refusal *out)
{
	/* The stream would begin again at its first event. */
	if (route->kind == JH_ROUTE_STREAM && request->invalid_last_event) {
		*out = (struct refusal){400, "Bad Request",
		    "the last event id is not a number of 64 bits", 0};
		return false;
	}
	if (service == NULL) {
		*out = (struct refusal){503, "Service Unavailable",
		    "the route has no service", NOT_READY_RETRY_SECONDS};
		return false;
	}
	return true;
}

void
jh_gateway_request(void *arg, struct jh_server_request *v)
{
	struct jh_gateway *gw = arg;
	const struct jh_head *head = jh_server_request_head(v);
	const struct jh_route_org *org = NULL;
	const struct jh_route *route;
	const char *reason = NULL, *service;
	struct jh_client_request request;
	struct refusal r;
	uint64_t wait;
	double cost;

	jh_metrics_add(gw->metrics, "jh_requests", 1);
	if (!gw->codec->read_client_request(head, &request, &reason)) {
		r = (struct refusal){400, "Bad Request", reason, 0};
		send_error(gw, v, &request, &r);
		return;
	}
	if (!find_route(gw, &request, &route, &org, &r)) {
		send_error(gw, v, &request, &r);
		return;
	}
	service = jh_route_pick_service(
	    route, XXH3_64bits(request.id.ptr, request.id.len));
	if (!check_request(gw, &request, route, service, &r)) {
		send_error(gw, v, &request, &r);
		return;
	}
	wait = jh_gateway_admit_quota(gw, org, route, &request, &cost);
	if (wait != 0) {
		/* Rounded up, so that a client does not return too early. */
		r = (struct refusal){429, "Too Many Requests",
		    "the organisation's quota is used up",
		    (double)wait / JH_USEC_PER_SEC + 0.005};
		send_error(gw, v, &request, &r);
		return;
	}
	start_exchange(gw, v, &request, route, org, service, cost);
}

void
jh_gateway_closing(void *arg, const struct jh_server_closing *c)
{
	struct jh_gateway *gw = arg;
	char name[64];

	g_snprintf(name, sizeof(name), "jh_connections_closed{reason=\"%s\"}",
	    c->reason);
	jh_metrics_add(gw->metrics, name, 1);
	/* Connections without a request are closed all the time. */
	if (c->unread == 0 && (strcmp(c->reason, "idle") == 0 ||
				  strcmp(c->reason, "stopping") == 0 ||
				  strcmp(c->reason, "silent") == 0))
		return;
	jh_json_log(gw->log, "connection_closed", "s:s, s:I, s:I", "reason",
	    c->reason, "idle_us", (json_int_t)c->idle_usec, "unread",
	    (json_int_t)c->unread);
}
