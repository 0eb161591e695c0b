#ifndef SOAK_STATE_H
#define SOAK_STATE_H

#include <glib.h>
#include <uv.h>

#include "fakes/platform/objects.h"
#include "fakes/platform/worker.h"
#include "soak/ledger.h"
#include "soak/link.h"
#include "soak/process.h"
#include "soak/world.h"

/* Time from the stop signal to the kill (graceS of the data sheets). */
#define SOAK_GRACE_SEC 8

/* The parts of the fixture, shared by fixture.c and faults.c. */

struct soak_entry {
	struct soak_world *world;
	unsigned int number;
	unsigned int port; /* that clients connect to */
	struct soak_link *callers, *store;
	struct soak_process *process;
	bool frozen;
	bool ends; /* its exit is expected */
	uint64_t killed_at; /* killed then if it has not stopped; 0: never */
};

struct soak_worker {
	struct fake_worker *fake;
	struct soak_link *link;
	enum fake_worker_mode mode;
	bool away; /* is draining or has crashed */
};

struct soak_world {
	struct soak_spec spec;
	uv_loop_t loop;
	GRand *rand;
	struct soak_ledger *ledger;
	struct fake_objects *objects;
	struct soak_entry *entries;
	struct soak_worker *workers;
	unsigned int n_workers;
	GPtrArray *callers;
	GPtrArray *laters;
	GArray *plan;
	uv_timer_t finish;
	uint64_t begun;
	unsigned int config, weights;
	uint64_t parity_since; /* last change between odd and even versions */
	unsigned int store_fault; /* number of faults of the store so far */
	unsigned int sent;
	long memory_kb;
	bool over;
};

/* Starts the fault; this and what follows is in faults.c. */
void soak_inject(struct soak_world *fx, struct soak_fault *f);
/* Calls fn after usec, unless the run has ended by then. Copies *f. */
void soak_after(struct soak_world *fx, uint64_t usec,
    void (*fn)(struct soak_world *fx, struct soak_fault *f),
    const struct soak_fault *f);
/* Cancels and frees an action of soak_schedule(). */
void soak_drop_later(void *p);
/* Starts the router that is the fault's target, unless it is running. */
void soak_start_entry(struct soak_world *fx, struct soak_fault *f);
extern const struct soak_process_ops soak_entry_ops;
/* Publish a version of the configuration, and of the model's weights. */
void soak_write_config(struct soak_world *fx, unsigned int version);
void soak_name_weights(struct soak_world *fx, unsigned int version);

#endif
