#ifndef AGENT_CHAT_H
#define AGENT_CHAT_H

#include "agent/job.h"

/*
 * Handles a language request: queues it, refuses it, or continues the stream of
 * an earlier request with the same id. Takes w and req.
 */
void agent_chat(
    struct agent *a, struct jh_job_headers *w, struct jh_http_req *req);

/* Cancels the request with that id; false if the agent does not have it. */
bool agent_cancel(struct agent *a, const char *request_id);

#endif
