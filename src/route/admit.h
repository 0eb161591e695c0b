#ifndef ROUTE_ADMIT_H
#define ROUTE_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Admission control: decides whether a request is sent to its best worker or
 * rejected at once. Requests that wait at a worker take memory from its prefix
 * cache, so that prefixes are computed again and the queue grows faster; a
 * client that is asked to retry later costs nothing. No I/O; times are in
 * microseconds.
 */
struct jh_admit_request {
	uint64_t expected_ttft; /* time to the first token at the best worker */
	uint64_t queue_wait; /* the part of it spent in the queue there */
	uint64_t target; /* the route's target time to the first token */
	uint64_t time_left; /* until the deadline of the final response */
	uint64_t hash; /* spreads the retries of rejected clients */
};

struct jh_admit_decision {
	bool admitted;
	double retry_seconds; /* retry delay for the client; 0: admitted */
};

/*
 * A retry delay that is not shorter, so that clients that were rejected
 * together return one after the other; hash: of the request.
 */
double jh_admit_spread_retry(double seconds, uint64_t hash);

void jh_admit(const struct jh_admit_request *r, struct jh_admit_decision *out);

#endif
