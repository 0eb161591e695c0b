#ifndef BENCH_PARTS_PLACE_STATS_H
#define BENCH_PARTS_PLACE_STATS_H

#include <stdint.h>

#include <glib.h>

/* Statistics of a set of requests. */
struct place_stats {
	uint64_t prompt_tokens; /* tokens of all prompts */
	uint64_t hit_tokens; /* cached at the chosen worker */
	uint64_t hit_bound; /* computed before by any worker */
	uint64_t recomputed; /* although cached at another worker */
	uint64_t attempts;
	uint64_t refused_by_all; /* requests, which are then queued */
	GArray *ttft; /* of float, exact milliseconds */
};

void place_stats_init(struct place_stats *s);
void place_stats_clear(struct place_stats *s);

/* Exact percentile in milliseconds; 0 without samples. Sorts the samples. */
double place_stats_percentile(struct place_stats *s, double share);

/* Share of cached prompt tokens, and its bound; 0 without requests. */
double place_stats_hit(const struct place_stats *s);
double place_stats_hit_bound(const struct place_stats *s);

#endif
