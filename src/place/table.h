#ifndef PLACE_TABLE_H
#define PLACE_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "place/demand.h"

/* What is kept about one level key. */
struct jh_place_prefix {
	uint64_t key;
	struct jh_demand demand;
	uint32_t learned; /* width from answers */
	uint64_t learned_deadline;
	uint32_t *order; /* worker indices, best first; NULL: not built */
	uint32_t order_len;
	uint32_t region; /* the order's */
	uint64_t generation; /* the order's worker list */
	uint32_t chain; /* next in the hash bucket */
	uint32_t newer;
	uint32_t older;
};

/* A bounded table of prefixes; the least recently used one is replaced. */
struct jh_place_table;

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
 * Gives e an order array of len indices. Orders of the least recently used
 * entries are dropped to stay within the budget.
 */
void jh_place_table_resize(
    struct jh_place_table *t, struct jh_place_prefix *e, uint32_t len);

size_t jh_place_table_bytes(const struct jh_place_table *t);

#endif
