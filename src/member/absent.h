#ifndef MEMBER_ABSENT_H
#define MEMBER_ABSENT_H

#include <stdint.h>

/*
 * Finds processes that stand in the store and are not heard any more, so that
 * their entries can be removed. An entry of a process that lives is put back by
 * that process, so a wrong removal costs one write. Pure; microseconds.
 */
struct jh_absent;

/*
 * A process is taken as gone after this time: longer than any freeze or
 * partition of the users' sheets, and several turns of the messages between
 * regions at 337 entries, which are 46 s apart.
 */
#define JH_ABSENT_USEC (180 * 1000000ULL)

/* One removal in this time at most, as each one wakes every process. */
#define JH_ABSENT_PAUSE_USEC (5 * 1000000ULL)

struct jh_absent *jh_absent_create(void);
void jh_absent_destroy(struct jh_absent *a);

/* The process stands in the store, or has been heard. */
void jh_absent_heard(struct jh_absent *a, uint64_t now, const char *name);
/* Its entry is gone. */
void jh_absent_forget(struct jh_absent *a, const char *name);
/* A process to remove now, or NULL; valid until the next change. */
const char *jh_absent_next(struct jh_absent *a, uint64_t now);

#endif
