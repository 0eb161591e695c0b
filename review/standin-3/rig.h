#ifndef REVIEW_STANDIN_3_RIG_H
#define REVIEW_STANDIN_3_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

#include "fakes/platform/objects.h"

/*
 * What the cases of the third review share: the store on its own thread,
 * routers as processes, a record of what happened, and blocking connections of
 * clients. Errors of the rig end the program with status 2.
 */

/* Exit status of a case. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

/* Creates the store; the record is written to the file in argv. */
void rig_start(int argc, char **argv);
/* Starts the store and the workers that were created on its loop. */
void rig_run(void);
/* Ends all processes and the store, removes temporary files, and exits. */
_Noreturn void rig_finish(int status);
/* Whether the disruption takes place: TROUBLE is not "0". */
bool rig_trouble(void);
struct fake_objects *rig_store(void);
uv_loop_t *rig_loop(void);
/* Milliseconds since rig_start(). */
int64_t rig_msec(void);
void rig_sleep(unsigned int msec);
/* Adds a line to the record, with its time; may be called from any thread. */
void rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* The case cannot run. */
_Noreturn void rig_fail(const char *fmt, ...)
    __attribute__((format(printf, 1, 2)));

/* Writes an object as the operator or a worker; takes over the reference. */
void rig_put(const char *kind, const char *name, json_t *spec);

/* A router process with the settings of a small deployment. */
struct router {
	char name[32];
	unsigned int memory_mb;
	unsigned int clients, readiness, metrics, gossip;
	unsigned int store; /* port of the store, or of a proxy */
	pid_t pid; /* 0: not running */
};

/* store: port of a proxy that the router uses; 0: the store's own. */
void router_init(struct router *r, const char *name, unsigned int memory_mb,
    unsigned int store);
/* Starts it with the command of the deploy file. */
void router_start(struct router *r);
/* Waits until it is ready. */
void router_await(const struct router *r);
void router_signal(const struct router *r, int number);
/* Waits for its end after a signal; returns false after the time. */
bool router_await_end(struct router *r, unsigned int msec);
/* Resident memory in kilobytes; 0 if it does not run. */
long router_memory(const struct router *r);

/*
 * A worker on threads of its own, one for each connection, which registers
 * itself. respond() answers one request whose head is in text, without its
 * body, and returns whether the connection is kept.
 */
struct raw_worker {
	const char *id, *service;
	const char *model; /* NULL: none */
	bool (*respond)(struct raw_worker *w, int fd, const char *head);
	unsigned int port;
};

void raw_worker_start(struct raw_worker *w);
/* Copies the value of a field of the head; false if it has none. */
bool head_value(const char *head, const char *name, char *out, size_t max);

/* A proxy to the store, which can turn its callers away. */
struct proxy;

struct proxy *proxy_start(void);
unsigned int proxy_port(const struct proxy *p);
/* Resets all connections, those that are open too, until it serves again. */
void proxy_turn_away(struct proxy *p, bool away);

/* A client's connection. */
int conn_open(unsigned int port);
bool conn_send(int fd, const char *text, size_t n);

/* A response as a client reads it. */
struct response {
	unsigned int status; /* 0: no whole head */
	bool complete;
	bool close; /* the connection ends after it */
	size_t body_len; /* bytes of the body, without framing */
};

/* Reads a response; each read waits for that long at most. */
void conn_read(int fd, unsigned int timeout_msec, struct response *out);

#endif
