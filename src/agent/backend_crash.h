#ifndef AGENT_BACKEND_CRASH_H
#define AGENT_BACKEND_CRASH_H

#include "agent/agent.h"
#include "work/job_parts.h"

/*
 * Crashes of the backend server of a plain service, as its calls end. Calls
 * that the same crash broke off report the same crash.
 */

/* The call was broken off; sent: when it was sent. */
void agent_backend_crashed(
    struct agent *a, uint64_t sent, const struct jh_job_parts *parts);
/* No connection could be opened. */
void agent_backend_unreachable(struct agent *a);
void agent_backend_responded(struct agent *a, const struct jh_job_parts *parts);

#endif
