#ifndef ENTRY_WAIT_H
#define ENTRY_WAIT_H

#include "entry/entry.h"

/* Callbacks that wait for the catalogue copy to reach a revision. */
struct entry_wait;

struct entry_wait *entry_wait_create(void);
/* Discards the callbacks left; none of their requests is open any more. */
void entry_wait_destroy(struct entry_wait *w);

/*
 * Calls fn from the control thread once the copy has the revision, or with
 * reached false after about a second.
 */
void entry_wait_add(struct entry_wait *w, uint64_t revision,
    void (*fn)(void *arg, bool reached), void *arg);
/* Calls what is due; revision is that of the copy. */
void entry_wait_tick(struct entry_wait *w, uint64_t revision);

#endif
