#ifndef ADMIT_QUEUE_RANK_H
#define ADMIT_QUEUE_RANK_H

#include <glib.h>

#include "admit/queue_flow.h"

/* All flows of one rank, scheduled by start-time fair queueing on cost. */
struct jh_queue_rank {
	/* By organisation; idle flows are freed some time later. */
	GHashTable *flows;
	/*
	 * Flows with queued items, by tag: one heap for each slot usage,
	 * rounded down; see jh_queue_flow_usage().
	 */
	struct jh_queue_heap *usage_heaps;
	unsigned int usage_heap_count;
	/* Number of flows with queued items. */
	size_t waiting_flows;
	/* The same flows by queued cost, largest first. */
	struct jh_queue_heap by_queued_cost;
	/* Flows without queued or running items, by tag. */
	struct jh_queue_heap idle_flows;
	/* Sum of all queued items. */
	struct jh_queue_sum queued;
	/* Sum of weights of flows with queued items, and with any items. */
	uint64_t waiting_weight;
	uint64_t active_weight;
	/* Running items. */
	unsigned int running;
	/* Running items before their first token. */
	unsigned int in_prefill;
	/* Largest start tag of the items that were started. */
	uint64_t virtual_time;
	/*
	 * Largest tag so far; virtual time is set to it when the rank is idle.
	 */
	uint64_t max_tag;
	uint64_t next_tie;
	/* Time of the current call, set by the queue. */
	uint64_t now;
};

void jh_queue_rank_init(struct jh_queue_rank *r, unsigned int slots);
/* Frees the flows; their items belong to the queue. */
void jh_queue_rank_clear(struct jh_queue_rank *r);

/* Flow of the organisation, or NULL if it has none. */
struct jh_queue_flow *jh_queue_rank_find(
    const struct jh_queue_rank *r, struct jh_str org);

/*
 * Queues an entry and sets e->flow; e->item and e->tree_node.own must be set.
 */
void jh_queue_rank_push(struct jh_queue_rank *r, struct jh_queue_entry *e);
/* Removes a queued entry without charging its flow. */
void jh_queue_rank_remove(struct jh_queue_rank *r, struct jh_queue_entry *e);
/*
 * Entry to run next, or NULL; does not remove it. Only flows whose slot usage
 * is less than max_usage are considered. The running time grows with the number
 * of slots, not with the number of queued items.
 */
struct jh_queue_entry *jh_queue_rank_first(
    const struct jh_queue_rank *r, double max_usage);
/* Removes the entry, charges its flow and counts it as running. */
void jh_queue_rank_start(struct jh_queue_rank *r, struct jh_queue_entry *e);
/* Ends a running entry and charges its flow the actual cost. */
void jh_queue_rank_finish(
    struct jh_queue_rank *r, struct jh_queue_entry *e, uint64_t cost);
/*
 * Entry to evict first: the one with the latest deadline of the organisation
 * with the most queued cost. NULL if that cost is not more than min_cost.
 */
struct jh_queue_entry *jh_queue_rank_victim(
    const struct jh_queue_rank *r, uint64_t min_cost);

#endif
