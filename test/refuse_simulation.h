#ifndef TEST_REFUSE_SIMULATION_H
#define TEST_REFUSE_SIMULATION_H

#include "refuse/hour.h"

#define HOUR 490000ULL /* whole hours since 1970, in 2025 */
#define START (HOUR * JH_USEC_PER_HOUR + 58 * JH_USEC_PER_MINUTE)

/*
 * Simulates recorders that write to a store with lost results, late writes and
 * outages, with or without crashes, and compares the reports with the requests
 * that were refused. Returns NULL, or the first difference found. With
 * ignores_versions the store does not check versions, which the comparison
 * must detect.
 */
const char *refuse_simulation_run(
    guint32 seed, bool crashes, bool ignores_versions);

#endif
