#ifndef AGENT_JOB_H
#define AGENT_JOB_H

#include <pthread.h>

#include "agent/agent.h"
#include "work/job_headers.h"
#include "work/job_parts.h"

enum job_state {
	JOB_QUEUED,
	JOB_RUNNING, /* the engine call is in progress */
	JOB_ENDED
};

/*
 * One language request at the agent. It is reference counted: the HTTP request,
 * the agent's tables and the engine call hold a reference each.
 */
struct agent_job {
	int refs; /* atomic */
	struct agent *agent;
	uint64_t id;
	struct jh_job_headers *work;
	struct jh_body *body;
	uint64_t prompt_tokens;
	struct jh_fingerprint fingerprint;
	struct jh_job_parts parts;
	uint32_t width; /* greatest recent width of the prefix, for Jh-Width */
	uint64_t started_at; /* 0 while queued; guarded by agent->lock */
	GArray *block_hashes; /* of uint64_t, of the prompt's blocks; or NULL */

	pthread_mutex_t lock; /* guards all below; taken after agent->lock */
	enum job_state state;
	struct jh_http_req *req; /* NULL while orphaned, and once replied to */
	struct jh_http_call *call;
	/* End of the time in which it is kept; JH_NEVER while it is read. */
	uint64_t orphan_deadline;
	GList
	    *ended_link; /* in agent->ended, or NULL; guarded by agent->lock */
	bool is_stream; /* the engine replies with events */
	GString *log; /* end of the stream, at most AGENT_STREAM_LOG_LEN */
	bool log_trimmed;
	bool begun; /* the reply has begun */
	bool has_output; /* it has a whole event, or is complete */
	bool blocked; /* the reply's buffer is full: call paused */
	bool cancelled;
	uint64_t crash_seq; /* of the crash that broke it off; 0: none */
	bool engine_ok; /* the engine replied with status 200 */
	uint32_t tokens;
};

/*
 * The argument of an HTTP request's callbacks. A job that is reattached gets
 * another request, and callbacks of the former one may still run.
 */
struct agent_req_context {
	struct agent_job *job;
	struct jh_http_req *req; /* to compare with job->req */
};

struct agent_req_context *agent_req_context_create(
    struct agent_job *j, struct jh_http_req *req);
void agent_req_context_free(void *context);

struct agent_job *agent_job_create(struct agent *a, struct jh_job_headers *w,
    struct jh_http_req *req, uint64_t prompt_tokens);
struct agent_job *agent_job_ref(struct agent_job *j);
void agent_job_unref(struct agent_job *j);

/* Adds the header with the width of the prefix. */
void agent_job_add_width(struct agent_job *j, struct jh_http_req *req);

/*
 * Starts the call to the engine. The caller does not hold agent->lock
 * (engine_call.c).
 */
void agent_job_start(struct agent_job *j);

/*
 * Removes the job from the queue and the tables, and starts what may run next
 * (chat.c). A complete stream is kept for a reconnect: its entry daemon may
 * crash before it has passed on the end.
 */
void agent_job_finish(struct agent_job *j, bool completed);

/*
 * Releases the job's HTTP request after its reply has ended. The caller holds
 * no lock.
 */
void agent_job_drop_req(struct agent_job *j);

/* Continues a kept stream as the reply to a new request; takes req. */
void agent_job_reattach(struct agent_job *j, struct jh_http_req *req);

#endif
