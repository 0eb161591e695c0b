#ifndef AGENT_SUSPECT_H
#define AGENT_SUSPECT_H

#include "agent/job.h"

/*
 * Reports a crash of the engine, which broke off this job, with the
 * fingerprints of all jobs that ran at the time. Further jobs of the same crash
 * add nothing.
 */
void agent_report_engine_crash(struct agent_job *j);

/*
 * Whether the job may run together with the agent's other jobs. The caller
 * holds agent->lock.
 */
enum jh_suspect_decision agent_may_run(struct agent_job *j);

#endif
