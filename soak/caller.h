#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <uv.h>

#include "soak/ledger.h"

/*
 * A client that sends one request at a time and reports each request and
 * response to the checker. It reuses its connection if the router allows it.
 */
struct soak_caller;

/* A request to send, and how and where to send it. */
struct soak_order {
	struct soak_request request; /* the checker takes its strings */
	char *fields; /* "Name: value\r\n" lines, owned */
	unsigned int port; /* of the router */
	bool chunked; /* sends the body in chunks */
	uint64_t leave_usec; /* disconnects after this time; 0: never */
};

struct soak_caller_ops {
	/* Fills *out; returns false if no more requests are to be sent. */
	bool (*next)(void *arg, struct soak_order *out);
};

struct soak_caller *soak_caller_create(uv_loop_t *loop, struct soak_ledger *ck,
    GRand *rand, const struct soak_caller_ops *ops, void *arg);
void soak_caller_destroy(struct soak_caller *c);

#endif
