#ifndef FAKES_PLATFORM_WORKER_H
#define FAKES_PLATFORM_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "fakes/platform/objects.h"
#include "net/head.h"

/*
 * Fake of a worker of the platform, on the loop of the object store. It
 * registers itself, handles /report and /order, and runs requests; the response
 * to a path that begins with /stream/ is a stream of events. Functions may be
 * called from any thread unless they state otherwise.
 */
struct fake_worker;

enum fake_worker_mode {
	WORKER_RESPONDS,
	/* 503, with the statement that it did not run the request */
	WORKER_DECLINES,
	WORKER_RESETS, /* runs the request, then resets the connection */
	WORKER_RETURNS_ERROR, /* runs the request and responds with 500 */
	WORKER_UNSEALED, /* responds with 200, without the response seal */
	WORKER_RESETS_STREAM, /* resets one stream in the middle of an event */
	WORKER_GARBLES, /* runs the request, sends an invalid response */
	WORKER_TRUNCATES, /* runs the request, sends part of the body, then
			     resets */
	WORKER_SILENT /* runs the request without a response */
};

struct fake_worker_ops {
	/* A request starts to run. */
	void (*ran)(void *arg, struct fake_worker *w,
	    const struct jh_head *head, struct jh_str body);
	/*
	 * Its client has disconnected, or its response is complete; may be
	 * NULL.
	 */
	void (*ended)(void *arg, struct fake_worker *w, struct jh_str id);
	/* An order was accepted; may be NULL. */
	void (*ordered)(void *arg, struct fake_worker *w, const char *holder,
	    uint64_t token, unsigned int version);
	/* A request crashed it; may be NULL. */
	void (*crashed)(void *arg, struct fake_worker *w);
	/* A request arrived, run or not; may be NULL. */
	void (*arrived)(
	    void *arg, struct fake_worker *w, const struct jh_head *head);
	/* A request got 503 and the time until then; may be NULL. */
	void (*refused)(void *arg, struct fake_worker *w,
	    const struct jh_head *head, uint64_t until);
};

struct fake_worker_spec {
	unsigned int number; /* returned by fake_worker_number() */
	const char *service;
	const char *model; /* NULL: serves no model */
	unsigned int port;
	unsigned int
	    registered_port; /* the port in its registration; 0: port */
	unsigned int work_msec; /* before a response or the first event */
	unsigned int begin_msec; /* from a stream's head to the first event */
	unsigned int event_msec; /* between events; 0: none */
	size_t
	    padding; /* bytes after the body of a response that is no stream */
	unsigned int load_msec; /* to load weights; 0: a default of 100 */
	/*
	 * A request that has the prompt part with this ID, but not as its last
	 * one, crashes the worker: the head of its response is sent, and the
	 * crash takes the place of the body or of the first event. NULL: none.
	 */
	const char *crash_part;
	/* A request to this path crashes the worker in the same way. */
	const char *crash_path; /* NULL: none */
	bool crash_headless; /* such a crash takes the place of the head too */
	/* Such a crash follows after so many events of the run; 0: none. */
	int crash_events;
	unsigned int restart_msec; /* after a crash; 0: stays down */
	const struct fake_worker_ops *ops; /* may be NULL */
	void *arg;
};

/* Number of events of a complete stream; their ids start at 1. */
#define FAKE_WORKER_EVENTS 6

/* Registers the worker with weights of version 1. */
struct fake_worker *fake_worker_create(uv_loop_t *loop,
    struct fake_objects *objects, const struct fake_worker_spec *spec);
/* Call it after the loop has stopped. */
void fake_worker_destroy(struct fake_worker *w);

void fake_worker_set_mode(struct fake_worker *w, enum fake_worker_mode mode);
/*
 * Names this limit in its responses from now on, in requests a second;
 * negative: none. A restart does not change it.
 */
void fake_worker_set_rate_limit(struct fake_worker *w, double limit);
/* Says in all its responses that it leaves, until it starts again. */
void fake_worker_announce_leaving(struct fake_worker *w);
/*
 * Answers all requests, reports and orders with 503 and Retry-After until then,
 * a jh_now() time, or until it starts again. Such a time is not changed by
 * another one before its end.
 */
void fake_worker_refuse(struct fake_worker *w, uint64_t until);
/* Registers itself as draining. */
void fake_worker_drain(struct fake_worker *w);
/*
 * Resets the connections of running requests, closes all others and removes its
 * registration. It starts again after restart_msec. Call it on the loop's
 * thread.
 */
void fake_worker_crash(struct fake_worker *w);
/* Whether it was started and has not crashed. Call it on the loop's thread. */
bool fake_worker_is_up(const struct fake_worker *w);
/*
 * Starts again with a new id and the same weights. Call it on the loop's
 * thread.
 */
void fake_worker_start(struct fake_worker *w);

/* Requests for another instance, or for other weights. */
unsigned int fake_worker_misdirected(struct fake_worker *w);

/* Crashes by requests with the part crash_part or to crash_path. */
unsigned int fake_worker_crashes(struct fake_worker *w);
/* Such requests that arrived, run or not. */
unsigned int fake_worker_crash_arrivals(struct fake_worker *w);

unsigned int fake_worker_number(const struct fake_worker *w);
unsigned int fake_worker_runs(struct fake_worker *w);
unsigned int fake_worker_weights(struct fake_worker *w);
/* Number of orders accepted since its start. */
unsigned int fake_worker_orders(struct fake_worker *w);
/*
 * The head of the last request that it ran, one field a line, or NULL; free
 * with g_free().
 */
char *fake_worker_last_head(struct fake_worker *w);

#endif
