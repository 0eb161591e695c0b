#ifndef BENCH_LOAD_CALL_H
#define BENCH_LOAD_CALL_H

#include <pthread.h>

#include "http/client.h"

#include "report.h"
#include "shape.h"

/* State that all calls of one run share. */
struct call_context {
	const struct load_options *opt;
	struct jh_http_client *client;
	struct report *report;
	uint64_t started_at;
	uint64_t next_target;
	pthread_mutex_t lock; /* guards in_progress */
	pthread_cond_t ended;
	unsigned int in_progress;
};

/*
 * Sends one request. Its time to the first token counts from due, the time at
 * which it should have been sent. Takes ownership of the request's body.
 */
void call_send(struct call_context *ctx, struct shape_request *q, uint64_t due);

#endif
