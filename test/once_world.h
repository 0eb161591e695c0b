#ifndef TEST_ONCE_WORLD_H
#define TEST_ONCE_WORLD_H

#include <stdbool.h>
#include <stdint.h>

/* A fault planted in the world; the checks must notice each. */
enum once_mutant {
	ONCE_SOUND,
	ONCE_STORE_IGNORES_CONDITION, /* a create overwrites a record */
	ONCE_PEER_SAYS_ABANDONED, /* of a nonce that may be running */
	ONCE_CALLER_CLAIMS_FIRST, /* on each attempt */
	ONCE_SEND_IS_REPEATED, /* after a broken connection */
	ONCE_ANSWERS_ARE_CROSSED, /* between keys */
};

/* What a run has seen; a run that saw nothing proves nothing. */
struct once_seen {
	unsigned int outcome[5]; /* replies by enum jh_ledger_outcome */
	unsigned int replaced; /* abandoned nonces run by another agent */
	unsigned int late_writes; /* applied after "no answer" */
	unsigned int crashes;
};

/*
 * Runs random interleavings of three agents, callers that retry at different
 * agents, one store and one backend server. Returns NULL, or what went wrong.
 */
const char *once_world_run(
    uint64_t seed, enum once_mutant mutant, struct once_seen *seen);

#endif
