#include <pthread.h>
#include <stdio.h>

#include <jacinthhill/clock.h>

#include "entry/job.h"
#include "work/job_headers.h"

#define CANCEL_TIMEOUT_USEC (1 * JH_USEC_PER_SEC)

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
}

static const struct jh_http_call_ops cancel_ops = {
    .data = on_data, .done = on_done};

/* Tells the agent to cancel; if this is lost, the work ends 10 s later. */
static void
send_cancel(struct entry_job *j, uint64_t worker)
{
	struct entry *e = j->entry;
	char *path = g_strdup_printf("/v1/jobs/%s", j->rid);
	struct jh_http_call_spec spec = {.method = "DELETE",
	    .path = path,
	    .deadline = jh_now() + CANCEL_TIMEOUT_USEC,
	    .ops = &cancel_ops};
	struct worker_address to;
	struct jh_job_headers *w;
	char **lines;

	if (entry_workers_find(e->workers, worker, &to)) {
		w = jh_job_headers_create();
		jh_job_headers_set(w, JH_JOB_REQUEST_ID, j->rid);
		lines = jh_job_headers_format(w, &e->settings.secret, "DELETE",
		    path, (struct jh_str){NULL, 0});
		spec.peer = to.address;
		spec.headers = (const char *const *)lines;
		jh_http_call_unref(jh_http_call_start(e->client, &spec));
		g_strfreev(lines);
		jh_job_headers_destroy(w);
	}
	g_free(path);
}

void
entry_job_cancel(struct entry_job *j)
{
	struct jh_http_call *call = NULL;
	uint64_t worker;

	pthread_mutex_lock(&j->lock);
	j->client_gone = true;
	j->reconnect_deadline = JH_NEVER;
	worker = j->worker;
	if (!j->finished)
		call = j->call;
	if (call != NULL)
		jh_http_call_cancel(call);
	pthread_mutex_unlock(&j->lock);
	if (call == NULL)
		return;
	jh_counters_add(j->entry->counters, ENTRY_CANCELLED, 1);
	send_cancel(j, worker);
}
