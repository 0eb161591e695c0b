#ifndef ENTRY_JOB_H
#define ENTRY_JOB_H

#include <pthread.h>

#include <jacinthhill/relay.h>

#include "entry/request_auth.h"
#include "entry/chat_request.h"

/* Placement decisions on a request, in their order. */
enum job_stage {
	STAGE_NONE,
	STAGE_FIRST, /* own region, with a bound on the first token */
	STAGE_AFTER_REFUSALS, /* own region, by the refusals of busy workers */
	STAGE_OTHER_REGION
};

/* A chat request, over all its attempts. Reference counted. */
struct entry_job {
	int refs; /* atomic */
	struct entry *entry;
	char *rid;
	struct request_auth auth;
	char *model;
	bool stream;
	bool resumable;
	uint32_t max_tokens;
	struct jh_prefix prefix;
	char salt[JH_CACHE_SALT_LEN + 1];
	char shared_salt[JH_CACHE_SALT_LEN + 1]; /* empty: no shared content */
	uint64_t arrived_at;
	uint64_t first_token_deadline;
	uint64_t reconnect_worker; /* id; 0: not a reconnect */
	uint64_t reconnect_position;

	pthread_mutex_t lock; /* guards all below */
	struct jh_http_req *req; /* NULL once finished */
	struct jh_body *body;
	struct jh_http_call *call;
	struct jh_relay *relay;
	GString *out; /* events to write to the client */
	GString *response; /* body, if not streamed */
	char *response_type; /* Content-Type, or NULL */
	struct jh_candidate candidates[JH_PLACE_MAX_CANDIDATES];
	size_t n_candidates;
	struct jh_place_refusal worker_refusals[JH_PLACE_MAX_CANDIDATES];
	size_t n_worker_refusals;
	size_t next_candidate;
	enum job_stage stage; /* of the candidates */
	bool reconnect_tried; /* the worker of the reconnect was a candidate */
	uint64_t worker; /* of the running attempt */
	char worker_name[64];
	char cached_text[24]; /* tokens found in cache, from Jh-Cached */
	bool accepted; /* the running attempt has status 200 */
	bool reply_begun; /* status and headers were sent to the client */
	bool blocked; /* paused: the client reads slowly */
	bool client_gone; /* the client closed its connection */
	bool finished;
	bool may_have_run;
	bool response_invalid; /* stream out of order, or body too long */
	bool deadline_unreachable; /* an agent refused for the deadline */
	uint32_t crashes; /* since the stream has last gone on after one */
	uint64_t crash_position; /* of the stream at the last of them */
	uint32_t crashes_in_all;
	unsigned int worker_waits; /* since the last accepted attempt */
	struct jh_fingerprint fingerprint;
	struct jh_job_parts parts;
	struct limit_admission *admission; /* NULL until admitted */
	uint64_t reconnect_deadline; /* JH_NEVER: none is awaited */
};

/* Takes the reference to req, which entry_job_finish() releases. */
struct entry_job *entry_job_create(struct entry *e, struct jh_http_req *req);
struct entry_job *entry_job_ref(struct entry_job *j);
void entry_job_unref(struct entry_job *j);

/* Expected cost in tokens on a worker that has the prefix cached. */
uint64_t entry_job_cost(const struct entry_job *j);

/* Whether a part of the stream has been passed on. */
bool entry_job_has_output(const struct entry_job *j);

/* Callbacks of one attempt; the argument is the job (attempt.c). */
extern const struct jh_http_call_ops entry_attempt_ops;

/* The client's side of a stream. The caller holds j->lock. */
struct jh_relay *entry_job_new_relay(struct entry_job *j);
void entry_job_begin_reply(struct entry_job *j);
void entry_job_add_trace_headers(struct entry_job *j);

/* Sends the request to the next worker, or refuses it. */
void entry_job_advance(struct entry_job *j);

/* Ends the running attempt and cancels its work on the agent (cancel.c). */
void entry_job_cancel(struct entry_job *j);

/*
 * Ends the job: releases its request, ends its admission and removes it from
 * the table of jobs. No lock is held.
 */
void entry_job_finish(struct entry_job *j);
/* Replies with the error, or aborts a reply that has begun, and finishes. */
void entry_job_refuse(
    struct entry_job *j, enum entry_error code, enum entry_outcome outcome);
/* Refuses a reconnect whose stream is not kept, and logs the reason. */
void entry_job_stream_lost(struct entry_job *j, const char *reason);

/* Cancels jobs whose client did not reconnect in time. */
void entry_jobs_tick(struct entry *e);

#endif
