#ifndef FAKES_ENGINE_BATCH_H
#define FAKES_ENGINE_BATCH_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "cache.h"
#include "http/server.h"

/* Service-time model of the engine. */
struct batch_config {
	int64_t max_batch; /* sequences decoded together */
	int64_t prefill_per_sec; /* prompt tokens computed a second */
	int64_t prefill_chunk; /* prompt tokens computed in one step */
	int64_t step_usec; /* time of a decode step */
	int64_t step_per_seq_usec; /* added for each sequence in the batch */
	int64_t piece_tokens;
	int64_t time_scale_percent; /* 100: real time; 10: ten times faster */
};

/* One request being served. Positions count tokens from 1. */
struct sequence {
	char *id;
	char *model;
	int priority; /* smaller first */
	bool stream;
	uint64_t *chain;
	size_t chain_len;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t prefill_left;
	uint64_t position; /* last token made */
	uint64_t max_tokens;
	uint32_t seed; /* of the generated text */
	GString *text; /* whole answers only */
	struct jh_http_req *req; /* frees the sequence when released */
	bool begun; /* prefill is complete */
	int gone; /* atomic: the caller left */
};

/* The continuous-batching scheduler; one thread of its own. */
struct batch;

struct batch *batch_create(const struct batch_config *cfg, struct cache *cache,
    pthread_mutex_t *cache_lock);
void batch_submit(struct batch *b, struct sequence *seq);
/* Marks the sequence of that id as cancelled; false when there is none. */
bool batch_cancel(struct batch *b, const char *id);
void batch_counts(
    struct batch *b, unsigned int *running, unsigned int *waiting);
/* Suspends or resumes all work, as a stalled engine would. */
void batch_stall(struct batch *b, bool stalled);
/* Finishes what runs, then stops the thread. */
void batch_destroy(struct batch *b);

void sequence_free(struct sequence *seq);

#endif
