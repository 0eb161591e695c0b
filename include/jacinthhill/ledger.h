#ifndef JACINTHHILL_LEDGER_H
#define JACINTHHILL_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/store_result.h>
#include <jacinthhill/str.h>

/*
 * At-most-once execution of non-idempotent calls: one agent's ledger before
 * one object store. Events and the present time (microseconds) go in, actions
 * come out of jh_ledger_next(). The rules are in docs/at-most-once.md.
 */
struct jh_ledger;

/* Longest answer body kept in a record; store values end at 1 MB. */
#define JH_LEDGER_ANSWER_MAX (512 * 1024)

/* Names one permission to run a call. It is never issued twice. */
struct jh_nonce {
	uint64_t incarnation; /* of the agent that issued it */
	uint64_t seq;
};

/* A backend server's answer; shared and immutable. */
struct jh_call_answer;

/* Copies the type (content type, up to 256 bytes) and the body. */
struct jh_call_answer *jh_call_answer_create(
    unsigned int status, struct jh_str type, struct jh_str body);
struct jh_call_answer *jh_call_answer_ref(struct jh_call_answer *a);
void jh_call_answer_unref(struct jh_call_answer *a);
unsigned int jh_call_answer_status(const struct jh_call_answer *a);
struct jh_str jh_call_answer_type(const struct jh_call_answer *a);
struct jh_str jh_call_answer_body(const struct jh_call_answer *a);

struct jh_ledger_settings {
	struct jh_str agent; /* how other agents reach this one; ASCII */
	uint64_t incarnation; /* random for each process start, not 0 */
	size_t max_calls; /* calls in flight or with an unwritten outcome */
	size_t max_attempts; /* waiting attempts over all calls */
	size_t max_recent; /* remembered results */
	size_t recent_bytes; /* answers of remembered results */
	size_t unwritten_bytes; /* answers whose record is not yet written */
	uint64_t patience_usec; /* store or peer silent: refuse after this */
	uint64_t poll_usec; /* between questions about a running call */
};

#define JH_LEDGER_DEFAULTS                                           \
	.max_calls = 1024, .max_attempts = 4096, .max_recent = 4096, \
	.recent_bytes = 8 << 20, .unwritten_bytes = 32 << 20,        \
	.patience_usec = 2000000, .poll_usec = 50000

/* One attempt of a caller. The strings are copied. */
struct jh_attempt {
	uint64_t id; /* chosen by the embedder, unique among waiting ones */
	struct jh_str org;
	struct jh_str key; /* Idempotency-Key */
	struct jh_str request_hash; /* of method, path and body; ASCII */
	/*
	 * No earlier attempt of the key can have run: X-First-Attempt, or
	 * every earlier one was refused as not run. An embedder that repeats
	 * an attempt after a broken connection must clear it.
	 */
	bool first;
	uint64_t deadline;
};

/* What an agent says of a nonce. */
enum jh_nonce_state {
	JH_NONCE_RUNNING, /* or about to run */
	JH_NONCE_ABANDONED, /* never ran and never will */
	JH_NONCE_DONE, /* ran; the answer is given if it was kept */
	JH_NONCE_LOST, /* was sent; the backend server's answer is lost */
	JH_NONCE_NO_SUCH_AGENT, /* other incarnation, or gone from the list */
	JH_NONCE_NO_ANSWER, /* asker's view: the agent did not answer */
};

enum jh_ledger_outcome {
	JH_LEDGER_DONE, /* ran; answer given */
	JH_LEDGER_NOT_KEPT, /* ran; answer_not_kept */
	JH_LEDGER_NOT_RUN, /* refused; no attempt of the key has run */
	JH_LEDGER_UNKNOWN, /* outcome_unknown, or refused without proof */
	JH_LEDGER_KEY_REUSED, /* the key belongs to another request */
};

enum jh_ledger_reason {
	JH_LEDGER_REASON_NONE,
	JH_LEDGER_REASON_STORE, /* store unavailable */
	JH_LEDGER_REASON_SERVER_UNREACHABLE, /* broke before it was sent */
	JH_LEDGER_REASON_SERVER_BROKE, /* broke after it was sent */
	JH_LEDGER_REASON_HOLDER_GONE, /* started by a dead agent */
	JH_LEDGER_REASON_HOLDER_SILENT, /* started, holder does not answer */
	JH_LEDGER_REASON_DEADLINE,
	JH_LEDGER_REASON_FULL, /* calls or attempts at their bound */
	JH_LEDGER_REASON_RECORD, /* record malformed or removed */
};

/* For the caller: whether the key's request has run. */
enum jh_ledger_ran {
	JH_LEDGER_RAN_NOT,
	JH_LEDGER_RAN_YES,
	JH_LEDGER_RAN_UNKNOWN,
};

enum jh_ledger_act {
	JH_LEDGER_READ, /* object */
	JH_LEDGER_CREATE, /* object, value; only if absent */
	JH_LEDGER_UPDATE, /* object, value; only at the given version */
	JH_LEDGER_ASK, /* agent, nonce */
	JH_LEDGER_SEND, /* send the request of the given attempt, once */
	JH_LEDGER_REPLY, /* attempt, outcome, reason, ran, answer */
	JH_LEDGER_GIVE_UP, /* object: outcome cannot be recorded; log it */
};

/*
 * One thing for the embedder to do. Each of the first five is answered by
 * exactly one event with the same op; late ones do no harm.
 */
struct jh_ledger_action {
	enum jh_ledger_act act;
	uint64_t op;
	char *object;
	uint64_t version;
	char *value; /* JSON */
	size_t value_len;
	char *agent;
	struct jh_nonce nonce;
	uint64_t attempt;
	enum jh_ledger_outcome outcome;
	enum jh_ledger_reason reason;
	enum jh_ledger_ran ran;
	struct jh_call_answer *answer; /* NULL unless outcome is DONE */
};

struct jh_ledger *jh_ledger_create(const struct jh_ledger_settings *s);
void jh_ledger_destroy(struct jh_ledger *l);

/* Takes the oldest action, NULL if none; free it with the call below. */
struct jh_ledger_action *jh_ledger_next(struct jh_ledger *l);
void jh_ledger_action_free(struct jh_ledger_action *a);

void jh_ledger_attempt(
    struct jh_ledger *l, uint64_t now, const struct jh_attempt *a);

/* The caller has gone; no reply follows. */
void jh_ledger_attempt_left(struct jh_ledger *l, uint64_t now, uint64_t id);

/* Result of READ, CREATE or UPDATE. The value is given for a found record
 * and a conflict; without it, report JH_STORE_UNKNOWN for a conflict.
 */
void jh_ledger_store_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_store_result result, uint64_t version, struct jh_str value);

/* Answer to ASK; the answer is NULL unless state is DONE and it was kept. */
void jh_ledger_peer_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_nonce_state state, struct jh_call_answer *answer);

/* The whole answer to SEND has come. */
void jh_ledger_server_answer(struct jh_ledger *l, uint64_t now, uint64_t op,
    struct jh_call_answer *answer);

/* SEND failed. Say sent unless certainly no byte of the request left. */
void jh_ledger_server_broke(
    struct jh_ledger *l, uint64_t now, uint64_t op, bool sent);

/* Answers another agent's question. A given answer is a new reference. */
enum jh_nonce_state jh_ledger_asked(
    struct jh_ledger *l, struct jh_nonce nonce, struct jh_call_answer **answer);

/* Call at jh_ledger_due() or later; JH_NEVER if nothing waits. */
void jh_ledger_tick(struct jh_ledger *l, uint64_t now);
uint64_t jh_ledger_due(const struct jh_ledger *l);

/* Calls in flight or with an unwritten outcome; 0 allows a clean stop. */
size_t jh_ledger_calls(const struct jh_ledger *l);

/* Name of the record, calls/<org>/<key hash>; free it with g_free(). */
char *jh_ledger_object(struct jh_str org, struct jh_str key);

#endif
