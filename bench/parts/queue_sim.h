#ifndef BENCH_PARTS_QUEUE_SIM_H
#define BENCH_PARTS_QUEUE_SIM_H

#include "queue_load.h"
#include "queue_policy.h"

/* Statistics of a group of requests. */
struct queue_group {
	/* Time to first token of each request that started, milliseconds. */
	GArray *ttft;
	uint64_t arrived;
	/* Requests with their first token within the deadline. */
	uint64_t on_time;
	uint64_t refused[JH_QUEUE_REASONS];
	/* Prompt and output tokens, weighted as the queue does. */
	uint64_t cost;
};

struct queue_result {
	struct queue_group rank[JH_RANKS];
	/* Urgent requests of small and of large organisations. */
	struct queue_group small, large;
	double seconds;
};

/*
 * Runs a load against a policy for so many seconds of virtual time. The caller
 * frees the result with queue_result_clear().
 */
void queue_sim_run(const struct queue_policy *p, const struct queue_load *l,
    uint64_t seed, double seconds, struct queue_result *out);
/* Requests per second of the steady load that a full engine finishes. */
double queue_sim_capacity(uint64_t seed);

/* Quantile of the times to first token, 0 if there are none; sorts them. */
double queue_group_quantile(const struct queue_group *g, double part);
void queue_result_clear(struct queue_result *r);

#endif
