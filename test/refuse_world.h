#ifndef TEST_REFUSE_WORLD_H
#define TEST_REFUSE_WORLD_H

#include "refuse/hour.h"

#define HOUR 490000ULL /* whole hours since 1970, in 2025 */
#define START (HOUR * JH_USEC_PER_HOUR + 58 * JH_USEC_PER_MINUTE)

/*
 * Runs recorders before a store with lost answers, late writes and outages,
 * with or without deaths, and compares their report with what was refused.
 * Returns NULL, or what went wrong. The mutant store ignores versions.
 */
const char *refuse_world_run(guint32 seed, bool deaths, bool ignores_versions);

#endif
