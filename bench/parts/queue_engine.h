#ifndef BENCH_PARTS_QUEUE_ENGINE_H
#define BENCH_PARTS_QUEUE_ENGINE_H

#include <jacinthhill/queue.h>

#include "queue_policy.h"

/*
 * A request in the model of an engine with continuous batching. Each iteration
 * prefills up to a chunk of prompt tokens and decodes one token of every
 * request whose prefill is complete. It takes a base time, and more for each
 * decoding request and each prompt token. Urgent prompts go first, also before
 * the rest of a background prompt; equal ranks go in order of arrival.
 */
struct queue_engine_request {
	uint64_t id;
	enum jh_rank rank;
	uint64_t visible_at;
	uint32_t prefill_left;
	uint32_t decode;
	uint32_t decoded;
};

struct queue_engine {
	struct queue_engine_request request[QUEUE_SLOTS];
	unsigned int len;
	bool busy;
	uint64_t iteration_end;
	/* Prompt tokens of each request in this iteration. */
	uint32_t chunk[QUEUE_SLOTS];
	/* Number of requests that are part of this iteration. */
	unsigned int in_iteration;
	/* Factor on the duration of iterations. */
	double slowdown;
};

/* Progress of a request in an iteration. */
struct queue_progress {
	uint64_t id;
	bool first_token;
	bool finished;
	uint32_t decoded;
};

/* Sends a request at now; it reaches the engine one hop later. */
void queue_engine_start(struct queue_engine *e, uint64_t now,
    const struct queue_engine_request *request);
/* Starts an iteration if none runs; false if there is nothing to do. */
bool queue_engine_begin(struct queue_engine *e, uint64_t now);
/* Ends the iteration; returns the number of entries in out. */
unsigned int queue_engine_end(
    struct queue_engine *e, struct queue_progress out[QUEUE_SLOTS]);
/* Time at which the next request reaches an idle engine, or JH_NEVER. */
uint64_t queue_engine_wake_at(const struct queue_engine *e);

#endif
