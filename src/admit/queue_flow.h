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

/* One queued or running item. */
struct jh_queue_entry {
	struct jh_queue_item item;
	uint64_t cost;
	struct jh_queue_flow *flow;
	struct jh_queue_tree_node node;
	/* In the expiry heap of the queue; the key is the latest start. */
	struct jh_queue_heap_node expiry;
	/* 0 while queued. */
	uint64_t started;
	/* 0 before the first token. */
	uint64_t first_token;
};

/* The work of one organisation at one rank. */
struct jh_queue_flow {
	char *org;
	size_t org_len;
	unsigned int weight;
	struct jh_queue_tree tree;
	unsigned int running;
	/* Slots held, over time. */
	struct jh_queue_level held;
	/* Index of the heap that holds the flow while it waits. */
	unsigned int level;
	/* Virtual time at which the flow's next item starts. */
	uint64_t tag;
	/* In the heap of its level or of the idle flows, by tag. */
	struct jh_queue_heap_node order;
	/* In the heap of waiting flows by queued cost, largest first. */
	struct jh_queue_heap_node size;
};

struct jh_queue_flow *jh_queue_flow_create(struct jh_str org, uint64_t tie);
void jh_queue_flow_destroy(struct jh_queue_flow *f);

struct jh_queue_sum jh_queue_flow_sum(const struct jh_queue_flow *f);
uint64_t jh_queue_flow_span(const struct jh_queue_flow *f, uint64_t cost);
/*
 * Slots that the flow holds for each unit of weight, a mean of now and of the
 * recent past: a flow that holds few on average may have a wave of requests.
 */
double jh_queue_flow_level(const struct jh_queue_flow *f);
/* How many more slots it may take before its level reaches the bound. */
double jh_queue_flow_left(const struct jh_queue_flow *f, double bound);

#endif
