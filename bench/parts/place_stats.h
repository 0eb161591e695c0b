#ifndef BENCH_PARTS_PLACE_STATS_H
#define BENCH_PARTS_PLACE_STATS_H

#include <stdint.h>

#include <glib.h>

/* Figures of a set of requests. */
struct place_stats {
	uint64_t asked; /* prompt tokens */
	uint64_t found; /* of them in the chosen worker's cache */
	uint64_t bound; /* of them seen before by any worker */
	uint64_t again; /* computed although another worker held them */
	uint64_t attempts;
	uint64_t refused; /* by all candidates, and then queued */
	GArray *ttft; /* float milliseconds, exact */
};

void place_stats_init(struct place_stats *s);
void place_stats_clear(struct place_stats *s);

/* Exact percentile in milliseconds; 0 without samples. Sorts the samples. */
double place_stats_percentile(struct place_stats *s, double share);

/* found over asked; 0 without requests. */
double place_stats_hit(const struct place_stats *s);
double place_stats_hit_bound(const struct place_stats *s);

#endif
