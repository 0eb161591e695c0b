#ifndef BASE_RING_H
#define BASE_RING_H

#include <stdbool.h>

/*
 * A bounded queue of pointers between threads; any number of threads may push
 * and pop.
 */
struct jh_ring;

/*
 * Creates a ring for at least capacity items. The number of slots is a power of
 * two, and one slot stays empty.
 */
struct jh_ring *jh_ring_create(unsigned int capacity);
void jh_ring_destroy(struct jh_ring *r);

/* Returns false when the ring is full. */
bool jh_ring_push(struct jh_ring *r, void *item);

/* Returns NULL when the ring is empty. */
void *jh_ring_pop(struct jh_ring *r);

#endif
