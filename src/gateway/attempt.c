#include <jansson.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "gateway/exchange.h"
#include "route/admit.h"
#include "route/overload.h"

/*
 * Longest body that is copied behind the head, to be sent with it. Copies of
 * longer ones take more memory than a second write costs.
 */
#define MAX_COPIED_BYTES ((size_t)4096)

/* A request whose connection is not open by then counts as not sent. */
#define CONNECT_TIMEOUT_USEC (400 * JH_USEC_PER_MSEC)

/*
 * Idle time after which a kept connection is not used again. The peer may close
 * such a connection while a request is being sent, and a request that may run
 * only once then fails; those use only connections that served a moment ago.
 */
#define MAX_IDLE_USEC (10 * JH_USEC_PER_SEC)
#define MAX_IDLE_ONCE_USEC (1 * JH_USEC_PER_SEC)

/*
 * A worker with a shorter queue counts as free. Computing prefixes again at a
 * worker that is not free would only move the queue there.
 */
#define FREE_WAIT_USEC (60 * JH_USEC_PER_MSEC)

struct jh_worker *
exchange_worker(struct exchange *x)
{
	return x->worker_id != NULL
		   ? jh_fleet_find(x->gateway->fleet, x->worker_id)
		   : NULL;
}

unsigned int
exchange_effective_rank(const struct exchange *x)
{
	if (x->org != NULL && x->org->has_rank)
		return x->org->rank;
	return x->route->rank;
}

void
exchange_release_prefill(struct exchange *x)
{
	struct jh_worker *w = exchange_worker(x);

	if (w != NULL)
		jh_worker_release_prefill(w, &x->load);
}

void
exchange_release_load(struct exchange *x)
{
	struct jh_worker *w = exchange_worker(x);

	if (w != NULL)
		jh_worker_release_load(w, &x->load);
	x->load = (struct jh_worker_load){0};
	g_free(x->worker_id);
	x->worker_id = NULL;
}

static bool
is_urgent(const struct exchange *x)
{
	return x->choose.overload && x->choose.rank == JH_OVERLOAD_URGENT_RANK;
}

static void
add_load(
    struct exchange *x, struct jh_worker *w, const struct jh_choice *choice)
{
	x->worker_id = g_strdup(w->id);
	x->worker_hash = w->hash;
	x->worker_started_ms = w->started_ms;
	x->worker_address = w->address;
	x->load.prefill = (uint64_t)x->choose.own_tokens + choice->uncached -
			  choice->from_stores;
	x->load.urgent = is_urgent(x) ? x->load.prefill : 0;
	x->load.held = jh_choose_held_tokens(&x->choose);
	jh_worker_add_load(w, &x->load);
}

void
exchange_cancel_attempt(struct exchange *x)
{
	if (x->call != NULL) {
		jh_call_cancel(x->call);
		x->call = NULL;
	}
	uv_timer_stop(&x->silence_timer);
	exchange_release_load(x);
}

/* Whether the attempt goes on although its response is late. */
static bool
keeps_waiting(struct exchange *x, const struct jh_worker *w)
{
	struct jh_gateway *gw = x->gateway;
	struct jh_silence s = {.quiet_since = x->quiet_since,
	    .checks = ++x->silence_checks,
	    .may_retry = jh_retry_budget_allows(
		gw->retry_budget, jh_now(), x->service_name, gw->processes)};

	if (w != NULL)
		s.worker_responded_at =
		    MAX(w->responded_at, w->others_responded_at);
	return !jh_silence_aborts(&s);
}

static void
on_silence_timeout(uv_timer_t *t)
{
	struct exchange *x = t->data;
	struct jh_worker *w = exchange_worker(x);
	uint64_t polls = jh_uv_client_polls(x->gateway->client);

	/*
	 * After a pause of the loop, responses of the worker to this request
	 * and others may be unread.
	 */
	if (!x->silence_due || x->silence_polls == polls) {
		x->silence_due = true;
		x->silence_polls = polls;
		uv_timer_start(t, t->timer_cb, JH_CALL_OVERDUE_READ_MSEC, 0);
		return;
	}
	x->silence_due = false;
	/* Reading stops for a slow client. */
	if ((x->call != NULL && jh_call_has_unread(x->call)) ||
	    keeps_waiting(x, w)) {
		uv_timer_start(t, t->timer_cb,
		    JH_SILENCE_CHECK_USEC / JH_USEC_PER_MSEC, 0);
		return;
	}
	jh_json_log(x->gateway->log, "worker_silent", "s:s#, s:s?, s:I, s:I",
	    "request", x->request.id.ptr, (int)x->request.id.len, "worker",
	    x->worker_id, "waited_us", (json_int_t)(jh_now() - x->sent_at),
	    "expected_us", (json_int_t)x->expected_ttft);
	if (w != NULL)
		jh_worker_attempt_failed(w, jh_now());
	x->silence_timed_out = true;
	if (x->call != NULL) {
		jh_call_cancel(x->call);
		x->call = NULL;
	}
	exchange_call_ops.end(x, JH_CALL_TIMED_OUT);
}

/*
 * By the configuration in force, as it may be newer than the request. Of an
 * organisation that was removed nothing more is known: it counts as isolated.
 */
static struct jh_cache_scope
cache_scope(const struct exchange *x)
{
	const struct jh_route_table *t = x->gateway->routes;
	const struct jh_route_org *org = x->org;

	if (org != NULL && t != x->routes) {
		org = jh_route_table_find_org(t, x->org->name);
		if (org == NULL)
			return (struct jh_cache_scope){
			    x->org->name, x->org->hash};
	}
	return jh_route_table_cache_scope(t, org);
}

static void
set_prefix_keys(struct exchange *x)
{
	uint64_t scope = cache_scope(x).hash;
	size_t i;

	for (i = 0; i < x->choose.n_prefixes; i++)
		x->choose.prefix[i].key = x->request.part[i].hash ^ scope;
}

static void
choose_worker(struct exchange *x, uint64_t now, struct jh_choice *out)
{
	struct jh_choose_request *r = &x->choose;

	r->n_excluded = x->n_excluded;
	memcpy(r->excluded, x->excluded, sizeof(r->excluded));
	if (r->is_engine) {
		r->n_versions = jh_weights_history(
		    x->gateway->weights, x->model, r->versions);
		jh_weights_change_clock(
		    r->versions, r->n_versions, jh_boot_now(), now);
	}
	jh_choose(x->gateway->chooser, x->gateway->fleet, now, r, out);
}

/* Cache salt: the weights and the scope of the prefixes. */
static char *
make_salt(const struct exchange *x, const struct jh_worker *w)
{
	struct jh_cache_scope scope = cache_scope(x);
	uint64_t weights = jh_worker_weights(w, x->model);

	if (scope.org != NULL)
		return g_strdup_printf("%s/%" G_GUINT64_FORMAT "/%s", x->model,
		    weights, scope.org);
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT ":%016" G_GINT64_MODIFIER
			       "x",
	    x->model, weights, scope.hash);
}

/* The request, but for a long body, which is sent from where it is held. */
static GString *
build_request(struct exchange *x, const struct jh_worker *w,
    const struct jh_choice *choice, uint64_t now)
{
	struct jh_str body = jh_server_request_body(x->conn_request);
	GString *message = g_string_sized_new(1024);
	struct jh_worker_request request = {
	    .worker = w->id,
	    .time_limit = x->attempts.deadline - now,
	    .org = x->org != NULL ? x->org->name : NULL,
	    .resumes = x->has_last_event,
	    .resume_after = x->last_event,
	};
	char *salt = NULL;

	if (x->service != NULL && x->service->is_engine) {
		salt = make_salt(x, w);
		request.salt = salt;
		request.weights = jh_worker_weights(w, x->model);
		request.has_urgency = true;
		request.urgency = MIN(exchange_effective_rank(x), 9);
		if (choice->source != NULL)
			request.source = &choice->source->address;
		else if (choice->from_store)
			request.source = &x->prefix_store->cache_store;
		else if (choice->stores.fetch != NULL)
			request.source = &choice->stores.fetch->address;
		if (choice->save)
			request.save = &x->prefix_store->cache_store;
		else if (choice->stores.save != NULL)
			request.save = &choice->stores.save->address;
	}
	x->gateway->codec->write_worker_request(message,
	    jh_server_request_head(x->conn_request), &request, body.len);
	if (body.len <= MAX_COPIED_BYTES)
		g_string_append_len(message, body.ptr, (gssize)body.len);
	g_free(salt);
	return message;
}

void
exchange_give_up(struct exchange *x, const char *reason, double seconds)
{
	if (x->response_begun)
		exchange_break_stream(x, reason);
	else if (jh_attempts_give_up(&x->attempts) == JH_NEXT_FAIL)
		exchange_fail(x, 502, reason);
	else
		exchange_refuse(x, reason, seconds);
}

static void
start_silence_timer(struct exchange *x, uint64_t now)
{
	uint64_t timeout = x->expected_ttft + JH_SILENCE_CHECK_USEC;

	if (!x->attempts.repeatable ||
	    x->attempts.sent - x->attempts.not_run >= x->attempts.max_runs)
		return;
	if (x->attempts.deadline < now + timeout + JH_SILENCE_CHECK_USEC / 2)
		return;
	x->quiet_since = now;
	x->silence_checks = 0;
	x->silence_due = false;
	uv_update_time(x->gateway->loop);
	uv_timer_start(&x->silence_timer, on_silence_timeout,
	    timeout / JH_USEC_PER_MSEC, 0);
}

/* Name of the worker or store that the prefix is fetched from, or NULL. */
static const char *
prefix_source(const struct exchange *x, const struct jh_choice *choice)
{
	if (choice->source != NULL)
		return choice->source->id;
	if (choice->stores.fetch != NULL)
		return choice->stores.fetch->name;
	return choice->from_store ? x->prefix_store->name : NULL;
}

static void
send_request(struct exchange *x, const struct jh_choice *choice, uint64_t now)
{
	struct jh_worker *w = choice->worker;
	const struct jh_worker_model *model = jh_worker_find_model(w, x->model);
	struct jh_call_spec spec = {
	    .peer = w->address,
	    .connect_deadline =
		MIN(now + CONNECT_TIMEOUT_USEC, x->attempts.deadline),
	    .send_deadline = x->attempts.deadline,
	    .deadline = JH_NEVER,
	    .max_idle_usec =
		x->attempts.repeatable ? MAX_IDLE_USEC : MAX_IDLE_ONCE_USEC,
	    .account = x->account,
	    .ops = &exchange_call_ops,
	    .arg = x,
	};

	/* A late copy of a response has the id of the one that is due. */
	if (x->may_return)
		spec.max_idle_usec = 0;
	spec.message = build_request(x, w, choice, now);
	spec.rest = jh_server_request_body(x->conn_request);
	if (spec.rest.len <= MAX_COPIED_BYTES)
		spec.rest = JH_STR("");
	add_load(x, w, choice);
	jh_worker_sent(w, now);
	x->sent_at = now;
	x->expected_ttft = choice->expected_ttft;
	x->idle_ttft = choice->idle_ttft;
	x->nominal_ttft = choice->nominal_ttft;
	x->requested_weights = jh_worker_weights(w, x->model);
	x->other_instance = x->silence_timed_out = x->malformed = x->streaming =
	    false;
	x->status = 0;
	x->attempt_events = 0;
	memset(&x->response, 0, sizeof(x->response));
	g_string_truncate(x->fields, 0);
	exchange_release_body(x);
	if (x->events != NULL)
		jh_sse_parser_reset(x->events);
	jh_attempts_sent(&x->attempts);
	exchange_count_prefix(x, choice);
	jh_chooser_sent(x->gateway->chooser, now, &x->choose, choice);
	jh_rate_limits_sent(x->gateway->rate_limits, now, w->hash);
	jh_json_log(x->gateway->log, "sent",
	    "s:s#, s:s, s:s, s:I, s:I, s:I, s:i, s:s?, s:I, s:I, s:I, s:i, "
	    "s:I, s:I, s:i, s:f",
	    "request", x->request.id.ptr, (int)x->request.id.len, "route",
	    x->route->name, "worker", w->id, "weights",
	    (json_int_t)x->requested_weights, "weights_age_us",
	    model != NULL ? (json_int_t)(now - model->confirmed) : 0,
	    "expected_us", (json_int_t)choice->expected_ttft, "attempt",
	    (int)x->attempts.sent, "source", prefix_source(x, choice), "config",
	    (json_int_t)jh_route_table_version(x->routes), "waited_us",
	    (json_int_t)(now - x->arrived), "shared",
	    (json_int_t)(x->choose.n_prefixes > 0
			     ? x->choose.prefix[x->choose.n_prefixes - 1].key >>
				   1
			     : 0),
	    "uncached", (int)choice->uncached, "backlog",
	    (json_int_t)(w->prefill_tokens + w->others_prefill), "held",
	    (json_int_t)(w->held_tokens + w->others_held), "running",
	    (int)(w->running + w->others_running), "rate_limit",
	    jh_rate_limits_limit(x->gateway->rate_limits, w->hash));
	x->call = jh_call_start(x->gateway->client, &spec);
	start_silence_timer(x, now);
}

static struct jh_admit_request
admit_request(
    const struct exchange *x, const struct jh_choice *choice, uint64_t now)
{
	return (struct jh_admit_request){
	    .expected_ttft = choice->expected_ttft,
	    .queue_wait = choice->expected_ttft - choice->idle_ttft,
	    .target = x->route->target,
	    .time_left = x->attempts.deadline - MIN(now, x->attempts.deadline),
	    .hash = XXH3_64bits(x->request.id.ptr, x->request.id.len),
	};
}

static void
log_turned_away(
    struct exchange *x, const struct jh_choice *choice, double seconds)
{
	jh_metrics_add(x->gateway->metrics, "jh_turned_away", 1);
	jh_json_log(x->gateway->log, "turned_away",
	    "s:s#, s:s, s:s, s:I, s:I, s:f", "request", x->request.id.ptr,
	    (int)x->request.id.len, "route", x->route->name, "worker",
	    choice->worker->id, "expected_us",
	    (json_int_t)choice->expected_ttft, "wait_us",
	    (json_int_t)(choice->expected_ttft - choice->idle_ttft),
	    "retry_after_s", seconds);
}

/*
 * Admission without overload control. Returns false if the request is refused.
 */
static bool
admit(struct exchange *x, uint64_t now, struct jh_choice *choice)
{
	struct jh_admit_request r = admit_request(x, choice, now);
	struct jh_admit_decision decision;

	jh_admit(&r, &decision);
	if (decision.admitted)
		return true;
	/* Another worker may be free, though it has to compute more. */
	x->choose.minimise_ttft = true;
	choose_worker(x, now, choice);
	if (choice->expected_ttft - choice->idle_ttft <= FREE_WAIT_USEC)
		return true;
	log_turned_away(x, choice, decision.retry_seconds);
	exchange_refuse(x, "the workers are busy", decision.retry_seconds);
	return false;
}

static void
log_overload(
    const struct exchange *x, const struct jh_overload_request *r, uint64_t now)
{
	struct jh_gateway *gw = x->gateway;
	char name[64];

	g_snprintf(name, sizeof(name), "jh_overload_refused{rank=\"%u\"}",
	    MIN(r->rank, 9));
	jh_metrics_add(gw->metrics, name, 1);
	jh_json_log(gw->log, "overload", "s:s#, s:i, s:f, s:I, s:I, s:b",
	    "request", x->request.id.ptr, (int)x->request.id.len, "rank",
	    (int)r->rank, "pressure",
	    jh_overload_pressure(gw->overload, now, r->service), "target_us",
	    (json_int_t)r->admit.target, "time_left_us",
	    (json_int_t)r->admit.time_left, "by_time", (int)r->by_time);
}

/*
 * By rank, deadline and work only where the setting asks for it: on the days of
 * the first deployment with quotas it refused more urgent requests than the
 * expected wait alone, and served fewer of them in time.
 */
static bool
uses_overload_refusals(const struct exchange *x)
{
	return x->choose.overload && x->gateway->overload_refusals;
}

/* The same with overload control; see route/overload.h. */
static bool
admit_under_overload(struct exchange *x, uint64_t now, struct jh_choice *choice)
{
	struct jh_overload_request r = {
	    .service = XXH3_64bits(x->service_name, strlen(x->service_name)),
	    .rank = x->choose.rank,
	    .admit = admit_request(x, choice, now),
	};
	double seconds;

	if (jh_overload_admit(x->gateway->overload, now, x->gateway->chooser,
		x->gateway->fleet, &x->choose, choice, &r, &seconds))
		return true;
	log_overload(x, &r, now);
	log_turned_away(x, choice, seconds);
	exchange_refuse(x, "the workers are overloaded", seconds);
	return false;
}

void
exchange_start_attempt(struct exchange *x)
{
	uint64_t now = jh_now();
	struct jh_choice choice;

	if (exchange_refuse_quarantined(x))
		return;
	set_prefix_keys(x);
	choose_worker(x, now, &choice);
	if (choice.worker == NULL && choice.room_at != 0) {
		exchange_refuse_limited(x, now, choice.room_at);
		return;
	}
	if (choice.worker == NULL) {
		exchange_give_up(x,
		    choice.any_worker ? "no worker can take the request now"
				      : "no worker is known",
		    EXCHANGE_NO_WORKER_SECONDS);
		return;
	}
	if (x->attempts.sent == 0 && x->choose.is_engine &&
	    !(uses_overload_refusals(x) ? admit_under_overload(x, now, &choice)
					: admit(x, now, &choice)))
		return;
	send_request(x, &choice, now);
}
