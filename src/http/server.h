#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/str.h>

/*
 * An HTTP server over libmicrohttpd. Handlers run on the server's threads and
 * must not block; replies may be produced later from any thread. Reply bodies
 * pass through a bounded buffer, so a slow reader stops its producer.
 */
struct jh_http_server;

/* One request and its reply; reference counted, see jh_http_req_unref(). */
struct jh_http_req;

struct jh_http_server_ops {
	/*
	 * The whole request has arrived. The handler owns one reference and
	 * must, now or later, begin and end (or abort) the reply and then
	 * call jh_http_req_unref().
	 */
	void (*request)(void *arg, struct jh_http_req *req);
};

struct jh_http_req_ops {
	/* The reply buffer has drained below half; more may be written. */
	void (*writable)(void *arg);
	/* The peer left before the reply was complete. Called at most once. */
	void (*closed)(void *arg);
	/*
	 * The request is freed and no other callback can follow. The other
	 * callbacks may still run after the reply has ended, so arg must live
	 * until here.
	 */
	void (*released)(void *arg);
};

#define JH_HTTP_ERROR jh_http_error_quark()
enum jh_http_error { JH_HTTP_ERROR_LISTEN };
GQuark jh_http_error_quark(void);

struct jh_http_server_spec {
	struct sockaddr_in listen;
	size_t body_limit; /* bytes; a larger body is answered with 413 */
	size_t buffer_limit; /* bytes of reply buffered per request */
	unsigned int max_conns;
	unsigned int threads;
	const struct jh_http_server_ops *ops;
	void *arg;
};

/* Returns NULL and sets err when the address cannot be bound. */
struct jh_http_server *jh_http_server_create(
    const struct jh_http_server_spec *spec, GError **err);
/* Stops accepting; requests in progress go on. */
void jh_http_server_quiesce(struct jh_http_server *s);
/* Closes what is still open and waits for the threads. */
void jh_http_server_destroy(struct jh_http_server *s);
/* The bound port, for settings that ask for port 0. */
unsigned int jh_http_server_port(const struct jh_http_server *s);
/* Requests whose reply is not complete. */
unsigned int jh_http_server_active(const struct jh_http_server *s);

const char *jh_http_req_method(const struct jh_http_req *r);
/* The decoded path without the query. */
const char *jh_http_req_path(const struct jh_http_req *r);
/* Path and query as they were sent. */
const char *jh_http_req_target(const struct jh_http_req *r);
/* NULL when absent; header names compare without case. */
const char *jh_http_req_header(const struct jh_http_req *r, const char *name);
/* A query argument; NULL when absent. */
const char *jh_http_req_query(const struct jh_http_req *r, const char *name);
struct jh_str jh_http_req_body(const struct jh_http_req *r);
/* Moves the body out of the request, which then has an empty one. */
GBytes *jh_http_req_take_body(struct jh_http_req *r);

/* Sets callbacks; call it from the request handler. */
void jh_http_req_watch(
    struct jh_http_req *r, const struct jh_http_req_ops *ops, void *arg);

/* Adds a reply header; only before jh_http_req_begin(). */
void jh_http_req_add_header(
    struct jh_http_req *r, const char *name, const char *value);
/* Fixes status and headers; further headers are ignored. */
void jh_http_req_begin(struct jh_http_req *r, unsigned int status);
/*
 * Appends to the reply. Returns false when the buffer is over its limit: the
 * bytes were taken, but the producer must wait for writable().
 */
bool jh_http_req_write(struct jh_http_req *r, const void *data, size_t len);
void jh_http_req_end(struct jh_http_req *r);
/* Breaks the connection, so that the peer sees an incomplete reply. */
void jh_http_req_abort(struct jh_http_req *r);
/* begin, write and end in one. */
void jh_http_req_reply(struct jh_http_req *r, unsigned int status,
    const char *content_type, const void *data, size_t len);

struct jh_http_req *jh_http_req_ref(struct jh_http_req *r);
void jh_http_req_unref(struct jh_http_req *r);

#endif
