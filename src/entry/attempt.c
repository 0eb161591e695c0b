#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "base/event.h"
#include "entry/job.h"
#include "entry/wait.h"
#include "work/work.h"

/* Longest whole answer passed on. */
#define ANSWER_LIMIT (16 << 20)

/* Crashes that quarantine a request; see docs/poison.md. */
#define QUARANTINE_CRASHES 3

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
learn(struct entry_job *j, struct jh_http_call *call,
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
	learn(j, call, JH_PLACE_ACCEPTED);
	cached = jh_http_call_header(call, "Jh-Cached");
	jh_counters_add(j->entry->counters, ENTRY_CACHED_TOKENS,
	    header_number(call, "Jh-Cached", 0));
	jh_counters_add(j->entry->counters, ENTRY_PROMPT_TOKENS,
	    jh_prefix_tokens(&j->prefix));
	pthread_mutex_lock(&j->lock);
	j->accepted = true;
	j->stalls = 0;
	if (cached != NULL)
		g_strlcpy(j->cached_text, cached, sizeof(j->cached_text));
	g_free(j->answer_type);
	j->answer_type = g_strdup(jh_http_call_header(call, "Content-Type"));
	entry_job_begin_reply(j);
	pthread_mutex_unlock(&j->lock);
}

/*
 * Relays the events of one read. They go out in one write, because each write
 * wakes the server's thread. Holds j->lock.
 */
static void
relay_events(struct entry_job *j, struct jh_http_call *call, struct jh_str data)
{
	g_string_truncate(j->out, 0);
	if (jh_relay_feed(j->relay, data) != JH_RELAY_OK) {
		j->violated = true;
		jh_http_call_cancel(call);
	}
	if (j->out->len > 0 &&
	    !jh_http_req_write(j->req, j->out->str, j->out->len) && !j->left)
		j->blocked = true;
	if (jh_relay_ended(j->relay))
		jh_http_req_end(j->req);
}

/* Returns whether the bytes were taken. Holds j->lock. */
static bool
take_data(struct entry_job *j, struct jh_http_call *call, struct jh_str data)
{
	if (!j->accepted || j->violated || j->req == NULL)
		return true;
	if (j->blocked)
		return false;
	if (j->stream) {
		relay_events(j, call, data);
	} else if (j->answer->len + data.len > ANSWER_LIMIT) {
		j->violated = true;
		jh_http_call_cancel(call);
	} else {
		g_string_append_len(j->answer, data.ptr, (gssize)data.len);
	}
	return true;
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct entry_job *j = arg;
	bool taken;

	pthread_mutex_lock(&j->lock);
	taken = take_data(j, call, data);
	pthread_mutex_unlock(&j->lock);
	return taken;
}

static bool
is_whole(const struct entry_job *j, enum jh_http_result result)
{
	if (!j->accepted || j->violated)
		return false;
	/* The end marker shows completeness even if the close was lost. */
	return j->stream ? jh_relay_ended(j->relay) : result == JH_HTTP_OK;
}

static void
complete(struct entry_job *j)
{
	struct entry *e = j->entry;

	pthread_mutex_lock(&j->lock);
	if (!j->stream && j->req != NULL) {
		entry_job_add_trace(j);
		jh_http_req_reply(j->req, 200,
		    j->answer_type == NULL ? "application/json"
					   : j->answer_type,
		    j->answer->str, j->answer->len);
	}
	pthread_mutex_unlock(&j->lock);
	pthread_mutex_lock(&e->lock);
	jh_retry_success(e->retry, jh_now());
	pthread_mutex_unlock(&e->lock);
	jh_counters_add(e->counters, ENTRY_COMPLETED, 1);
	entry_job_finish(j);
}

/* Remembers what a busy worker said, for the second decision. */
static void
hear(struct entry_job *j, struct jh_http_call *call)
{
	uint64_t wait = header_number(call, "Jh-Wait", UINT64_MAX);

	if (wait == UINT64_MAX || j->n_heard == G_N_ELEMENTS(j->heard))
		return;
	j->heard[j->n_heard++] = (struct jh_place_refusal){.worker = j->worker,
	    .wait = wait * JH_USEC_PER_MSEC,
	    .cached_tokens = (uint32_t)header_number(call, "Jh-Cached", 0)};
}

/* The agent refused: nothing ran, the next worker may. */
static void
next_worker(struct entry_job *j, struct jh_http_call *call)
{
	const char *reason = jh_http_call_header(call, "Jh-Reason");

	if (g_strcmp0(reason, "stream_lost") == 0) {
		entry_job_refuse(j, ENTRY_ERR_STREAM_LOST, ENTRY_RAN);
		return;
	}
	learn(j, call,
	    g_strcmp0(reason, "engine_down") == 0 ? JH_PLACE_FAILED
						  : JH_PLACE_BUSY);
	hear(j, call);
	if (g_strcmp0(reason, "deadline") == 0)
		j->unreachable = true;
	entry_job_advance(j);
}

static void
refuse_quarantined(struct entry_job *j, enum entry_ran ran)
{
	jh_event(JH_EV_REQUEST_QUARANTINED, G_LOG_LEVEL_WARNING,
	    "request %s of %s is quarantined", j->rid, j->caller.org->name);
	entry_job_refuse(j, ENTRY_ERR_QUARANTINED, ran);
}

/* The attempt failed and may have run on the backend server. */
static void
retry(struct entry_job *j, struct jh_http_call *call, bool not_sent)
{
	struct entry *e = j->entry;
	bool allowed, told;

	learn(j, call, JH_PLACE_FAILED);
	if (!not_sent) {
		j->may_have_run = true;
		/* Without any answer the agent went, not its engine. */
		if (jh_http_call_status(call) != 0)
			j->crashes++;
		told = jh_http_call_header(call, "Jh-Quarantined") != NULL;
		crash_log_hint(e->crashes, j->print,
		    told ? QUARANTINE_CRASHES : j->crashes);
		/* A new decision: the failed worker is now held out. */
		j->n_candidates = 0;
		j->n_heard = 0;
		j->next_candidate = 0;
		j->stage = STAGE_NONE;
	}
	pthread_mutex_lock(&e->lock);
	allowed = not_sent || jh_retry_take(e->retry, jh_now());
	pthread_mutex_unlock(&e->lock);
	if (crash_log_state(e->crashes, j->print) == JH_SUSPECT_QUARANTINED) {
		refuse_quarantined(j, ENTRY_UNKNOWN);
		return;
	}
	if (!allowed) {
		entry_job_refuse(j, ENTRY_ERR_OUTCOME_UNKNOWN, ENTRY_UNKNOWN);
		return;
	}
	jh_counters_add(e->counters, ENTRY_RETRIES, 1);
	if (j->begun) {
		jh_counters_add(e->counters, ENTRY_RESUMES, 1);
		jh_event(JH_EV_STREAM_RESUMED, G_LOG_LEVEL_INFO,
		    "stream %s goes on elsewhere after token %llu", j->rid,
		    (unsigned long long)jh_relay_position(j->relay));
	}
	entry_job_advance(j);
}

/* An earlier attempt that failed may have run. */
static enum entry_ran
ran_so_far(const struct entry_job *j)
{
	return j->may_have_run ? ENTRY_UNKNOWN : ENTRY_NOT_RUN;
}

/* The agent knows the request to crash engines. */
static void
quarantined(struct entry_job *j)
{
	crash_log_hint(j->entry->crashes, j->print, QUARANTINE_CRASHES);
	refuse_quarantined(j, ran_so_far(j));
}

/* An error of the engine about the request itself is passed on. */
static void
pass_error(struct entry_job *j, unsigned int status)
{
	entry_job_refuse(j,
	    status == 404 ? ENTRY_ERR_UNKNOWN_MODEL : ENTRY_ERR_BAD_REQUEST,
	    ran_so_far(j));
}

/* The catalogue copy has caught up, or has not in time. */
static void
on_catalogue(void *arg, bool reached)
{
	struct entry_job *j = arg;
	enum entry_error why;

	if (!reached)
		entry_job_refuse(j, ENTRY_ERR_NO_CAPACITY, ran_so_far(j));
	else if (!caller_refresh(j->entry, &j->caller, &why))
		entry_job_refuse(j, why, ran_so_far(j));
	else if (!jh_catalog_entry_allows_model(j->caller.rule, j->model))
		entry_job_refuse(j, ENTRY_ERR_CLASS_NOT_ALLOWED, ran_so_far(j));
	else
		entry_job_advance(j);
	entry_job_unref(j);
}

/* The agent knows a newer catalogue: judge the request again by that one. */
static void
await_catalogue(struct entry_job *j, struct jh_http_call *call)
{
	uint64_t revision = header_number(call, "Jh-Catalog-Rev", 0);
	struct worker_address to;

	if (entry_workers_find(j->entry->workers, j->worker, &to))
		jh_feed_pull_now(j->entry->feed, &to.rpc_address);
	entry_wait_add(
	    j->entry->wait, revision, on_catalogue, entry_job_ref(j));
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct entry_job *j = arg;
	const char *outcome = jh_http_call_header(call, "Jh-Outcome");
	unsigned int status = jh_http_call_status(call);
	bool whole, left;

	pthread_mutex_lock(&j->lock);
	whole = is_whole(j, result);
	left = j->left && result == JH_HTTP_CANCELLED;
	pthread_mutex_unlock(&j->lock);
	if (whole)
		complete(j);
	else if (left || j->left)
		entry_job_finish(j);
	else if (result == JH_HTTP_NOT_SENT)
		retry(j, call, true);
	else if (g_strcmp0(jh_http_call_header(call, "Jh-Reason"),
		     "quarantined") == 0)
		quarantined(j);
	else if (result == JH_HTTP_OK && status == 409)
		await_catalogue(j, call);
	else if (result == JH_HTTP_OK && status != 200 &&
		 g_strcmp0(outcome, "not_run") == 0 && status >= 500)
		next_worker(j, call);
	else if (result == JH_HTTP_OK && status >= 400 && status < 500 &&
		 status != 401)
		pass_error(j, status);
	else
		retry(j, call, false);
	entry_job_unref(j);
}

const struct jh_http_call_ops entry_attempt_ops = {
    .begun = on_begun, .data = on_data, .done = on_done};
