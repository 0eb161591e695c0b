#ifndef JACINTHHILL_CLOCK_H
#define JACINTHHILL_CLOCK_H

#include <stdint.h>

/* Times, durations and deadlines are in microseconds. */
#define JH_USEC_PER_MSEC 1000ULL
#define JH_USEC_PER_SEC 1000000ULL

/* A time that is never reached; the deadline of what does not expire. */
#define JH_NEVER UINT64_MAX

/* Monotonic clock; times are comparable only within one process. */
uint64_t jh_now(void);

/*
 * Monotonic clock that also counts while the machine is suspended. For a
 * leadership, which another process may have taken over in the meantime.
 */
uint64_t jh_boot_now(void);

/* Microseconds since the Unix epoch; for records that other processes read. */
uint64_t jh_wall_now(void);

#endif
