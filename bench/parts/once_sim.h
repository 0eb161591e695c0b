#ifndef BENCH_PARTS_ONCE_SIM_H
#define BENCH_PARTS_ONCE_SIM_H

#include <stdbool.h>

#include <glib.h>

#include <jacinthhill/clock.h>

/*
 * Calls to a backend server with store outages and agent crashes, run with the
 * idempotency ledger and with models of the alternatives to it.
 */
#define ONCE_RUN_USEC (600 * JH_USEC_PER_SEC)
#define ONCE_CALLS_PER_SEC 30
#define ONCE_CALLS (600 * ONCE_CALLS_PER_SEC)
#define ONCE_STORE_USEC (5 * JH_USEC_PER_MSEC)
#define ONCE_STORE_TIMEOUT_USEC (250 * JH_USEC_PER_MSEC)
#define ONCE_BACKEND_USEC (50 * JH_USEC_PER_MSEC)
#define ONCE_DEADLINE_USEC (5 * JH_USEC_PER_SEC)
#define ONCE_RETRY_USEC (1 * JH_USEC_PER_SEC)
#define ONCE_ATTEMPTS 4
#define ONCE_CRASH_USEC (100 * JH_USEC_PER_SEC) /* between agent restarts */
#define ONCE_OUTAGE_FROM (230 * JH_USEC_PER_SEC)
#define ONCE_OUTAGE_UNTIL (290 * JH_USEC_PER_SEC)
#define ONCE_LOST_PERMILLE 10 /* store writes whose response is lost */
#define ONCE_CONN_LOST_PERMILLE 5 /* before, and as many after, sending */

struct once_call {
	uint64_t first_attempt_at; /* microseconds */
	unsigned int attempts;
	unsigned int executed;
	bool may_have_run; /* an attempt ended as done or unknown */
	bool responded; /* the client has the response */
};

struct once_result {
	uint64_t writes; /* while the store is up */
	uint64_t reads;
	uint64_t outage_ops; /* operations during the outage */
	uint64_t not_run; /* replies */
	uint64_t unknown;
	uint64_t outage_not_run; /* to attempts made in the outage */
	uint64_t outage_unknown;
	/* Latency, less the backend's time, of calls done at once; uint64_t. */
	GArray *added_usec;
	struct once_call *calls;
};

/* Time at which call i arrives. */
uint64_t once_arrival(unsigned int i);
bool once_in_outage(uint64_t t);

/*
 * Simulate the calls with the ledger, without any record, and with a lease
 * on a range of keys. They add to r, whose arrays the caller has allocated.
 */
void once_sim_ledger(struct once_result *r, GRand *rand);
void once_sim_no_record(struct once_result *r, GRand *rand);
void once_sim_range_lease(struct once_result *r, GRand *rand);

#endif
