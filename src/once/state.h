#ifndef ONCE_STATE_H
#define ONCE_STATE_H

#include "once/call.h"
#include "once/result_cache.h"

/* The state of one agent's idempotency ledger. */
struct jh_ledger {
	struct jh_ledger_settings settings;
	char *agent;
	uint64_t last_seq;
	uint64_t last_op;
	GHashTable *by_object; /* object name to its call; owns the calls */
	GHashTable *by_op; /* operation to its call */
	/*
	 * Sequence number of a nonce to its call. Contains each nonce that may
	 * still run, and each that has run until its outcome is written. A
	 * nonce of this incarnation that is not in the table will never run.
	 */
	GHashTable *by_seq;
	GHashTable *by_attempt; /* id of a waiting attempt to its call */
	size_t unwritten; /* bytes of responses of calls in progress */
	/* First failure of the store since its last success, or 0. */
	uint64_t failing_since;
	struct jh_result_cache *results;
	GQueue actions; /* of struct jh_ledger_action */
};

/*
 * jh_step_start() starts the step now. jh_step_retry() starts it after a
 * backoff delay, or refuses the call for the given reason if that is too late.
 */
void jh_step_start(struct jh_ledger *l, struct jh_call *c, enum jh_step step);
void jh_step_retry(struct jh_ledger *l, struct jh_call *c, enum jh_step step,
    uint64_t now, enum jh_ledger_reason reason);

/* Handles the record of the call's key as it is in the store. */
void jh_step_handle_record(struct jh_ledger *l, struct jh_call *c, uint64_t now,
    uint64_t version, struct jh_str value);

/* The record holds our nonce: sends the call, unless all waiters expired. */
void jh_step_send(
    struct jh_ledger *l, struct jh_call *c, uint64_t now, uint64_t version);

/* Handles the result of writing the outcome. */
void jh_step_written(struct jh_ledger *l, struct jh_call *c, uint64_t now,
    enum jh_store_result result, uint64_t version, struct jh_str value);

/* Queues the reply to one attempt. */
void jh_reply(struct jh_ledger *l, uint64_t attempt,
    enum jh_ledger_outcome outcome, enum jh_ledger_reason reason,
    struct jh_call_response *response);
/*
 * Replies that the key belongs to another request. not_run tells whether the
 * caller's own request certainly has not run with it.
 */
void jh_reply_reused(struct jh_ledger *l, uint64_t attempt, bool not_run);
void jh_reply_cached(
    struct jh_ledger *l, uint64_t attempt, const struct jh_cached_result *e);

/* Sends the same reply to all waiters and removes them from the call. */
void jh_reply_waiters(struct jh_ledger *l, struct jh_call *c,
    enum jh_ledger_outcome outcome, enum jh_ledger_reason reason,
    struct jh_call_response *response);

/* Replies that the call ran, caches the result and removes the call. */
void jh_finish_done(
    struct jh_ledger *l, struct jh_call *c, struct jh_call_response *response);

/* Replies "not run" or "unknown" to each waiter and abandons the nonce. */
void jh_finish_refused(
    struct jh_ledger *l, struct jh_call *c, enum jh_ledger_reason reason);

/* Refuses waiters whose deadline has passed; returns true if c was removed. */
bool jh_finish_expired(struct jh_ledger *l, struct jh_call *c, uint64_t now);

/* Adds the result of the call to the cache. */
void jh_call_cache_result(struct jh_ledger *l, struct jh_call *c,
    enum jh_result result, struct jh_call_response *response);
/* Removes the call and frees it; its nonce is then abandoned. */
void jh_call_remove(struct jh_ledger *l, struct jh_call *c);

#endif
