#include <stdio.h>
#include <string.h>

#include "entry/job.h"

static void
on_token(void *arg, uint64_t position, struct jh_str payload)
{
	struct entry_job *j = arg;

	g_string_append_printf(j->out, "id: %.64s.%016llx:%llu\ndata: ", j->rid,
	    (unsigned long long)j->worker, (unsigned long long)position);
	g_string_append_len(j->out, payload.ptr, (gssize)payload.len);
	g_string_append(j->out, "\n\n");
	jh_counters_add(j->entry->counters, ENTRY_TOKENS, 1);
}

static void
on_end(void *arg)
{
	struct entry_job *j = arg;

	g_string_append(j->out, "data: [DONE]\n\n");
}

static const struct jh_relay_ops relay_ops = {.token = on_token, .end = on_end};

void
entry_job_add_trace_headers(struct entry_job *j)
{
	jh_http_req_add_header(j->req, "X-Request-Id", j->rid);
	jh_http_req_add_header(j->req, "X-Worker", j->worker_name);
	if (j->cached_text[0] != '\0')
		jh_http_req_add_header(
		    j->req, "X-Cached-Tokens", j->cached_text);
}

void
entry_job_begin_reply(struct entry_job *j)
{
	if (j->reply_begun || !j->stream)
		return;
	j->reply_begun = true;
	entry_job_add_trace_headers(j);
	jh_http_req_add_header(j->req, "Content-Type", "text/event-stream");
	jh_http_req_add_header(j->req, "Cache-Control", "no-cache");
	jh_http_req_begin(j->req, 200);
}

struct jh_relay *
entry_job_new_relay(struct entry_job *j)
{
	return jh_relay_create(j->reconnect_position, &relay_ops, j);
}
