#ifndef CTL_FETCH_H
#define CTL_FETCH_H

#include "ctl/ctl.h"

/*
 * Reads one page by HTTP within the tool's timeout. Returns NULL without a
 * whole answer of status 200.
 */
GString *ctl_fetch(
    struct ctl *c, const struct sockaddr_in *peer, const char *path);

#endif
