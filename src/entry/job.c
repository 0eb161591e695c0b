#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "base/event.h"
#include "entry/job.h"
#include "entry/limits.h"

#define REQUEST_ID_BYTES 12

struct entry_job *
entry_job_create(struct entry *e, struct jh_http_req *req)
{
	struct entry_job *j = g_new0(struct entry_job, 1);
	uint8_t id[REQUEST_ID_BYTES];
	size_t i;

	j->refs = 1;
	j->entry = e;
	j->req = req;
	j->arrived_at = jh_now();
	j->reconnect_deadline = JH_NEVER;
	j->rid = g_malloc(2 * REQUEST_ID_BYTES + 1);
	jh_auth_random(id, sizeof(id));
	for (i = 0; i < REQUEST_ID_BYTES; i++)
		snprintf(j->rid + 2 * i, 3, "%02x", id[i]);
	j->out = g_string_new(NULL);
	pthread_mutex_init(&j->lock, NULL);
	return j;
}

struct entry_job *
entry_job_ref(struct entry_job *j)
{
	g_atomic_int_inc(&j->refs);
	return j;
}

void
entry_job_unref(struct entry_job *j)
{
	if (!g_atomic_int_dec_and_test(&j->refs))
		return;
	jh_http_call_unref(j->call);
	jh_relay_destroy(j->relay);
	request_auth_clear(&j->auth);
	g_string_free(j->out, TRUE);
	if (j->response != NULL)
		g_string_free(j->response, TRUE);
	g_free(j->response_type);
	jh_body_unref(j->body);
	g_free(j->model);
	g_free(j->rid);
	pthread_mutex_destroy(&j->lock);
	g_free(j);
}

/* Charges the real cost, in uncached prompt tokens and output tokens. */
static void
end_admission(struct entry_job *j)
{
	uint64_t prompt = jh_prefix_tokens(&j->prefix);
	uint64_t cached = g_ascii_strtoull(j->cached_text, NULL, 10);
	uint64_t cost = 0;

	if (j->accepted)
		cost = prompt - MIN(cached, prompt) +
		       (j->relay == NULL ? j->max_tokens
					 : jh_relay_position(j->relay) -
					       j->reconnect_position);
	entry_limits_finish(j->entry->limits, j->admission, cost);
	j->admission = NULL;
}

void
entry_job_finish(struct entry_job *j)
{
	struct entry *e = j->entry;
	struct jh_http_req *req;
	bool registered;

	pthread_mutex_lock(&j->lock);
	j->finished = true;
	req = j->req;
	j->req = NULL;
	pthread_mutex_unlock(&j->lock);
	if (req != NULL)
		jh_http_req_unref(req);
	end_admission(j);
	pthread_mutex_lock(&e->lock);
	registered = g_hash_table_remove(e->jobs, j);
	pthread_mutex_unlock(&e->lock);
	if (registered)
		entry_job_unref(j);
}

void
entry_job_refuse(
    struct entry_job *j, enum entry_error code, enum entry_outcome outcome)
{
	struct entry *e = j->entry;

	pthread_mutex_lock(&j->lock);
	if (j->req != NULL && !j->reply_begun)
		entry_reply_error(j->req, code, outcome, NULL);
	else if (j->req != NULL)
		jh_http_req_abort(j->req);
	pthread_mutex_unlock(&j->lock);
	jh_counters_add(e->counters, ENTRY_REFUSED, 1);
	if (code == ENTRY_ERR_NO_CAPACITY || code == ENTRY_ERR_DEADLINE ||
	    code == ENTRY_ERR_LIMIT_EXCEEDED)
		entry_count_refusal(
		    e, j->auth.rule->owner, j->auth.rule->class_name);
	entry_job_finish(j);
}

void
entry_job_stream_lost(struct entry_job *j, const char *reason)
{
	jh_event(JH_EV_STREAM_LOST, G_LOG_LEVEL_WARNING,
	    "stream %s cannot be resumed after token %llu: %s", j->rid,
	    (unsigned long long)j->reconnect_position,
	    reason == NULL ? "no reason given" : reason);
	entry_job_refuse(j, ENTRY_ERR_STREAM_LOST, ENTRY_RAN);
}

void
entry_jobs_tick(struct entry *e)
{
	GPtrArray *overdue = g_ptr_array_new();
	struct entry_job *j;
	GHashTableIter it;
	gpointer key;
	guint i;

	pthread_mutex_lock(&e->lock);
	g_hash_table_iter_init(&it, e->jobs);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		j = key;
		pthread_mutex_lock(&j->lock);
		if (jh_now() >= j->reconnect_deadline)
			g_ptr_array_add(overdue, entry_job_ref(j));
		pthread_mutex_unlock(&j->lock);
	}
	pthread_mutex_unlock(&e->lock);
	for (i = 0; i < overdue->len; i++) {
		entry_job_cancel(overdue->pdata[i]);
		entry_job_unref(overdue->pdata[i]);
	}
	g_ptr_array_free(overdue, TRUE);
}
