#ifndef BENCH_PARTS_PLACE_SERVER_H
#define BENCH_PARTS_PLACE_SERVER_H

#include <stdint.h>

/* Streams that a worker decodes at once. */
#define PLACE_SLOTS 8

#define PLACE_PREFILL_RATE 40000 /* tokens/s */
#define PLACE_TOKEN_USEC 40000 /* between the tokens of a stream */

/*
 * Model of the service times of a worker: requests start in order of arrival,
 * each has a slot until its last token, and prefills run one after another.
 * Times are in microseconds.
 */
struct place_server {
	uint64_t prefill_free; /* end of the last prefill */
	uint64_t slot_free[PLACE_SLOTS]; /* time at which each is free */
	uint64_t down_until;
};

/* Microseconds until a request that arrives now starts its prefill. */
uint64_t place_server_wait(const struct place_server *s, uint64_t now);

/* Queues a request and returns the time of its first token. */
uint64_t place_server_take(struct place_server *s, uint64_t now,
    uint64_t prefill_tokens, uint64_t decode_tokens);

/* Drops all requests; the worker is down until the given time. */
void place_server_crash(struct place_server *s, uint64_t until);

#endif
