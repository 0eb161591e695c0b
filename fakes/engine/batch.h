#ifndef FAKES_ENGINE_BATCH_H
#define FAKES_ENGINE_BATCH_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "cache.h"
#include "http/server.h"

/* Parameters of the engine's service-time model. */
struct batch_config {
	int64_t max_batch; /* sequences that run at a time */
	int64_t prefill_per_sec; /* prompt tokens computed per second */
	int64_t prefill_chunk; /* prompt tokens computed in one step */
	int64_t step_usec; /* time of a decode step */
	int64_t step_per_seq_usec; /* added for each sequence in the batch */
	int64_t block_tokens; /* tokens of a cache block */
	int64_t time_scale_percent; /* 100: real time, 10: ten times faster */
};

/* A request in the engine. Positions count tokens from 1. */
struct sequence {
	char *id;
	char *model;
	int priority; /* the lowest value runs first */
	bool stream;
	uint64_t *chain; /* hashes of the prompt's cache blocks */
	size_t chain_len;
	uint64_t prompt_tokens;
	uint64_t cached_tokens; /* of the prompt, found in the cache */
	uint64_t prefill_left; /* prompt tokens yet to be computed */
	uint64_t position; /* of the last generated token */
	uint64_t max_tokens;
	uint32_t seed; /* of the generated text */
	GString *text; /* whole answers only */
	struct jh_http_req *req; /* frees the sequence when released */
	bool prefilled; /* prefill is complete */
	int cancelled; /* atomic: by the client or by batch_cancel() */
};

/* The continuous-batching scheduler; runs a thread of its own. */
struct batch;

/* The cache is accessed with cache_lock held; both must outlive the batch. */
struct batch *batch_create(const struct batch_config *cfg, struct cache *cache,
    pthread_mutex_t *cache_lock);
/* Queues a sequence; its request owns it. */
void batch_submit(struct batch *b, struct sequence *seq);
/* Cancels the sequence with this id; returns false if there is none. */
bool batch_cancel(struct batch *b, const char *id);
/* Counts the sequences that run and that wait. */
void batch_counts(
    struct batch *b, unsigned int *running, unsigned int *waiting);
/* Suspends or resumes all steps, to simulate a stalled engine. */
void batch_stall(struct batch *b, bool stalled);
/* Completes all sequences, queued ones too, then stops the thread. */
void batch_destroy(struct batch *b);

void sequence_free(struct sequence *seq);

#endif
