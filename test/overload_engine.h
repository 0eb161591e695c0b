#ifndef OVERLOAD_ENGINE_H
#define OVERLOAD_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * A model of an engine of docs/quotas-and-overload.md: a step for each running
 * request and a chunk of the prompts a batch, slots, a queue by rank, and
 * preemption of the newest of the least urgent when memory runs out.
 */
#define ENGINE_SLOTS 48
#define ENGINE_CAPACITY 92591 /* tokens */

/* First member of each request. */
struct engine_job {
	unsigned int rank;
	uint32_t own, output, held; /* tokens; held before any output */
	uint32_t left, done; /* prompt tokens to compute; output tokens */
	bool admitted, begun;
};

struct engine {
	unsigned int index;
	double speed; /* relative to the specified one */
	uint64_t free_at, down_until;
	GPtrArray *jobs; /* struct engine_job, in order of arrival */
};

struct engine_ops {
	void (*first_event)(void *arg, struct engine_job *j);
	void (*ended)(void *arg, struct engine_job *j);
};

/* Whether its slots and its queue have room. */
bool engine_accepts(const struct engine *e);
/* Runs one batch if there is one to run now. */
void engine_run(
    struct engine *e, uint64_t now, const struct engine_ops *ops, void *arg);

#endif
