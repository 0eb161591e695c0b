#ifndef BENCH_PARTS_PLACE_BENCH_H
#define BENCH_PARTS_PLACE_BENCH_H

#include <stdint.h>

/* Compares the placement policies and prints tables; returns 0. */
int place_bench_run(uint64_t seed);

#endif
