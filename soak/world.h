#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "soak/ledger.h"
#include "soak/plan.h"

/*
 * One run of the soak test: router processes with simulated platform services,
 * proxies between them, clients, and the faults of a plan.
 */
struct soak_world;

struct soak_spec {
	const char *program; /* path of jhplatform */
	const char *dir; /* for settings and logs of the processes */
	uint64_t seed;
	unsigned int entries, engines, services, callers;
	double seconds; /* duration of the run */
	bool verbose; /* prints each fault */
};

struct soak_result {
	struct soak_totals totals;
	double share_at_end; /* success ratio after the faults */
	unsigned int faults; /* detected */
	unsigned int planned; /* injected */
	long memory_kb; /* peak of one router */
};

/* Runs to the end and prints the violations. */
struct soak_result soak_run(const struct soak_spec *spec);

#endif
