#ifndef ENTRY_REVISION_WAIT_H
#define ENTRY_REVISION_WAIT_H

#include "entry/entry.h"

/* Callbacks that wait for the catalogue copy to reach a revision. */
struct entry_revision_wait;

struct entry_revision_wait *entry_revision_wait_create(void);
/* Discards the callbacks left; none of their requests is open any more. */
void entry_revision_wait_destroy(struct entry_revision_wait *w);

/*
 * Calls fn from the control thread once the copy has the revision, or with
 * reached false after about a second.
 */
void entry_revision_wait_add(struct entry_revision_wait *w, uint64_t revision,
    void (*fn)(void *arg, bool reached), void *arg);
/* Calls what is due; revision is that of the copy. */
void entry_revision_wait_tick(struct entry_revision_wait *w, uint64_t revision);

#endif
