#ifndef BENCH_PARTS_QUEUE_ENGINE_H
#define BENCH_PARTS_QUEUE_ENGINE_H

#include <jacinthhill/queue.h>

#include "queue_policy.h"

/*
 * Model of an engine with continuous batching. Time goes in iterations: each
 * prefills up to a chunk of prompt tokens and gives one token to every
 * running answer. It lasts a base time, more for each answer in the batch
 * and for each prompt token. Urgent prompts go first, also before the rest of
 * a background prompt; equal ranks in order of arrival.
 */
struct queue_work {
	uint64_t id;
	enum jh_rank rank;
	uint64_t visible_at;
	uint32_t prefill_left;
	uint32_t decode;
	uint32_t decoded;
};

struct queue_engine {
	struct queue_work work[QUEUE_SLOTS];
	unsigned int len;
	bool busy;
	uint64_t iteration_end;
	/* Prompt tokens of each piece of work in this iteration. */
	uint32_t chunk[QUEUE_SLOTS];
	/* Pieces of work that take part in this iteration. */
	unsigned int taking_part;
	/* Iterations last this many times longer. */
	double slowdown;
};

/* What an iteration brought for one piece of work. */
struct queue_progress {
	uint64_t id;
	bool first_token;
	bool finished;
	uint32_t decoded;
};

/* Work sent at now reaches the engine one hop later. */
void queue_engine_start(
    struct queue_engine *e, uint64_t now, const struct queue_work *work);
/* Starts an iteration if none runs; false if there is nothing to do. */
bool queue_engine_begin(struct queue_engine *e, uint64_t now);
/* Ends the iteration; gives the number of entries in out. */
unsigned int queue_engine_end(
    struct queue_engine *e, struct queue_progress out[QUEUE_SLOTS]);
/* When the next work becomes visible, for an idle engine. */
uint64_t queue_engine_wake_at(const struct queue_engine *e);

#endif
