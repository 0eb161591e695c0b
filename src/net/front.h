#ifndef NET_FRONT_H
#define NET_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>
#include <uv.h>

#include "net/head.h"

/* An HTTP/1.1 server: one request at a time on each connection. */
struct jh_front;

/* One request and its answer. */
struct jh_visit;

/* What a client may send and how long it may take; 0: no bound. */
struct jh_front_limits {
	size_t head_bytes;
	size_t body_bytes;
	uint64_t head_usec; /* from the first byte to the end of the request */
	uint64_t idle_usec; /* between requests */
	unsigned int connections;
};

struct jh_front_ops {
	/*
	 * A whole request has arrived. The handler ends the visit with
	 * jh_visit_end() or jh_visit_abort(), now or later.
	 */
	void (*request)(void *arg, struct jh_visit *v);
};

struct jh_visit_ops {
	/* The client left. The visit is gone after it. */
	void (*gone)(void *arg);
	/* The client has taken all that was written. */
	void (*drained)(void *arg);
};

struct jh_front *jh_front_create(uv_loop_t *loop,
    const struct jh_front_limits *limits, const struct jh_front_ops *ops,
    void *arg);
/* Returns 0 or a libuv error. */
int jh_front_listen(struct jh_front *f, const struct sockaddr_in *address);
/* Closes everything at once. */
void jh_front_destroy(struct jh_front *f);

void jh_front_set_limits(
    struct jh_front *f, const struct jh_front_limits *limits);
/*
 * Graceful shutdown: answers say that their connections close, and new
 * connections are still served.
 */
void jh_front_drain(struct jh_front *f);
/* Also closes connections that are between requests. */
void jh_front_close_idle(struct jh_front *f);
/* Open connections; requests in progress. */
unsigned int jh_front_connections(const struct jh_front *f);
unsigned int jh_front_active(const struct jh_front *f);

const struct jh_head *jh_visit_head(const struct jh_visit *v);
struct jh_str jh_visit_body(const struct jh_visit *v);
/* jh_now() time at which the request's first byte was read. */
uint64_t jh_visit_begun(const struct jh_visit *v);

void jh_visit_watch(
    struct jh_visit *v, const struct jh_visit_ops *ops, void *arg);

/*
 * Sends a whole answer and ends the visit. fields: "Name: value\r\n" lines
 * without framing; may be empty.
 */
void jh_visit_answer(struct jh_visit *v, unsigned int status,
    const char *reason, struct jh_str fields, struct jh_str body);
/* Starts an answer that goes on with jh_visit_write(). */
void jh_visit_begin(struct jh_visit *v, unsigned int status, const char *reason,
    struct jh_str fields);
void jh_visit_write(struct jh_visit *v, struct jh_str data);
void jh_visit_end(struct jh_visit *v);
/* Breaks the connection, so that the client sees an incomplete answer. */
void jh_visit_abort(struct jh_visit *v);
/* Bytes written that have not left this process. */
size_t jh_visit_queued(const struct jh_visit *v);

#endif
