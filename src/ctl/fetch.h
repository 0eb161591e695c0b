#ifndef CTL_FETCH_H
#define CTL_FETCH_H

#include "ctl/ctl.h"

/*
 * Makes a GET request with the tool's timeout. Returns the body, to be freed by
 * the caller, or NULL unless a complete response of status 200 arrives.
 */
GString *ctl_fetch(
    struct ctl *c, const struct sockaddr_in *peer, const char *path);

#endif
