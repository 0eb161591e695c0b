#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/str.h>

#include "http/body.h"

/*
 * An HTTP client with a thread of its own: net/client.h for callers on other
 * threads. Callbacks run on that thread and must not block.
 */
struct jh_http_client;

/* A request and its reply; reference counted. */
struct jh_http_call;

enum jh_http_result {
	JH_HTTP_OK, /* a complete reply arrived, whatever its status */
	JH_HTTP_NOT_SENT, /* no connection: the peer has received nothing */
	JH_HTTP_CONNECTION_LOST, /* the peer may have received the request */
	JH_HTTP_TIMED_OUT, /* deadline passed; the peer may have received it */
	JH_HTTP_CANCELLED /* jh_http_call_cancel() was called */
};

struct jh_http_call_ops {
	/* Status and headers of the reply have arrived. May be NULL. */
	void (*begun)(void *arg, struct jh_http_call *call);
	/*
	 * Bytes of the body. If this returns false, the reply is paused until
	 * jh_http_call_resume(), and the same bytes are delivered again.
	 */
	bool (*data)(void *arg, struct jh_http_call *call, struct jh_str data);
	/* The last callback of every call. */
	void (*done)(
	    void *arg, struct jh_http_call *call, enum jh_http_result result);
};

struct jh_http_call_spec {
	struct sockaddr_in peer;
	const char *method;
	const char *path; /* with query */
	const char *const
	    *headers; /* "Name: value" lines, NULL-ended; may be NULL */
	struct jh_str body; /* copied */
	struct jh_body *shared_body; /* in place of body; not copied */
	uint64_t deadline; /* jh_now() time by which it ends, or JH_NEVER */
	/*
	 * On a reused connection, a late copy of an earlier reply can be taken
	 * for this one.
	 */
	bool own_connection;
	const struct jh_http_call_ops *ops;
	void *arg;
};

/* At most max_calls calls may be in progress at a time. */
struct jh_http_client *jh_http_client_create(
    const char *thread_name, unsigned int max_calls);
/* Cancels all calls and waits until done() of each has returned. */
void jh_http_client_destroy(struct jh_http_client *c);

/*
 * Starts a call. Returns NULL without any callback when max_calls is reached.
 * The caller owns a reference to the result.
 */
struct jh_http_call *jh_http_call_start(
    struct jh_http_client *c, const struct jh_http_call_spec *spec);
void jh_http_call_resume(struct jh_http_call *call);
void jh_http_call_cancel(struct jh_http_call *call);
void jh_http_call_unref(struct jh_http_call *call);

/* Returns 0 before the status line has arrived. */
unsigned int jh_http_call_status(const struct jh_http_call *call);
/* Returns the first header of that name, or NULL. For callbacks only. */
const char *jh_http_call_header(struct jh_http_call *call, const char *name);

#endif
