#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/metrics.h"
#include "base/trace.h"
#include "gateway/dialect.h"
#include "member/weights.h"
#include "net/caller.h"
#include "net/front.h"
#include "route/budget.h"
#include "route/choose.h"
#include "route/fleet.h"
#include "route/table.h"

/*
 * Takes clients' requests straight to the workers: admits each by the routing
 * table, chooses a worker, forwards the request and relays the answer. The
 * owner of this struct keeps its parts up to date; all run on one loop.
 */
struct jh_gateway {
	uv_loop_t *loop;
	const struct jh_dialect *dialect;
	struct jh_caller *caller;
	struct jh_trace *trace;
	struct jh_metrics *metrics;
	struct jh_table *table; /* NULL: no configuration is known yet */
	struct jh_fleet *fleet;
	struct jh_chooser *chooser;
	struct jh_budget *budget;
	struct jh_weights *weights;
	unsigned int processes; /* that share the workers and the budget */
	/*
	 * jh_now() time at which the process ends; 0: no stop is under way.
	 * From refuse_from on, what would not be done by then is refused.
	 */
	uint64_t ends_at;
	uint64_t refuse_from;
	/* May be NULL: a worker's answers show other weights than listed. */
	void (*saw_weights)(void *arg, struct jh_worker *worker);
	void *arg;
};

/* The front's handler; arg is the gateway. */
void jh_gateway_request(void *arg, struct jh_visit *v);

#endif
