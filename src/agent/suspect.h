#ifndef AGENT_SUSPECT_H
#define AGENT_SUSPECT_H

#include "agent/job.h"

/*
 * Reports a crash of the engine, which broke off this job, with the
 * fingerprints of all jobs that ran at the time. Further jobs of the same crash
 * add nothing. Returns the number of the crash at this agent.
 */
uint64_t agent_report_engine_crash(struct agent_job *j);

/*
 * Whether the job may run together with the agent's other jobs. The caller
 * holds agent->lock.
 */
enum jh_suspect_decision agent_may_run(struct agent_job *j);

/* Reports the job's first output in this run. */
void agent_report_output(struct agent_job *j);

/*
 * Whether the job has a quarantined part. A stream that is resumed has had
 * output, so its parts are not what crashes engines.
 */
bool agent_refuses_parts(const struct agent_job *j);

#endif
