#ifndef SOAK_STATE_H
#define SOAK_STATE_H

#include <glib.h>
#include <uv.h>

#include "fakes/platform/objects.h"
#include "fakes/platform/worker.h"
#include "soak/checker.h"
#include "soak/proxy.h"
#include "soak/process.h"
#include "soak/fixture.h"

/* Time from the stop signal to the kill (graceS of the data sheets). */
#define SOAK_GRACE_SEC 8

/* The parts of the fixture, shared by fixture.c and faults.c. */

struct soak_router {
	struct soak_fixture *fixture;
	unsigned int number;
	unsigned int port; /* that clients connect to */
	struct soak_proxy *client_proxy, *store_proxy;
	struct soak_process *process;
	bool frozen;
	bool exit_expected; /* its exit is expected */
	uint64_t started; /* time of the last start */
	uint64_t kill_at; /* killed then if it has not stopped; 0: never */
};

struct soak_worker {
	struct fake_worker *fake;
	struct soak_proxy *proxy;
	enum fake_worker_mode mode;
	bool unavailable; /* is draining or has crashed */
	unsigned int limits; /* that it has named so far */
};

/* Requests with the prompt part that crashes workers; see poison.c. */
struct soak_poison {
	char part[9]; /* its id; "": none in this run */
	uint64_t until; /* such requests are sent until then; 0: none yet */
	uint64_t next; /* time of the next one */
};

struct soak_fixture {
	struct soak_spec spec;
	uv_loop_t loop;
	GRand *rand;
	struct soak_checker *checker;
	struct fake_objects *objects;
	struct soak_router *routers;
	struct soak_worker *workers;
	unsigned int n_workers;
	GPtrArray *clients;
	GPtrArray *actions;
	GArray *plan;
	uv_timer_t end_timer, tick_timer;
	uint64_t started;
	unsigned int config_version, weights_version;
	bool lowered_quotas; /* a quota was lowered */
	bool large_config; /* the configuration has SOAK_MORE_ROUTES */
	uint64_t parity_since; /* last change between odd and even versions */
	struct soak_poison poison;
	unsigned int store_fault; /* number of faults of the store so far */
	unsigned int sent;
	long memory_kb;
	bool ended;
};

/* Starts the fault; this and what follows is in faults.c. */
void soak_inject_fault(struct soak_fixture *fx, struct soak_fault *f);
/* Calls fn after usec, unless the run has ended by then. Copies *f. */
void soak_schedule(struct soak_fixture *fx, uint64_t usec,
    void (*fn)(struct soak_fixture *fx, struct soak_fault *f),
    const struct soak_fault *f);
/* Cancels and frees an action of soak_schedule(). */
void soak_cancel_action(void *p);
/* Starts the router that is the fault's target, unless it is running. */
void soak_start_router(struct soak_fixture *fx, struct soak_fault *f);
extern const struct soak_process_ops soak_router_ops;
/* Starts the worker that is the fault's target. */
void soak_start_worker(struct soak_fixture *fx, struct soak_fault *f);
/* Publish a version of the configuration, and of the model's weights. */
void soak_publish_config(struct soak_fixture *fx, unsigned int version);
/* Tells the checker the quotas of the configuration. */
void soak_publish_quotas(struct soak_fixture *fx);
/* Lowers a quota, as an action. */
void soak_lower_quotas(struct soak_fixture *fx, struct soak_fault *f);
void soak_publish_weights(struct soak_fixture *fx, unsigned int version);

/* The prompt of a request; this and what follows is in poison.c. */
struct soak_prompt {
	char *parts; /* as the header field's value, to be freed */
	char *first_part; /* its id, to be freed */
};

/* Takes the part's id from the plan; to be called before workers start. */
void soak_poison_prepare(struct soak_fixture *fx);
void soak_poison_start(struct soak_fixture *fx, const struct soak_fault *f);
/* Whether the next request is to have the part; the one after it is not. */
bool soak_poison_due(struct soak_fixture *fx);
/*
 * A prompt of a few shared parts and one of its own at the end. If it is
 * poisoned, it also has the part that crashes workers, at any place but the
 * last.
 */
struct soak_prompt soak_prompt_draw(struct soak_fixture *fx, bool poisoned);
/* The operation "crashed" of a fake worker; arg is the fixture. */
void soak_poison_crashed(void *arg, struct fake_worker *fake);

#endif
