#ifndef AGENT_SERVICE_H
#define AGENT_SERVICE_H

#include "agent/agent.h"
#include "work/work.h"

/* Passes a plain service call to the backend server; takes w and req. */
void agent_service(struct agent *a, struct jh_work *w, struct jh_http_req *req,
    const char *path);

#endif
