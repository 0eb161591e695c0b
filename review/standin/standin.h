#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

/*
 * A small deployment on loopback addresses for the cases of the review: the
 * project's fake store, workers with scripted behaviour, routers (jhplatform)
 * as processes, and blocking clients. A failure to set it up ends the program
 * with exit code 2. Functions may be called from any thread.
 */
struct si_platform;
struct si_worker;
struct si_conn;

#define SI_OK 0
#define SI_BROKEN 1
#define SI_CANNOT_RUN 2

#define SI_HOST "h.example"
#define SI_KEY "k1"

/* A request as a worker read it. */
struct si_request {
	char method[16];
	char path[128];
	char id[64]; /* the attempt id; empty: none */
	char *head; /* all header lines */
	uint64_t last_event; /* Last-Event-ID; 0: none */
};

/* Handles one request; runs on the connection's own thread. */
typedef void si_handler(
    void *arg, struct si_conn *c, const struct si_request *r);

/* Starts the record and the store, and writes the configuration. */
struct si_platform *si_start(const char *record_path);
/* Ends all processes that it started. Returns code. */
int si_stop(struct si_platform *p, int code);
/* Whether the case runs with its disruption: TROUBLE is not "0". */
bool si_trouble(void);
/* Appends a line with the time since the start to the record. */
void si_record(struct si_platform *p, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* Milliseconds since the start. */
uint64_t si_now(const struct si_platform *p);
void si_sleep(unsigned int msec);
/* Waits until this time since the start. */
void si_sleep_until(const struct si_platform *p, uint64_t msec);

/* Writes an object to the store; takes over the reference to spec. */
void si_put(
    struct si_platform *p, const char *kind, const char *name, json_t *spec);

/* The service is "llm", of model "m1", or "app". */
struct si_worker *si_worker_start(
    struct si_platform *p, const char *service, si_handler *handler, void *arg);
unsigned int si_worker_number(const struct si_worker *w);
/*
 * Ends the worker: it resets its connections and stops listening, without a
 * word to the store. It is back after restart_msec, under a new id.
 */
void si_worker_crash(struct si_worker *w, unsigned int restart_msec);

/* Starts a router and returns its number, from 0 on. */
unsigned int si_router_start(struct si_platform *p);
/* Waits until the router answers its readiness probe with 200. */
bool si_router_await(
    struct si_platform *p, unsigned int router, unsigned int msec);
/* Sends SIGKILL and waits for the end. */
void si_router_kill(struct si_platform *p, unsigned int router);
/* Starts a router again that was killed, with the same settings. */
void si_router_restart(struct si_platform *p, unsigned int router);

struct si_worker *si_conn_worker(struct si_conn *c);
/* Resets the connection instead of reading the next request. */
void si_conn_reset(struct si_conn *c);
/* Waits; returns false if the connection has ended. */
bool si_conn_wait(struct si_conn *c, unsigned int msec);
/* Writes a whole response. fields are lines that end in CRLF. */
void si_respond(struct si_conn *c, const struct si_request *r,
    unsigned int status, const char *fields, const char *body);
/* A sealed stream of events in chunks. */
void si_begin_stream(struct si_conn *c, const struct si_request *r);
void si_send_event(struct si_conn *c, uint64_t id);
void si_end_stream(struct si_conn *c);

struct si_answer {
	unsigned int status; /* 0: no response head */
	bool complete; /* the whole response has arrived */
	bool malformed; /* bytes that are no HTTP response */
	char malformed_at[64]; /* the first of them */
	unsigned int events;
	uint64_t first_event, last_event; /* their ids; 0: none */
	bool gap; /* an event is missing or came twice */
	double retry_after; /* seconds; 0: none */
};

struct si_call {
	const char *method, *path;
	const char *fields; /* further header lines, that end in CRLF */
	const char *id; /* attempt id */
	const char *body;
	unsigned int msec; /* deadline, also sent to the router */
};

/* Sends a request on a new connection and reads the response. */
void si_call(struct si_platform *p, unsigned int router,
    const struct si_call *call, struct si_answer *out);

#endif
