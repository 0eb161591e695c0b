#ifndef AGENT_SERVICE_H
#define AGENT_SERVICE_H

#include "agent/agent.h"
#include "work/job_headers.h"

/*
 * Passes a service call to the backend server, through the ledger if it is not
 * idempotent; takes w and req. path is the target with the query.
 */
void agent_service(struct agent *a, struct jh_job_headers *w,
    struct jh_http_req *req, const char *path);

#endif
