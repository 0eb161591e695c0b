#ifndef JACINTHHILL_QUEUE_H
#define JACINTHHILL_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/rank.h>
#include <jacinthhill/str.h>

/*
 * A bounded priority queue in front of one engine. It orders requests by rank,
 * shares the engine between organisations by weight, and serves the items of an
 * organisation by deadline. Not safe for concurrent use; the caller serializes
 * calls and passes the current time (microseconds, see clock.h), which must not
 * go back.
 *
 * Typical use: jh_queue_offer() on arrival; after every offer, first token,
 * end of a request and timer (jh_queue_next_wakeup()): jh_queue_expire(), then
 * jh_queue_next() until it returns false, then jh_queue_take_refused() until
 * it returns false.
 */
struct jh_queue;

enum jh_queue_reason {
	JH_QUEUE_ACCEPTED,
	/* The estimated time of the first token is past the deadline. */
	JH_QUEUE_DEADLINE,
	/* The queue is full, and no item in it may be displaced by this one. */
	JH_QUEUE_FULL,
	/* Evicted to make room for another item. */
	JH_QUEUE_DISPLACED,
	/* The deadline passed or became unreachable while queued. */
	JH_QUEUE_EXPIRED,
	/* The id is already queued or running. */
	JH_QUEUE_DUPLICATE,
	JH_QUEUE_REASONS,
};

/* Settings; jh_queue_config_init() sets the defaults. */
struct jh_queue_config {
	/* Number of requests that the engine runs concurrently. */
	unsigned int slots;
	/*
	 * Guaranteed share of dispatched cost for background work; at most 50.
	 */
	unsigned int background_floor_percent;
	/*
	 * Limits on the number and the cost of queued items, over both ranks.
	 */
	size_t max_items;
	uint64_t max_cost;
	/* Cost of one uncached prompt token and one output token. */
	unsigned int prefill_weight;
	unsigned int decode_weight;
	/*
	 * No further prompt is sent to the engine while requests before their
	 * first token have more prompt tokens than this.
	 */
	unsigned int prefill_window;
	/* Rates in tokens per second that are assumed until measured. */
	unsigned int prefill_rate;
	unsigned int decode_rate;
};

struct jh_queue_item {
	/* Unique among queued and running items. */
	uint64_t id;
	/* Copied on offer. */
	struct jh_str org;
	/* Share of the organisation within its rank; 0 counts as 1. */
	unsigned int weight;
	enum jh_rank rank;
	/* Deadline of the first token, or JH_NEVER. */
	uint64_t deadline;
	/* Uncached prompt tokens and expected output tokens. */
	uint32_t prefill;
	uint32_t decode;
	/* For the caller; not read. */
	void *data;
};

struct jh_queue_decision {
	enum jh_queue_reason reason;
	/* Estimated time of the first token; also set for a refused item. */
	uint64_t first_token;
};

/* An accepted item that was evicted without having run. */
struct jh_queue_refused {
	struct jh_queue_item item;
	enum jh_queue_reason reason;
};

/* How a running item ended. */
enum jh_queue_end {
	JH_QUEUE_END_DONE,
	/* Cancelled, failed or lost with the engine; rates are not updated. */
	JH_QUEUE_END_ABORTED,
};

void jh_queue_config_init(struct jh_queue_config *config);

struct jh_queue *jh_queue_create(const struct jh_queue_config *config);
/* Frees the queue; queued items are not returned. */
void jh_queue_destroy(struct jh_queue *q);

/*
 * Accepts the item (reason JH_QUEUE_ACCEPTED; returns true) or refuses it
 * immediately. May evict other items to the refused list.
 */
bool jh_queue_offer(struct jh_queue *q, uint64_t now,
    const struct jh_queue_item *item, struct jh_queue_decision *decision);

/*
 * Writes the item to send to the engine now and counts it as running; returns
 * false if there is none. item->org stays valid until jh_queue_finished().
 */
bool jh_queue_next(
    struct jh_queue *q, uint64_t now, struct jh_queue_item *item);

/* Reports the first token of a running item; unknown ids are ignored. */
void jh_queue_first_token(struct jh_queue *q, uint64_t now, uint64_t id);

/*
 * Ends a running item and frees its slot. decoded is the number of output
 * tokens; the organisation is charged the difference from the expected cost.
 * Returns false if the id is not running.
 */
bool jh_queue_finished(struct jh_queue *q, uint64_t now, uint64_t id,
    enum jh_queue_end end, uint32_t decoded);

/* Removes a queued item; false if the id is not queued (it may be running). */
bool jh_queue_cancel(struct jh_queue *q, uint64_t id);

/* Evicts items that can no longer meet their deadline to the refused list. */
void jh_queue_expire(struct jh_queue *q, uint64_t now);

/*
 * Earliest time at which jh_queue_expire() or jh_queue_next() may have work
 * without another event; JH_NEVER if none.
 */
uint64_t jh_queue_next_wakeup(const struct jh_queue *q);

/*
 * Removes one item from the refused list; out->item.org is valid until the next
 * call on q. Returns false if the list is empty.
 */
bool jh_queue_take_refused(struct jh_queue *q, struct jh_queue_refused *out);

/*
 * Estimated time of the first token of an item offered now. Only org, weight,
 * rank, deadline, prefill and decode are read.
 */
uint64_t jh_queue_estimate(
    const struct jh_queue *q, uint64_t now, const struct jh_queue_item *item);

/* Name of a reason in metrics and logs; never NULL. */
const char *jh_queue_reason_name(enum jh_queue_reason reason);

/* Calls visit for each figure of the state, for metrics and the state dump. */
void jh_queue_visit(const struct jh_queue *q,
    void (*visit)(void *arg, const char *name, uint64_t value), void *arg);

/* State of one organisation at one rank. */
struct jh_queue_org {
	struct jh_str org;
	enum jh_rank rank;
	size_t queued;
	uint64_t queued_cost;
	unsigned int running;
};
/* Calls visit for each organisation with queued or running items. */
void jh_queue_visit_orgs(const struct jh_queue *q,
    void (*visit)(void *arg, const struct jh_queue_org *org), void *arg);

#endif
