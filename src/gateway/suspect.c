#include <jansson.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "gateway/exchange.h"
#include "net/loop_lag.h"

/* A quarantine may end at any moment, with the output of a running request. */
#define MAX_RETRY_SECONDS 5.0

/* Identifies the request itself: its organisation, target and body. */
static uint64_t
hash_request(const struct exchange *x)
{
	struct jh_str target =
	    jh_head_target(jh_server_request_head(x->conn_request));
	struct jh_str body = jh_server_request_body(x->conn_request);
	const char *org = x->org != NULL ? x->org->name : "";
	uint64_t h = XXH3_64bits(org, strlen(org));

	h = XXH3_64bits_withSeed(target.ptr, target.len, h);
	return XXH3_64bits_withSeed(body.ptr, body.len, h);
}

void
exchange_set_suspect_parts(struct exchange *x)
{
	const struct jh_client_request *request = &x->request;
	size_t i;

	for (i = 0; i < request->n_shared_ids; i++)
		x->suspect_part[i] =
		    jh_fingerprint_of_part(request->shared_id[i]);
	x->suspect_part[i++] = jh_fingerprint_of_part(hash_request(x));
	x->n_suspect_parts = i;
}

static struct jh_fingerprint
request_part(const struct exchange *x)
{
	return x->suspect_part[x->n_suspect_parts - 1];
}

uint64_t
exchange_fingerprint(const struct exchange *x)
{
	return request_part(x).low;
}

void
exchange_report_crash(struct exchange *x)
{
	struct jh_gateway *gw = x->gateway;
	struct jh_worker *w = exchange_worker(x);
	uint64_t now = jh_now(), alive = jh_loop_lag_last_poll(gw->lag);
	bool begun = x->status != 0, midway = x->n_events > 0;
	unsigned int crashes;

	if (w != NULL && w->started_ms == x->worker_started_ms)
		w->crash_reported_at = now;
	/* With a response head, the crash also counts as one midway. */
	if (begun || midway)
		jh_suspects_midway_crashed(gw->suspects, now, alive,
		    x->worker_hash, x->worker_started_ms, request_part(x));
	if (midway) {
		crashes = jh_suspects_midway_crashes(
		    gw->suspects, now, request_part(x), NULL);
	} else if (begun) {
		x->was_in_crash = true;
		jh_suspects_parts_crashed(gw->suspects, now, alive,
		    x->worker_hash, x->worker_started_ms, x->suspect_part,
		    x->n_suspect_parts);
		crashes = jh_suspects_parts_crashes(gw->suspects, now,
		    x->suspect_part, x->n_suspect_parts, NULL);
	} else {
		jh_suspects_unbegun_crashed(gw->suspects, now, alive,
		    x->sent_at, x->worker_hash, x->worker_started_ms,
		    x->suspect_part, x->n_suspect_parts);
		crashes = jh_suspects_unbegun_crashes(gw->suspects, now,
		    x->suspect_part, x->n_suspect_parts, NULL);
	}
	jh_metrics_add(gw->metrics, "jh_crashes_reported", 1);
	jh_json_log(gw->log, "crash_reported", "s:s#, s:s?, s:I, s:b, s:i, s:i",
	    "request", x->request.id.ptr, (int)x->request.id.len, "worker",
	    x->worker_id, "born", (json_int_t)x->worker_started_ms, "begun",
	    (int)begun, "events", (int)x->n_events, "crashes", (int)crashes);
}

void
exchange_report_unreachable(struct exchange *x)
{
	jh_suspects_engine_ended(x->gateway->suspects, jh_now(),
	    jh_loop_lag_last_poll(x->gateway->lag), x->worker_hash,
	    x->worker_started_ms);
}

void
exchange_check_reported_crash(struct exchange *x)
{
	struct jh_worker *w = exchange_worker(x);

	if (w == NULL || w->crash_reported_at == 0 ||
	    w->started_ms != x->worker_started_ms ||
	    x->sent_at <= w->crash_reported_at)
		return;
	w->crash_reported_at = 0;
	jh_suspects_crash_voided(x->gateway->suspects, w->hash, w->started_ms);
	jh_json_log(x->gateway->log, "crash_voided", "s:s, s:I", "worker",
	    w->id, "born", (json_int_t)w->started_ms);
}

void
exchange_clear_suspects(struct exchange *x)
{
	jh_suspects_parts_succeeded(x->gateway->suspects, jh_now(),
	    x->suspect_part, x->n_suspect_parts);
}

void
exchange_note_completed(struct exchange *x)
{
	exchange_clear_suspects(x);
	jh_suspects_completed(x->gateway->suspects, jh_now(), request_part(x));
}

/*
 * Returns the number of crashes that speak against the request, or 0. A stream
 * that has had output is not what crashes workers before any.
 */
static unsigned int
quarantining_crashes(const struct exchange *x, uint64_t now, uint64_t *deadline)
{
	const struct jh_suspects *s = x->gateway->suspects;
	unsigned int limit = x->was_in_crash ? JH_SUSPECT_NO_RETRY_CRASHES
					     : JH_SUSPECT_QUARANTINE_CRASHES;
	unsigned int crashes =
	    jh_suspects_midway_crashes(s, now, request_part(x), deadline);

	if (crashes >= JH_SUSPECT_QUARANTINE_CRASHES)
		return crashes;
	if (x->n_events > 0)
		return 0;
	crashes = jh_suspects_parts_crashes(
	    s, now, x->suspect_part, x->n_suspect_parts, deadline);
	if (crashes >= limit)
		return crashes;
	crashes = jh_suspects_unbegun_crashes(
	    s, now, x->suspect_part, x->n_suspect_parts, deadline);
	return crashes >= JH_SUSPECT_QUARANTINE_CRASHES ? crashes : 0;
}

bool
exchange_refuse_quarantined(struct exchange *x)
{
	struct jh_gateway *gw = x->gateway;
	uint64_t now = jh_now(), deadline;
	unsigned int crashes = quarantining_crashes(x, now, &deadline);
	const char *reason =
	    "the request or a part of its prompt crashes workers";

	if (crashes == 0)
		return false;
	jh_metrics_add(gw->metrics, "jh_quarantined", 1);
	jh_json_log(gw->log, "quarantined", "s:s#, s:s, s:i, s:i", "request",
	    x->request.id.ptr, (int)x->request.id.len, "route", x->route->name,
	    "crashes", (int)crashes, "attempts", (int)x->attempts.sent);
	if (x->response_begun)
		exchange_break_stream(x, reason);
	else if (x->attempts.may_have_run)
		exchange_fail(x, 502, reason);
	else
		exchange_refuse(x, reason,
		    MIN((double)(deadline - now) / (double)JH_USEC_PER_SEC,
			MAX_RETRY_SECONDS));
	return true;
}

void
jh_gateway_check_suspects(struct jh_gateway *gw, uint64_t now)
{
	size_t n;

	jh_suspects_expire(gw->suspects, now);
	n = jh_suspects_parts_quarantined(gw->suspects, now);
	if (n == gw->quarantined_parts)
		return;
	gw->quarantined_parts = n;
	jh_metrics_set(gw->metrics, "jh_quarantined_parts", (double)n);
	jh_json_log(gw->log, "quarantined_parts", "s:i", "parts", (int)n);
}
