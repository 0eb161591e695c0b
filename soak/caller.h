#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <uv.h>

#include "soak/ledger.h"

/*
 * One caller: sends a request, waits for the answer, and tells the ledger what
 * it got. It keeps its connection for as long as the entry does.
 */
struct soak_caller;

/* The next request to send, as text, and whom to send it to. */
struct soak_order {
	struct soak_request request; /* its texts are taken over */
	char *fields; /* "Name: value\r\n" lines, taken over */
	unsigned int port; /* of the entry */
	bool chunked; /* the body goes in chunks */
	uint64_t leave_usec; /* closes the connection then; 0: never */
};

struct soak_caller_ops {
	/* Returns false when no more requests are wanted. */
	bool (*next)(void *arg, struct soak_order *out);
};

struct soak_caller *soak_caller_create(uv_loop_t *loop, struct soak_ledger *l,
    GRand *rand, const struct soak_caller_ops *ops, void *arg);
void soak_caller_destroy(struct soak_caller *c);

#endif
