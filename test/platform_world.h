#ifndef TEST_PLATFORM_WORLD_H
#define TEST_PLATFORM_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "fakes/platform/worker.h"
#include "harness.h"

/*
 * Stand-ins of the platform, on a thread of their own, and one entry process
 * before them. They speak as much of the platform's protocol as tests need.
 */
struct platform;

#define PLATFORM_WORKERS 3

/* Routes: /once/, /again/, /stream/ (resumable), /public/; key "k1". */
struct platform *platform_start(void);
void platform_stop(struct platform *p);

/* Starts another entry; the first one runs after platform_start(). */
void platform_await_ready(struct platform *p);
struct proc *platform_entry(struct platform *p);
/* Where the entry serves its metrics and its view. */
unsigned int platform_metrics_port(const struct platform *p);

void platform_set_mode(
    struct platform *p, unsigned int worker, enum fake_worker_mode mode);
/* The store answers every call with this status; 0: serves. */
void platform_set_store_status(struct platform *p, unsigned int status);
/* Writes or removes an object as the operator or a worker does. */
void platform_put(
    struct platform *p, const char *kind, const char *name, json_t *spec);
/* A new reference, or NULL. */
json_t *platform_get(struct platform *p, const char *kind, const char *name);
void platform_remove(struct platform *p, const char *kind, const char *name);
/* Replaces the configuration by one of this version, without key k1. */
void platform_revoke(struct platform *p, unsigned int version);
void platform_name_weights(struct platform *p, unsigned int version);

unsigned int platform_runs(struct platform *p, unsigned int worker);
unsigned int platform_weights(struct platform *p, unsigned int worker);
unsigned int platform_orders(struct platform *p);
/* The last request head that one of the workers has run; free with g_free(). */
char *platform_last_head(struct platform *p);

/*
 * Sends one request to the entry and returns the whole answer, or what
 * arrived before the connection ended. Free with g_free().
 */
char *platform_ask(struct platform *p, const char *method, const char *path,
    const char *fields);
/* Status of an answer; 0: none. */
unsigned int answer_status(const char *answer);

#endif
