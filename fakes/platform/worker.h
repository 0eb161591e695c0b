#ifndef FAKES_PLATFORM_WORKER_H
#define FAKES_PLATFORM_WORKER_H

#include <stdint.h>

#include <uv.h>

#include "fakes/platform/objects.h"
#include "net/head.h"

/*
 * Stand-in of one of the platform's workers, on the loop of the object store.
 * It registers itself, answers /report and /order, and runs requests; paths
 * that begin with /stream/ are answered event by event. Its functions may be
 * called from any thread.
 */
struct fake_worker;

enum fake_worker_mode {
	WORKER_ANSWERS,
	WORKER_DECLINES, /* 503, states that it did not run the request */
	WORKER_BREAKS, /* runs the request and resets the connection */
	WORKER_FAILS, /* 500 of its own */
	WORKER_UNSEALED, /* a success without its proof */
	WORKER_BREAKS_STREAM, /* one stream, in the middle of an event */
	WORKER_GARBLES, /* runs the request, sends bytes that are no answer */
	WORKER_CUTS, /* runs the request, sends part of the body and ends */
	WORKER_SILENT /* runs the request and never answers */
};

struct fake_worker_ops {
	/* A request begins to run. */
	void (*ran)(void *arg, struct fake_worker *w,
	    const struct jh_head *head, struct jh_str body);
	/* Its caller left, or its answer is complete. */
	void (*ended)(void *arg, struct fake_worker *w, struct jh_str id);
	/* An order was accepted. */
	void (*ordered)(void *arg, struct fake_worker *w, const char *holder,
	    uint64_t token, unsigned int version);
};

struct fake_worker_spec {
	unsigned int number;
	const char *service;
	const char *model; /* NULL: runs no models */
	unsigned int port;
	unsigned int shown_port; /* in its registration; 0: port */
	unsigned int work_msec; /* before an answer or the first event */
	unsigned int event_msec; /* between events; 0: none */
	const struct fake_worker_ops *ops; /* may be NULL */
	void *arg;
};

/* Events of a whole stream; their ids count from 1. */
#define FAKE_WORKER_EVENTS 6

/* Registers the worker with weights of version 1. */
struct fake_worker *fake_worker_create(uv_loop_t *loop,
    struct fake_objects *objects, const struct fake_worker_spec *spec);
/* After the loop has stopped. */
void fake_worker_destroy(struct fake_worker *w);

void fake_worker_set_mode(struct fake_worker *w, enum fake_worker_mode mode);
/* Reports itself as draining. */
void fake_worker_drain(struct fake_worker *w);
/* On the loop: ends every connection and takes its entry from the store. */
void fake_worker_crash(struct fake_worker *w);
/* On the loop: starts again under a new id, with the weights it had. */
void fake_worker_start(struct fake_worker *w);

unsigned int fake_worker_number(const struct fake_worker *w);
unsigned int fake_worker_runs(struct fake_worker *w);
unsigned int fake_worker_weights(struct fake_worker *w);
/* Orders accepted since its start. */
unsigned int fake_worker_orders(struct fake_worker *w);
/* The last request head that it has run, one field a line; g_free(). */
char *fake_worker_last_head(struct fake_worker *w);

#endif
