#ifndef NET_CLIENT_H
#define NET_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>
#include <uv.h>

#include "net/head.h"
#include "net/memory_budget.h"

/*
 * An HTTP/1.1 client that keeps idle connections per peer. A request is sent
 * at most once; the client never retries it.
 */
struct jh_uv_client;

/* A request in progress. */
struct jh_call;

enum jh_call_result {
	JH_CALL_COMPLETE, /* a complete response arrived */
	JH_CALL_NOT_SENT, /* no byte of the request left this process */
	JH_CALL_BROKEN, /* connection lost before the response was complete */
	JH_CALL_MALFORMED, /* the response is not HTTP, or was given up */
	JH_CALL_TIMED_OUT /* the deadline passed after the request was sent */
};

/* Time for the loop to notice what happened before a deadline. */
#define JH_CALL_OVERDUE_READ_MSEC 1

struct jh_call_ops {
	/*
	 * A response head has arrived. Returns false if the response is to
	 * another request; it is then skipped.
	 */
	bool (*head)(void *arg, const struct jh_head *head);
	/* Returns false to give the call up: it ends as JH_CALL_MALFORMED. */
	bool (*body)(void *arg, const char *p, size_t n);
	/* The last callback; the call is freed when it is called. */
	void (*end)(void *arg, enum jh_call_result result);
};

struct jh_call_spec {
	struct sockaddr_in peer;
	GString *message; /* the request; the call takes ownership */
	struct jh_str rest; /* follows it; valid until the call ends */
	/* jh_now() time; a connection that opened until then is used */
	uint64_t connect_deadline;
	uint64_t send_deadline; /* jh_now() time; not sent after it */
	uint64_t
	    deadline; /* jh_now() time of the complete response, or JH_NEVER */
	/* Longest idle time of a reused connection; 0: use a new one. */
	uint64_t max_idle_usec;
	/* Counts the message until the kernel has accepted it; may be NULL. */
	struct jh_memory_account *account;
	const struct jh_call_ops *ops;
	void *arg;
};

struct jh_uv_client *jh_uv_client_create(uv_loop_t *loop);
/*
 * A connection fails if what it sent stays unacknowledged for so long; 0: as
 * long as the kernel allows. 1,500 ms until this is called.
 */
void jh_uv_client_set_unacked(struct jh_uv_client *c, unsigned int msec);
/* Cancels all calls; no callback follows. */
void jh_uv_client_destroy(struct jh_uv_client *c);

/* Callbacks run from the loop, never inside jh_call_start(). */
struct jh_call *jh_call_start(
    struct jh_uv_client *c, const struct jh_call_spec *spec);
/* Closes the connection; no callback follows. */
void jh_call_cancel(struct jh_call *call);
/*
 * The connection serves no other call. To be called by jh_call_ops.head at the
 * latest.
 */
void jh_call_forbid_reuse(struct jh_call *call);
/* Whether any byte of the request may have reached the peer. */
bool jh_call_was_sent(const struct jh_call *call);
/* Whether more of the response, or its end, has arrived and is not read yet. */
bool jh_call_has_unread(const struct jh_call *call);
/* Bytes of the response that have arrived and are not read yet. */
size_t jh_call_unread(const struct jh_call *call);
/* Stop and resume reading the response. */
void jh_call_pause(struct jh_call *call);
void jh_call_resume(struct jh_call *call);

/* Closes the idle connections to a peer. */
void jh_uv_client_close_idle(
    struct jh_uv_client *c, const struct sockaddr_in *peer);
/* Polls of the loop so far: a timer that has seen one more is up to date. */
uint64_t jh_uv_client_polls(const struct jh_uv_client *c);
/* Number of connections opened since the client was created. */
uint64_t jh_uv_client_connections_opened(const struct jh_uv_client *c);

#endif
