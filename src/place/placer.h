#ifndef PLACE_PLACER_H
#define PLACE_PLACER_H

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/place.h>

#include "place/rank.h"
#include "place/table.h"
#include "place/worker.h"

/* The workers of one region: a slice of the placer's array. */
struct jh_place_region {
	uint32_t id;
	uint32_t first;
	uint32_t n;
	double prefill_rate; /* means */
	double decode_rate;
};

struct jh_placer {
	const struct jh_place_policy *policy;
	uint64_t seed;
	uint32_t entries;
	uint64_t cursor; /* round robin */
	uint64_t generation; /* changes with the set of workers */
	struct jh_worker *worker; /* by region, then id */
	uint64_t *id; /* worker[i].given.id, dense for scans */
	uint32_t *by_id; /* indices sorted by id */
	struct jh_ranked *scratch; /* room for n */
	uint32_t n;
	struct jh_place_region *region;
	uint32_t n_regions;
	struct jh_place_table *table;
};

/* Returns NULL if the region has no workers. */
const struct jh_place_region *jh_placer_region(
    const struct jh_placer *p, uint32_t id);

/*
 * Fills p->scratch with the k workers of the region that rank highest for
 * key, best first; index counts from the region's first. Returns their number.
 */
uint32_t jh_placer_rank(const struct jh_placer *p,
    const struct jh_place_region *g, uint64_t key, uint32_t k);

/*
 * Sorts the workers that may be offered work by known wait, keeping the given
 * order among equal ones, and writes them as candidates. Workers held out
 * after failures come last.
 */
size_t jh_placer_emit(const struct jh_placer *p, uint64_t now,
    const uint32_t *index, uint32_t n, struct jh_candidate *out, size_t max);

#endif
