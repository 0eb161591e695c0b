#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/str.h>

/*
 * An HTTP server on libmicrohttpd. Handlers run on the server's threads and
 * must not block; any thread may write the reply later. The buffer of a reply's
 * body is bounded, so that a slow client pauses the producer.
 */
struct jh_http_server;

/* A request and its reply; reference counted, see jh_http_req_unref(). */
struct jh_http_req;

struct jh_http_server_ops {
	/*
	 * The complete request has arrived. The handler owns a reference and
	 * must, now or later, begin and end (or abort) the reply and then
	 * call jh_http_req_unref().
	 */
	void (*request)(void *arg, struct jh_http_req *req);
};

struct jh_http_req_ops {
	/* The reply's buffer is less than half full; writes may continue. */
	void (*writable)(void *arg);
	/* The client closed before the reply's end. Called at most once. */
	void (*closed)(void *arg);
	/*
	 * The last callback, when the request is freed. The other callbacks may
	 * run even after the reply has ended, so arg must be valid until this
	 * one.
	 */
	void (*released)(void *arg);
};

#define JH_HTTP_ERROR jh_http_error_quark()
enum jh_http_error { JH_HTTP_ERROR_LISTEN };
GQuark jh_http_error_quark(void);

struct jh_http_server_spec {
	struct sockaddr_in listen;
	size_t body_limit; /* bytes; a larger body is refused with 413 */
	size_t buffer_limit; /* bytes of a reply that are buffered */
	unsigned int max_conns;
	unsigned int threads;
	const struct jh_http_server_ops *ops;
	void *arg;
};

/* Returns NULL and sets err when the address cannot be bound. */
struct jh_http_server *jh_http_server_create(
    const struct jh_http_server_spec *spec, GError **err);
/* Accepts no more connections; requests in progress continue. */
void jh_http_server_quiesce(struct jh_http_server *s);
/* Aborts open requests and waits for the server's threads. */
void jh_http_server_destroy(struct jh_http_server *s);
/* Returns the port in use, which the system chooses if spec has port 0. */
unsigned int jh_http_server_port(const struct jh_http_server *s);
/* Returns the number of requests whose reply is not complete. */
unsigned int jh_http_server_active(const struct jh_http_server *s);

const char *jh_http_req_method(const struct jh_http_req *r);
/* Returns the decoded path without the query. */
const char *jh_http_req_path(const struct jh_http_req *r);
/* Returns path and query as they were sent. */
const char *jh_http_req_target(const struct jh_http_req *r);
/* Returns NULL if there is no such header; ignores the name's case. */
const char *jh_http_req_header(const struct jh_http_req *r, const char *name);
/* Returns a query argument, or NULL if there is none. */
const char *jh_http_req_query(const struct jh_http_req *r, const char *name);
struct jh_str jh_http_req_body(const struct jh_http_req *r);
/* Takes the body from the request, whose body is then empty. */
GBytes *jh_http_req_take_body(struct jh_http_req *r);

/* Sets the callbacks; call it in the request handler. */
void jh_http_req_set_callbacks(
    struct jh_http_req *r, const struct jh_http_req_ops *ops, void *arg);

/* Adds a header to the reply; call it before jh_http_req_begin(). */
void jh_http_req_add_header(
    struct jh_http_req *r, const char *name, const char *value);
/* Starts the reply; headers added later are ignored. */
void jh_http_req_begin(struct jh_http_req *r, unsigned int status);
/*
 * Appends to the reply's body. Returns false when the buffer has reached its
 * limit: the bytes were taken, but the producer must wait for writable().
 */
bool jh_http_req_write(struct jh_http_req *r, const void *data, size_t len);
void jh_http_req_end(struct jh_http_req *r);
/* Closes the connection, so that the client sees an incomplete reply. */
void jh_http_req_abort(struct jh_http_req *r);
/* Sends a complete reply. */
void jh_http_req_reply(struct jh_http_req *r, unsigned int status,
    const char *content_type, const void *data, size_t len);

struct jh_http_req *jh_http_req_ref(struct jh_http_req *r);
void jh_http_req_unref(struct jh_http_req *r);

#endif
