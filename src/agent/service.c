#include <string.h>

#include "agent/once.h"
#include "agent/service.h"
#include "agent/service_call.h"

/* A call in progress that is passed on without the ledger. */
struct plain_call {
	struct agent *agent;
	struct jh_http_req *req;
};

static void
send_response(struct agent *a, struct jh_http_req *req,
    const struct service_call_response *response)
{
	if (response->result == JH_HTTP_NOT_SENT) {
		agent_refuse(a, req, 503, "backend_down");
	} else if (response->result != JH_HTTP_OK || response->too_long) {
		jh_http_req_add_header(req, "Jh-Reason", "backend_lost");
		agent_add_headers(a, req, "unknown");
		jh_http_req_reply(req, 502, "text/plain", "backend lost\n", 13);
	} else {
		agent_add_headers(a, req, "ran");
		jh_http_req_reply(req, response->status,
		    response->type == NULL ? "application/octet-stream"
					   : response->type,
		    response->body.ptr, response->body.len);
	}
}

static void
on_plain_done(void *arg, const struct service_call_response *response)
{
	struct plain_call *p = arg;

	send_response(p->agent, p->req, response);
	jh_http_req_unref(p->req);
	g_free(p);
}

static const struct service_call_ops plain_ops = {.done = on_plain_done};

static void
start_plain(struct agent *a, struct jh_http_req *req, const char *path,
    const struct jh_job_parts *parts)
{
	struct plain_call *p = g_new0(struct plain_call, 1);
	struct service_call_spec spec = {.method = jh_http_req_method(req),
	    .path = path,
	    .content_type = jh_http_req_header(req, "Content-Type"),
	    .body = jh_http_req_body(req),
	    .parts = *parts,
	    .ops = &plain_ops,
	    .arg = p};

	p->agent = a;
	p->req = req;
	if (service_call_start(a, &spec))
		return;
	agent_refuse(a, req, 503, "busy");
	jh_http_req_unref(req);
	g_free(p);
}

void
agent_service(struct agent *a, struct jh_job_headers *w,
    struct jh_http_req *req, const char *path)
{
	const char *parts_text = jh_job_headers_get(w, JH_JOB_PARTS);
	struct jh_job_parts parts = {.n = 0};

	if (parts_text != NULL && !jh_job_parts_parse(&parts, parts_text)) {
		agent_refuse(a, req, 400, "malformed");
		jh_http_req_unref(req);
	} else if (g_atomic_int_get(&a->leaving)) {
		agent_refuse(a, req, 503, "leaving");
		jh_http_req_unref(req);
	} else if (a->once == NULL) {
		agent_refuse(a, req, 404, "not_a_service");
		jh_http_req_unref(req);
	} else if (jh_job_headers_get(w, JH_JOB_ONCE) != NULL) {
		agent_once_attempt(a->once, w, req, path, &parts);
		return;
	} else {
		start_plain(a, req, path, &parts);
	}
	jh_job_headers_destroy(w);
}
