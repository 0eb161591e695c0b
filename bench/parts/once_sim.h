#ifndef BENCH_PARTS_ONCE_SIM_H
#define BENCH_PARTS_ONCE_SIM_H

#include <stdbool.h>

#include <glib.h>

#include <jacinthhill/clock.h>

/* The same scenario for the ledger and the models it is compared with. */
#define ONCE_RUN_USEC (600 * JH_USEC_PER_SEC)
#define ONCE_CALLS_PER_SEC 30
#define ONCE_CALLS (600 * ONCE_CALLS_PER_SEC)
#define ONCE_STORE_USEC (5 * JH_USEC_PER_MSEC)
#define ONCE_STORE_TIMEOUT_USEC (250 * JH_USEC_PER_MSEC)
#define ONCE_SERVER_USEC (50 * JH_USEC_PER_MSEC)
#define ONCE_DEADLINE_USEC (5 * JH_USEC_PER_SEC)
#define ONCE_RETRY_USEC (1 * JH_USEC_PER_SEC)
#define ONCE_ATTEMPTS 4
#define ONCE_CRASH_USEC (100 * JH_USEC_PER_SEC) /* between agent restarts */
#define ONCE_OUTAGE_FROM (230 * JH_USEC_PER_SEC)
#define ONCE_OUTAGE_UNTIL (290 * JH_USEC_PER_SEC)
#define ONCE_LOST_PERMILLE 10 /* store answers lost after the write */
#define ONCE_BROKE_PERMILLE 5 /* connections to the server, each kind */

struct once_call {
	uint64_t begun; /* first attempt */
	unsigned int attempts;
	unsigned int executed;
	bool may_have_run; /* an attempt did not end as not run */
	bool known; /* the caller has its answer */
};

struct once_result {
	uint64_t writes; /* while the store is up */
	uint64_t reads;
	uint64_t in_vain; /* operations tried in the outage */
	uint64_t not_run; /* replies */
	uint64_t unknown;
	uint64_t outage_not_run; /* to attempts made in the outage */
	uint64_t outage_unknown;
	GArray
	    *added; /* uint64_t: latency of calls done at once, less server */
	struct once_call *calls;
};

/* Arrival of call i. */
uint64_t once_arrival(unsigned int i);
bool once_in_outage(uint64_t t);

void once_sim_ledger(struct once_result *r, GRand *rand);
void once_sim_no_record(struct once_result *r, GRand *rand);
void once_sim_range_lease(struct once_result *r, GRand *rand);

#endif
