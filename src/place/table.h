#ifndef PLACE_TABLE_H
#define PLACE_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "place/demand.h"

/*
 * State of one prompt prefix, by the key of its last level. order lists the
 * workers that requests with the prefix go to.
 */
struct jh_place_prefix {
	uint64_t key;
	struct jh_demand demand;
	uint32_t learned_width; /* largest width in recent responses */
	uint64_t learned_width_deadline; /* learned_width is not valid later */
	uint32_t *order; /* worker indices, best first; NULL: not built */
	uint32_t order_len;
	uint32_t order_region; /* region of the workers in order */
	uint64_t order_generation; /* the placer's, when order was built */
	uint32_t chain; /* index of the next entry in the hash bucket */
	uint32_t newer; /* index of the entry used next after this one */
	uint32_t older; /* index of the entry used next before this one */
};

/* A table of prefixes; when it is full, the least recently used is evicted. */
struct jh_place_table;

/* order_budget is the number of indices in all orders together. */
struct jh_place_table *jh_place_table_create(
    uint32_t capacity, size_t order_budget);
void jh_place_table_destroy(struct jh_place_table *t);

/* Returns the entry, or NULL. */
struct jh_place_prefix *jh_place_table_find(
    struct jh_place_table *t, uint64_t key);

/* Finds or adds the entry and makes it the most recently used. */
struct jh_place_prefix *jh_place_table_use(
    struct jh_place_table *t, uint64_t key);

/*
 * Allocates an order array of len indices for e, not initialised. Orders of the
 * least recently used entries are freed to stay within the budget.
 */
void jh_place_table_alloc_order(
    struct jh_place_table *t, struct jh_place_prefix *e, uint32_t len);

/* Bytes of memory in use. */
size_t jh_place_table_bytes(const struct jh_place_table *t);

#endif
