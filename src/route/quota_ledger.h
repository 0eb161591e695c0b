#ifndef ROUTE_QUOTA_LEDGER_H
#define ROUTE_QUOTA_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/clock.h>

/*
 * Quotas that hold for all processes together. Each process keeps an estimate
 * of one token bucket per quota, subtracts what it admits itself, and learns
 * from its peers' announcements what they admit. Announcements are cumulative,
 * so that a lost one has no effect. docs/design/quotas.md tells what happens
 * when processes cannot hear each other.
 *
 * No I/O; times are microseconds of the monotonic clock. Quotas are known by
 * any hash, processes by any number that is new at each start.
 */
struct jh_quota_ledger;

/* A limit; amounts are in any unit of cost. */
struct jh_quota_rate {
	double per_second;
	double burst;
};

/* Use of one quota, as processes announce it to each other. */
struct jh_quota_record {
	uint64_t quota;
	/*
	 * A period of use begins with the first request after a time without
	 * any, and has the next number; the sums begin at 0.
	 */
	uint32_t period;
	uint64_t age; /* microseconds since the period began */
	double admitted; /* cost, less refunds */
	double asked; /* cost of the requests, admitted or not */
};

struct jh_quota_ledger *jh_quota_ledger_create(uint64_t now);
void jh_quota_ledger_destroy(struct jh_quota_ledger *l);

/* The number of this process: it spreads decisions among the processes. */
void jh_quota_ledger_set_self(struct jh_quota_ledger *l, uint64_t id);
/* Peers that share the quotas, whether in touch or not. */
void jh_quota_ledger_add_peer(struct jh_quota_ledger *l, uint64_t id);
void jh_quota_ledger_remove_peer(
    struct jh_quota_ledger *l, uint64_t now, uint64_t id);
/* A message of the peer has arrived. */
void jh_quota_ledger_peer_heard(
    struct jh_quota_ledger *l, uint64_t now, uint64_t id);

/*
 * Adds a quota or changes its limit. Quotas that are not set between
 * jh_quota_ledger_begin_update() and jh_quota_ledger_end_update() are removed.
 */
void jh_quota_ledger_begin_update(struct jh_quota_ledger *l);
void jh_quota_ledger_set(struct jh_quota_ledger *l, uint64_t now,
    uint64_t quota, const struct jh_quota_rate *rate);
void jh_quota_ledger_end_update(struct jh_quota_ledger *l);
/* Number of quotas. */
size_t jh_quota_ledger_count(const struct jh_quota_ledger *l);

struct jh_quota_request {
	double cost;
	/* Mean cost of the requests of its kind; 0: it has the only kind. */
	double kind_cost;
};

/*
 * Admits a request and returns 0, or returns the time until a request can be
 * admitted, microseconds. A request without a quota is admitted. When there is
 * too little room, kinds with a large cost are refused first: one of them takes
 * the room of several others.
 */
uint64_t jh_quota_ledger_admit(struct jh_quota_ledger *l, uint64_t now,
    uint64_t quota, const struct jh_quota_request *r);
/* An admitted request has not run and will not run. */
void jh_quota_ledger_refund(
    struct jh_quota_ledger *l, uint64_t now, uint64_t quota, double cost);
/* The estimated level of the bucket; negative: debt. 0 without a quota. */
double jh_quota_ledger_level(
    struct jh_quota_ledger *l, uint64_t now, uint64_t quota);

/* Cost of the requests to all processes in touch, admitted or not, a second. */
double jh_quota_ledger_demand(
    const struct jh_quota_ledger *l, uint64_t now, uint64_t quota);

/* Whether peers should be told now; to be asked every 50 ms. */
bool jh_quota_ledger_is_due(struct jh_quota_ledger *l, uint64_t now);
/*
 * Writes up to max records of quotas to tell of and returns their number. *next
 * is the place to go on at in the next message; it starts at 0.
 */
size_t jh_quota_ledger_export(struct jh_quota_ledger *l, uint64_t now,
    struct jh_quota_record *out, size_t max, size_t *next);
/* Merges a record of a peer that was heard. */
void jh_quota_ledger_merge(struct jh_quota_ledger *l, uint64_t now,
    uint64_t peer, const struct jh_quota_record *r);

#endif
