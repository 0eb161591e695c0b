#ifndef ADMIT_QUEUE_FLOW_H
#define ADMIT_QUEUE_FLOW_H

#include <stdint.h>

#include <glib.h>

#include <jacinthhill/queue.h>

#include "admit/queue_fit.h"
#include "admit/queue_heap.h"
#include "admit/queue_tree.h"

/* Virtual time per unit of cost at weight 1. */
#define JH_QUEUE_TAG_SCALE 1024ULL

struct jh_queue_flow;

/* One queued or running item. Times are microseconds. */
struct jh_queue_entry {
	struct jh_queue_item item;
	uint64_t cost; /* expected cost, see jh_queue_cost() */
	struct jh_queue_flow *flow;
	/* Node in the flow's tree while queued. */
	struct jh_queue_tree_node tree_node;
	/* Node in the queue's expiry heap; the key is the latest start time. */
	struct jh_queue_heap_node expiry_node;
	/* Time when it was sent to the engine; 0 while queued. */
	uint64_t started;
	/* Time of the first token; 0 before it. */
	uint64_t first_token;
};

/* The queued and running items of one organisation at one rank. */
struct jh_queue_flow {
	char *org;
	size_t org_len;
	unsigned int weight;
	/* Queued entries by deadline. */
	struct jh_queue_tree tree;
	unsigned int running;
	/* Slots that its running items hold, as a mean over time. */
	struct jh_queue_time_mean slots_held;
	/*
	 * Index of the usage heap that the flow is in while it has queued
	 * items.
	 */
	unsigned int usage;
	/* Start tag: the virtual time at which the flow's next item starts. */
	uint64_t tag;
	/*
	 * Node in the flow's usage heap or in the heap of idle flows, by tag.
	 */
	struct jh_queue_heap_node tag_node;
	/* Node in the heap of flows by queued cost, largest first. */
	struct jh_queue_heap_node cost_node;
};

/* org is copied. tie orders flows with equal heap keys. */
struct jh_queue_flow *jh_queue_flow_create(struct jh_str org, uint64_t tie);
void jh_queue_flow_destroy(struct jh_queue_flow *f);

/* Sum of the queued items. */
struct jh_queue_sum jh_queue_flow_queued(const struct jh_queue_flow *f);
/* Virtual time by which an item of this cost advances the flow's tag. */
uint64_t jh_queue_flow_virtual_cost(
    const struct jh_queue_flow *f, uint64_t cost);
/*
 * Slot usage of the flow: slots per unit of weight, a mean of those held now
 * and in the recent past, so that a flow that holds few on average may have a
 * burst of requests.
 */
double jh_queue_flow_usage(const struct jh_queue_flow *f);
/* Number of further slots with which the flow's slot usage reaches bound. */
double jh_queue_flow_slots_left(const struct jh_queue_flow *f, double bound);

#endif
