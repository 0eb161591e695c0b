#ifndef CTL_IN_FORCE_H
#define CTL_IN_FORCE_H

#include "ctl/ctl.h"

/* Time within which every instance must have an accepted edit. */
#define CTL_IN_FORCE_TIMEOUT_MS 8000

/*
 * Polls every live instance, for up to wait_ms, until all have every edit up to
 * the revision, which the store has accepted. An edit is then in force. Prints
 * the state of each instance. Returns CTL_OK only if all have the edits.
 */
int ctl_in_force(struct ctl *c, uint64_t revision, int wait_ms);

#endif
