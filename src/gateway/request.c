#include <jansson.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "gateway/exchange.h"

/*
 * Time for one token of an answer at a worker that reads prompts beside it,
 * and for an answer that is no stream.
 */
#define TOKEN_USEC (45 * JH_USEC_PER_MSEC)
#define PLAIN_USEC (400 * JH_USEC_PER_MSEC)

/* A client that is refused by a stopping process finds another at once. */
#define STOPPING_SECONDS 0.05

/* Clients come back after this long when no configuration is known yet. */
#define NOT_READY_SECONDS 0.5

static void
on_gone(void *arg)
{
	struct exchange *x = arg;

	x->visit = NULL;
	jh_metrics_add(x->gw->metrics, "jh_clients_left", 1);
	jh_trace(x->gw->trace, "client_left", "s:s#, s:I, s:b, s:i", "request",
	    x->ask.id.ptr != NULL ? x->ask.id.ptr : "", (int)x->ask.id.len,
	    "after_us", (json_int_t)(jh_now() - x->arrived), "answer_begun",
	    (int)x->begun, "attempts", (int)x->attempts.sent);
	exchange_cancel_attempt(x);
	exchange_free(x);
}

static void
on_drained(void *arg)
{
	exchange_drained(arg);
}

static const struct jh_visit_ops visit_ops = {on_gone, on_drained};

/* The gateway's own answer to a request that no exchange was made for. */
static void
answer(struct jh_gateway *gw, struct jh_visit *v, const struct jh_ask *ask,
    unsigned int status, const char *text, const char *why)
{
	GString *fields = g_string_new(NULL);
	char name[64];

	g_snprintf(name, sizeof(name), "jh_answers{status=\"%u\"}", status);
	jh_metrics_add(gw->metrics, name, 1);
	jh_trace(gw->trace, "refused", "s:s#, s:i, s:s, s:I", "request",
	    ask->id.ptr != NULL ? ask->id.ptr : "", (int)ask->id.len, "status",
	    (int)status, "reason", why, "config",
	    (json_int_t)(gw->table != NULL ? jh_table_version(gw->table) : 0));
	gw->dialect->write_refusal(fields, ask);
	if (status == 503)
		g_string_append_printf(
		    fields, "Retry-After: %.2f\r\n", NOT_READY_SECONDS);
	jh_visit_answer(v, status, text,
	    (struct jh_str){fields->str, fields->len}, JH_STR(""));
	g_string_free(fields, TRUE);
}

static void
on_deadline(uv_timer_t *t)
{
	struct exchange *x = t->data;
	bool ran = x->attempts.may_have_run ||
		   (x->call != NULL && jh_call_was_sent(x->call));

	exchange_cancel_attempt(x);
	if (x->begun)
		exchange_break_stream(x, "deadline");
	else if (ran)
		exchange_fail(x, 504, "deadline");
	else
		exchange_refuse(x, "deadline", 0);
}

/* What the request shares with others decides where it is placed. */
static void
read_parts(struct exchange *x)
{
	const struct jh_ask *ask = &x->ask;
	bool isolated = x->tenant != NULL && x->tenant->isolated;
	uint64_t wall =
	    isolated ? XXH3_64bits(x->tenant->name, strlen(x->tenant->name))
		     : 0;
	size_t i;

	x->choose.service = x->service_name;
	x->choose.is_engine = x->service != NULL && x->service->is_engine;
	x->choose.own_tokens = ask->prompt_tokens;
	x->choose.answer_tokens = ask->answer_tokens;
	if (!x->choose.is_engine)
		return;
	x->choose.model = x->model;
	x->choose.cache_tokens = x->service->cache_tokens;
	x->store = jh_table_cache_store(x->table);
	if (x->store != NULL)
		x->choose.store =
		    XXH3_64bits(x->store->name, strlen(x->store->name));
	if (ask->n_parts == 0)
		return;
	for (i = 0; i + 1 < ask->n_parts; i++) {
		x->choose.level[i].key = ask->part[i].hash ^ wall;
		x->choose.level[i].tokens = ask->part[i].tokens;
	}
	x->choose.n_levels = ask->n_parts - 1;
	x->choose.own_tokens = ask->part[ask->n_parts - 1].tokens;
}

/* Whether the process is about to stop and could not finish the request. */
static bool
is_too_late(const struct exchange *x, uint64_t now)
{
	uint64_t time = PLAIN_USEC;

	if (x->gw->ends_at == 0 || now < x->gw->refuse_from)
		return false;
	if (x->route->kind == JH_ROUTE_STREAM)
		time += x->ask.answer_tokens * TOKEN_USEC;
	return now + time > x->gw->ends_at;
}

static void
start(struct jh_gateway *gw, struct jh_visit *v, const struct jh_ask *ask,
    const struct jh_route *route, const struct jh_tenant *tenant,
    const char *service)
{
	struct exchange *x = g_new0(struct exchange, 1);
	uint64_t wait = route->timeout;
	uint64_t now = jh_now();

	x->gw = gw;
	x->visit = v;
	x->ask = *ask;
	x->table = jh_table_ref(gw->table);
	x->route = route;
	x->tenant = tenant;
	x->service_name = service;
	x->service = jh_table_find_service(gw->table, service);
	x->model = jh_str_dup(ask->model);
	x->arrived = jh_visit_begun(v);
	x->fields = g_string_new(NULL);
	x->body = g_byte_array_new();
	x->has_last_event = ask->resumes;
	x->last_event = ask->resume_after;
	if (ask->has_wait)
		wait = MIN(wait, ask->wait);
	jh_attempts_init(&x->attempts, jh_route_repeatable(route),
	    route->attempts, x->arrived + wait);
	read_parts(x);
	uv_timer_init(gw->loop, &x->timer);
	uv_timer_init(gw->loop, &x->patience);
	x->timer.data = x;
	x->patience.data = x;
	x->handles = 2;
	uv_update_time(gw->loop);
	uv_timer_start(&x->timer, on_deadline,
	    x->attempts.deadline <= now
		? 0
		: (x->attempts.deadline - now) / JH_USEC_PER_MSEC,
	    0);
	jh_visit_watch(v, &visit_ops, x);
	if (is_too_late(x, now)) {
		exchange_refuse(x, "the process stops", STOPPING_SECONDS);
		return;
	}
	jh_budget_request(gw->budget, now, service);
	exchange_try(x);
}

void
jh_gateway_request(void *arg, struct jh_visit *v)
{
	struct jh_gateway *gw = arg;
	const struct jh_head *head = jh_visit_head(v);
	const struct jh_tenant *tenant = NULL;
	const struct jh_route *route;
	const char *reason = NULL, *service;
	struct jh_ask ask;

	jh_metrics_add(gw->metrics, "jh_requests", 1);
	if (!gw->dialect->read_ask(head, &ask, &reason)) {
		answer(gw, v, &ask, 400, "Bad Request", reason);
		return;
	}
	if (gw->table == NULL) {
		answer(gw, v, &ask, 503, "Service Unavailable",
		    "no configuration is known");
		return;
	}
	route = jh_table_find_route(gw->table, ask.host, ask.path);
	if (route == NULL) {
		answer(gw, v, &ask, 404, "Not Found", "no route matches");
		return;
	}
	if (jh_table_has_tenants(gw->table) && !route->anonymous) {
		tenant = jh_table_find_key(gw->table, ask.key);
		if (tenant == NULL) {
			answer(gw, v, &ask, 401, "Unauthorized",
			    "the key is not known");
			return;
		}
	}
	service =
	    jh_route_pick_service(route, XXH3_64bits(ask.id.ptr, ask.id.len));
	if (service == NULL) {
		answer(gw, v, &ask, 503, "Service Unavailable",
		    "the route has no service");
		return;
	}
	start(gw, v, &ask, route, tenant, service);
}
