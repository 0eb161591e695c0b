#ifndef AGENT_SERVICE_CALL_H
#define AGENT_SERVICE_CALL_H

#include "agent/agent.h"
#include "work/job_parts.h"

/* The result of a call to a plain service. */
struct service_call_response {
	enum jh_http_result result;
	bool too_long; /* over the agent's limit; body is incomplete */
	unsigned int status;
	const char *type; /* content type, or NULL */
	struct jh_str body;
};

/* Called on the HTTP client's thread; the response is valid during the call. */
struct service_call_ops {
	void (*done)(void *arg, const struct service_call_response *response);
};

struct service_call_spec {
	const char *method;
	const char *path;
	const char *content_type; /* NULL: JSON */
	struct jh_str body;
	struct jh_job_parts parts; /* by which its crashes are known */
	const struct service_call_ops *ops;
	void *arg;
};

/*
 * Sends the request at most once, without retries. Returns false without
 * calling done() when too many calls are in progress.
 */
bool service_call_start(
    struct agent *a, const struct service_call_spec *request);

#endif
