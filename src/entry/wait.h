#ifndef ENTRY_WAIT_H
#define ENTRY_WAIT_H

#include "entry/entry.h"

/* Requests that wait until the catalogue copy has reached a revision. */
struct entry_wait;

struct entry_wait *entry_wait_create(void);
/* Drops what still waits; the requests have ended by then. */
void entry_wait_destroy(struct entry_wait *w);

/*
 * Calls fn from the control thread once the copy has the revision, or after
 * about a second without it.
 */
void entry_wait_add(struct entry_wait *w, uint64_t revision,
    void (*fn)(void *arg, bool reached), void *arg);
void entry_wait_tick(struct entry_wait *w, uint64_t revision);

#endif
