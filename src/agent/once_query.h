#ifndef AGENT_ONCE_QUERY_H
#define AGENT_ONCE_QUERY_H

#include <jacinthhill/ledger.h>

#include "base/auth.h"

/* Queries other agents for the states of nonces, on a thread of its own. */
struct once_query;

struct once_query_ops {
	/*
	 * Called on that thread. The response may be NULL and is valid during
	 * the call.
	 */
	void (*on_result)(void *arg, uint64_t op, enum jh_nonce_state state,
	    struct jh_call_response *response);
};

struct once_query *once_query_create(
    const struct jh_auth_key *key, const struct once_query_ops *ops, void *arg);
void once_query_destroy(struct once_query *k);

/*
 * Queues a query to the agent at that address, "ADDRESS:PORT". Returns false
 * when too many queries wait or the address is invalid.
 */
bool once_query_start(struct once_query *k, uint64_t op, const char *agent,
    struct jh_nonce nonce);

#endif
