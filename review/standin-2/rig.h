#ifndef REVIEW_STANDIN_2_RIG_H
#define REVIEW_STANDIN_2_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include <jansson.h>

/*
 * A small deployment for the cases of the second review: the project's fake of
 * the object store, routers as processes, model workers and clients with
 * blocking sockets. All addresses are loopback addresses.
 */

/* Exit status of a case. */
enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_NOT_RUN = 2 };

/* Whether the disruption is wanted: TROUBLE is not "0". */
bool rig_trouble(void);
/* Milliseconds of the steady clock since the start. */
uint64_t rig_now(void);
void rig_sleep(unsigned int msec);
/* Writes a line with the time to standard output, which is record.txt. */
void rig_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends the case as not run, with all processes that it started. */
void rig_give_up(const char *why) __attribute__((noreturn));

/* Starts the store and makes a temporary folder; once. */
void rig_start(void);
/* Kills the routers that run and removes the folder. */
void rig_stop(void);
unsigned int rig_free_port(void);

/* Write as the operator or a worker does; put takes over the reference. */
void rig_put(const char *kind, const char *name, json_t *specification);
void rig_remove(const char *kind, const char *name);

struct rig_router {
	char name[32];
	unsigned int zone; /* 0 to 5; the first three are in one region */
	unsigned int store; /* port of a proxy; 0: the store's own */
	unsigned int clients, readiness;
	pid_t pid; /* 0: not running */
};

/* Starts a router with the command of the deploy file. */
void rig_router_start(
    struct rig_router *r, const char *name, unsigned int memory_mb);
/* Waits until it answers its readiness probe with 200. */
void rig_router_await_ready(const struct rig_router *r);
/* Returns its exit status, or -1 if it still runs after msec. */
int rig_router_await_exit(struct rig_router *r, unsigned int msec);
/* Resident memory in kilobytes, 0: not known. */
long rig_router_memory(const struct rig_router *r);

/*
 * A proxy for the store, whose open connections can go silent for good: what
 * either side sends is dropped, and neither sees an end. New ones work.
 */
unsigned int rig_proxy_start(void);
/* Returns the number of connections that go silent. */
unsigned int rig_proxy_silence(void);

/* A message that was received; head and body end with NUL. */
struct rig_message {
	char *head; /* with its first line */
	char *body;
	size_t body_len;
	bool complete;
};

void rig_message_clear(struct rig_message *m);
/* Copies the value of a field of the head; false if there is none. */
bool rig_field(const char *head, const char *name, char *out, size_t size);
/* The status of a response, or 0. */
unsigned int rig_status(const struct rig_message *m);

/*
 * Connects to a loopback port; -1: failed. segment: largest TCP segment, as on
 * an Ethernet link, 0: that of the loopback device. window: receive buffer.
 */
int rig_connect(unsigned int port, int segment, int window);
bool rig_send(int fd, const char *data, size_t n);
/*
 * Receives a message with a length or in chunks. per_second: bytes that are
 * read in a second, 0: as they come.
 */
void rig_receive(int fd, size_t per_second, struct rig_message *m);

/* A worker: calls serve() for each request, in a thread for each connection. */
struct rig_worker {
	const char *id;
	unsigned int port;
	void (*serve)(
	    struct rig_worker *w, int fd, const struct rig_message *request);
	void *arg;
	/* Set by rig_worker_start(). */
	const char *service, *model;
	int listener; /* -1: it has crashed */
	int open[64]; /* connections; -1: free */
	unsigned int starts;
};

/* Listens and registers; model: NULL if it serves none. */
void rig_worker_start(
    struct rig_worker *w, const char *service, const char *model);
/*
 * Ends all its connections and starts again after msec, under the same id. May
 * be called by serve(), which must then return.
 */
void rig_worker_crash(struct rig_worker *w, unsigned int msec);
/* The head of a response: status line, seal, id, and its length. */
char *rig_response_head(const struct rig_message *request,
    const struct rig_worker *w, size_t body_len);

#endif
