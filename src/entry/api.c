#include <string.h>

#include "entry/chat.h"
#include "entry/entry.h"
#include "entry/reply.h"
#include "entry/service.h"

const char *const entry_counter_names[ENTRY_COUNTERS] = {
    [ENTRY_REQUESTS] = "requests",
    [ENTRY_REJECTED] = "rejected",
    [ENTRY_REFUSED] = "refused",
    [ENTRY_COMPLETED] = "completed",
    [ENTRY_CANCELLED] = "cancelled",
    [ENTRY_RETRIES] = "retries",
    [ENTRY_RESUMES] = "resumes",
    [ENTRY_RECONNECTS] = "reconnects",
    [ENTRY_TOKENS] = "tokens",
    [ENTRY_PROMPT_TOKENS] = "prompt_tokens",
    [ENTRY_CACHED_TOKENS] = "cached_tokens",
};

static void
reply_health(struct entry *e, struct jh_http_req *req)
{
	static const char ready[] = "{\"status\":\"ready\"}\n";

	/* The load balancer removes an instance once this check fails. */
	if (g_atomic_int_get(&e->leaving))
		entry_reply_error(
		    req, ENTRY_ERR_SHUTTING_DOWN, ENTRY_NOT_RUN, NULL);
	else
		jh_http_req_reply(
		    req, 200, "application/json", ready, sizeof(ready) - 1);
}

static void
on_request(void *arg, struct jh_http_req *req)
{
	struct entry *e = arg;
	const char *path = jh_http_req_path(req);
	bool post = strcmp(jh_http_req_method(req), "POST") == 0;

	jh_counters_add(e->counters, ENTRY_REQUESTS, 1);
	if (strcmp(path, "/health") == 0) {
		reply_health(e, req);
	} else if (post && strcmp(path, "/v1/chat/completions") == 0) {
		entry_chat(e, req);
		return;
	} else if (g_str_has_prefix(path, "/v1/services/")) {
		entry_service(e, req);
		return;
	} else {
		entry_reply_error(
		    req, ENTRY_ERR_NOT_FOUND, ENTRY_NOT_RUN, NULL);
	}
	jh_http_req_unref(req);
}

const struct jh_http_server_ops entry_server_ops = {.request = on_request};
