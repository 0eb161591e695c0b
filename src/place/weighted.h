#ifndef PLACE_WEIGHTED_H
#define PLACE_WEIGHTED_H

#include <stdint.h>

/* A worker index with its rendezvous weight. */
struct jh_weighted_worker {
	uint64_t weight;
	uint32_t index;
};

/* Sorts by weight, highest first. */
void jh_weighted_sort(struct jh_weighted_worker *r, uint32_t n);

/*
 * Writes the k of ids[0..n) with the highest rendezvous weights for key to r,
 * best first; index is the position in ids. r must have room for n. Returns
 * min(k, n).
 */
uint32_t jh_weighted_top(struct jh_weighted_worker *r, const uint64_t *ids,
    uint32_t n, uint64_t key, uint32_t k);

/*
 * Moves the k workers with the highest weights to the front, best first. Equal
 * weights keep their order. Returns min(k, n).
 */
uint32_t jh_weighted_select(
    struct jh_weighted_worker *r, uint32_t n, uint32_t k);

#endif
