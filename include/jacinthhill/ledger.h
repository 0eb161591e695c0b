#ifndef JACINTHHILL_LEDGER_H
#define JACINTHHILL_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/store_result.h>
#include <jacinthhill/str.h>

/*
 * Idempotency ledger of one agent: at-most-once execution of non-idempotent
 * calls. A caller sends each attempt of a call with the same idempotency key.
 * The agent records in an object store that it starts the call, and later the
 * outcome, so that the call runs at most once whichever agent a caller uses.
 *
 * The ledger does no I/O and has no threads. The embedder reports events with
 * the present time in microseconds and carries out the actions that
 * jh_ledger_next() returns. The rules are in docs/at-most-once.md.
 */
struct jh_ledger;

/* Longest response body kept in a record, in bytes; the store takes 1 MB. */
#define JH_LEDGER_RESPONSE_MAX (512 * 1024)

/* Identifies one permission to run a call; it is never issued twice. */
struct jh_nonce {
	uint64_t incarnation; /* of the agent that issued it */
	uint64_t seq;
};

/* A backend server's response to a call; immutable and reference-counted. */
struct jh_call_response;

/*
 * Copies the body and the content type, which is cut after 256 bytes. The
 * result has one reference, which belongs to the caller.
 */
struct jh_call_response *jh_call_response_create(
    unsigned int status, struct jh_str type, struct jh_str body);
struct jh_call_response *jh_call_response_ref(struct jh_call_response *a);
void jh_call_response_unref(struct jh_call_response *a);
unsigned int jh_call_response_status(const struct jh_call_response *a);
struct jh_str jh_call_response_type(const struct jh_call_response *a);
struct jh_str jh_call_response_body(const struct jh_call_response *a);

struct jh_ledger_settings {
	struct jh_str agent; /* address of this agent for other agents; ASCII */
	uint64_t incarnation; /* random for each process start, not 0 */
	size_t max_calls; /* in progress or with an unwritten outcome */
	size_t max_attempts; /* waiting attempts of all calls */
	size_t max_cached_results;
	size_t cached_bytes; /* response bodies of cached results */
	size_t unwritten_bytes; /* responses not yet in their record */
	uint64_t timeout_usec; /* refuse if store or peer do not respond */
	uint64_t poll_usec; /* between queries about a running call */
};

#define JH_LEDGER_DEFAULTS                                                   \
	.max_calls = 1024, .max_attempts = 4096, .max_cached_results = 4096, \
	.cached_bytes = 8 << 20, .unwritten_bytes = 32 << 20,                \
	.timeout_usec = 2000000, .poll_usec = 50000

/* One attempt of a caller to have a call run. The strings are copied. */
struct jh_attempt {
	uint64_t id; /* chosen by the embedder, unique among waiting ones */
	struct jh_str org;
	struct jh_str key; /* Idempotency-Key */
	struct jh_str request_hash; /* of method, path and body; ASCII */
	/*
	 * No earlier attempt with the key can have run: the caller sent
	 * X-First-Attempt, or every earlier attempt was refused as not run. An
	 * embedder that repeats an attempt after a connection broke must clear
	 * it.
	 */
	bool first;
	uint64_t deadline; /* when to refuse the attempt */
};

/* State of a nonce, as reported by the agent that issued it. */
enum jh_nonce_state {
	JH_NONCE_RUNNING, /* or about to run */
	JH_NONCE_ABANDONED, /* never ran and never will */
	JH_NONCE_DONE, /* ran; comes with the response if it was kept */
	JH_NONCE_LOST, /* sent, but the response is lost */
	JH_NONCE_NO_SUCH_AGENT, /* other incarnation, or no longer listed */
	JH_NONCE_NO_RESPONSE, /* the agent did not respond to the query */
};

enum jh_ledger_outcome {
	JH_LEDGER_DONE, /* ran; comes with the response */
	JH_LEDGER_NOT_KEPT, /* ran; the response was not kept */
	JH_LEDGER_NOT_RUN, /* refused; no attempt with the key has run */
	JH_LEDGER_UNKNOWN, /* refused or failed; the call may have run */
	JH_LEDGER_KEY_REUSED, /* the key belongs to another request */
};

enum jh_ledger_reason {
	JH_LEDGER_REASON_NONE,
	JH_LEDGER_REASON_STORE_UNAVAILABLE,
	/* The connection failed before the request was sent. */
	JH_LEDGER_REASON_BACKEND_UNREACHABLE,
	/* The connection failed after the request was sent. */
	JH_LEDGER_REASON_BACKEND_LOST,
	/* The agent that started the call has stopped. */
	JH_LEDGER_REASON_HOLDER_GONE,
	/* The agent that started the call does not respond to queries. */
	JH_LEDGER_REASON_HOLDER_TIMEOUT,
	JH_LEDGER_REASON_DEADLINE,
	JH_LEDGER_REASON_FULL, /* max_calls or max_attempts reached */
	/* The record is malformed, inconsistent or removed. */
	JH_LEDGER_REASON_BAD_RECORD,
};

/* Whether the caller's request has run; part of the reply. */
enum jh_ledger_ran {
	JH_LEDGER_RAN_NO,
	JH_LEDGER_RAN_YES,
	JH_LEDGER_RAN_UNKNOWN,
};

/* Kinds of action, with the members of struct jh_ledger_action in use. */
enum jh_ledger_act {
	JH_LEDGER_READ, /* object */
	JH_LEDGER_CREATE, /* object, value; only if absent */
	JH_LEDGER_UPDATE, /* object, value; only at the given version */
	JH_LEDGER_QUERY, /* agent, nonce; query the nonce's state */
	JH_LEDGER_SEND, /* send the request of the given attempt, once */
	JH_LEDGER_REPLY, /* attempt, outcome, reason, ran, response */
	/* The outcome cannot be recorded. */
	JH_LEDGER_NOT_RECORDED, /* object; the embedder logs it */
};

/*
 * An action for the embedder to carry out. For each of the first five kinds it
 * reports exactly one result with the same op. A result for a call that has
 * ended meanwhile is ignored.
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
	struct jh_call_response *response; /* NULL unless outcome is DONE */
};

struct jh_ledger *jh_ledger_create(const struct jh_ledger_settings *s);
void jh_ledger_destroy(struct jh_ledger *l);

/* Removes and returns the oldest action, NULL if none. The caller frees it. */
struct jh_ledger_action *jh_ledger_next(struct jh_ledger *l);
void jh_ledger_action_free(struct jh_ledger_action *a);

/* Starts an attempt; one JH_LEDGER_REPLY follows unless it is cancelled. */
void jh_ledger_attempt(
    struct jh_ledger *l, uint64_t now, const struct jh_attempt *a);

/* The caller has disconnected. No reply to the attempt follows. */
void jh_ledger_attempt_cancel(struct jh_ledger *l, uint64_t now, uint64_t id);

/*
 * Result of READ, CREATE or UPDATE. A found record and a conflict come with
 * the value; a conflict whose value is not known is reported as
 * JH_STORE_UNKNOWN.
 */
void jh_ledger_store_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_store_result result, uint64_t version, struct jh_str value);

/* Result of QUERY; response is NULL unless DONE and the response was kept. */
void jh_ledger_peer_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_nonce_state state, struct jh_call_response *response);

/* Result of SEND: the complete response was received. */
void jh_ledger_backend_response(struct jh_ledger *l, uint64_t now, uint64_t op,
    struct jh_call_response *response);

/*
 * Result of SEND: the connection failed. sent is false only if certainly no
 * byte of the request was sent.
 */
void jh_ledger_backend_failed(
    struct jh_ledger *l, uint64_t now, uint64_t op, bool sent);

/*
 * Returns the state of a nonce of this agent, for a query by another agent.
 * *response is set to a new reference to the response, or to NULL.
 */
enum jh_nonce_state jh_ledger_nonce_state(struct jh_ledger *l,
    struct jh_nonce nonce, struct jh_call_response **response);

/*
 * Expires attempts and starts retries that are due. Call it at jh_ledger_due()
 * or later; that is JH_NEVER if nothing is waiting.
 */
void jh_ledger_tick(struct jh_ledger *l, uint64_t now);
uint64_t jh_ledger_due(const struct jh_ledger *l);

/*
 * Number of calls in progress or with an unwritten outcome; if it is 0, the
 * process can stop without losing an outcome.
 */
size_t jh_ledger_calls(const struct jh_ledger *l);

/* Name of the record, calls/<org>/<key hash>; free with g_free(). */
char *jh_ledger_object(struct jh_str org, struct jh_str key);

#endif
