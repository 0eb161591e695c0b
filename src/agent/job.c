#include <pthread.h>

#include <stdio.h>

#include "agent/job.h"

#include <jacinthhill/clock.h>

struct agent_job *
agent_job_create(struct agent *a, struct jh_job_headers *w,
    struct jh_http_req *req, uint64_t prompt_tokens)
{
	struct agent_job *j = g_new0(struct agent_job, 1);
	GBytes *body = jh_http_req_take_body(req);

	j->refs = 1;
	j->agent = a;
	j->work = w;
	j->body = jh_body_create(NULL, body);
	g_bytes_unref(body);
	j->prompt_tokens = prompt_tokens;
	j->req = req;
	j->orphan_deadline = JH_NEVER;
	j->log = g_string_new(NULL);
	pthread_mutex_init(&j->lock, NULL);
	return j;
}

void
agent_job_add_width(struct agent_job *j, struct jh_http_req *req)
{
	char text[16];

	snprintf(text, sizeof(text), "%u", j->width);
	jh_http_req_add_header(req, "Jh-Width", text);
}

struct agent_job *
agent_job_ref(struct agent_job *j)
{
	g_atomic_int_inc(&j->refs);
	return j;
}

/* The request and the job hold references to each other. */
void
agent_job_drop_req(struct agent_job *j)
{
	struct jh_http_req *req;

	pthread_mutex_lock(&j->lock);
	req = j->req;
	j->req = NULL;
	pthread_mutex_unlock(&j->lock);
	if (req != NULL)
		jh_http_req_unref(req);
}

void
agent_job_unref(struct agent_job *j)
{
	if (!g_atomic_int_dec_and_test(&j->refs))
		return;
	jh_http_call_unref(j->call);
	if (j->block_hashes != NULL)
		g_array_free(j->block_hashes, TRUE);
	jh_job_headers_destroy(j->work);
	jh_body_unref(j->body);
	g_string_free(j->log, TRUE);
	pthread_mutex_destroy(&j->lock);
	g_free(j);
}

struct agent_req_context *
agent_req_context_create(struct agent_job *j, struct jh_http_req *req)
{
	struct agent_req_context *r = g_new(struct agent_req_context, 1);

	r->job = agent_job_ref(j);
	r->req = req;
	return r;
}

void
agent_req_context_free(void *context)
{
	struct agent_req_context *r = context;

	agent_job_unref(r->job);
	g_free(r);
}
