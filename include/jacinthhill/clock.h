#ifndef JACINTHHILL_CLOCK_H
#define JACINTHHILL_CLOCK_H

#include <stdint.h>

/* Points in time are microseconds; a deadline is such a point. */
#define JH_USEC_PER_MSEC 1000ULL
#define JH_USEC_PER_SEC 1000000ULL

/* Never reached: the deadline of something that does not expire. */
#define JH_NEVER UINT64_MAX

/* Microseconds of the monotonic clock; comparable in one process only. */
uint64_t jh_now(void);

/*
 * The same, and runs while the machine is suspended: for tenures that others
 * may have taken over in the meantime.
 */
uint64_t jh_boot_now(void);

/* Microseconds since the Unix epoch; used in records others read. */
uint64_t jh_wall_now(void);

#endif
