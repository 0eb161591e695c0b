#include <stdio.h>
#include <string.h>

#include "agent/chat.h"
#include "agent/service.h"
#include "base/event.h"

#define CHAT_PATH "/v1/jobs/chat"
#define SERVICE_PREFIX "/v1/jobs/service/"
#define JOBS_PREFIX "/v1/jobs/"

const char *const agent_counter_names[AGENT_COUNTERS] = {
    [AGENT_REQUESTS] = "requests",
    [AGENT_UNAUTHENTICATED] = "unauthenticated",
    [AGENT_REFUSED] = "refused",
    [AGENT_STARTED] = "started",
    [AGENT_COMPLETED] = "completed",
    [AGENT_CANCELLED] = "cancelled",
    [AGENT_ENGINE_LOST] = "engine_lost",
    [AGENT_REATTACHED] = "reattached",
    [AGENT_TOKENS] = "tokens",
    [AGENT_PROMPT_TOKENS] = "prompt_tokens",
    [AGENT_CACHED_TOKENS] = "cached_tokens",
    [AGENT_EVENT_GAPS] = "event_gaps",
    [AGENT_EXPECTED_TOKENS] = "expected_cached_tokens",
};

void
agent_add_headers(struct agent *a, struct jh_http_req *req, const char *outcome)
{
	char text[32];

	jh_http_req_add_header(req, "Jh-Outcome", outcome);
	snprintf(text, sizeof(text), "%d", g_atomic_int_get(&a->wait_ms));
	jh_http_req_add_header(req, "Jh-Load", text);
	snprintf(
	    text, sizeof(text), "%016llx", (unsigned long long)a->incarnation);
	jh_http_req_add_header(req, "Jh-Incarnation", text);
	snprintf(text, sizeof(text), "%llu",
	    (unsigned long long)jh_catalog_revision(a->catalog));
	jh_http_req_add_header(req, "Jh-Catalog-Rev", text);
	if (g_atomic_int_get(&a->leaving))
		jh_http_req_add_header(req, "Jh-Leaving", "1");
}

void
agent_refuse(struct agent *a, struct jh_http_req *req, unsigned int status,
    const char *reason)
{
	jh_counters_add(a->counters, AGENT_REFUSED, 1);
	jh_http_req_add_header(req, "Jh-Reason", reason);
	agent_add_headers(a, req, "not_run");
	jh_http_req_reply(req, status, "text/plain", reason, strlen(reason));
}

static void
serve_cancel(struct agent *a, struct jh_http_req *req, const char *id)
{
	unsigned int status = agent_cancel(a, id) ? 200 : 404;

	jh_http_req_reply(req, status, "text/plain", "", 0);
	jh_http_req_unref(req);
}

/* Whether the entry daemon's catalogue is older than this agent's copy. */
static bool
is_stale(struct agent *a, const struct jh_job_headers *w)
{
	return jh_job_headers_get_uint(w, JH_JOB_CATALOG_REV, UINT64_MAX) <
	       jh_catalog_revision(a->catalog);
}

/* Dispatches an authenticated request; takes w and req. */
static void
route(struct agent *a, struct jh_job_headers *w, struct jh_http_req *req)
{
	const char *path = jh_http_req_path(req);
	const char *method = jh_http_req_method(req);

	if (is_stale(a, w)) {
		jh_job_headers_destroy(w);
		agent_refuse(a, req, 409, "stale_catalogue");
		jh_http_req_unref(req);
		return;
	}
	if (strcmp(method, "POST") == 0 && strcmp(path, CHAT_PATH) == 0) {
		agent_chat(a, w, req);
		return;
	}
	if (strcmp(method, "POST") == 0 &&
	    g_str_has_prefix(path, SERVICE_PREFIX)) {
		agent_service(a, w, req,
		    jh_http_req_target(req) + strlen(SERVICE_PREFIX) - 1);
		return;
	}
	jh_job_headers_destroy(w);
	if (strcmp(method, "DELETE") == 0 &&
	    g_str_has_prefix(path, JOBS_PREFIX)) {
		serve_cancel(a, req, path + strlen(JOBS_PREFIX));
		return;
	}
	agent_refuse(a, req, 404, "not_found");
	jh_http_req_unref(req);
}

static void
on_request(void *arg, struct jh_http_req *req)
{
	struct agent *a = arg;
	struct jh_job_headers *w =
	    jh_job_headers_verify(req, &a->settings.secret);

	jh_counters_add(a->counters, AGENT_REQUESTS, 1);
	if (w == NULL) {
		jh_counters_add(a->counters, AGENT_UNAUTHENTICATED, 1);
		jh_event(JH_EV_UNAUTHENTICATED, G_LOG_LEVEL_WARNING,
		    "refused an unauthenticated request");
		agent_refuse(a, req, 401, "unauthenticated");
		jh_http_req_unref(req);
		return;
	}
	route(a, w, req);
}

const struct jh_http_server_ops agent_server_ops = {.request = on_request};
