#ifndef MEMBER_LIVENESS_H
#define MEMBER_LIVENESS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Finds processes that are listed in the store and have sent nothing for a
 * timeout, so that their entries can be removed. A live process writes its
 * entry again, so a wrong removal costs one write. Does no I/O; not thread
 * safe. Times are microseconds of a monotonic clock.
 */
struct jh_liveness;

/*
 * A process is considered gone after this time: longer than any freeze or
 * partition in the users' fault scenarios, and several intervals of the
 * messages between regions, which are 46 s apart with 337 instances.
 */
#define JH_LIVENESS_TIMEOUT_USEC (180 * 1000000ULL)

/* Least time between two removals, as each one wakes every process. */
#define JH_LIVENESS_REMOVAL_INTERVAL_USEC (5 * 1000000ULL)

struct jh_liveness *jh_liveness_create(void);
void jh_liveness_destroy(struct jh_liveness *l);

/* Records that the process was seen in the store or has sent a message. */
void jh_liveness_seen(struct jh_liveness *l, uint64_t now, const char *name);
/* The entry of the process has been removed. */
void jh_liveness_forget(struct jh_liveness *l, const char *name);
/*
 * A process that was seen within this time counts as live for a ranking: longer
 * than the interval of the messages between regions, see above.
 */
#define JH_LIVENESS_RECENT_USEC (60 * 1000000ULL)

/*
 * The number of live processes that rank before this one. Processes rank by the
 * hash of their name, so those that see each other agree.
 */
size_t jh_liveness_rank(
    const struct jh_liveness *l, uint64_t now, const char *self);
/*
 * The name of a process whose entry is to be removed now, or NULL; valid until
 * the next change. The next removal is due an interval later.
 */
const char *jh_liveness_next_dead(struct jh_liveness *l, uint64_t now);

#endif
