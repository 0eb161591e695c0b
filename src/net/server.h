#ifndef NET_SERVER_H
#define NET_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>
#include <uv.h>

#include "net/head.h"
#include "net/memory_budget.h"

/* An HTTP/1.1 server; it handles one request at a time per connection. */
struct jh_uv_server;

/* A request and its response, on one connection. */
struct jh_server_request;

/* Limits for clients; 0: none (the default for head_bytes). */
struct jh_uv_server_limits {
	size_t head_bytes;
	size_t body_bytes;
	uint64_t request_usec; /* from the first byte to the request's end */
	uint64_t idle_usec; /* between requests */
	unsigned int connections;
};

/* A connection that the server closes without a response. */
struct jh_server_closing {
	/*
	 * "idle", "silent", "stopping", "too_many", or "client_left" with its
	 * request
	 */
	const char *reason;
	uint64_t idle_usec; /* since the last response, or since its start */
	size_t unread; /* bytes that the client sent and that were not read */
};

/* A response in place of a request that is not read. */
struct jh_server_rejection {
	unsigned int status; /* 0: the request is read */
	const char *reason;
	GString *fields; /* header lines, as for jh_server_request_respond() */
};

struct jh_uv_server_ops {
	/*
	 * A complete request has arrived. The handler must finish it with
	 * jh_server_request_respond(), jh_server_request_end() or
	 * jh_server_request_abort(), inside the callback or later.
	 */
	void (*request)(void *arg, struct jh_server_request *req);
	/* May be NULL. The connection is closed when this returns. */
	void (*closing)(void *arg, const struct jh_server_closing *c);
	/*
	 * May be NULL. The head of a request with a long body has arrived, or
	 * of one that waits for 100 (Continue): sets *out to refuse it before
	 * its body is read. Must not keep the head.
	 */
	void (*head)(void *arg, const struct jh_head *head,
	    struct jh_server_rejection *out);
};

struct jh_server_request_ops {
	/* The client closed the connection; the request is then freed. */
	void (*disconnected)(void *arg);
	/* All written data has been passed to the kernel. */
	void (*drained)(void *arg);
	/* May be NULL. The handler must finish the request at once. */
	void (*stopping)(void *arg);
	/*
	 * The memory budget is used up. The handler must finish the request at
	 * once, with a response that closes the connection or with
	 * jh_server_request_abort(). May be NULL: the request is aborted.
	 */
	void (*evicted)(void *arg);
	/*
	 * Bytes that have arrived for the response and are not read because the
	 * client is slow. May be NULL.
	 */
	size_t (*unread)(void *arg);
};

struct jh_uv_server *jh_uv_server_create(uv_loop_t *loop,
    const struct jh_uv_server_limits *limits,
    const struct jh_uv_server_ops *ops, void *arg);
/* Returns 0 or a libuv error. */
int jh_uv_server_listen(
    struct jh_uv_server *server, const struct sockaddr_in *address);
/* Closes the listener and all connections at once. */
void jh_uv_server_destroy(struct jh_uv_server *server);

void jh_uv_server_set_limits(
    struct jh_uv_server *server, const struct jh_uv_server_limits *limits);
/*
 * Counts what is held for clients in the budget from now on, and evicts clients
 * when it is used up. The budget must outlive the server's loop.
 */
void jh_uv_server_set_budget(
    struct jh_uv_server *server, struct jh_memory_budget *budget);
/*
 * Starts a graceful shutdown: each connection closes after its next response.
 * New connections are still accepted.
 */
void jh_uv_server_drain(struct jh_uv_server *server);
/* From now on also closes connections that are between requests. */
void jh_uv_server_close_idle(struct jh_uv_server *server);
/* Has the requests in progress finished; their connections close. */
void jh_uv_server_finish(struct jh_uv_server *server);
/* Whether no connection is open and none waits to be accepted. */
bool jh_uv_server_is_drained(const struct jh_uv_server *server);
/* Number of open connections, and of requests in progress. */
unsigned int jh_uv_server_connections(const struct jh_uv_server *server);
unsigned int jh_uv_server_active_requests(const struct jh_uv_server *server);

const struct jh_head *jh_server_request_head(
    const struct jh_server_request *req);
struct jh_str jh_server_request_body(const struct jh_server_request *req);
/* jh_now() time at which the request's first bytes arrived, read or not. */
uint64_t jh_server_request_started(const struct jh_server_request *req);

/* Sets the callbacks of a request. */
void jh_server_request_set_ops(struct jh_server_request *req,
    const struct jh_server_request_ops *ops, void *arg);

/*
 * Sends a complete response and ends the request. fields holds header lines,
 * "Name: value\r\n", without framing fields; it may be empty.
 */
void jh_server_request_respond(struct jh_server_request *req,
    unsigned int status, const char *reason, struct jh_str fields,
    struct jh_str body);
/* Starts a chunked response; jh_server_request_write() sends its body. */
void jh_server_request_begin_response(struct jh_server_request *req,
    unsigned int status, const char *reason, struct jh_str fields);
void jh_server_request_write(struct jh_server_request *req, struct jh_str data);
void jh_server_request_end(struct jh_server_request *req);
/* The connection closes after the response. */
void jh_server_request_close_after(struct jh_server_request *req);
/* The account of the connection; NULL if there is no budget. */
struct jh_memory_account *jh_server_request_account(
    const struct jh_server_request *req);
/* Resets the connection, so that the client sees an incomplete response. */
void jh_server_request_abort(struct jh_server_request *req);
/* Bytes written that the kernel has not accepted yet. */
size_t jh_server_request_queued(const struct jh_server_request *req);

#endif
