#ifndef AGENT_JOB_H
#define AGENT_JOB_H

#include <pthread.h>

#include "agent/agent.h"
#include "work/work.h"

enum job_state {
	JOB_QUEUED,
	JOB_RUNNING, /* the engine call is in progress */
	JOB_ENDED
};

/*
 * One language request at the agent. Reference counted: the HTTP request, the
 * agent's tables and the engine call hold one each.
 */
struct agent_job {
	int refs; /* atomic */
	struct agent *agent;
	uint64_t id;
	struct jh_work *work;
	struct jh_body *body;
	uint64_t prompt_tokens;
	struct jh_fingerprint print;
	uint32_t width; /* widest of late for the prefix; to be told */
	uint64_t started_at; /* 0 while queued; guarded by agent->lock */
	GArray *pieces; /* of uint64_t, cache blocks of the prompt; or NULL */

	pthread_mutex_t lock; /* guards all below; taken after agent->lock */
	enum job_state state;
	struct jh_http_req *req; /* NULL while orphaned */
	struct jh_http_call *call;
	uint64_t orphan_deadline; /* JH_NEVER unless orphaned */
	GString *log; /* the stream so far, at most AGENT_STREAM_LOG_LEN */
	bool log_trimmed;
	bool begun; /* the engine's reply has begun */
	bool blocked; /* the reader is slow: the engine call is paused */
	bool cancelled;
	bool engine_ok; /* the engine answered 200 */
	uint32_t tokens;
};

/*
 * The argument of an HTTP request's callbacks. A job that is reattached changes
 * its request, and callbacks of the former one may still come.
 */
struct agent_reader {
	struct agent_job *job;
	struct jh_http_req *req; /* compared, not used */
};

struct agent_reader *agent_reader_create(
    struct agent_job *j, struct jh_http_req *req);
void agent_reader_free(void *reader);

struct agent_job *agent_job_create(struct agent *a, struct jh_work *w,
    struct jh_http_req *req, uint64_t prompt_tokens);
struct agent_job *agent_job_ref(struct agent_job *j);
void agent_job_unref(struct agent_job *j);

/* Tells the entry daemon the prefix's width. */
void agent_job_add_width(struct agent_job *j, struct jh_http_req *req);

/* Starts the call to the engine; agent->lock is not held (engine_call.c). */
void agent_job_start(struct agent_job *j);

/* Ends the job in all tables and starts what may run next (chat.c). */
void agent_job_ended(struct agent_job *j, bool completed);

/* Lets go of the HTTP request once its reply is settled; no lock is held. */
void agent_job_drop_req(struct agent_job *j);

/* A new request for a stream that the agent still holds; takes req. */
void agent_job_reattach(struct agent_job *j, struct jh_http_req *req);

#endif
