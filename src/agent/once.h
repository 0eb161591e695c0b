#ifndef AGENT_ONCE_H
#define AGENT_ONCE_H

#include "agent/agent.h"
#include "rpc/control.h"
#include "work/job_headers.h"
#include "work/job_parts.h"

/*
 * Runs the idempotency ledger: carries out its actions on the object store,
 * other agents and the backend server.
 */
struct agent_once;

struct agent_once *agent_once_create(struct agent *a);
/* Call it after the agent's HTTP client is destroyed. */
void agent_once_destroy(struct agent_once *o);

/* Handles one attempt of a non-idempotent call; takes w and req. */
void agent_once_attempt(struct agent_once *o, struct jh_job_headers *w,
    struct jh_http_req *req, const char *path,
    const struct jh_job_parts *parts);

/* Runs the ledger's timers; call it periodically. */
void agent_once_tick(struct agent_once *o);

/* Returns the calls that run or whose outcome is not yet in the store. */
size_t agent_once_calls(struct agent_once *o);

/* Answers another agent's query for a nonce; called on the RPC thread. */
void agent_once_handle_query(struct agent_once *o,
    const struct jh_nonce_args *args, struct jh_nonce_reply *reply);

#endif
