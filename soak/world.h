#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "soak/ledger.h"
#include "soak/plan.h"

/*
 * One run of the soak: entry processes before stand-ins of the platform, with
 * proxies between them, callers, and the faults of a plan.
 */
struct soak_world;

struct soak_spec {
	const char *program; /* path of jhplatform */
	const char *dir; /* settings and logs of the processes */
	uint64_t seed;
	unsigned int entries, engines, services, callers;
	double seconds; /* length of the run */
	bool verbose; /* prints each fault */
};

struct soak_result {
	struct soak_totals totals;
	double share_at_end; /* served of what was sent in the calm end */
	unsigned int faults; /* promises found broken */
	unsigned int planned; /* faults that were injected */
	long memory_kb; /* most of one entry */
};

/* Runs to the end; prints broken promises. */
struct soak_result soak_run(const struct soak_spec *spec);

#endif
