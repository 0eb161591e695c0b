#ifndef TEST_PLATFORM_FIXTURE_H
#define TEST_PLATFORM_FIXTURE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "fakes/platform/objects.h"
#include "fakes/platform/worker.h"
#include "harness.h"

/*
 * Fakes of the platform's store and workers, on their own thread, and router
 * instances (jhplatform) that use them. They implement the part of the
 * platform's protocol that the tests need.
 */
struct platform;

struct platform_spec {
	unsigned int routers; /* named e1, e2 and so on */
	unsigned int workers;
	bool plain; /* the service has no model */
	unsigned int grace_sec; /* of the routers; 0: PLATFORM_GRACE_SEC */
	unsigned int memory_mb; /* of each router; 0: 110 */
	unsigned int body_bytes; /* limit on a request's; 0: 65536 */
	/* Behaviour of each worker; the rest of the members is ignored. */
	struct fake_worker_spec worker;
};

#define PLATFORM_WORKERS 3
#define PLATFORM_GRACE_SEC 6

/*
 * Starts all of it and waits until the routers are ready. The routes are
 * /once/, /again/, /stream/ (resumable) and /public/; the API key is "k1".
 */
struct platform *platform_create(const struct platform_spec *spec);
/* platform_create() with one router and PLATFORM_WORKERS workers. */
struct platform *platform_start(void);
void platform_stop(struct platform *p);

/* Waits until all routers are ready; fails the test on a timeout. */
void platform_await_ready(struct platform *p);
/* The first router, and any router from 0 on. */
struct proc *platform_router(struct platform *p);
struct proc *platform_router_at(struct platform *p, unsigned int router);
/* Port of the first router's metrics and its state view. */
unsigned int platform_metrics_port(const struct platform *p);

void platform_set_mode(
    struct platform *p, unsigned int worker, enum fake_worker_mode mode);
/* The worker names this limit, requests a second; negative: none. */
void platform_set_rate_limit(
    struct platform *p, unsigned int worker, double limit);
/* Crashes all workers that are up, at the same moment; does not wait for it. */
void platform_crash_workers(struct platform *p);
/* The store responds to every call with this status; 0: normally. */
void platform_set_store_status(struct platform *p, unsigned int status);
/* The store does not respond to any call from now on. */
void platform_silence_store(struct platform *p);
/* Writes or removes an object. platform_put() takes over the reference. */
void platform_put(
    struct platform *p, const char *kind, const char *name, json_t *spec);
/* Returns a new reference, or NULL if there is no such object. */
json_t *platform_get(struct platform *p, const char *kind, const char *name);
void platform_remove(struct platform *p, const char *kind, const char *name);
/* Replaces the configuration by this version, with that key alone. */
void platform_configure(
    struct platform *p, unsigned int version, const char *key);
/* The store comes back from an older copy. */
void platform_restore(struct platform *p, const struct fake_restore *spec);
/* Replaces the configuration by this version, without the key k1. */
void platform_revoke(struct platform *p, unsigned int version);
void platform_set_weights(struct platform *p, unsigned int version);

unsigned int platform_runs(struct platform *p, unsigned int worker);
/* Of all workers; see fakes/platform/worker.h. */
unsigned int platform_crashes(struct platform *p);
unsigned int platform_crash_arrivals(struct platform *p);
/* Requests that the worker got for another instance. */
unsigned int platform_misdirected(struct platform *p, unsigned int worker);
unsigned int platform_weights(struct platform *p, unsigned int worker);
unsigned int platform_orders(struct platform *p);
/* The head of the last request that a worker ran; free with g_free(). */
char *platform_last_head(struct platform *p);

/*
 * Sends one request to the first router and returns the whole response, or what
 * arrived before the connection ended. Free with g_free().
 */
char *platform_ask(struct platform *p, const char *method, const char *path,
    const char *fields);
/* Status code of a response; 0: none. */
unsigned int answer_status(const char *answer);

#endif
