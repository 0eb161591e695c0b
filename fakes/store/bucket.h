#ifndef FAKE_STORE_BUCKET_H
#define FAKE_STORE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/* A token bucket that holds up to one second's worth. */
struct fake_bucket {
	double rate; /* per second; 0: unlimited */
	double tokens;
	uint64_t filled; /* microseconds */
};

bool fake_bucket_take(struct fake_bucket *b, uint64_t now);

#endif
