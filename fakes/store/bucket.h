#ifndef FAKE_STORE_BUCKET_H
#define FAKE_STORE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/* A token bucket; its capacity is the tokens of one second. */
struct fake_bucket {
	double rate; /* per second; 0: unlimited */
	double tokens;
	uint64_t refilled_at; /* microseconds; 0: not used yet */
};

/* Takes a token; returns false if there is none. */
bool fake_bucket_take(struct fake_bucket *b, uint64_t now);

#endif
