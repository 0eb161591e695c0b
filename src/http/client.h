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
 * HTTP requests over libcurl's multi interface, all driven by one thread.
 * Callbacks run on that thread and must not block.
 */
struct jh_http_client;

/* One request in progress; reference counted. */
struct jh_http_call;

enum jh_http_result {
	JH_HTTP_OK, /* a complete reply arrived, whatever its status */
	JH_HTTP_NOT_SENT, /* no connection: the peer has seen nothing */
	JH_HTTP_BROKEN, /* the peer may have seen the request */
	JH_HTTP_TIMED_OUT, /* the deadline passed; may have been seen */
	JH_HTTP_CANCELLED /* jh_http_call_cancel() was called */
};

struct jh_http_call_ops {
	/* Status and headers of the reply are known. May be NULL. */
	void (*begun)(void *arg, struct jh_http_call *call);
	/*
	 * Bytes of the body. Returning false keeps them undelivered and stops
	 * the reply until jh_http_call_resume().
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
	struct jh_body *shared; /* in place of body; referenced, not copied */
	uint64_t deadline; /* jh_now() time of the whole call, or JH_NEVER */
	/*
	 * Send at most once. libcurl silently resends a request whose kept
	 * connection broke before the reply, so this uses a new connection.
	 */
	bool once;
	const struct jh_http_call_ops *ops;
	void *arg;
};

/* At most max_calls calls run or wait at one time. */
struct jh_http_client *jh_http_client_create(
    const char *thread_name, unsigned int max_calls);
/* Cancels what runs; every call's done() has run when this returns. */
void jh_http_client_destroy(struct jh_http_client *c);

/*
 * Starts a call. Returns NULL, and calls nothing, when max_calls is reached.
 * The caller owns one reference of the result.
 */
struct jh_http_call *jh_http_call_start(
    struct jh_http_client *c, const struct jh_http_call_spec *spec);
void jh_http_call_resume(struct jh_http_call *call);
void jh_http_call_cancel(struct jh_http_call *call);
void jh_http_call_unref(struct jh_http_call *call);

/* 0 before the status line has arrived. */
unsigned int jh_http_call_status(const struct jh_http_call *call);
/* The last header of that name, or NULL. From callbacks only. */
const char *jh_http_call_header(struct jh_http_call *call, const char *name);

#endif
