#ifndef CTL_INSTANCES_H
#define CTL_INSTANCES_H

#include <jacinthhill/members.h>

#include "ctl/ctl.h"

/*
 * Reads the platform's instance list. Returns an array of struct jh_instance *
 * that owns its elements, or NULL with *status set to the exit code.
 */
GPtrArray *ctl_read_instances(struct ctl *c, int *status);

#endif
