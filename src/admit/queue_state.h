#ifndef ADMIT_QUEUE_STATE_H
#define ADMIT_QUEUE_STATE_H

#include <glib.h>

#include "admit/queue_engine.h"
#include "admit/queue_rank.h"

/* Times are microseconds. */
struct jh_queue {
	struct jh_queue_config config;
	/* Queued and running entries by id. */
	GHashTable *entries;
	struct jh_queue_rank ranks[JH_RANKS];
	/* Queued entries by latest start. */
	struct jh_queue_heap expiry;
	/* Evicted items to return to the caller; they own their org string. */
	GQueue refused;
	/* The org string of the evicted item that was returned last. */
	char *last_refused_org;
	struct jh_queue_engine engine;
	/*
	 * Cost of background work that may start before urgent work, times
	 * (100 - background_floor_percent), so that no division rounds it.
	 */
	int64_t background_credit;
	/* Limit of background_credit, in the same unit. */
	int64_t max_credit;
	/* Mean number of slots that urgent items hold or wait for. */
	struct jh_queue_time_mean urgent_slots;
	/* Mean weight of the organisations with urgent items. */
	struct jh_queue_time_mean urgent_weight;
	/*
	 * Time at which jh_queue_next() may return an item without any event.
	 */
	uint64_t ready_at;
	/* Sequence number of the next item that is queued. */
	uint64_t next_seq;
	/* Decisions and evictions by reason. */
	uint64_t counts[JH_RANKS][JH_QUEUE_REASONS];
	/* Expected cost of all items sent to the engine. */
	uint64_t dispatched_cost[JH_RANKS];
};

/* Cost of an item with these numbers of prompt and output tokens. */
uint64_t jh_queue_cost(
    const struct jh_queue *q, uint64_t prefill, uint64_t decode);
/* Removes a queued entry, frees it and puts its item on the refused list. */
void jh_queue_evict(
    struct jh_queue *q, struct jh_queue_entry *e, enum jh_queue_reason reason);
/* Slots that background work may hold without using credit. */
unsigned int jh_queue_background_slots(const struct jh_queue *q);
/*
 * Slot usage (see jh_queue_flow_usage()) below which an organisation may start
 * urgent work. The limit rises with the number of free slots, so that
 * organisations that hold few slots find a free one soon, without any setting
 * that names the organisations with too many requests.
 */
double jh_queue_urgent_usage_limit(const struct jh_queue *q);
/* Updates the means over time; called before each change. */
void jh_queue_update_means(struct jh_queue *q, uint64_t now);

#endif
