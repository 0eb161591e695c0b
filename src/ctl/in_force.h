#ifndef CTL_IN_FORCE_H
#define CTL_IN_FORCE_H

#include "ctl/ctl.h"

/* How long an accepted edit may take to be in force everywhere. */
#define CTL_IN_FORCE_MS 8000

/*
 * Asks every live instance whether it has all edits up to a revision that the
 * store has accepted, again until all have or the wait is over. Prints which
 * have. Returns CTL_OK only if all have.
 */
int ctl_in_force(struct ctl *c, uint64_t revision, int wait_ms);

#endif
