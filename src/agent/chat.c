#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/prefix.h>

#include "agent/chat.h"
#include "agent/estimate.h"
#include "agent/order.h"
#include "agent/block_hash.h"
#include "agent/suspect.h"

/* A decision of the queue, which is carried out without agent->lock held. */
struct job_action {
	struct agent_job *job;
	const char *refusal; /* reason of the refusal; NULL: start the job */
};

/*
 * Refuses all queued jobs while an order keeps new work from the engine. The
 * caller holds agent->lock.
 */
static void
evict_queued(struct agent *a, GArray *out)
{
	struct job_action o = {.refusal = "loading"};
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		o.job = value;
		if (!jh_queue_cancel(a->queue, o.job->id))
			continue;
		agent_job_ref(o.job);
		g_array_append_val(out, o);
	}
}

/*
 * Collects the jobs that start or are refused now and updates the estimated
 * wait. The caller holds agent->lock.
 */
static GArray *
run_queue(struct agent *a)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct job_action));
	struct jh_queue_item item;
	struct jh_queue_refused refused;
	struct job_action o;
	uint64_t now = jh_now();

	jh_queue_expire(a->queue, jh_now());
	if (agent_order_blocks_jobs(a))
		evict_queued(a, out);
	while (jh_queue_next(a->queue, jh_now(), &item)) {
		((struct agent_job *)item.data)->started_at = now;
		o = (struct job_action){agent_job_ref(item.data), NULL};
		g_array_append_val(out, o);
	}
	while (jh_queue_take_refused(a->queue, &refused)) {
		o = (struct job_action){agent_job_ref(refused.item.data),
		    jh_queue_reason_name(refused.reason)};
		g_array_append_val(out, o);
	}
	item = (struct jh_queue_item){
	    .rank = JH_RANK_URGENT, .org = JH_STR("-"), .deadline = JH_NEVER};
	g_atomic_int_set(
	    &a->wait_ms, (int)((jh_queue_estimate(a->queue, now, &item) - now) /
			       JH_USEC_PER_MSEC));
	return out;
}

/* Removes the job from the tables. The caller holds agent->lock. */
static void
remove_job(struct agent_job *j)
{
	const char *request_id = jh_job_headers_get(j->work, JH_JOB_REQUEST_ID);
	struct agent *a = j->agent;

	if (g_hash_table_lookup(a->by_request, request_id) == j)
		g_hash_table_remove(a->by_request, request_id);
	if (j->ended_link == NULL) {
		g_hash_table_remove(a->jobs, &j->id);
		return;
	}
	a->ended_len -= j->log->len;
	g_queue_delete_link(&a->ended, j->ended_link);
	j->ended_link = NULL;
	agent_job_unref(j);
}

/*
 * Keeps an ended stream for a reconnect, and drops the oldest ones over the
 * limit. The caller holds agent->lock.
 */
static void
keep_ended(struct agent_job *j)
{
	struct agent *a = j->agent;

	j->orphan_deadline = jh_now() + AGENT_ORPHAN_TIMEOUT_USEC;
	g_queue_push_tail(&a->ended, agent_job_ref(j));
	j->ended_link = g_queue_peek_tail_link(&a->ended);
	a->ended_len += j->log->len;
	g_hash_table_remove(a->jobs, &j->id);
	while (a->ended_len > AGENT_ENDED_LOGS_LEN)
		remove_job(g_queue_peek_head(&a->ended));
}

/* Drops ended streams that no client has reconnected for in time. */
static void
expire_ended(struct agent *a)
{
	struct agent_job *j;

	while ((j = g_queue_peek_head(&a->ended)) != NULL &&
	       jh_now() >= j->orphan_deadline)
		remove_job(j);
}

static void
refuse_job(struct agent_job *j, const char *reason)
{
	pthread_mutex_lock(&j->agent->lock);
	remove_job(j);
	pthread_mutex_unlock(&j->agent->lock);
	pthread_mutex_lock(&j->lock);
	j->state = JOB_ENDED;
	if (j->req != NULL)
		agent_refuse(j->agent, j->req, 503, reason);
	pthread_mutex_unlock(&j->lock);
	agent_job_drop_req(j);
}

static void
run_actions(GArray *actions)
{
	struct job_action *o;
	guint i;

	for (i = 0; i < actions->len; i++) {
		o = &g_array_index(actions, struct job_action, i);
		if (o->refusal == NULL)
			agent_job_start(o->job);
		else
			refuse_job(o->job, o->refusal);
		agent_job_unref(o->job);
	}
	g_array_free(actions, TRUE);
}

static void
schedule(struct agent *a)
{
	GArray *actions;

	pthread_mutex_lock(&a->lock);
	actions = run_queue(a);
	pthread_mutex_unlock(&a->lock);
	run_actions(actions);
}

void
agent_job_finish(struct agent_job *j, bool completed)
{
	struct agent *a = j->agent;
	bool keep;

	jh_counters_add(a->counters, AGENT_TOKENS, j->tokens);
	jh_counters_add(
	    a->counters, completed ? AGENT_COMPLETED : AGENT_CANCELLED, 1);
	pthread_mutex_lock(&a->lock);
	jh_queue_finished(a->queue, jh_now(), j->id,
	    completed ? JH_QUEUE_END_DONE : JH_QUEUE_END_ABORTED, j->tokens);
	pthread_mutex_lock(&j->lock);
	j->state = JOB_ENDED;
	keep = completed && j->is_stream && !j->cancelled;
	if (keep)
		keep_ended(j);
	pthread_mutex_unlock(&j->lock);
	if (!keep)
		remove_job(j);
	pthread_mutex_unlock(&a->lock);
	agent_job_drop_req(j);
	schedule(a);
}

static void
cancel_job(struct agent_job *j)
{
	struct agent *a = j->agent;
	bool queued;

	pthread_mutex_lock(&a->lock);
	queued = jh_queue_cancel(a->queue, j->id);
	if (queued || j->state == JOB_ENDED)
		remove_job(j);
	pthread_mutex_unlock(&a->lock);
	pthread_mutex_lock(&j->lock);
	j->cancelled = true;
	if (queued)
		j->state = JOB_ENDED;
	if (j->call != NULL && j->state == JOB_RUNNING)
		jh_http_call_cancel(j->call);
	if (queued && j->req != NULL)
		jh_http_req_abort(j->req);
	pthread_mutex_unlock(&j->lock);
	if (queued) {
		agent_job_drop_req(j);
		jh_counters_add(a->counters, AGENT_CANCELLED, 1);
	}
}

bool
agent_cancel(struct agent *a, const char *request_id)
{
	struct agent_job *j;

	pthread_mutex_lock(&a->lock);
	j = g_hash_table_lookup(a->by_request, request_id);
	if (j != NULL)
		agent_job_ref(j);
	pthread_mutex_unlock(&a->lock);
	if (j == NULL)
		return false;
	cancel_job(j);
	agent_job_unref(j);
	return true;
}

/*
 * The entry daemon's connection broke without a cancellation, which means that
 * the daemon has crashed. A stream that has begun is kept for a reconnect; any
 * other job is cancelled.
 */
static void
on_closed(void *arg)
{
	struct agent_req_context *r = arg;
	struct agent_job *j = r->job;
	bool attached, keep;

	pthread_mutex_lock(&j->lock);
	/* agent_job_finish() decides about a job that has ended. */
	attached = j->req == r->req && j->state != JOB_ENDED;
	keep = attached && j->begun && !j->cancelled;
	if (keep) {
		j->req = NULL;
		j->orphan_deadline = jh_now() + AGENT_ORPHAN_TIMEOUT_USEC;
		j->blocked = false;
		if (j->call != NULL && j->state == JOB_RUNNING)
			jh_http_call_resume(j->call);
	}
	pthread_mutex_unlock(&j->lock);
	if (keep)
		jh_http_req_unref(r->req);
	else if (attached)
		cancel_job(j);
}

static void
on_writable(void *arg)
{
	struct agent_req_context *r = arg;
	struct agent_job *j = r->job;

	pthread_mutex_lock(&j->lock);
	if (j->req == r->req) {
		j->blocked = false;
		if (j->call != NULL && j->state == JOB_RUNNING)
			jh_http_call_resume(j->call);
	}
	pthread_mutex_unlock(&j->lock);
}

static const struct jh_http_req_ops job_req_ops = {.writable = on_writable,
    .closed = on_closed,
    .released = agent_req_context_free};

/* Sends the kept stream again; the entry daemon's relay drops duplicates. */
void
agent_job_reattach(struct agent_job *j, struct jh_http_req *req)
{
	struct jh_http_req *old;
	bool ended;

	jh_counters_add(j->agent->counters, AGENT_REATTACHED, 1);
	jh_http_req_set_callbacks(
	    req, &job_req_ops, agent_req_context_create(j, req));
	pthread_mutex_lock(&j->lock);
	old = j->req;
	j->req = req;
	ended = j->state == JOB_ENDED;
	if (!ended)
		j->orphan_deadline = JH_NEVER;
	jh_http_req_add_header(req, "Content-Type", "text/event-stream");
	agent_add_headers(j->agent, req, "ran");
	jh_http_req_begin(req, 200);
	if (!jh_http_req_write(req, j->log->str, j->log->len))
		j->blocked = true;
	if (ended)
		jh_http_req_end(req);
	pthread_mutex_unlock(&j->lock);
	if (old != NULL) {
		jh_http_req_abort(old);
		jh_http_req_unref(old);
	}
	if (ended)
		agent_job_drop_req(j);
}

/* Takes w and req if the stream is kept; otherwise returns false. */
static bool
try_reattach(struct agent *a, struct jh_job_headers *w, struct jh_http_req *req)
{
	const char *request_id = jh_job_headers_get(w, JH_JOB_REQUEST_ID);
	struct agent_job *j = NULL;
	bool kept;

	pthread_mutex_lock(&a->lock);
	if (request_id != NULL)
		j = g_hash_table_lookup(a->by_request, request_id);
	if (j != NULL)
		agent_job_ref(j);
	pthread_mutex_unlock(&a->lock);
	if (j == NULL)
		return false;
	kept = j->begun && g_strcmp0(jh_job_headers_get(j->work, JH_JOB_ORG),
			       jh_job_headers_get(w, JH_JOB_ORG)) == 0;
	if (kept) {
		agent_job_reattach(j, req);
		jh_job_headers_destroy(w);
	}
	agent_job_unref(j);
	return kept;
}

/* A lost stream is not run again: the reply would join events of two runs. */
static void
reattach_or_refuse(
    struct agent *a, struct jh_job_headers *w, struct jh_http_req *req)
{
	if (try_reattach(a, w, req))
		return;
	jh_job_headers_destroy(w);
	agent_refuse(a, req, 503, "stream_lost");
	jh_http_req_unref(req);
}

/* Queues the job and returns NULL, or returns the reason of the refusal. */
static const char *
enqueue(struct agent *a, struct agent_job *j)
{
	struct jh_queue_decision d = {0};
	struct jh_queue_item item;
	enum jh_suspect_decision verdict;
	const char *reason = NULL;

	pthread_mutex_lock(&a->lock);
	j->id = a->next_id++;
	item = agent_job_item(a, j);
	verdict = agent_may_run(j);
	if (g_atomic_int_get(&a->leaving))
		reason = "leaving";
	else if (agent_order_blocks_jobs(a))
		reason = "loading";
	else if (verdict == JH_SUSPECT_REFUSE)
		reason = "quarantined";
	else if (agent_refuses_parts(j))
		reason = "part_quarantined";
	else if (verdict == JH_SUSPECT_WAIT)
		reason = "suspect_beside";
	else if (agent_over_max_wait(a, &item))
		reason = "busy";
	else if (!jh_queue_offer(a->queue, jh_now(), &item, &d))
		reason = jh_queue_reason_name(d.reason);
	if (reason == NULL) {
		jh_counters_add(a->counters, AGENT_EXPECTED_TOKENS,
		    j->prompt_tokens - item.prefill);
		g_hash_table_insert(a->jobs, &j->id, agent_job_ref(j));
		g_hash_table_replace(a->by_request,
		    (char *)jh_job_headers_get(j->work, JH_JOB_REQUEST_ID), j);
	}
	pthread_mutex_unlock(&a->lock);
	return reason;
}

void
agent_chat(struct agent *a, struct jh_job_headers *w, struct jh_http_req *req)
{
	const char *prefix_text = jh_job_headers_get(w, JH_JOB_PREFIX);
	const char *parts_text = jh_job_headers_get(w, JH_JOB_PARTS);
	struct jh_prefix prefix = {0};
	struct jh_job_parts parts = {.n = 0};
	const char *reason;
	struct agent_job *j;
	GArray *pieces;

	if (jh_job_headers_get(w, JH_JOB_RESUME) != NULL) {
		reattach_or_refuse(a, w, req);
		return;
	}
	if (jh_job_headers_get(w, JH_JOB_REQUEST_ID) == NULL ||
	    prefix_text == NULL ||
	    !jh_prefix_parse(&prefix, jh_str_from(prefix_text)) ||
	    (parts_text != NULL && !jh_job_parts_parse(&parts, parts_text))) {
		jh_job_headers_destroy(w);
		agent_refuse(a, req, 400, "malformed");
		jh_http_req_unref(req);
		return;
	}
	/* Before agent_job_create() takes the body from the request. */
	pieces = agent_block_hashes(a, w, jh_http_req_body(req));
	j = agent_job_create(a, w, req, jh_prefix_tokens(&prefix));
	j->block_hashes = pieces;
	j->fingerprint = agent_fingerprint(w);
	j->parts = parts;
	j->width = agent_record_width(a, w, &prefix);
	if (jh_job_headers_get_uint(w, JH_JOB_CRASHES, 0) > 0)
		crash_log_hint(a->crashes, j->fingerprint,
		    (unsigned int)jh_job_headers_get_uint(
			w, JH_JOB_CRASHES, 0));
	jh_http_req_set_callbacks(
	    req, &job_req_ops, agent_req_context_create(j, req));
	reason = enqueue(a, j);
	if (reason != NULL) {
		agent_job_add_refusal_headers(a, j, req);
		agent_refuse(a, req, 503, reason);
		agent_job_drop_req(j);
	}
	agent_job_unref(j);
	schedule(a);
}

void
agent_tick(struct agent *a)
{
	GPtrArray *expired = g_ptr_array_new();
	struct agent_job *j;
	GHashTableIter it;
	gpointer value;
	guint i;

	pthread_mutex_lock(&a->lock);
	expire_ended(a);
	g_hash_table_iter_init(&it, a->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		j = value;
		pthread_mutex_lock(&j->lock);
		if (jh_now() >= j->orphan_deadline)
			g_ptr_array_add(expired, agent_job_ref(j));
		pthread_mutex_unlock(&j->lock);
	}
	pthread_mutex_unlock(&a->lock);
	for (i = 0; i < expired->len; i++) {
		cancel_job(expired->pdata[i]);
		agent_job_unref(expired->pdata[i]);
	}
	g_ptr_array_free(expired, TRUE);
	schedule(a);
}
