#ifndef AGENT_ORDER_H
#define AGENT_ORDER_H

#include <jansson.h>

#include "agent/agent.h"
#include "rpc/control.h"

/*
 * Orders to the engine (docs/orders.md). One order runs at a time: the agent
 * starts no new requests on the engine, waits for those in progress, sends the
 * order, and starts requests again once the engine has reported its new state.
 */
struct agent_orders;

struct agent_order_ops {
	/*
	 * Returns the fencing token, or 0 to end the order. Called repeatedly
	 * until the order is sent.
	 */
	uint64_t (*token)(void *arg);
	/* The order has ended and the engine gets requests again. */
	void (*done)(void *arg, bool loaded);
};

struct agent_order {
	const char *lease_name; /* of the lease that the token belongs to */
	uint64_t token;
	const char *model;
	const char *weights;
	const struct agent_order_ops *ops; /* NULL: the token is fixed */
	void *arg;
};

struct agent_orders *agent_orders_create(void);
void agent_orders_destroy(struct agent_orders *o);

/* Accepts an order and returns NULL, or returns the reason of the refusal. */
const char *agent_order_start(struct agent *a, const struct agent_order *order);
/* Advances the present order; call it from the control thread. */
void agent_order_tick(struct agent *a);

/*
 * Whether an order keeps new requests from the engine. The caller holds
 * a->lock.
 */
bool agent_order_blocks_jobs(const struct agent *a);
/*
 * Reports that the engine answered a poll of its state that was sent at that
 * time. The caller holds a->lock.
 */
void agent_order_on_engine_state(struct agent *a, uint64_t queried_at);
/*
 * Returns state and outcome of the last order as a new reference. The caller
 * holds a->lock.
 */
json_t *agent_order_dump(const struct agent *a);

/* Serves JH_ORDER. */
void agent_order_handle(void *arg, const void *args, void *reply);

#endif
