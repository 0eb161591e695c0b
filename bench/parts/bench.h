#ifndef BENCH_PARTS_BENCH_H
#define BENCH_PARTS_BENCH_H

#include <stdint.h>

/* A benchmark of jhbench; run prints its tables and returns an exit status. */
struct bench {
	const char *name;
	const char *summary;
	int (*run)(uint64_t seed);
};

int queue_bench_run(uint64_t seed);
int once_bench_run(uint64_t seed);
int refuse_bench_run(uint64_t seed);
int poison_bench_run(uint64_t seed);
int cost_run(uint64_t seed);

#endif
