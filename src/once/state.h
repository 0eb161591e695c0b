#ifndef ONCE_STATE_H
#define ONCE_STATE_H

#include "once/call.h"
#include "once/recent.h"

struct jh_ledger {
	struct jh_ledger_settings set;
	char *agent;
	uint64_t last_seq;
	uint64_t last_op;
	GHashTable *by_object; /* owns the calls */
	GHashTable *by_op;
	/*
	 * Holds every nonce that may still run, and every one that ran until
	 * its outcome is written. A nonce of this incarnation that is not
	 * here will never run.
	 */
	GHashTable *by_seq;
	GHashTable *by_attempt; /* attempt id to its call */
	size_t unwritten; /* bytes of answers whose record is not written */
	uint64_t failing_since; /* the store; 0 if its last answer was good */
	struct jh_recent *recent;
	GQueue actions; /* of struct jh_ledger_action */
};

/* Starts the step now, or later after a failure. */
void jh_step_start(struct jh_ledger *l, struct jh_call *c, enum jh_step step);
void jh_step_later(struct jh_ledger *l, struct jh_call *c, enum jh_step step,
    uint64_t now, enum jh_ledger_reason reason);

/* Acts on the record of the call's key as found in the store. */
void jh_step_examine(struct jh_ledger *l, struct jh_call *c, uint64_t now,
    uint64_t version, struct jh_str value);

/* The record holds our nonce: sends the call unless nobody waits. */
void jh_step_confirmed(
    struct jh_ledger *l, struct jh_call *c, uint64_t now, uint64_t version);

/* Result of writing the outcome. */
void jh_step_written(struct jh_ledger *l, struct jh_call *c, uint64_t now,
    enum jh_store_result result, uint64_t version, struct jh_str value);

void jh_reply(struct jh_ledger *l, uint64_t attempt,
    enum jh_ledger_outcome outcome, enum jh_ledger_reason reason,
    struct jh_call_answer *answer);
void jh_reply_reused(struct jh_ledger *l, uint64_t attempt, bool unrun);
void jh_reply_recent(
    struct jh_ledger *l, uint64_t attempt, const struct jh_recent_entry *e);

/* Replies the same to all waiters and forgets them. */
void jh_finish_waiters(struct jh_ledger *l, struct jh_call *c,
    enum jh_ledger_outcome outcome, enum jh_ledger_reason reason,
    struct jh_call_answer *answer);

/* Replies that the call ran, remembers that, and removes the call. */
void jh_finish_done(
    struct jh_ledger *l, struct jh_call *c, struct jh_call_answer *answer);

/* Replies not run or unknown to each waiter and abandons the nonce. */
void jh_finish_refused(
    struct jh_ledger *l, struct jh_call *c, enum jh_ledger_reason reason);

/* The same where the record proves that no attempt ran. */
void jh_finish_unused(
    struct jh_ledger *l, struct jh_call *c, enum jh_ledger_reason reason);

/* Refuses the waiters whose deadline has passed; true if c was removed. */
bool jh_finish_expired(struct jh_ledger *l, struct jh_call *c, uint64_t now);

/* True if no attempt of the key can have run before this one. */
bool jh_unrun(struct jh_ledger *l, const char *object, bool first);

void jh_remember(struct jh_ledger *l, struct jh_call *c, enum jh_result result,
    struct jh_call_answer *answer);
void jh_call_remove(struct jh_ledger *l, struct jh_call *c);

#endif
