#ifndef AGENT_SERVICE_CALL_H
#define AGENT_SERVICE_CALL_H

#include "agent/agent.h"

/* One call to a plain service, with its whole answer. */
struct service_call_answer {
	enum jh_http_result result;
	bool too_long; /* over the agent's body limit; body is cut */
	unsigned int status;
	const char *type; /* content type, or NULL */
	struct jh_str body;
};

/* Runs on the client thread; the answer is valid during the call. */
struct service_call_ops {
	void (*done)(void *arg, const struct service_call_answer *answer);
};

/*
 * Sends the request once and never again by itself. Returns false, and calls
 * nothing, when too many calls are in progress.
 */
bool service_call_start(struct agent *a, const char *method, const char *path,
    const char *content_type, struct jh_str body,
    const struct service_call_ops *ops, void *arg);

#endif
