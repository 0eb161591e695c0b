#ifndef ONCE_CALL_H
#define ONCE_CALL_H

#include <glib.h>

#include "once/record.h"

enum jh_step {
	JH_STEP_READ,
	JH_STEP_CREATE,
	JH_STEP_ASK, /* the holder of the record's nonce */
	JH_STEP_REPLACE, /* an abandoned nonce by ours */
	JH_STEP_RUN, /* the record holds our nonce; the call was sent */
	JH_STEP_WRITE, /* the outcome is known; its record is not written */
};

struct jh_waiter {
	uint64_t id;
	uint64_t deadline;
	bool first;
};

/* One idempotency key in flight at this agent. */
struct jh_call {
	char *object;
	char *request_hash;
	uint64_t seq; /* of our nonce */
	enum jh_step step;
	uint64_t op; /* outstanding operation, 0 if none */
	uint64_t due; /* when to start the step again if op is 0 */
	uint64_t give_up; /* store or peer silent until here: refuse */
	unsigned int tries; /* failures in a row */
	uint64_t version; /* of the record last seen, 0 if none */
	struct jh_nonce holder; /* nonce in the record last seen */
	char *holder_agent;
	bool foreign; /* a record of another agent was seen */
	bool holder_gone; /* the holder is gone; the record is read again */
	GArray *waiters; /* of struct jh_waiter */
	struct jh_call_answer *answer;
	size_t answer_bytes; /* charged to the ledger's unwritten bytes */
	bool lost; /* sent, and no answer came */
};

struct jh_call *jh_call_create(char *object, struct jh_str request_hash);
void jh_call_free(struct jh_call *c);

#endif
