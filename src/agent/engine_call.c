#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/prefix.h>

#include "agent/job.h"
#include "agent/suspect.h"
#include "agent/block_hash.h"
#include "base/event.h"

/* Time limit for one request on an engine. */
#define ENGINE_CALL_USEC (600 * JH_USEC_PER_SEC)

/*
 * Appends to the kept stream and drops complete events from its start when it
 * is over the limit. The caller holds j->lock.
 */
static void
append_log(struct agent_job *j, struct jh_str data)
{
	const char *cut;
	size_t excess;

	g_string_append_len(j->log, data.ptr, (gssize)data.len);
	if (j->log->len <= AGENT_STREAM_LOG_LEN)
		return;
	excess = j->log->len - AGENT_STREAM_LOG_LEN;
	cut = g_strstr_len(
	    j->log->str + excess, (gssize)(j->log->len - excess), "\n\n");
	excess = cut == NULL ? j->log->len : (size_t)(cut + 2 - j->log->str);
	g_string_erase(j->log, 0, (gssize)excess);
	j->log_trimmed = true;
}

static uint32_t
count_events(struct jh_str data)
{
	uint32_t n = 0;
	size_t i;

	for (i = 1; i < data.len; i++) {
		if (data.ptr[i] == '\n' && data.ptr[i - 1] == '\n')
			n++;
	}
	return n;
}

static void
copy_header(struct jh_http_call *call, struct jh_http_req *req,
    const char *from, const char *to)
{
	const char *value = jh_http_call_header(call, from);

	if (value != NULL)
		jh_http_req_add_header(req, to, value);
}

static void
add_number(struct jh_http_req *req, const char *name, uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	jh_http_req_add_header(req, name, text);
}

static void
record_first_token(struct agent_job *j, struct jh_http_call *call)
{
	const char *cached = jh_http_call_header(call, "X-Cached-Tokens");
	struct agent *a = j->agent;

	pthread_mutex_lock(&a->lock);
	jh_queue_first_token(a->queue, jh_now(), j->id);
	pthread_mutex_unlock(&a->lock);
	jh_counters_add(a->counters, AGENT_PROMPT_TOKENS, j->prompt_tokens);
	if (cached != NULL)
		jh_counters_add(a->counters, AGENT_CACHED_TOKENS,
		    g_ascii_strtoull(cached, NULL, 10));
}

/*
 * Starts the reply to the entry daemon, not before the engine's reply has a
 * body: after a crash until then, the daemon gets an error that says so. The
 * caller holds j->lock.
 */
static void
begin_reply(struct agent_job *j, struct jh_http_call *call)
{
	if (j->begun)
		return;
	j->begun = true;
	if (j->req == NULL)
		return;
	copy_header(call, j->req, "X-Cached-Tokens", "Jh-Cached");
	copy_header(call, j->req, "Content-Type", "Content-Type");
	agent_job_add_width(j, j->req);
	agent_add_headers(j->agent, j->req, j->engine_ok ? "ran" : "not_run");
	jh_http_req_begin(j->req, jh_http_call_status(call));
}

static void
on_begun(void *arg, struct jh_http_call *call)
{
	struct agent_job *j = arg;
	const char *content_type = jh_http_call_header(call, "Content-Type");

	j->engine_ok = jh_http_call_status(call) == 200;
	if (j->engine_ok)
		record_first_token(j, call);
	pthread_mutex_lock(&j->lock);
	j->is_stream = content_type != NULL &&
		       g_str_has_prefix(content_type, "text/event-stream");
	pthread_mutex_unlock(&j->lock);
}

/*
 * Whether this is the first output: a whole event, as an engine may crash
 * within one, or the end of a reply without events. The caller holds j->lock.
 */
static bool
begins_output(struct agent_job *j, bool complete)
{
	if (j->has_output || !j->engine_ok)
		return false;
	j->has_output =
	    complete || (j->is_stream && g_strstr_len(j->log->str,
					     (gssize)j->log->len, "\n\n"));
	return j->has_output;
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct agent_job *j = arg;
	bool first_output;

	pthread_mutex_lock(&j->lock);
	if (j->blocked) {
		pthread_mutex_unlock(&j->lock);
		return false;
	}
	begin_reply(j, call);
	append_log(j, data);
	j->tokens += count_events(data);
	first_output = begins_output(j, false);
	if (j->req != NULL && !jh_http_req_write(j->req, data.ptr, data.len))
		j->blocked = true;
	pthread_mutex_unlock(&j->lock);
	if (first_output)
		agent_report_output(j);
	return true;
}

/*
 * Ends the reply to the entry daemon after the engine's reply failed or was
 * incomplete. The caller holds j->lock.
 */
static void
fail_reply(struct agent_job *j, enum jh_http_result result)
{
	struct crash_log *crashes = j->agent->crashes;
	struct jh_http_req *req = j->req;

	if (req == NULL)
		return;
	if (j->begun || j->cancelled) {
		jh_http_req_abort(req);
		return;
	}
	if (crash_log_state(crashes, j->fingerprint) == JH_SUSPECT_QUARANTINED)
		jh_http_req_add_header(req, "Jh-Quarantined", "request");
	else if (agent_refuses_parts(j))
		jh_http_req_add_header(req, "Jh-Quarantined", "part");
	if (j->crash_seq != 0)
		add_number(req, "Jh-Crash", j->crash_seq);
	jh_http_req_add_header(req, "Jh-Reason", "engine_lost");
	agent_add_headers(
	    j->agent, req, result == JH_HTTP_NOT_SENT ? "not_run" : "unknown");
	jh_http_req_reply(req, 502, "text/plain", "engine lost\n", 12);
}

/* Whether the last event ends the stream. The caller holds j->lock. */
static bool
has_end_marker(const struct agent_job *j)
{
	return g_str_has_suffix(j->log->str, "[DONE]\n\n") ||
	       g_str_has_suffix(j->log->str, "[DONE]\r\n\r\n");
}

/*
 * Whether the engine's connection ended within a stream. To the client, one
 * with neither a length nor chunks is complete then.
 */
static bool
is_cut_off(struct agent_job *j, enum jh_http_result result)
{
	bool cut_off;

	pthread_mutex_lock(&j->lock);
	cut_off = result == JH_HTTP_OK && j->engine_ok && j->is_stream &&
		  !has_end_marker(j);
	pthread_mutex_unlock(&j->lock);
	return cut_off;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct agent_job *j = arg;
	bool complete, first_output;
	uint64_t crash_seq = 0;

	if (is_cut_off(j, result))
		result = JH_HTTP_CONNECTION_LOST;
	complete = result == JH_HTTP_OK;
	if (result == JH_HTTP_CONNECTION_LOST)
		crash_seq = agent_report_engine_crash(j);
	pthread_mutex_lock(&j->lock);
	j->crash_seq = crash_seq;
	if (complete)
		begin_reply(j, call);
	if (complete && j->req != NULL)
		jh_http_req_end(j->req);
	else
		fail_reply(j, result);
	/* A request that reconnects after this gets the log and its end. */
	j->state = JOB_ENDED;
	first_output = complete && begins_output(j, true);
	pthread_mutex_unlock(&j->lock);
	if (first_output)
		agent_report_output(j);
	if (!complete && result != JH_HTTP_CANCELLED) {
		jh_counters_add(j->agent->counters, AGENT_ENGINE_LOST, 1);
		jh_event(JH_EV_ENGINE_LOST, G_LOG_LEVEL_WARNING,
		    "engine call for request %s failed",
		    jh_job_headers_get(j->work, JH_JOB_REQUEST_ID));
	}
	if (complete && j->engine_ok)
		crash_log_succeeded(j->agent->crashes, j->fingerprint);
	agent_job_finish(j, complete && j->engine_ok);
	agent_job_unref(j);
}

static const struct jh_http_call_ops engine_ops = {
    .begun = on_begun, .data = on_data, .done = on_done};

static char *
salt_header(struct agent_job *j, const char *name, enum jh_job_field field)
{
	const char *text = jh_job_headers_get(j->work, field);
	char salt[JH_CACHE_SALT_LEN + 1];
	struct agent *a = j->agent;

	if (text == NULL)
		return NULL;
	pthread_mutex_lock(&a->lock);
	agent_engine_salt(a, text, salt);
	pthread_mutex_unlock(&a->lock);
	return g_strdup_printf("%s: %s", name, salt);
}

static void
add_header(GPtrArray *lines, char *line)
{
	if (line != NULL)
		g_ptr_array_add(lines, line);
}

static GPtrArray *
engine_headers(struct agent_job *j)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	const char *rank = jh_job_headers_get(j->work, JH_JOB_RANK);

	add_header(lines, g_strdup("Content-Type: application/json"));
	add_header(lines, salt_header(j, "X-Cache-Salt", JH_JOB_SALT));
	add_header(lines, salt_header(j, "X-Shared-Salt", JH_JOB_SHARED_SALT));
	if (jh_job_headers_get(j->work, JH_JOB_SHARED_SALT) != NULL)
		add_header(lines, g_strdup("X-Shared-Messages: 1"));
	add_header(lines, g_strdup_printf("X-Request-Id: %s",
			      jh_job_headers_get(j->work, JH_JOB_REQUEST_ID)));
	add_header(lines,
	    g_strdup_printf("X-Priority: %d", g_strcmp0(rank, "urgent") == 0
						  ? JH_RANK_URGENT
						  : JH_RANK_BACKGROUND));
	g_ptr_array_add(lines, NULL);
	return lines;
}

void
agent_job_start(struct agent_job *j)
{
	struct agent *a = j->agent;
	GPtrArray *lines = engine_headers(j);
	struct jh_http_call_spec spec = {.peer = a->settings.backend,
	    .method = "POST",
	    .path = "/v1/chat/completions",
	    .headers = (const char *const *)lines->pdata,
	    .shared_body = j->body,
	    .deadline = jh_now() + ENGINE_CALL_USEC,
	    /* Nothing in the reply names its request. */
	    .own_connection = true,
	    .ops = &engine_ops,
	    .arg = agent_job_ref(j)};

	jh_counters_add(a->counters, AGENT_STARTED, 1);
	pthread_mutex_lock(&j->lock);
	j->state = JOB_RUNNING;
	j->call = jh_http_call_start(a->client, &spec);
	if (j->call == NULL)
		fail_reply(j, JH_HTTP_NOT_SENT);
	else if (j->cancelled)
		jh_http_call_cancel(j->call);
	pthread_mutex_unlock(&j->lock);
	g_ptr_array_free(lines, TRUE);
	if (j->call == NULL) {
		agent_job_finish(j, false);
		agent_job_unref(j);
	}
}
