#ifndef CTL_INSTANCES_H
#define CTL_INSTANCES_H

#include <jacinthhill/members.h>

#include "ctl/ctl.h"

/*
 * Reads the platform's instance list: an array of struct jh_instance *, or
 * NULL with *status set.
 */
GPtrArray *ctl_instances_read(struct ctl *c, int *status);

#endif
