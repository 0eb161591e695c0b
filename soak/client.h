#ifndef SOAK_CLIENT_H
#define SOAK_CLIENT_H

#include <uv.h>

#include "soak/checker.h"

/*
 * A client that sends one request at a time and reports each request and
 * response to the checker. It reuses its connection if the router allows it.
 */
struct soak_client;

/* A request to send, and how and where to send it. */
struct soak_client_request {
	struct soak_request request; /* the checker takes its strings */
	char *fields; /* "Name: value\r\n" lines, owned */
	/* Of the router; before next(), of the open connection, 0 if none. */
	unsigned int port;
	bool chunked; /* sends the body in chunks */
	uint64_t disconnect_usec; /* disconnects after this time; 0: never */
};

struct soak_client_ops {
	/* Fills *out; returns false if no more requests are to be sent. */
	bool (*next)(void *arg, struct soak_client_request *out);
};

struct soak_client *soak_client_create(uv_loop_t *loop, struct soak_checker *ck,
    GRand *rand, const struct soak_client_ops *ops, void *arg);
void soak_client_destroy(struct soak_client *c);

#endif
