#ifndef BASE_RING_H
#define BASE_RING_H

#include <stdbool.h>

/* A bounded ring of pointers between threads, any number at each end. */
struct jh_ring;

/* The capacity is rounded up to a power of two; one slot stays empty. */
struct jh_ring *jh_ring_create(unsigned int capacity);
void jh_ring_destroy(struct jh_ring *r);

/* Returns false when the ring is full. */
bool jh_ring_push(struct jh_ring *r, void *item);

/* Returns NULL when the ring is empty. */
void *jh_ring_pop(struct jh_ring *r);

#endif
