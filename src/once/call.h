#ifndef ONCE_CALL_H
#define ONCE_CALL_H

#include <glib.h>

#include "once/record.h"

/* What a call does next; up to JH_STEP_REPLACE nothing has been sent. */
enum jh_step {
	JH_STEP_READ, /* read the record of the key */
	JH_STEP_CREATE, /* create the record with our nonce */
	JH_STEP_QUERY, /* query the agent that issued the record's nonce */
	JH_STEP_REPLACE, /* replace an abandoned nonce in the record by ours */
	JH_STEP_RUN, /* the record holds our nonce and the call was sent */
	JH_STEP_WRITE, /* write the outcome, which is known, to the record */
};

/* An attempt that waits for the result of a call. */
struct jh_waiter {
	uint64_t id; /* of the attempt; see struct jh_attempt */
	uint64_t deadline;
	bool first;
};

/* A call in progress at this agent; there is one for each idempotency key. */
struct jh_call {
	char *object;
	char *request_hash;
	uint64_t seq; /* of the nonce that this agent issued for the call */
	enum jh_step step;
	uint64_t op; /* operation in progress, 0 if none */
	uint64_t due; /* when to start the step if op is 0 */
	/*
	 * Refuses the call if the store or the peer has not responded by then.
	 */
	uint64_t retry_deadline;
	unsigned int failures; /* consecutive */
	uint64_t version; /* of the record when last read, 0 if none */
	struct jh_nonce holder; /* nonce in the record when last read */
	char *holder_agent;
	/*
	 * The record has held a nonce of another process, or was malformed or
	 * removed, so the call may have run elsewhere.
	 */
	bool foreign_record;
	bool holder_gone; /* the holder has stopped; read the record again */
	GArray *waiters; /* of struct jh_waiter */
	struct jh_call_response *response;
	size_t response_bytes; /* counted in the ledger's unwritten */
	bool response_lost; /* the call was sent and no response came */
};

struct jh_call *jh_call_create(char *object, struct jh_str request_hash);
void jh_call_free(struct jh_call *c);

#endif
