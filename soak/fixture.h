#ifndef SOAK_FIXTURE_H
#define SOAK_FIXTURE_H

#include <stdbool.h>
#include <stdint.h>

#include "soak/checker.h"
#include "soak/plan.h"

/*
 * One run of the soak test: router processes with simulated platform services,
 * proxies between them, clients, and the faults of a plan.
 */
struct soak_fixture;

/*
 * A lowered quota is checked in windows of 8 s that begin 12 s after it is in
 * force; the first of them ends this long after the faults, beside the time of
 * recovery.
 */
#define SOAK_QUOTA_TAIL_SEC 16

struct soak_spec {
	const char *program; /* path of jhplatform */
	const char *dir; /* for settings and logs of the processes */
	uint64_t seed;
	unsigned int routers, engines, services, clients;
	double seconds; /* duration of the run */
	bool restores; /* the store comes back from older copies */
	bool quotas; /* organisations have quotas and exceed them */
	bool poison; /* one prompt part crashes workers */
	bool verbose; /* prints each fault */
};

struct soak_result {
	struct soak_totals totals;
	double final_success_ratio; /* success ratio after the faults */
	unsigned int violations; /* detected */
	unsigned int planned_faults; /* injected */
	long memory_kb; /* peak of one router */
};

/* Runs to the end and prints the violations. */
struct soak_result soak_run(const struct soak_spec *spec);

#endif
