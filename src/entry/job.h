#ifndef ENTRY_JOB_H
#define ENTRY_JOB_H

#include <pthread.h>

#include <jacinthhill/relay.h>

#include "entry/caller.h"
#include "entry/chat_request.h"

/* Decisions about one request, in their order. */
enum job_stage {
	STAGE_NONE,
	STAGE_FIRST, /* own region, with a bound on the first token */
	STAGE_AGAIN, /* own region, by what the busy workers said */
	STAGE_OTHER_REGION
};

/* One chat request, over all its attempts. Reference counted. */
struct entry_job {
	int refs; /* atomic */
	struct entry *entry;
	char *rid;
	struct caller caller;
	char *model;
	bool stream;
	bool resumable;
	uint32_t max_tokens;
	struct jh_prefix prefix;
	char salt[JH_CACHE_SALT_LEN + 1];
	char shared_salt[JH_CACHE_SALT_LEN + 1]; /* empty: nothing shared */
	uint64_t arrived_at;
	uint64_t first_token_deadline;
	uint64_t reconnect_worker; /* 0: a new request */
	uint64_t reconnect_position;

	pthread_mutex_t lock; /* guards all below */
	struct jh_http_req *req; /* NULL once the reply is settled */
	struct jh_body *body;
	struct jh_http_call *call;
	struct jh_relay *relay;
	GString *out; /* events of the read being relayed */
	GString *answer; /* whole answers */
	char *answer_type;
	struct jh_candidate candidates[JH_PLACE_MAX_CANDIDATES];
	size_t n_candidates;
	struct jh_place_refusal heard[JH_PLACE_MAX_CANDIDATES];
	size_t n_heard;
	size_t next_candidate;
	enum job_stage stage; /* that the candidates are of */
	uint64_t worker; /* of the running attempt */
	char worker_name[64];
	char cached_text[24]; /* tokens found in cache, as the agent said */
	bool accepted; /* the running attempt answered 200 */
	bool begun; /* the caller has status and headers */
	bool blocked; /* the caller reads slowly */
	bool left; /* the caller has gone */
	bool finished;
	bool may_have_run;
	bool violated; /* the running attempt broke the stream's order */
	bool unreachable; /* an attempt was refused for its deadline */
	uint32_t crashes;
	unsigned int stalls; /* waits since the last attempt that answered */
	struct jh_fingerprint print;
	struct limit_ticket *ticket; /* NULL until admitted */
	uint64_t leave_deadline; /* JH_NEVER unless a reconnect is awaited */
};

struct entry_job *entry_job_create(struct entry *e, struct jh_http_req *req);
struct entry_job *entry_job_ref(struct entry_job *j);
void entry_job_unref(struct entry_job *j);

/* Expected cost in tokens, if the request is placed well. */
uint64_t entry_job_cost(const struct entry_job *j);

/* What comes of one offer (attempt.c); the argument is the job. */
extern const struct jh_http_call_ops entry_attempt_ops;

/* The caller's side of a stream (stream_out.c). They hold j->lock. */
struct jh_relay *entry_job_new_relay(struct entry_job *j);
void entry_job_begin_reply(struct entry_job *j);
void entry_job_add_trace(struct entry_job *j);

/* Offers the request to the next worker, or refuses it (offer.c). */
void entry_job_advance(struct entry_job *j);

/* Cancels the work on the agent (cancel.c). */
void entry_job_cancel(struct entry_job *j);

/* Settles the reply and forgets the job; no lock is held. */
void entry_job_finish(struct entry_job *j);
void entry_job_refuse(
    struct entry_job *j, enum entry_error code, enum entry_ran ran);

/* Cancels jobs whose caller did not reconnect in time. */
void entry_jobs_tick(struct entry *e);

#endif
