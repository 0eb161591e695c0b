#ifndef ADMIT_QUEUE_HEAP_H
#define ADMIT_QUEUE_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Gives the structure that contains a member. */
#define JH_CONTAINER(ptr, type, member) \
	((type *)(void *)((char *)(ptr)-offsetof(type, member)))

/* Element of a heap, kept inside its owner. pos is 0 outside a heap. */
struct jh_queue_heap_node {
	uint64_t key;
	/* Breaks ties, so that the order does not depend on history. */
	uint64_t tie;
	size_t pos;
};

/* A binary heap with the least key first. */
struct jh_queue_heap {
	struct jh_queue_heap_node **nodes;
	size_t len;
	size_t capacity;
};

void jh_queue_heap_clear(struct jh_queue_heap *h);
void jh_queue_heap_insert(
    struct jh_queue_heap *h, struct jh_queue_heap_node *n, uint64_t key);
/* Does nothing if n is in no heap. */
void jh_queue_heap_remove(
    struct jh_queue_heap *h, struct jh_queue_heap_node *n);
/* Inserts n if it is in no heap. */
void jh_queue_heap_update(
    struct jh_queue_heap *h, struct jh_queue_heap_node *n, uint64_t key);
/* NULL if empty. */
struct jh_queue_heap_node *jh_queue_heap_top(const struct jh_queue_heap *h);

#endif
