#ifndef PLACE_COSTS_H
#define PLACE_COSTS_H

#include "place/placer.h"

/* Cost of placing a request on one worker. */
struct jh_place_cost {
	uint32_t index; /* of the worker in the placer's array */
	uint64_t
	    prefill; /* microseconds, of the part not expected in its cache */
	uint64_t cost; /* prefill and known wait, microseconds */
};

/* Costs of the workers that one decision considers, in the prefix's order. */
struct jh_place_costs {
	uint32_t n;
	struct jh_place_cost at[3 * JH_PLACE_MAX_CANDIDATES];
};

/* Microseconds that an average worker of the region takes to prefill tokens. */
uint64_t jh_placer_prefill_time(
    const struct jh_place_region *g, uint64_t tokens);

/*
 * Adds a worker; prefill is the time, in microseconds, to prefill the part of
 * the prompt that is not expected in its cache.
 */
void jh_place_costs_add(struct jh_place_costs *costs, const struct jh_placer *p,
    uint64_t now, uint32_t index, uint64_t prefill);

/*
 * Computes the costs for a choice after all candidates refused, from the waits
 * and cached tokens in the refusals.
 */
void jh_place_costs_apply_refusals(struct jh_place_costs *costs,
    const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r);

/*
 * Sorts by cost, cheapest first. The sort is stable: all entry daemons have the
 * same order among equal costs.
 */
void jh_place_costs_sort(struct jh_place_costs *costs);

/* Writes up to max workers as candidates, in order; returns their number. */
size_t jh_place_costs_emit(const struct jh_place_costs *costs,
    const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max);

#endif
