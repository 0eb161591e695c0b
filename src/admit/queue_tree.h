#ifndef ADMIT_QUEUE_TREE_H
#define ADMIT_QUEUE_TREE_H

#include <stdint.h>

/* Number of items, and the sums of their prompt tokens and their cost. */
struct jh_queue_sum {
	uint64_t count;
	uint64_t prefill;
	uint64_t cost;
};

/* Node of a tree, embedded in the caller's structure. */
struct jh_queue_tree_node {
	struct jh_queue_tree_node *left, *right;
	/* Order: deadline, then sequence number. */
	uint64_t deadline;
	uint64_t seq;
	/* Pseudorandom; a node's is not less than those of its children. */
	uint64_t priority;
	/* The item itself, and the sum over the node's subtree. */
	struct jh_queue_sum own, subtree;
};

/*
 * A treap ordered by deadline that keeps sums of subtrees. A heap would give
 * the first item as fast, but not the sum of work due before a deadline.
 */
struct jh_queue_tree {
	struct jh_queue_tree_node *root;
};

void jh_queue_sum_add(struct jh_queue_sum *s, const struct jh_queue_sum *d);
void jh_queue_sum_sub(struct jh_queue_sum *s, const struct jh_queue_sum *d);

/* The caller has set deadline, seq (unique) and own. */
void jh_queue_tree_insert(
    struct jh_queue_tree *t, struct jh_queue_tree_node *n);
/* n must be in the tree. */
void jh_queue_tree_remove(
    struct jh_queue_tree *t, struct jh_queue_tree_node *n);
/* The nodes with the earliest and the latest deadline; NULL if empty. */
struct jh_queue_tree_node *jh_queue_tree_first(const struct jh_queue_tree *t);
struct jh_queue_tree_node *jh_queue_tree_last(const struct jh_queue_tree *t);
/* Sum of the items whose deadline is not later than the given one. */
struct jh_queue_sum jh_queue_tree_sum(
    const struct jh_queue_tree *t, uint64_t deadline);

#endif
