#ifndef PLACE_PLACER_H
#define PLACE_PLACER_H

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/place.h>

#include "place/weighted.h"
#include "place/table.h"
#include "place/worker.h"

/* The workers of one region: n from index first on in the placer's array. */
struct jh_place_region {
	uint32_t id;
	uint32_t first;
	uint32_t n;
	double prefill_rate; /* mean over the workers, tokens/s */
	double decode_rate; /* mean over the workers, tokens/s */
};

struct jh_placer {
	const struct jh_place_policy *policy;
	uint64_t seed;
	uint32_t entry_daemons; /* live ones in the region, at least 1 */
	uint64_t cursor; /* start of round robin, and of ties in least_load */
	uint64_t generation; /* changes with the set of workers */
	struct jh_worker *worker; /* sorted by region, then id */
	uint64_t *id; /* worker[i].listed.id, contiguous for scans */
	uint32_t *by_id; /* indices sorted by id */
	struct jh_weighted_worker *scratch; /* n elements */
	uint32_t n;
	struct jh_place_region *region; /* sorted by id */
	uint32_t n_regions;
	struct jh_place_table *table;
};

/* Returns NULL if the region has no workers. */
const struct jh_place_region *jh_placer_region(
    const struct jh_placer *p, uint32_t id);

/*
 * Fills p->scratch with the k workers of the region with the highest rendezvous
 * weights for key, best first. Indices count from the region's first worker.
 * Returns min(k, g->n).
 */
uint32_t jh_placer_top_workers(const struct jh_placer *p,
    const struct jh_place_region *g, uint64_t key, uint32_t k);

/*
 * Writes the n workers as candidates, up to max, in the given order. Leaving
 * workers are skipped, those in backoff come last. Returns the number of
 * candidates.
 */
size_t jh_placer_emit(const struct jh_placer *p, uint64_t now,
    const uint32_t *index, uint32_t n, struct jh_candidate *out, size_t max);

#endif
