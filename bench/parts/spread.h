#ifndef BENCH_PARTS_SPREAD_H
#define BENCH_PARTS_SPREAD_H

#include <stdint.h>

int spread_run(uint64_t seed);

#endif
