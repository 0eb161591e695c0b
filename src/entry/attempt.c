#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "base/event.h"
#include "entry/job.h"
#include "entry/revision_wait.h"
#include "work/job_headers.h"

/* Largest non-streamed response body that is forwarded, in bytes. */
#define RESPONSE_LIMIT (16 << 20)

/*
 * A stream in so many crashes is quarantined, even if it has gone on after each
 * of them.
 */
#define MAX_STREAM_CRASHES 8

static uint64_t
header_number(struct jh_http_call *call, const char *name, uint64_t fallback)
{
	const char *text = jh_http_call_header(call, name);
	guint64 value;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &value, NULL))
		return fallback;
	return value;
}

static void
update_placer(struct entry_job *j, struct jh_http_call *call,
    enum jh_place_outcome outcome)
{
	uint64_t wait = header_number(call, "Jh-Load", UINT64_MAX);
	uint64_t cached = header_number(call, "Jh-Cached", UINT64_MAX);
	struct jh_place_response a = {.outcome = outcome,
	    .prefix = &j->prefix,
	    .width = (uint32_t)header_number(call, "Jh-Width", 0)};

	if (jh_http_call_header(call, "Jh-Leaving") != NULL)
		a.outcome = JH_PLACE_LEAVING;
	if (wait != UINT64_MAX) {
		a.has_wait = true;
		a.wait = wait * JH_USEC_PER_MSEC;
	}
	if (cached != UINT64_MAX) {
		a.has_cached = true;
		a.cached_tokens = (uint32_t)cached;
	}
	entry_workers_learn(j->entry->workers, j->model, j->worker, &a);
}

static void
on_begun(void *arg, struct jh_http_call *call)
{
	struct entry_job *j = arg;
	const char *cached;

	if (jh_http_call_status(call) != 200)
		return;
	update_placer(j, call, JH_PLACE_ACCEPTED);
	cached = jh_http_call_header(call, "Jh-Cached");
	jh_counters_add(j->entry->counters, ENTRY_CACHED_TOKENS,
	    header_number(call, "Jh-Cached", 0));
	jh_counters_add(j->entry->counters, ENTRY_PROMPT_TOKENS,
	    jh_prefix_tokens(&j->prefix));
	pthread_mutex_lock(&j->lock);
	j->accepted = true;
	j->worker_waits = 0;
	if (cached != NULL)
		g_strlcpy(j->cached_text, cached, sizeof(j->cached_text));
	g_free(j->response_type);
	j->response_type = g_strdup(jh_http_call_header(call, "Content-Type"));
	entry_job_begin_reply(j);
	pthread_mutex_unlock(&j->lock);
}

/*
 * Relays the events of one read. They are sent in one write, because each write
 * wakes the server's thread. Holds j->lock.
 */
static void
relay_events(struct entry_job *j, struct jh_http_call *call, struct jh_str data)
{
	g_string_truncate(j->out, 0);
	if (jh_relay_feed(j->relay, data) != JH_RELAY_OK) {
		j->response_invalid = true;
		jh_http_call_cancel(call);
	}
	if (j->out->len > 0 &&
	    !jh_http_req_write(j->req, j->out->str, j->out->len) &&
	    !j->client_gone)
		j->blocked = true;
	if (jh_relay_ended(j->relay))
		jh_http_req_end(j->req);
}

/* Returns false to pause for a client that reads slowly. Holds j->lock. */
static bool
accept_data(struct entry_job *j, struct jh_http_call *call, struct jh_str data)
{
	if (!j->accepted || j->response_invalid || j->req == NULL)
		return true;
	if (j->blocked)
		return false;
	if (j->stream) {
		relay_events(j, call, data);
	} else if (j->response->len + data.len > RESPONSE_LIMIT) {
		j->response_invalid = true;
		jh_http_call_cancel(call);
	} else {
		g_string_append_len(j->response, data.ptr, (gssize)data.len);
	}
	return true;
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct entry_job *j = arg;
	bool accepted;

	pthread_mutex_lock(&j->lock);
	accepted = accept_data(j, call, data);
	pthread_mutex_unlock(&j->lock);
	return accepted;
}

static bool
is_complete(const struct entry_job *j, enum jh_http_result result)
{
	if (!j->accepted || j->response_invalid)
		return false;
	/* With its end marker a stream is complete, even if it broke later. */
	return j->stream ? jh_relay_ended(j->relay) : result == JH_HTTP_OK;
}

static void
complete(struct entry_job *j)
{
	struct entry *e = j->entry;

	pthread_mutex_lock(&j->lock);
	if (!j->stream && j->req != NULL) {
		entry_job_add_trace_headers(j);
		jh_http_req_reply(j->req, 200,
		    j->response_type == NULL ? "application/json"
					     : j->response_type,
		    j->response->str, j->response->len);
	}
	pthread_mutex_unlock(&j->lock);
	pthread_mutex_lock(&e->lock);
	jh_retry_success(e->retry, jh_now());
	pthread_mutex_unlock(&e->lock);
	jh_counters_add(e->counters, ENTRY_COMPLETED, 1);
	entry_job_finish(j);
}

/* Gets the worker's catalogue and the crashes that it knows. */
static void
pull_from_worker(struct entry_job *j)
{
	struct worker_address to;

	if (entry_workers_find(j->entry->workers, j->worker, &to))
		jh_feed_pull_now(j->entry->feed, &to.rpc_address);
}

/*
 * Notes the crash at once, also for other entry daemons, as the agent may end
 * before it has reported it to any. It has no number if the reply had begun:
 * then the report has to arrive first.
 */
static void
note_crash(struct entry_job *j, struct jh_http_call *call)
{
	const char *agent = jh_http_call_header(call, "Jh-Incarnation");
	const char *quarantined = jh_http_call_header(call, "Jh-Quarantined");
	uint64_t seq = header_number(call, "Jh-Crash", 0), reporter;

	if (agent == NULL || seq == 0) {
		pull_from_worker(j);
		return;
	}
	reporter = g_ascii_strtoull(agent, NULL, 16);
	crash_log_note(j->entry->crashes, reporter, seq, j->fingerprint,
	    g_strcmp0(quarantined, "request") == 0);
	crash_log_parts_crashed(
	    j->entry->crashes, reporter, seq, j->parts.part, j->parts.n);
}

/* Records a busy worker's wait for the choice after all refusals. */
static void
add_refusal(struct entry_job *j, struct jh_http_call *call)
{
	uint64_t wait = header_number(call, "Jh-Wait", UINT64_MAX);

	if (wait == UINT64_MAX ||
	    j->n_worker_refusals == G_N_ELEMENTS(j->worker_refusals))
		return;
	j->worker_refusals[j->n_worker_refusals++] =
	    (struct jh_place_refusal){.worker = j->worker,
		.wait = wait * JH_USEC_PER_MSEC,
		.cached_tokens = (uint32_t)header_number(call, "Jh-Cached", 0)};
}

/* The agent refused and did not run the request: tries the next worker. */
static void
handle_refusal(struct entry_job *j, struct jh_http_call *call)
{
	const char *reason = jh_http_call_header(call, "Jh-Reason");

	if (j->reconnect_worker != 0) {
		entry_job_stream_lost(j, reason);
		return;
	}
	update_placer(j, call,
	    g_strcmp0(reason, "engine_down") == 0 ? JH_PLACE_FAILED
						  : JH_PLACE_BUSY);
	add_refusal(j, call);
	if (g_strcmp0(reason, "deadline") == 0)
		j->deadline_unreachable = true;
	entry_job_advance(j);
}

/* Unknown once an attempt failed that may have run. */
static enum entry_outcome
outcome_so_far(const struct entry_job *j)
{
	return j->may_have_run ? ENTRY_OUTCOME_UNKNOWN : ENTRY_NOT_RUN;
}

static void
refuse_quarantined(struct entry_job *j, enum entry_outcome outcome)
{
	jh_event(JH_EV_REQUEST_QUARANTINED, G_LOG_LEVEL_WARNING,
	    "request %s of %s is quarantined", j->rid, j->auth.org->name);
	entry_job_refuse(j, ENTRY_ERR_QUARANTINED, outcome);
}

/* Once there is output, the parts are not what crashes engines. */
static bool
has_quarantined_parts(const struct entry_job *j)
{
	return !entry_job_has_output(j) &&
	       crash_log_refuses_parts(
		   j->entry->crashes, j->parts.part, j->parts.n);
}

static bool
is_quarantined(const struct entry_job *j)
{
	return crash_log_state(j->entry->crashes, j->fingerprint) ==
		   JH_SUSPECT_QUARANTINED ||
	       has_quarantined_parts(j);
}

/*
 * Counts a crash of the attempt. If the stream had gone on after an earlier
 * one, it was not the cause of that.
 */
static void
count_crash(struct entry_job *j)
{
	uint64_t position = j->relay == NULL ? 0 : jh_relay_position(j->relay);

	if (j->crashes > 0 && position > j->crash_position) {
		crash_log_progressed(j->entry->crashes, j->fingerprint);
		j->crashes = 0;
	}
	j->crash_position = position;
	j->crashes++;
	j->crashes_in_all++;
}

/* Retries after an attempt that failed; unless not_sent it may have run. */
static void
retry(struct entry_job *j, struct jh_http_call *call, bool not_sent)
{
	struct entry *e = j->entry;
	const char *quarantined = jh_http_call_header(call, "Jh-Quarantined");
	bool allowed, crashes_engines;

	update_placer(j, call, JH_PLACE_FAILED);
	if (!not_sent) {
		j->may_have_run = true;
		/* Without a status the agent failed, not its engine. */
		if (jh_http_call_status(call) != 0) {
			count_crash(j);
			note_crash(j, call);
		}
		crash_log_hint(e->crashes, j->fingerprint,
		    g_strcmp0(quarantined, "request") == 0 ||
			    j->crashes_in_all >= MAX_STREAM_CRASHES
			? JH_SUSPECT_QUARANTINE_CRASHES
			: j->crashes);
		/* Choose again, as the failed worker is now in backoff. */
		j->n_candidates = 0;
		j->n_worker_refusals = 0;
		j->next_candidate = 0;
		j->stage = STAGE_NONE;
	}
	crashes_engines =
	    !entry_job_has_output(j) &&
	    !crash_log_allows_retry(e->crashes, j->parts.part, j->parts.n);
	pthread_mutex_lock(&e->lock);
	allowed =
	    not_sent || (!crashes_engines && jh_retry_take(e->retry, jh_now()));
	pthread_mutex_unlock(&e->lock);
	if (quarantined != NULL || is_quarantined(j)) {
		refuse_quarantined(j, outcome_so_far(j));
		return;
	}
	if (!allowed) {
		entry_job_refuse(
		    j, ENTRY_ERR_OUTCOME_UNKNOWN, ENTRY_OUTCOME_UNKNOWN);
		return;
	}
	jh_counters_add(e->counters, ENTRY_RETRIES, 1);
	if (j->reply_begun) {
		jh_counters_add(e->counters, ENTRY_RESUMES, 1);
		jh_event(JH_EV_STREAM_RESUMED, G_LOG_LEVEL_INFO,
		    "stream %s is resumed on another worker after token %llu",
		    j->rid, (unsigned long long)jh_relay_position(j->relay));
	}
	entry_job_advance(j);
}

/*
 * The agent refused a request that is quarantined for crashing engines, or that
 * has such a part.
 */
static void
handle_quarantined(struct entry_job *j, bool part)
{
	if (part)
		pull_from_worker(j);
	else
		crash_log_hint(j->entry->crashes, j->fingerprint,
		    JH_SUSPECT_QUARANTINE_CRASHES);
	refuse_quarantined(j, outcome_so_far(j));
}

/* Reports an error that the engine found in the request itself. */
static void
forward_error(struct entry_job *j, unsigned int status)
{
	entry_job_refuse(j,
	    status == 404 ? ENTRY_ERR_UNKNOWN_MODEL : ENTRY_ERR_BAD_REQUEST,
	    outcome_so_far(j));
}

/* The catalogue copy has reached the revision, or the wait timed out. */
static void
on_catalogue(void *arg, bool reached)
{
	struct entry_job *j = arg;
	enum entry_error why;

	/* The agent refused for the catalogue only and may be tried again. */
	j->reconnect_tried = false;
	if (!reached)
		entry_job_refuse(j, ENTRY_ERR_NO_CAPACITY, outcome_so_far(j));
	else if (!request_auth_refresh(j->entry, &j->auth, &why))
		entry_job_refuse(j, why, outcome_so_far(j));
	else if (!jh_catalog_entry_allows_model(j->auth.rule, j->model))
		entry_job_refuse(
		    j, ENTRY_ERR_CLASS_NOT_ALLOWED, outcome_so_far(j));
	else
		entry_job_advance(j);
	entry_job_unref(j);
}

/* The agent has a newer catalogue; checks the request again with that one. */
static void
await_catalogue(struct entry_job *j, struct jh_http_call *call)
{
	uint64_t revision = header_number(call, "Jh-Catalog-Rev", 0);

	pull_from_worker(j);
	entry_revision_wait_add(
	    j->entry->revision_wait, revision, on_catalogue, entry_job_ref(j));
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct entry_job *j = arg;
	const char *outcome = jh_http_call_header(call, "Jh-Outcome");
	const char *reason = jh_http_call_header(call, "Jh-Reason");
	unsigned int status = jh_http_call_status(call);
	bool completed, client_gone;

	pthread_mutex_lock(&j->lock);
	completed = is_complete(j, result);
	client_gone = j->client_gone && result == JH_HTTP_CANCELLED;
	pthread_mutex_unlock(&j->lock);
	if (completed)
		complete(j);
	else if (client_gone || j->client_gone)
		entry_job_finish(j);
	else if (result == JH_HTTP_NOT_SENT)
		retry(j, call, true);
	else if (g_strcmp0(reason, "quarantined") == 0)
		handle_quarantined(j, false);
	else if (g_strcmp0(reason, "part_quarantined") == 0)
		handle_quarantined(j, true);
	else if (result == JH_HTTP_OK && status == 409)
		await_catalogue(j, call);
	else if (result == JH_HTTP_OK && status != 200 &&
		 g_strcmp0(outcome, "not_run") == 0 && status >= 500)
		handle_refusal(j, call);
	else if (result == JH_HTTP_OK && status >= 400 && status < 500 &&
		 status != 401)
		forward_error(j, status);
	else
		retry(j, call, false);
	entry_job_unref(j);
}

const struct jh_http_call_ops entry_attempt_ops = {
    .begun = on_begun, .data = on_data, .done = on_done};
