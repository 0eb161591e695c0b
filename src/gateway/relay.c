#include <jansson.h>
#include <sodium.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "gateway/exchange.h"

/* Reading from the worker stops while this much waits for the client. */
#define MAX_QUEUED_BYTES (256 * 1024)

/* A worker refuses requests for about this long before it loads weights. */
#define LOADING_USEC (300 * JH_USEC_PER_MSEC)

/* A full worker gets no requests for this long. */
#define FULL_BACKOFF_USEC (100 * JH_USEC_PER_MSEC)

/*
 * An attempt of a resumable stream is aborted when no event arrives within this
 * many times the route's longest event gap.
 */
#define SILENCE_TIMEOUT_GAPS 3

/* Weight of one request in the moving average of a worker's excess TTFT. */
#define TTFT_EXCESS_WEIGHT 0.4

/* Whether the response is not from the worker that the request was sent to. */
static bool
is_other_instance(const struct exchange *x)
{
	const struct jh_str *id = &x->response.instance;

	if (id->len == 0 || x->worker_id == NULL ||
	    jh_str_eq(*id, jh_str_from(x->worker_id)))
		return false;
	jh_json_log(x->gateway->log, "worker_replaced", "s:s, s:s#", "worker",
	    x->worker_id, "instance", id->ptr, (int)id->len);
	return true;
}

static void
note_responded(struct exchange *x)
{
	struct jh_worker *w = exchange_worker(x);

	if (w != NULL)
		w->responded_at = jh_now();
}

static bool
on_head(void *arg, const struct jh_head *head)
{
	struct exchange *x = arg;

	memset(&x->response, 0, sizeof(x->response));
	x->gateway->codec->read_worker_response(
	    head, &x->request, &x->response);
	if (x->response.stray) {
		jh_metrics_add(x->gateway->metrics, "jh_stray_answers", 1);
		jh_json_log(x->gateway->log, "stray_answer", "s:s#, s:s?",
		    "request", x->request.id.ptr, (int)x->request.id.len,
		    "worker", x->worker_id);
		return false;
	}
	/* A late copy could not be told from the next response there. */
	if (x->response.unidentified)
		jh_call_forbid_reuse(x->call);
	if (head->status == 200) {
		note_responded(x);
		exchange_check_reported_crash(x);
	}
	x->status = head->status;
	x->until_close = head->until_close;
	x->other_instance = is_other_instance(x);
	exchange_observe_rate_limit(x);
	exchange_observe_notices(x);
	x->streaming = x->route->kind == JH_ROUTE_STREAM &&
		       head->status == 200 && x->response.sealed &&
		       !x->response.transformed && !x->response.declined;
	if (x->streaming && x->events == NULL)
		x->events = jh_sse_parser_create();
	/* A resumed stream keeps the head of its first worker. */
	if (!x->response_begun) {
		g_string_truncate(x->fields, 0);
		x->gateway->codec->write_response_fields(x->fields, head);
	}
	return true;
}

/*
 * Records the time to the first event and updates the worker's excess TTFT. If
 * this process did not run meanwhile, the time is not the worker's.
 */
static void
record_first_event(struct exchange *x, uint64_t now)
{
	struct jh_worker *w = exchange_worker(x);
	uint64_t took = now - x->sent_at;
	double excess = took > x->idle_ttft ? (double)(took - x->idle_ttft) : 0;

	jh_metrics_observe(
	    x->gateway->metrics, "jh_first_event_ms", now - x->arrived);
	if (w == NULL)
		return;
	if (jh_loop_lag_ran_since(x->gateway->lag, x->sent_at)) {
		w->ttft_excess +=
		    TTFT_EXCESS_WEIGHT * (excess - w->ttft_excess);
		w->ttft_excess_at = now;
		exchange_check_prefix_store(x, now);
		if (x->choose.overload)
			jh_overload_learn(
			    w, x->choose.rank, x->nominal_ttft, took);
	}
	jh_worker_responded(w, false);
}

static void
begin_stream(struct exchange *x)
{
	x->response_begun = true;
	jh_server_request_begin_response(x->conn_request, x->status, "OK",
	    (struct jh_str){x->fields->str, x->fields->len});
}

static void
restart_silence_timer(struct exchange *x)
{
	uint64_t gap = x->route->max_event_gap * SILENCE_TIMEOUT_GAPS;

	if (!uv_is_active((uv_handle_t *)&x->silence_timer) || gap == 0)
		return;
	x->quiet_since = jh_now();
	x->silence_checks = 0;
	x->silence_due = false;
	uv_update_time(x->gateway->loop);
	uv_timer_start(&x->silence_timer, x->silence_timer.timer_cb,
	    gap / JH_USEC_PER_MSEC, 0);
}

static void
on_event(void *arg, const struct jh_sse_event *block)
{
	struct exchange *x = arg;
	uint64_t weights;

	if (x->malformed)
		return;
	note_responded(x);
	if (x->attempt_events++ == 0)
		exchange_clear_suspects(x);
	if (x->n_events++ == 0) {
		x->first_at = jh_now();
		exchange_release_prefill(x);
		record_first_event(x, jh_now());
	}
	restart_silence_timer(x);
	if (block->has_id) {
		if (x->has_last_event && block->id <= x->last_event)
			return; /* sent again after a resumption */
		x->has_last_event = true;
		x->last_event = block->id;
	}
	if (x->gateway->codec->read_event_weights(block->bytes, &weights)) {
		struct jh_worker *w = exchange_worker(x);
		if (w != NULL)
			jh_worker_observed_weights(
			    w, jh_now(), x->model, weights);
	}
	if (!x->response_begun)
		begin_stream(x);
	jh_server_request_write(x->conn_request, block->bytes);
}

/* Gives the attempt up at bytes that are no response: they may never end. */
static bool
on_body(void *arg, const char *p, size_t n)
{
	struct exchange *x = arg;

	if (!x->streaming) {
		x->malformed = !exchange_hold_body(x, p, n);
		return !x->malformed && exchange_enforce_budget(x);
	}
	if (!jh_sse_parser_feed(
		x->events, (struct jh_str){p, n}, on_event, x)) {
		x->malformed = true;
		return false;
	}
	if (!x->paused &&
	    jh_server_request_queued(x->conn_request) > MAX_QUEUED_BYTES) {
		x->paused = true;
		jh_call_pause(x->call);
	}
	return exchange_enforce_budget(x);
}

void
exchange_drained(struct exchange *x)
{
	if (!x->paused)
		return;
	x->paused = false;
	if (x->call != NULL)
		jh_call_resume(x->call);
}

/* Updates a worker that reported that it has not run the request. */
static void
record_declined(struct exchange *x, struct jh_worker *w, uint64_t now)
{
	const struct jh_worker_model *m;

	if (w == NULL)
		return;
	m = jh_worker_find_model(w, x->model);
	if (m != NULL && x->response.has_weights &&
	    x->response.weights != m->weights) {
		jh_worker_observed_weights(
		    w, now, m->name, x->response.weights);
		if (x->gateway->on_observed_weights != NULL)
			x->gateway->on_observed_weights(x->gateway->arg, w, m);
	}
	if (x->other_instance)
		jh_worker_replaced(w, now);
	if (x->status == 421)
		return;
	if (m != NULL &&
	    jh_weights_newest(x->gateway->weights, m->name) > m->weights)
		w->changing_until = now + LOADING_USEC;
	else
		w->backoff_until =
		    MAX(w->backoff_until, now + FULL_BACKOFF_USEC);
}

static void
exclude(struct exchange *x, const struct jh_worker *w)
{
	if (w == NULL)
		return;
	/* A worker may be chosen again with the weights that it really has. */
	if (x->status == 421 &&
	    jh_worker_weights(w, x->model) != x->requested_weights) {
		x->may_return = true;
		return;
	}
	if (x->n_excluded < JH_CHOOSE_MAX_EXCLUDED)
		x->excluded[x->n_excluded++] = w->hash;
}

static bool
promises_not_run(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * Whether the response ended with its connection after the head alone, as it
 * does if the worker crashed then.
 */
static bool
is_head_only(const struct exchange *x)
{
	return x->status == 200 && x->until_close &&
	       (x->streaming ? x->attempt_events == 0 : x->body == NULL);
}

/* Whether a stream that has ended was broken off. */
static bool
is_cut_off(const struct exchange *x)
{
	return jh_sse_parser_has_partial(x->events) || !x->response_begun ||
	       is_head_only(x);
}

static enum jh_attempt_result
classify_result(
    struct exchange *x, enum jh_call_result result, const char **why)
{
	if (result == JH_CALL_NOT_SENT) {
		*why = "no connection to the worker";
		return JH_ATTEMPT_NOT_SENT;
	}
	if (result != JH_CALL_COMPLETE || x->malformed) {
		*why = x->silence_timed_out
			   ? "the worker did not respond in time"
			   : "the worker's answer is incomplete or malformed";
		return JH_ATTEMPT_BROKEN;
	}
	if (x->response.declined || x->status == 421) {
		*why = "the worker declined the request";
		return JH_ATTEMPT_DECLINED;
	}
	if (x->streaming && is_cut_off(x)) {
		*why = "the stream ended before its first event or inside an "
		       "event";
		return JH_ATTEMPT_BROKEN;
	}
	if (x->response.transformed ||
	    (x->status >= 200 && x->status < 300 && !x->response.sealed)) {
		*why =
		    "the worker's answer has no seal or was changed on the way";
		return JH_ATTEMPT_BROKEN;
	}
	if (!x->streaming && is_head_only(x)) {
		*why = "the response ended before its body";
		return JH_ATTEMPT_BROKEN;
	}
	/* A response that has begun can only go on as a stream. */
	if (x->response_begun && !x->streaming) {
		*why = "the worker did not resume the stream";
		return JH_ATTEMPT_BROKEN;
	}
	/* Relayed, such a status would tell the client that nothing ran. */
	if (promises_not_run(x->status)) {
		*why = "the worker returned an error";
		return JH_ATTEMPT_BROKEN;
	}
	*why = x->status >= 500 ? "the worker returned an error" : "answered";
	return x->status >= 500 ? JH_ATTEMPT_FAILED : JH_ATTEMPT_RESPONDED;
}

/* No connection could be opened, or it broke before a response. */
static void
record_unreachable(const struct exchange *x, struct jh_worker *w, uint64_t now)
{
	if (x->choose.overload)
		jh_worker_unreachable(w, now, randombytes_random());
	else
		jh_worker_attempt_failed(w, now);
}

static void
update_worker(
    struct exchange *x, struct jh_worker *w, enum jh_attempt_result result)
{
	uint64_t now = jh_now();

	if (w == NULL)
		return;
	switch (result) {
	case JH_ATTEMPT_NOT_SENT:
		record_unreachable(x, w, now);
		break;
	case JH_ATTEMPT_BROKEN:
		/* A single malformed response is no reason for a backoff. */
		if (x->status == 0 && !x->silence_timed_out)
			record_unreachable(x, w, now);
		else if (!x->silence_timed_out)
			jh_worker_responded(w, true);
		break;
	case JH_ATTEMPT_DECLINED:
		record_declined(x, w, now);
		break;
	case JH_ATTEMPT_FAILED:
	case JH_ATTEMPT_RESPONDED:
		if (!x->streaming)
			jh_worker_responded(w, result == JH_ATTEMPT_FAILED);
		break;
	}
	if (x->response.has_weights &&
	    x->response.weights > jh_worker_weights(w, x->model))
		jh_worker_observed_weights(
		    w, now, x->model, x->response.weights);
}

static void
finish_attempt(
    struct exchange *x, enum jh_attempt_result result, const char *why)
{
	uint64_t now = jh_now();
	enum jh_attempt_next next =
	    jh_attempts_ended(&x->attempts, now, result);

	if (next == JH_NEXT_RETRY && exchange_refuse_quarantined(x))
		return;
	/* What was not sent has not arrived at the service. */
	if (next == JH_NEXT_RETRY && result != JH_ATTEMPT_NOT_SENT &&
	    !jh_retry_budget_take(x->gateway->retry_budget, now,
		x->service_name, x->gateway->processes)) {
		jh_metrics_add(x->gateway->metrics, "jh_repeats_denied", 1);
		next = result == JH_ATTEMPT_FAILED
			   ? JH_NEXT_RELAY
			   : jh_attempts_give_up(&x->attempts);
		why = "the retry budget is used up";
	}
	switch (next) {
	case JH_NEXT_RETRY:
		jh_metrics_add(x->gateway->metrics, "jh_repeats", 1);
		exchange_start_attempt(x);
		return;
	case JH_NEXT_RELAY:
		if (x->response_begun)
			exchange_end_stream(x);
		else
			exchange_relay_response(x);
		return;
	case JH_NEXT_REFUSE:
	case JH_NEXT_FAIL:
		exchange_give_up(x, why, EXCHANGE_NO_WORKER_SECONDS);
		return;
	}
}

/*
 * Whether the worker ended the connection before any output, as it does if it
 * crashes.
 */
static bool
ended_before_output(const struct exchange *x, enum jh_call_result call_result)
{
	if ((x->status != 0 && x->status != 200) || x->n_events > 0 ||
	    x->malformed || x->response.stray || x->silence_timed_out)
		return false;
	return call_result == JH_CALL_BROKEN ||
	       (x->status == 200 && call_result == JH_CALL_COMPLETE &&
		   (x->streaming || is_head_only(x)));
}

/*
 * Whether the worker ended the connection in the middle of a stream, as it does
 * if it crashes. A worker that is to resume one may have ended before it got
 * the request, on a kept connection.
 */
static bool
ended_midway(const struct exchange *x, enum jh_call_result call_result)
{
	if (x->n_events == 0 || (x->status != 0 && !x->streaming) ||
	    x->malformed || x->response.stray || x->silence_timed_out)
		return false;
	if (x->status == 0 && jh_now() < x->sent_at + JH_SUSPECT_MIN_RUN_USEC)
		return false;
	return call_result == JH_CALL_BROKEN ||
	       (call_result == JH_CALL_COMPLETE && x->until_close);
}

/* The ids of the prompt's shared parts, for the log. */
static json_t *
shared_ids(const struct jh_client_request *request)
{
	json_t *out = json_array();
	char hex[17];
	size_t i;

	for (i = 0; i < request->n_shared_ids; i++) {
		g_snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
		    request->shared_id[i]);
		json_array_append_new(out, json_string(hex));
	}
	return out;
}

static void
log_attempt(const struct exchange *x, const char *why, bool crash)
{
	uint64_t weights = x->response.has_weights ? x->response.weights : 0;
	json_t *parts = shared_ids(&x->request);
	char fingerprint[17];

	g_snprintf(fingerprint, sizeof(fingerprint),
	    "%016" G_GINT64_MODIFIER "x", exchange_fingerprint(x));

	jh_json_log(x->gateway->log, "attempt_ended",
	    "s:s#, s:s, s:s?, s:s, s:b, s:i, s:i, s:I, s:I, s:I, s:s?, s:O",
	    "request", x->request.id.ptr, (int)x->request.id.len, "fingerprint",
	    fingerprint, "worker", x->worker_id, "why", why, "crash",
	    (int)crash, "status", (int)x->status, "events",
	    (int)x->attempt_events, "took_us",
	    (json_int_t)(jh_now() - x->sent_at), "asked_weights",
	    (json_int_t)x->requested_weights, "answer_weights",
	    (json_int_t)weights, "org", x->org != NULL ? x->org->name : NULL,
	    "parts", parts);
	/* A line that is dropped takes over no reference. */
	json_decref(parts);
}

static void
on_end(void *arg, enum jh_call_result call_result)
{
	struct exchange *x = arg;
	struct jh_worker *w = exchange_worker(x);
	enum jh_attempt_result result;
	const char *why;
	bool crash;

	x->call = NULL;
	x->paused = false;
	uv_timer_stop(&x->silence_timer);
	if (x->evicted) {
		exchange_release_load(x);
		exchange_evict(x);
		return;
	}
	result = classify_result(x, call_result, &why);
	crash = result == JH_ATTEMPT_BROKEN &&
		(ended_before_output(x, call_result) ||
		    ended_midway(x, call_result));
	if (result != JH_ATTEMPT_RESPONDED)
		log_attempt(x, why, crash);
	if (crash)
		exchange_report_crash(x);
	else if (result == JH_ATTEMPT_NOT_SENT)
		exchange_report_unreachable(x);
	else if (result == JH_ATTEMPT_RESPONDED && x->status == 200)
		exchange_note_completed(x);
	update_worker(x, w, result);
	exclude(x, w);
	exchange_release_load(x);
	if (x->malformed)
		exchange_release_body(x);
	finish_attempt(x, result, why);
}

const struct jh_call_ops exchange_call_ops = {on_head, on_body, on_end};
