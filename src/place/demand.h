#ifndef PLACE_DEMAND_H
#define PLACE_DEMAND_H

#include <stdint.h>

/*
 * Demand for one prefix as measured by this entry daemon: arrival counts that
 * decay with a short and a long time constant, and the mean work of a request.
 * The width is the number of workers that the prefix is spread over. Times are
 * microseconds.
 */
struct jh_demand {
	uint64_t first_seen; /* time of the first request; 0: none */
	uint64_t last_update;
	double short_count; /* arrivals, with the short time constant */
	double long_count; /* arrivals, with the long one */
	double mean_work; /* of a request, in microseconds of a worker */
	uint32_t width; /* in workers, with hysteresis; 0: not yet set */
	uint64_t narrow_after; /* no narrowing before this time */
};

/* Counts a request that takes work microseconds of a worker. */
void jh_demand_add(struct jh_demand *d, uint64_t now, double work);

/*
 * Load by this entry daemon's requests, in workers kept fully busy. It is a
 * lower confidence bound, so that a few random arrivals do not widen a prefix.
 */
double jh_demand_load(const struct jh_demand *d, uint64_t now);

/* Updates the width for the load by all entry daemons and returns it. */
uint32_t jh_demand_width(struct jh_demand *d, uint64_t now, double load);

#endif
