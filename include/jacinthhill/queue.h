#ifndef JACINTHHILL_QUEUE_H
#define JACINTHHILL_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/rank.h>
#include <jacinthhill/str.h>

/*
 * The rank queue in front of one engine. Not safe for concurrent use; the
 * owner serializes calls and passes the present time (microseconds, see
 * clock.h), which must not go back.
 *
 * Typical use: jh_queue_offer() on arrival; after every offer, first token,
 * end of a request and timer (jh_queue_wake_at()): jh_queue_expire(), then
 * jh_queue_next() until it returns false, then jh_queue_take_refused() until
 * it returns false.
 */
struct jh_queue;

enum jh_queue_reason {
	JH_QUEUE_ACCEPTED,
	/* The estimated first token is past the deadline. */
	JH_QUEUE_DEADLINE,
	/* No room, and nothing of less value to displace. */
	JH_QUEUE_FULL,
	/* Handed back to make room for work of more value. */
	JH_QUEUE_DISPLACED,
	/* The deadline passed or became unreachable in the queue. */
	JH_QUEUE_EXPIRED,
	/* The id is already queued or running. */
	JH_QUEUE_DUPLICATE,
	JH_QUEUE_REASONS,
};

/* Settings; jh_queue_config_init() gives the defaults. */
struct jh_queue_config {
	/* Requests the engine runs at once. */
	unsigned int slots;
	/* Share of dispatched cost owed to background; at most 50. */
	unsigned int background_floor_percent;
	/* Bounds of what waits, over both ranks. */
	size_t max_items;
	uint64_t max_cost;
	/* Cost of one uncached prompt token and one answer token. */
	unsigned int prefill_weight;
	unsigned int decode_weight;
	/*
	 * Prompt tokens in the engine without a first token, beyond which
	 * nothing more is sent to it.
	 */
	unsigned int prefill_window;
	/* Rates assumed until some are measured, tokens per second. */
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
	/* Latest useful time of the first token, or JH_NEVER. */
	uint64_t deadline;
	/* Uncached prompt tokens and expected answer tokens. */
	uint32_t prefill;
	uint32_t decode;
	/* The owner's; not read. */
	void *data;
};

struct jh_queue_decision {
	enum jh_queue_reason reason;
	/* Estimated time of the first token, also of a refused item. */
	uint64_t first_token;
};

/* An accepted item that is handed back and has not run. */
struct jh_queue_refused {
	struct jh_queue_item item;
	enum jh_queue_reason reason;
};

/* How a running item ended. */
enum jh_queue_end {
	JH_QUEUE_END_DONE,
	/* Cancelled, failed or lost with the engine: no rate is learnt. */
	JH_QUEUE_END_ABORTED,
};

void jh_queue_config_init(struct jh_queue_config *config);

struct jh_queue *jh_queue_create(const struct jh_queue_config *config);
/* Drops queued items without handing them back. */
void jh_queue_destroy(struct jh_queue *q);

/*
 * Accepts the item (reason JH_QUEUE_ACCEPTED; returns true) or refuses it at
 * once. May move others to the refused list.
 */
bool jh_queue_offer(struct jh_queue *q, uint64_t now,
    const struct jh_queue_item *item, struct jh_queue_decision *decision);

/*
 * Gives the item to send to the engine now and counts it as running, or
 * returns false. item->org stays valid until jh_queue_finished().
 */
bool jh_queue_next(
    struct jh_queue *q, uint64_t now, struct jh_queue_item *item);

/* Reports the first token of a running item; unknown ids are ignored. */
void jh_queue_first_token(struct jh_queue *q, uint64_t now, uint64_t id);

/*
 * Ends a running item and frees its slot. decoded is the number of answer
 * tokens; the organisation is charged the difference from the expected cost.
 * Returns false if the id is not running.
 */
bool jh_queue_finished(struct jh_queue *q, uint64_t now, uint64_t id,
    enum jh_queue_end end, uint32_t decoded);

/* Removes a queued item; false if the id is not queued (it may run). */
bool jh_queue_cancel(struct jh_queue *q, uint64_t id);

/* Moves items that can no longer meet their deadline to the refused list. */
void jh_queue_expire(struct jh_queue *q, uint64_t now);

/* Earliest time at which jh_queue_expire() has work; JH_NEVER if none. */
uint64_t jh_queue_wake_at(const struct jh_queue *q);

/* Takes one item off the refused list; refused->item.org is valid until the
 * next call on q. Returns false if the list is empty. */
bool jh_queue_take_refused(struct jh_queue *q, struct jh_queue_refused *out);

/*
 * Estimated time of the first token of an item offered now. Only org, weight,
 * rank, deadline, prefill and decode are read.
 */
uint64_t jh_queue_estimate(
    const struct jh_queue *q, uint64_t now, const struct jh_queue_item *item);

/* Name of a reason as metrics and logs show it; never NULL. */
const char *jh_queue_reason_name(enum jh_queue_reason reason);

/* Calls visit for each figure of the state, for metrics and the dump. */
void jh_queue_visit(const struct jh_queue *q,
    void (*visit)(void *arg, const char *name, uint64_t value), void *arg);

/* Calls visit for each organisation that waits or runs. */
struct jh_queue_org {
	struct jh_str org;
	enum jh_rank rank;
	size_t queued;
	uint64_t queued_cost;
	unsigned int running;
};
void jh_queue_visit_orgs(const struct jh_queue *q,
    void (*visit)(void *arg, const struct jh_queue_org *org), void *arg);

#endif
