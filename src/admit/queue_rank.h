#ifndef ADMIT_QUEUE_RANK_H
#define ADMIT_QUEUE_RANK_H

#include <glib.h>

#include "admit/queue_flow.h"

/* All flows of one rank: start-time fair queueing on cost. */
struct jh_queue_rank {
	GHashTable *flows;
	/*
	 * Flows with queued items, by tag: one heap for each number of slots
	 * that a flow holds; see jh_queue_flow_level().
	 */
	struct jh_queue_heap *levels;
	unsigned int level_count;
	size_t waiting;
	/* The same flows by queued cost. */
	struct jh_queue_heap largest;
	/* Flows without queued or running items, by tag. */
	struct jh_queue_heap idle;
	struct jh_queue_sum queued;
	/* Weights of flows with queued items, and with any items. */
	uint64_t waiting_weight;
	uint64_t active_weight;
	unsigned int running;
	/* Running items without a first token. */
	unsigned int in_prefill;
	uint64_t virtual_time;
	/* Largest tag given; virtual time jumps to it when the rank idles. */
	uint64_t max_tag;
	uint64_t next_tie;
	/* Time of the present call, set by the queue. */
	uint64_t now;
};

void jh_queue_rank_init(struct jh_queue_rank *r, unsigned int slots);
/* Frees the flows; their items belong to the queue. */
void jh_queue_rank_clear(struct jh_queue_rank *r);

/* NULL if the organisation has no flow. */
struct jh_queue_flow *jh_queue_rank_find(
    const struct jh_queue_rank *r, struct jh_str org);

/* Sets e->flow; e->item and e->node.own must be complete. */
void jh_queue_rank_push(struct jh_queue_rank *r, struct jh_queue_entry *e);
/* Removes a queued entry without charging its flow. */
void jh_queue_rank_remove(struct jh_queue_rank *r, struct jh_queue_entry *e);
/*
 * Entry to run next, or NULL; does not remove it. Only flows that hold less
 * than held slots for each unit of weight are considered. The cost grows with
 * the number of slots, not with what is queued.
 */
struct jh_queue_entry *jh_queue_rank_first(
    const struct jh_queue_rank *r, double held);
/* Removes the entry, charges its flow and counts it as running. */
void jh_queue_rank_start(struct jh_queue_rank *r, struct jh_queue_entry *e);
/* Ends a running entry; cost is what it really cost. */
void jh_queue_rank_finish(
    struct jh_queue_rank *r, struct jh_queue_entry *e, uint64_t cost);
/*
 * Least valuable entry: the last of the organisation with most queued cost.
 * NULL if that organisation queues no more than floor.
 */
struct jh_queue_entry *jh_queue_rank_victim(
    const struct jh_queue_rank *r, uint64_t floor);

#endif
