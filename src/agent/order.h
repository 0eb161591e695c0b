#ifndef AGENT_ORDER_H
#define AGENT_ORDER_H

#include <jansson.h>

#include "agent/agent.h"
#include "rpc/control.h"

/*
 * Orders to the engine; docs/orders.md. One order runs at a time: the agent
 * gives the engine no new work, waits for what runs, passes the order on, and
 * gives work again once the engine has reported its state anew.
 */
struct agent_orders;

struct agent_order_ops {
	/*
	 * The fencing token, asked for repeatedly until the order is sent; 0
	 * ends the order.
	 */
	uint64_t (*token)(void *arg);
	/* The order has ended and the engine gets work again. */
	void (*done)(void *arg, bool loaded);
};

struct agent_order {
	const char *duty; /* the lease's name */
	uint64_t token;
	const char *model;
	const char *weights;
	const struct agent_order_ops *ops; /* NULL: token stays as it is */
	void *arg;
};

struct agent_orders *agent_orders_create(void);
void agent_orders_destroy(struct agent_orders *o);

/* Accepts an order and returns NULL, or returns why not. */
const char *agent_order_start(struct agent *a, const struct agent_order *order);
/* Takes the present order on; call it from the control thread. */
void agent_order_tick(struct agent *a);

/* Whether the engine gets no new work. Holds a->lock. */
bool agent_order_holds(const struct agent *a);
/* The engine has answered a question sent at that time. Holds a->lock. */
void agent_order_reported(struct agent *a, uint64_t asked_at);
/* State and outcome of the last order. Holds a->lock. */
json_t *agent_order_dump(const struct agent *a);

/* Serves JH_ORDER. */
void agent_order_handle(void *arg, const void *args, void *reply);

#endif
