#ifndef AGENT_CHAT_H
#define AGENT_CHAT_H

#include "agent/job.h"

/* Queues, refuses or reattaches a language request; takes w and req. */
void agent_chat(struct agent *a, struct jh_work *w, struct jh_http_req *req);

/* Cancels the request of that id; false when the agent does not hold it. */
bool agent_cancel(struct agent *a, const char *request_id);

#endif
