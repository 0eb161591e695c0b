#ifndef ROUTE_ADMIT_H
#define ROUTE_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides whether a request is sent to its best worker or turned away at once.
 * Work that waits at workers takes the memory of their caches, so that parts
 * of prompts are read again and the queue grows the faster; a client that is
 * told to come back costs nothing. Pure; times are microseconds.
 */
struct jh_admit_request {
	uint64_t expected; /* time to the first token at the best worker */
	uint64_t wait; /* of that, the work that waits there */
	uint64_t target; /* the route's aim */
	uint64_t left; /* until the final answer is due */
	uint64_t hash; /* spreads clients that are told to come back */
};

struct jh_admit_answer {
	bool admitted;
	double retry_seconds; /* when not admitted */
};

void jh_admit(const struct jh_admit_request *r, struct jh_admit_answer *out);

#endif
