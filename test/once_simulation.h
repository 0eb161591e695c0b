#ifndef TEST_ONCE_SIMULATION_H
#define TEST_ONCE_SIMULATION_H

#include <stdbool.h>
#include <stdint.h>

/* A deliberate error in the simulation; the checks must detect each. */
enum once_mutant {
	ONCE_NO_MUTATION,
	ONCE_STORE_IGNORES_CONDITION, /* a create overwrites a record */
	ONCE_PEER_SAYS_ABANDONED, /* of a nonce that may still run */
	ONCE_CALLER_CLAIMS_FIRST, /* each attempt is marked as the first */
	ONCE_SEND_IS_REPEATED, /* after the connection broke */
	ONCE_RESPONSES_ARE_SWAPPED, /* a response goes to another key */
};

/* Counts what happened, so that a test can check that each case occurred. */
struct once_coverage {
	unsigned int outcome[5]; /* replies by enum jh_ledger_outcome */
	unsigned int replaced; /* abandoned nonces replaced in a record */
	unsigned int late_writes; /* applied after their result was lost */
	unsigned int crashes;
};

/*
 * Simulates two or three agents, callers that retry at different agents, one
 * store and one backend server, with faults, in an order given by the seed.
 * Returns NULL, or the first violation of a rule.
 */
const char *once_simulation_run(
    uint64_t seed, enum once_mutant mutant, struct once_coverage *coverage);

#endif
