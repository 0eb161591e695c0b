#ifndef BENCH_PARTS_PLACE_SIM_H
#define BENCH_PARTS_PLACE_SIM_H

#include <stdint.h>

#include <jacinthhill/place.h>

#include "place_stats.h"

enum place_event {
	PLACE_STEADY,
	PLACE_SHIFT, /* other manuals become the most popular */
	PLACE_HERD, /* all entry daemons restart at once */
	PLACE_CRASH /* one worker in twelve crashes and restarts empty */
};

/* One region is simulated; its placers know the workers of all regions. */
struct place_case {
	uint32_t workers;
	uint32_t regions;
	uint32_t entries;
	uint32_t region_workers; /* of the simulated region */
	uint32_t region_entries;
	double load; /* share of capacity */
	enum place_event event;
	uint64_t seed;
};

/* Windows after an event that have statistics of their own. */
#define PLACE_WINDOWS 2
#define PLACE_WINDOW_USEC (5 * 1000000ULL)

struct place_result {
	struct place_stats all;
	struct place_stats after[PLACE_WINDOWS]; /* 0-5 s and 5-10 s */
	size_t bytes; /* of one placer */
};

/*
 * Simulates the policy, or placement with exact knowledge if it is NULL. The
 * caller frees the result with place_result_clear().
 */
void place_sim_run(const struct place_case *c,
    const struct jh_place_policy *policy, struct place_result *out);

void place_result_clear(struct place_result *r);

#endif
