#ifndef GATEWAY_VIEW_H
#define GATEWAY_VIEW_H

#include <stdint.h>

#include <jansson.h>

#include "gateway/gateway.h"

/*
 * What this process believes of the configuration and of each worker, for an
 * engineer to read. Ages are in milliseconds. A new reference.
 */
json_t *jh_gateway_view(const struct jh_gateway *g, uint64_t now);

#endif
