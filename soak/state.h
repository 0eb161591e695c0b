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

/* Between the stop signal and the end by force (graceS of the sheets). */
#define SOAK_GRACE_SEC 8

/* The parts of a run, shared by world.c and faults.c. */

struct soak_entry {
	struct soak_world *world;
	unsigned int number;
	unsigned int port; /* of the callers' link */
	struct soak_link *callers, *store;
	struct soak_process *process;
	bool frozen;
	bool ends; /* its end is expected */
	uint64_t
	    killed_at; /* by the platform if it has not stopped; 0: never */
};

struct soak_worker {
	struct fake_worker *fake;
	struct soak_link *link;
	enum fake_worker_mode mode;
	bool away; /* leaves or has crashed */
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
	uint64_t parity_since; /* of the configuration's number */
	unsigned int store_fault; /* counts faults of the store */
	unsigned int sent;
	long memory_kb;
	bool over;
};

/* faults.c: what happens to the parts. */
void soak_inject(struct soak_world *w, struct soak_fault *f);
/* Does something later in the run, unless the run is over by then. */
void soak_after(struct soak_world *w, uint64_t usec,
    void (*fn)(struct soak_world *w, struct soak_fault *f),
    const struct soak_fault *f);
/* Frees what soak_after() has added to the run. */
void soak_drop_later(void *p);
/* Starts the entry that is the fault's target, if it does not run. */
void soak_start_entry(struct soak_world *w, struct soak_fault *f);
extern const struct soak_process_ops soak_entry_ops;
void soak_write_config(struct soak_world *w, unsigned int version);
void soak_name_weights(struct soak_world *w, unsigned int version);

#endif
