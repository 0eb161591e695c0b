#ifndef BENCH_PARTS_SPREAD_H
#define BENCH_PARTS_SPREAD_H

#include <stdint.h>

/* Simulates the spread of catalogue edits and prints a table; returns 0. */
int spread_run(uint64_t seed);

#endif
