#ifndef BENCH_PARTS_PLACE_CACHE_H
#define BENCH_PARTS_PLACE_CACHE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The prefix caches of all workers of a region. Each is a tree of bounded size
 * that evicts the least recently used leaf. A node is one level of a prefix.
 */
struct place_caches;

struct place_caches *place_caches_create(
    uint32_t workers, uint32_t nodes, uint64_t capacity_tokens);
void place_caches_destroy(struct place_caches *c);

bool place_caches_has(
    const struct place_caches *c, uint32_t worker, uint32_t node);

/* Number of workers that have the node cached. */
uint32_t place_caches_holders(const struct place_caches *c, uint32_t node);

/*
 * Stores a node or marks it as used. Callers pass the nodes of a prefix with
 * the innermost first, so that a parent is always used after its children and
 * never evicted before them.
 */
void place_caches_use(
    struct place_caches *c, uint32_t worker, uint32_t node, uint32_t tokens);

void place_caches_clear(struct place_caches *c, uint32_t worker);

#endif
