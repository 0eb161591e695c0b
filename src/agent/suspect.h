#ifndef AGENT_SUSPECT_H
#define AGENT_SUSPECT_H

#include "agent/job.h"

/*
 * The engine broke off this running request: reports every request that ran
 * with it. Further requests of the same crash add nothing.
 */
void agent_engine_crashed(struct agent_job *j);

/* Whether the request may run beside what the agent holds. Holds agent->lock.
 */
enum jh_suspect_verdict agent_may_run(struct agent_job *j);

#endif
