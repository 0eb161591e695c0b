#include <jansson.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "gateway/exchange.h"

/* Longest response that is no stream; streams have no such limit. */
#define MAX_BODY_BYTES (16 * 1024 * 1024)

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

static bool
on_head(void *arg, const struct jh_head *head)
{
	struct exchange *x = arg;

	memset(&x->answer, 0, sizeof(x->answer));
	x->gw->dialect->read_answer(head, &x->ask, &x->answer);
	if (x->answer.other) {
		jh_metrics_add(x->gw->metrics, "jh_stray_answers", 1);
		jh_trace(x->gw->trace, "stray_answer", "s:s#, s:s?", "request",
		    x->ask.id.ptr, (int)x->ask.id.len, "worker", x->worker);
		return false;
	}
	x->status = head->status;
	x->streaming = x->route->kind == JH_ROUTE_STREAM &&
		       head->status == 200 && x->answer.sealed &&
		       !x->answer.encoded && !x->answer.declined;
	if (x->streaming && x->events == NULL)
		x->events = jh_sse_parser_create();
	/* A resumed stream keeps the head of its first worker. */
	if (!x->begun) {
		g_string_truncate(x->fields, 0);
		x->gw->dialect->write_answer(x->fields, head);
	}
	return true;
}

/* Records the time to the first event and updates the worker's excess TTFT. */
static void
record_first_event(struct exchange *x, uint64_t now)
{
	struct jh_worker *w = exchange_worker(x);
	uint64_t took = now - x->sent_at;
	double excess = took > x->base ? (double)(took - x->base) : 0;

	jh_metrics_time(x->gw->metrics, "jh_first_event_ms", now - x->arrived);
	if (w == NULL)
		return;
	w->delay += TTFT_EXCESS_WEIGHT * (excess - w->delay);
	w->delay_known = now;
	jh_fleet_answered(w, false);
}

static void
begin_stream(struct exchange *x)
{
	x->begun = true;
	jh_visit_begin(x->visit, x->status, "OK",
	    (struct jh_str){x->fields->str, x->fields->len});
}

static void
restart_silence_timer(struct exchange *x)
{
	uint64_t gap = x->route->gap * SILENCE_TIMEOUT_GAPS;

	if (!uv_is_active((uv_handle_t *)&x->patience) || gap == 0)
		return;
	uv_update_time(x->gw->loop);
	uv_timer_start(
	    &x->patience, x->patience.timer_cb, gap / JH_USEC_PER_MSEC, 0);
}

static void
on_event(void *arg, const struct jh_sse_event *block)
{
	struct exchange *x = arg;
	uint64_t weights;

	if (x->spoilt)
		return;
	if (x->n_events++ == 0) {
		x->first_at = jh_now();
		exchange_unbook_prefill(x);
		record_first_event(x, jh_now());
	}
	restart_silence_timer(x);
	if (block->has_id) {
		if (x->has_last_event && block->id <= x->last_event)
			return; /* sent again after a resumption */
		x->has_last_event = true;
		x->last_event = block->id;
	}
	if (x->gw->dialect->read_event_weights(block->bytes, &weights)) {
		struct jh_worker *w = exchange_worker(x);
		if (w != NULL)
			jh_fleet_saw_weights(w, jh_now(), weights);
	}
	if (!x->begun)
		begin_stream(x);
	jh_visit_write(x->visit, block->bytes);
}

static void
on_body(void *arg, const char *p, size_t n)
{
	struct exchange *x = arg;

	if (x->spoilt)
		return;
	if (!x->streaming) {
		if (x->body->len + n > MAX_BODY_BYTES)
			x->spoilt = true;
		else
			g_byte_array_append(
			    x->body, (const guint8 *)p, (guint)n);
		return;
	}
	if (!jh_sse_parser_feed(
		x->events, (struct jh_str){p, n}, on_event, x)) {
		x->spoilt = true;
		return;
	}
	if (!x->paused && jh_visit_queued(x->visit) > MAX_QUEUED_BYTES) {
		x->paused = true;
		jh_call_pause(x->call);
	}
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
	uint64_t newest;

	if (w == NULL)
		return;
	if (x->answer.has_weights && x->answer.weights != w->weights) {
		jh_fleet_saw_weights(w, now, x->answer.weights);
		if (x->gw->saw_weights != NULL)
			x->gw->saw_weights(x->gw->arg, w);
	}
	if (x->status == 421)
		return;
	newest = jh_weights_newest(x->gw->weights, w->model);
	if (w->model != NULL && newest > w->weights)
		w->changing_until = now + LOADING_USEC;
	else
		w->hold_until = MAX(w->hold_until, now + FULL_BACKOFF_USEC);
}

static void
exclude(struct exchange *x, const struct jh_worker *w)
{
	/* A worker may be chosen again with the weights that it really has. */
	if (w == NULL || (x->status == 421 && w->weights != x->weights))
		return;
	if (x->n_excluded < JH_CHOOSE_MAX_EXCLUDED)
		x->excluded[x->n_excluded++] = w->hash;
}

static bool
promises_not_run(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static enum jh_attempt_result
classify_result(
    struct exchange *x, enum jh_call_result result, const char **why)
{
	if (result == JH_CALL_NOT_SENT) {
		*why = "no connection to the worker";
		return JH_ATTEMPT_NOT_SENT;
	}
	if (result != JH_CALL_COMPLETE || x->spoilt) {
		*why = x->silent
			   ? "the worker did not respond in time"
			   : "the worker's answer is incomplete or malformed";
		return JH_ATTEMPT_BROKEN;
	}
	if (x->answer.declined || x->status == 421) {
		*why = "the worker declined the request";
		return JH_ATTEMPT_DECLINED;
	}
	if (x->streaming &&
	    (jh_sse_parser_has_partial(x->events) || !x->begun)) {
		*why = "the stream ended before its first event or inside an "
		       "event";
		return JH_ATTEMPT_BROKEN;
	}
	if (x->answer.encoded ||
	    (x->status >= 200 && x->status < 300 && !x->answer.sealed)) {
		*why =
		    "the worker's answer has no seal or was changed on the way";
		return JH_ATTEMPT_BROKEN;
	}
	/* Relayed, such a status would tell the client that nothing ran. */
	if (promises_not_run(x->status)) {
		*why = "the worker returned an error";
		return JH_ATTEMPT_BROKEN;
	}
	*why = x->status >= 500 ? "the worker returned an error" : "answered";
	return x->status >= 500 ? JH_ATTEMPT_FAILED : JH_ATTEMPT_ANSWERED;
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
		jh_fleet_failed(w, now);
		break;
	case JH_ATTEMPT_BROKEN:
		/* A single malformed response is no reason for a backoff. */
		if (x->status == 0 && !x->silent)
			jh_fleet_failed(w, now);
		else if (!x->silent)
			jh_fleet_answered(w, true);
		break;
	case JH_ATTEMPT_DECLINED:
		record_declined(x, w, now);
		break;
	case JH_ATTEMPT_FAILED:
	case JH_ATTEMPT_ANSWERED:
		if (!x->streaming)
			jh_fleet_answered(w, result == JH_ATTEMPT_FAILED);
		break;
	}
	if (x->answer.has_weights && x->answer.weights > w->weights)
		jh_fleet_saw_weights(w, now, x->answer.weights);
}

static void
finish_attempt(
    struct exchange *x, enum jh_attempt_result result, const char *why)
{
	uint64_t now = jh_now();
	enum jh_attempt_next next =
	    jh_attempts_ended(&x->attempts, now, result);

	if (next == JH_NEXT_RETRY && !jh_budget_take(x->gw->budget, now,
					 x->service_name, x->gw->processes)) {
		jh_metrics_add(x->gw->metrics, "jh_repeats_denied", 1);
		next = result == JH_ATTEMPT_FAILED
			   ? JH_NEXT_PASS
			   : jh_attempts_give_up(&x->attempts);
		why = "the retry budget is used up";
	}
	switch (next) {
	case JH_NEXT_RETRY:
		jh_metrics_add(x->gw->metrics, "jh_repeats", 1);
		exchange_try(x);
		return;
	case JH_NEXT_PASS:
		if (x->streaming && x->begun)
			exchange_end_stream(x);
		else
			exchange_pass(x);
		return;
	case JH_NEXT_REFUSE:
	case JH_NEXT_FAIL:
		exchange_give_up(x, why);
		return;
	}
}

static void
on_end(void *arg, enum jh_call_result call_result)
{
	struct exchange *x = arg;
	struct jh_worker *w = exchange_worker(x);
	enum jh_attempt_result result;
	const char *why;

	x->call = NULL;
	x->paused = false;
	uv_timer_stop(&x->patience);
	result = classify_result(x, call_result, &why);
	if (result != JH_ATTEMPT_ANSWERED)
		jh_trace(x->gw->trace, "attempt_ended",
		    "s:s#, s:s?, s:s, s:i, s:I, s:I, s:I", "request",
		    x->ask.id.ptr, (int)x->ask.id.len, "worker", x->worker,
		    "why", why, "status", (int)x->status, "took_us",
		    (json_int_t)(jh_now() - x->sent_at), "asked_weights",
		    (json_int_t)x->weights, "answer_weights",
		    (json_int_t)(x->answer.has_weights ? x->answer.weights
						       : 0));
	update_worker(x, w, result);
	exclude(x, w);
	exchange_unbook(x);
	finish_attempt(x, result, why);
}

const struct jh_call_ops exchange_call_ops = {on_head, on_body, on_end};
