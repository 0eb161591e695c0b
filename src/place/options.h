#ifndef PLACE_OPTIONS_H
#define PLACE_OPTIONS_H

#include "place/placer.h"

/* One worker under consideration. */
struct jh_place_option {
	uint32_t index;
	uint64_t base; /* recomputing what it is not expected to hold */
	uint64_t cost; /* base and known wait, microseconds */
};

/* The workers that one decision considers, in the order of the hashes. */
struct jh_place_options {
	uint32_t n;
	struct jh_place_option at[3 * JH_PLACE_MAX_CANDIDATES];
};

/* Microseconds that tokens take to prefill on a mean worker of the region. */
uint64_t jh_placer_prefill(const struct jh_place_region *g, uint64_t tokens);

void jh_place_options_add(struct jh_place_options *o, const struct jh_placer *p,
    uint64_t now, uint32_t index, uint64_t base);

/* Costs the options anew by what the workers told that refused. */
void jh_place_options_weigh(struct jh_place_options *o,
    const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r);

/* Keeps the order of equal costs: it is what entry daemons agree on. */
void jh_place_options_sort(struct jh_place_options *o);

/* Writes the first options as candidates; returns their number. */
size_t jh_place_options_emit(const struct jh_place_options *o,
    const struct jh_placer *p, const struct jh_place_region *g,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max);

#endif
