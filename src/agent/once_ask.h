#ifndef AGENT_ONCE_ASK_H
#define AGENT_ONCE_ASK_H

#include <jacinthhill/ledger.h>

#include "base/auth.h"

/* Queries other agents for the states of nonces, on a thread of its own. */
struct once_ask;

struct once_ask_ops {
	/*
	 * Called on that thread. The response may be NULL and is valid during
	 * the call.
	 */
	void (*answered)(void *arg, uint64_t op, enum jh_nonce_state state,
	    struct jh_call_response *response);
};

struct once_ask *once_ask_create(
    const struct jh_auth_key *key, const struct once_ask_ops *ops, void *arg);
void once_ask_destroy(struct once_ask *k);

/*
 * Queues a query to the agent at that address, "ADDRESS:PORT". Returns false
 * when too many queries wait or the address is invalid.
 */
bool once_ask_start(
    struct once_ask *k, uint64_t op, const char *agent, struct jh_nonce nonce);

#endif
