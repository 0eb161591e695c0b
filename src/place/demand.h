#ifndef PLACE_DEMAND_H
#define PLACE_DEMAND_H

#include <stdint.h>

/*
 * Demand of one prefix as seen by this entry daemon: arrivals decayed over a
 * short and a long time, and the mean work of a request.
 */
struct jh_demand {
	uint64_t first; /* 0: nothing seen */
	uint64_t last;
	double short_n;
	double long_n;
	double work; /* mean worker microseconds of a request */
	uint32_t width; /* in workers, with hysteresis; 0: not yet set */
	uint64_t narrow_after; /* no narrowing before this time */
};

/* Counts one request that takes work microseconds of a worker. */
void jh_demand_add(struct jh_demand *d, uint64_t now, double work);

/*
 * Workers' worth of load of this entry daemon's requests: a lower confidence
 * bound, so that a few requests at random do not widen a prefix.
 */
double jh_demand_load(const struct jh_demand *d, uint64_t now);

/* Updates and returns the width for a load of all entry daemons together. */
uint32_t jh_demand_width(struct jh_demand *d, uint64_t now, double load);

#endif
