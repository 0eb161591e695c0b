#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include "gateway/gateway.h"
#include "route/attempt.h"
#include "stream/sse_parser.h"

/* One request of a client, from its arrival to its final response. */
struct exchange {
	struct jh_gateway *gateway;
	struct jh_server_request *conn_request; /* NULL once the client left */
	struct jh_client_request request;
	struct jh_route_table *routes; /* in force when the request arrived */
	const struct jh_route *route;
	const struct jh_route_org *org; /* NULL: none */
	double quota_cost; /* admitted against the quota of org; 0: none */
	const struct jh_service *service; /* NULL: not configured */
	const struct jh_service
	    *prefix_store; /* of cached prefixes; NULL: none */
	const char *service_name;
	uint64_t arrived;
	/* Of the client's connection, which outlives the exchange; or NULL. */
	struct jh_memory_account *account;
	size_t body_counted; /* there, of the response's body */
	bool evicted; /* while the response was read */
	struct jh_choose_request choose; /* the same for all attempts */
	char *model;
	struct jh_attempts attempts;
	/* The prompt's shared parts and the request itself, in suspects.h. */
	struct jh_fingerprint suspect_part[JH_PROMPT_MAX_SHARED_IDS + 1];
	size_t n_suspect_parts;
	bool was_in_crash; /* it was reported as such */
	uint64_t excluded[JH_CHOOSE_MAX_EXCLUDED];
	size_t n_excluded;
	bool may_return; /* to a worker that has already responded */
	uv_timer_t deadline_timer; /* for the final response */
	bool overdue; /* the deadline has passed; the loop polls once more */
	uint64_t polls; /* of the loop, at that time */

	/* The attempt in progress. */
	struct jh_call *call;
	char *worker_id; /* id; NULL: none */
	uint64_t worker_hash; /* of the id */
	uint64_t worker_started_ms;
	struct sockaddr_in worker_address;
	uint64_t sent_at;
	uint64_t expected_ttft; /* microseconds to the first token */
	uint64_t idle_ttft; /* the same if the worker were idle */
	uint64_t requested_weights; /* version */
	/* Prefix store that the worker fetches from; 0: none, or only one. */
	uint64_t fetch_store; /* hash */
	uint64_t fetch_tokens; /* that it surely has */
	struct jh_worker_load load; /* of the attempt at its worker */
	uint64_t nominal_ttft; /* see struct jh_choice */
	uv_timer_t silence_timer; /* aborts an attempt without a response */
	uint64_t quiet_since; /* see struct jh_silence */
	unsigned int silence_checks;
	bool silence_due; /* the timer has expired; the loop polls once more */
	uint64_t silence_polls; /* of the loop, at that time */
	bool other_instance; /* responds in place of the chosen worker */
	bool silence_timed_out; /* the silence timer has expired */
	bool malformed; /* the response breaks the protocol or a limit */
	struct jh_worker_response response;
	unsigned int status; /* 0: no response head has arrived */
	bool until_close; /* the response ends with its connection */
	unsigned int attempt_events; /* complete events of this attempt */
	GString *fields; /* header lines for the client */
	GByteArray *body; /* of a response that is no stream; NULL: empty */
	struct jh_sse_parser *events; /* of a stream */
	bool streaming; /* the response is a stream of events */
	bool response_begun; /* the head was sent to the client */
	bool paused; /* reading from the worker stopped: slow client */
	uint64_t last_event;
	bool has_last_event;
	unsigned int n_events;
	uint64_t first_at; /* first event; 0: none yet */
	unsigned int open_handles; /* timers that are not closed */
};

/* attempt.c: chooses a worker and sends it the request. */
void exchange_start_attempt(struct exchange *x);
/* Retry delay for clients when no worker can take a request. */
#define EXCHANGE_NO_WORKER_SECONDS 0.3

/*
 * No attempt follows: refuses the request, which the client may retry after
 * seconds, or reports an unknown outcome.
 */
void exchange_give_up(struct exchange *x, const char *reason, double seconds);
/* Aborts the attempt in progress, if there is one. */
void exchange_cancel_attempt(struct exchange *x);

/*
 * finish.c: the final responses. Each frees the exchange once its timers are
 * closed; reason is for the log.
 */
void exchange_relay_response(struct exchange *x);
/* The request has not run; the client may retry after seconds, unless 0. */
void exchange_refuse(struct exchange *x, const char *reason, double seconds);
/* The request may have run. */
void exchange_fail(struct exchange *x, unsigned int status, const char *reason);
void exchange_end_stream(struct exchange *x);
void exchange_break_stream(struct exchange *x, const char *reason);
void exchange_free(struct exchange *x);

/* relay.c: handles the worker's response as it arrives. */
extern const struct jh_call_ops exchange_call_ops;
/* The client has taken all that was written: resumes a paused worker. */
void exchange_drained(struct exchange *x);

/*
 * body.c: the body of a response that is no stream, held until it is complete.
 * Returns false if there is no room for more of it.
 */
bool exchange_hold_body(struct exchange *x, const char *p, size_t n);
void exchange_release_body(struct exchange *x);

/*
 * memory.c: the memory budget is used up. A request that has not been sent to a
 * worker is refused; otherwise the client's connection is closed.
 */
void exchange_evict(struct exchange *x);
/*
 * Evicts whom the budget chooses. Returns false if it is this exchange, whose
 * attempt the caller must give up.
 */
bool exchange_enforce_budget(struct exchange *x);

/* worker_notice.c: the response says that its worker leaves, or refuses. */
void exchange_observe_notices(struct exchange *x);

/* rate_limit.c: takes over the limit that the response names, or its end. */
void exchange_observe_rate_limit(struct exchange *x);
/* No worker has room before that time. */
void exchange_refuse_limited(
    struct exchange *x, uint64_t now, uint64_t room_at);

/*
 * prefix_store.c: counts what the attempt fetches and saves; evaluates the time
 * to its first event.
 */
void exchange_count_prefix(struct exchange *x, const struct jh_choice *choice);
void exchange_check_prefix_store(struct exchange *x, uint64_t now);

/* suspect.c: requests that crash the workers that run them. */
void exchange_set_suspect_parts(struct exchange *x);
/* Hash of the request's organisation, target and body, for the log. */
uint64_t exchange_fingerprint(const struct exchange *x);
/* The worker ended before any output of the response, or midway. */
void exchange_report_crash(struct exchange *x);
/* No connection to the worker could be opened. */
void exchange_report_unreachable(struct exchange *x);
/* A response has begun: its worker has not ended before. */
void exchange_check_reported_crash(struct exchange *x);
/* The first output of the response has arrived. */
void exchange_clear_suspects(struct exchange *x);
/* The response is complete. */
void exchange_note_completed(struct exchange *x);
/*
 * Ends the exchange and returns true if the request has a part that crashes
 * workers, or may have one and has run already.
 */
bool exchange_refuse_quarantined(struct exchange *x);

/* The worker of the attempt, or NULL if it was removed. */
struct jh_worker *exchange_worker(struct exchange *x);
/* The organisation's rank, or that of the route if it has none. */
unsigned int exchange_effective_rank(const struct exchange *x);
/* Subtracts the attempt from the load of its worker. */
void exchange_release_load(struct exchange *x);
/* The same for the prompt tokens alone, after the first event. */
void exchange_release_prefill(struct exchange *x);

#endif
