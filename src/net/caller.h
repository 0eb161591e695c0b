#ifndef NET_CALLER_H
#define NET_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>
#include <uv.h>

#include "net/head.h"

/*
 * Sends HTTP/1.1 requests over connections that are kept for each peer. A
 * request is sent once: nothing here repeats it.
 */
struct jh_caller;
struct jh_call;

enum jh_call_result {
	JH_CALL_COMPLETE, /* a whole answer arrived */
	JH_CALL_NOT_SENT, /* no byte of the request left this process */
	JH_CALL_BROKEN, /* the connection failed or spoke no HTTP */
	JH_CALL_TIMED_OUT /* the deadline passed after the request was sent */
};

struct jh_call_ops {
	/*
	 * A head has arrived. Returns false when it belongs to another
	 * request: that message is skipped.
	 */
	bool (*head)(void *arg, const struct jh_head *head);
	void (*body)(void *arg, const char *p, size_t n);
	/* The last callback; the call is gone after it. */
	void (*end)(void *arg, enum jh_call_result result);
};

struct jh_call_spec {
	struct sockaddr_in peer;
	GString *message; /* the request as sent; owned by the call */
	uint64_t
	    connect_deadline; /* jh_now() time; the call is not sent later */
	uint64_t deadline; /* jh_now() time of the whole answer, or JH_NEVER */
	/* A kept connection must have served within this time; 0: a new one. */
	uint64_t most_idle_usec;
	const struct jh_call_ops *ops;
	void *arg;
};

struct jh_caller *jh_caller_create(uv_loop_t *loop);
/* Ends all calls without callbacks. */
void jh_caller_destroy(struct jh_caller *c);

/* Callbacks never run inside this call. */
struct jh_call *jh_call_start(
    struct jh_caller *c, const struct jh_call_spec *spec);
/* Breaks the connection; no callback follows. */
void jh_call_cancel(struct jh_call *call);
/* Whether any byte of the request may have reached the peer. */
bool jh_call_was_sent(const struct jh_call *call);
/* Stops and restarts reading the answer. */
void jh_call_pause(struct jh_call *call);
void jh_call_resume(struct jh_call *call);

/* Closes the idle connections to a peer that has gone. */
void jh_caller_forget(struct jh_caller *c, const struct sockaddr_in *peer);
/* Connections opened since the start. */
uint64_t jh_caller_opened(const struct jh_caller *c);

#endif
