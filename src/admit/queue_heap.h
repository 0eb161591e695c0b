#ifndef ADMIT_QUEUE_HEAP_H
#define ADMIT_QUEUE_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Pointer to the structure that contains the member that ptr points to. */
#define JH_CONTAINER_OF(ptr, type, member) \
	((type *)(void *)((char *)(ptr)-offsetof(type, member)))

/* Node of a heap, embedded in the caller's structure. pos is 0 in no heap. */
struct jh_queue_heap_node {
	uint64_t key;
	/* Orders equal keys, so that the order of insertion does not matter. */
	uint64_t tie;
	size_t pos;
};

/* A binary min-heap. */
struct jh_queue_heap {
	struct jh_queue_heap_node **nodes;
	size_t len;
	size_t capacity;
};

/* Frees the array of nodes; the nodes belong to the caller. */
void jh_queue_heap_clear(struct jh_queue_heap *h);
void jh_queue_heap_insert(
    struct jh_queue_heap *h, struct jh_queue_heap_node *n, uint64_t key);
/* Does nothing if n is in no heap. */
void jh_queue_heap_remove(
    struct jh_queue_heap *h, struct jh_queue_heap_node *n);
/* Changes the key of n, or inserts n if it is in no heap. */
void jh_queue_heap_update(
    struct jh_queue_heap *h, struct jh_queue_heap_node *n, uint64_t key);
/* Node with the least key, or NULL if the heap is empty. */
struct jh_queue_heap_node *jh_queue_heap_top(const struct jh_queue_heap *h);

#endif
