#ifndef NET_FRONT_H
#define NET_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>
#include <uv.h>

#include "net/head.h"

/* An HTTP/1.1 server; it handles one request at a time per connection. */
struct jh_front;

/* A request and its response, on one connection. */
struct jh_visit;

/* Limits for clients; 0: none (the default for head_bytes). */
struct jh_front_limits {
	size_t head_bytes;
	size_t body_bytes;
	uint64_t head_usec; /* from the first byte to the request's end */
	uint64_t idle_usec; /* between requests */
	unsigned int connections;
};

struct jh_front_ops {
	/*
	 * A complete request has arrived. The handler must finish it with
	 * jh_server_request_respond(), jh_server_request_end() or
	 * jh_server_request_abort(), inside the callback or later.
	 */
	void (*request)(void *arg, struct jh_visit *req);
};

struct jh_visit_ops {
	/* The client closed the connection; the request is then freed. */
	void (*gone)(void *arg);
	/* All written data has been passed to the kernel. */
	void (*drained)(void *arg);
};

struct jh_front *jh_front_create(uv_loop_t *loop,
    const struct jh_front_limits *limits, const struct jh_front_ops *ops,
    void *arg);
/* Returns 0 or a libuv error. */
int jh_front_listen(struct jh_front *server, const struct sockaddr_in *address);
/* Closes the listener and all connections at once. */
void jh_front_destroy(struct jh_front *server);

void jh_front_set_limits(
    struct jh_front *server, const struct jh_front_limits *limits);
/*
 * Starts a graceful shutdown: each connection closes after its next response.
 * New connections are still accepted.
 */
void jh_front_drain(struct jh_front *server);
/* From now on also closes connections that are between requests. */
void jh_front_close_idle(struct jh_front *server);
/* Number of open connections, and of requests in progress. */
unsigned int jh_front_connections(const struct jh_front *server);
unsigned int jh_front_active(const struct jh_front *server);

const struct jh_head *jh_visit_head(const struct jh_visit *req);
struct jh_str jh_visit_body(const struct jh_visit *req);
/* jh_now() time at which the request's first byte was read. */
uint64_t jh_visit_begun(const struct jh_visit *req);

/* Sets the callbacks of a request. */
void jh_visit_watch(
    struct jh_visit *req, const struct jh_visit_ops *ops, void *arg);

/*
 * Sends a complete response and ends the request. fields holds header lines,
 * "Name: value\r\n", without framing fields; it may be empty.
 */
void jh_visit_answer(struct jh_visit *req, unsigned int status,
    const char *reason, struct jh_str fields, struct jh_str body);
/* Starts a chunked response; jh_server_request_write() sends its body. */
void jh_visit_begin(struct jh_visit *req, unsigned int status,
    const char *reason, struct jh_str fields);
void jh_visit_write(struct jh_visit *req, struct jh_str data);
void jh_visit_end(struct jh_visit *req);
/* Resets the connection, so that the client sees an incomplete response. */
void jh_visit_abort(struct jh_visit *req);
/* Bytes written that the kernel has not accepted yet. */
size_t jh_visit_queued(const struct jh_visit *req);

#endif
