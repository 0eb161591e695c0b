#ifndef GATEWAY_VIEW_H
#define GATEWAY_VIEW_H

#include <stdint.h>

#include <jansson.h>

#include "gateway/gateway.h"

/*
 * Describes the configuration in force and the state of each worker, for
 * operators. Ages are in milliseconds. Returns a new reference.
 */
json_t *jh_gateway_view(const struct jh_gateway *g, uint64_t now);

#endif
