#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "entry/chat.h"
#include "entry/job.h"
#include "entry/limits.h"

#define DEFAULT_CLASS "chat"

/* Time in which a client that sent X-Resumable may reconnect. */
#define RECONNECT_USEC (10 * JH_USEC_PER_SEC)

static void
on_writable(void *arg)
{
	struct entry_job *j = arg;

	pthread_mutex_lock(&j->lock);
	j->blocked = false;
	if (j->call != NULL && !j->finished)
		jh_http_call_resume(j->call);
	pthread_mutex_unlock(&j->lock);
}

static void
on_closed(void *arg)
{
	struct entry_job *j = arg;
	bool wait;

	pthread_mutex_lock(&j->lock);
	wait = j->resumable && j->reply_begun && !j->finished;
	j->client_gone = true;
	if (wait)
		j->reconnect_deadline = jh_now() + RECONNECT_USEC;
	/* The call was paused for a client that no longer reads. */
	if (wait && j->blocked) {
		j->blocked = false;
		jh_http_call_resume(j->call);
	}
	pthread_mutex_unlock(&j->lock);
	if (!wait)
		entry_job_cancel(j);
}

static void
on_released(void *arg)
{
	entry_job_unref(arg);
}

static const struct jh_http_req_ops job_ops = {
    .writable = on_writable, .closed = on_closed, .released = on_released};

/* Parses "RID.WORKER:POSITION", the id that each event carries. */
static bool
parse_event_id(struct entry_job *j, const char *text)
{
	char rid[65], worker[17];
	unsigned long long position;

	if (sscanf(text, "%64[0-9a-f].%16[0-9a-f]:%llu", rid, worker,
		&position) != 3)
		return false;
	g_free(j->rid);
	j->rid = g_strdup(rid);
	j->reconnect_worker = g_ascii_strtoull(worker, NULL, 16);
	j->reconnect_position = position;
	return true;
}

static bool
is_shared(const struct entry_job *j, const struct chat_request *c)
{
	return jh_catalog_entry_shares_prompt(
	    j->auth.rule, c->first_message_hash);
}

static void
set_prefix(
    struct entry_job *j, const struct chat_request *c, const struct jh_model *m)
{
	const struct request_auth *auth = &j->auth;
	struct jh_prefix_scope scope = {.model = jh_str_from(m->name),
	    .weights_version = jh_str_from(m->weights),
	    .org = jh_str_from(auth->org->name)};
	size_t shared = is_shared(j, c) ? 1 : 0;

	chat_request_prefix(c, &scope, shared, &j->prefix);
	chat_request_parts(c, &scope, shared, &j->parts);
	jh_cache_salt(&scope, 0, j->salt);
	if (shared == 0)
		return;
	scope.org = JH_STR("");
	jh_cache_salt(&scope, 0, j->shared_salt);
}

/* Keeps the body for the attempts; a cached head is shared, not copied. */
static void
keep_body(
    struct entry_job *j, const struct chat_request *c, struct jh_http_req *req)
{
	struct jh_str body = jh_http_req_body(req);
	GBytes *head = NULL, *tail, *whole;
	size_t head_len;

	if (c->head != NULL) {
		head = c->head->raw;
		head_len = g_bytes_get_size(head);
		tail = g_bytes_new(body.ptr + head_len, body.len - head_len);
		whole = jh_http_req_take_body(req);
		g_bytes_unref(whole);
	} else {
		entry_head_cache_add(j->entry->head_cache,
		    is_shared(j, c) ? NULL : j->auth.org->name, body, c->root,
		    c->first_message_hash);
		tail = jh_http_req_take_body(req);
	}
	j->body = jh_body_create(head, tail);
	g_bytes_unref(tail);
}

/* Fills the job from the body; on failure replies and returns false. */
static bool
parse_request(struct entry_job *j, struct jh_http_req *req)
{
	struct entry_head *head;
	struct chat_request c;
	struct jh_model *m = NULL;
	const char *detail;
	enum chat_parse_result result;
	bool ok = false;

	head = entry_head_cache_find(
	    j->entry->head_cache, j->auth.org->name, jh_http_req_body(req));
	result = chat_request_parse(&c, head, jh_http_req_body(req), &detail);
	if (result != CHAT_OK) {
		entry_reply_error(req,
		    result == CHAT_BAD_JSON ? ENTRY_ERR_BAD_JSON
					    : ENTRY_ERR_BAD_REQUEST,
		    ENTRY_NOT_RUN, detail);
		goto out;
	}
	m = jh_catalog_find_model(j->entry->catalog, c.model);
	if (m == NULL) {
		entry_reply_error(
		    req, ENTRY_ERR_UNKNOWN_MODEL, ENTRY_NOT_RUN, NULL);
		goto out;
	}
	if (!jh_catalog_entry_allows_model(j->auth.rule, m->name)) {
		entry_reply_error(req, ENTRY_ERR_CLASS_NOT_ALLOWED,
		    ENTRY_NOT_RUN, "The class does not allow this model.");
		goto out;
	}
	j->model = g_strdup(m->name);
	j->stream = c.stream;
	j->max_tokens = c.max_tokens;
	set_prefix(j, &c, m);
	/* Must precede keep_body(), which takes the body from the request. */
	j->fingerprint = jh_fingerprint_of(
	    jh_str_from(j->auth.org->name), jh_http_req_body(req));
	j->parts.part[j->parts.n++] =
	    jh_fingerprint_of_part(j->fingerprint.low);
	keep_body(j, &c, req);
	ok = true;
out:
	if (m != NULL)
		jh_model_unref(m);
	chat_request_clear(&c);
	return ok;
}

static bool
prepare_job(struct entry_job *j, struct jh_http_req *req)
{
	const char *resumable = jh_http_req_header(req, "X-Resumable");
	const char *last_event_id = jh_http_req_header(req, "Last-Event-ID");

	if (!request_auth_identify(
		j->entry, req, DEFAULT_CLASS, JH_ENTRY_CHAT, &j->auth) ||
	    !parse_request(j, req))
		return false;
	if (crash_log_state(j->entry->crashes, j->fingerprint) ==
	    JH_SUSPECT_QUARANTINED) {
		entry_reply_error(
		    req, ENTRY_ERR_QUARANTINED, ENTRY_NOT_RUN, NULL);
		return false;
	}
	j->resumable = g_strcmp0(resumable, "true") == 0;
	if (last_event_id != NULL && !parse_event_id(j, last_event_id)) {
		entry_reply_error(req, ENTRY_ERR_BAD_REQUEST, ENTRY_NOT_RUN,
		    "Last-Event-ID is not one of this service.");
		return false;
	}
	if (j->reconnect_worker != 0) {
		jh_counters_add(j->entry->counters, ENTRY_RECONNECTS, 1);
	} else if (crash_log_refuses_parts(
		       j->entry->crashes, j->parts.part, j->parts.n)) {
		entry_reply_error(
		    req, ENTRY_ERR_QUARANTINED, ENTRY_NOT_RUN, NULL);
		return false;
	}
	j->first_token_deadline =
	    j->arrived_at +
	    (uint64_t)j->auth.rule->ttft_target_ms * JH_USEC_PER_MSEC;
	return true;
}

void
entry_chat(struct entry *e, struct jh_http_req *req)
{
	struct entry_job *j = entry_job_create(e, req);

	if (!prepare_job(j, req)) {
		jh_counters_add(e->counters, ENTRY_REJECTED, 1);
		j->req = NULL;
		jh_http_req_unref(req);
		entry_job_unref(j);
		return;
	}
	if (j->reconnect_worker == 0) {
		j->admission = entry_limits_admit(
		    e->limits, j->auth.rule, entry_job_cost(j));
		if (j->admission == NULL) {
			entry_job_refuse(
			    j, ENTRY_ERR_LIMIT_EXCEEDED, ENTRY_NOT_RUN);
			entry_job_unref(j);
			return;
		}
	}
	jh_http_req_set_callbacks(req, &job_ops, entry_job_ref(j));
	pthread_mutex_lock(&e->lock);
	g_hash_table_add(e->jobs, entry_job_ref(j));
	pthread_mutex_unlock(&e->lock);
	entry_job_advance(j);
	entry_job_unref(j);
}
