#ifndef SOAK_LINK_H
#define SOAK_LINK_H

#include <stdint.h>

#include <uv.h>

#include "soak/plan.h"

/*
 * A TCP proxy on loopback. It forwards each connection to its port to the
 * server's port, and delays, holds or resets it as the current mode says.
 */
struct soak_link;

struct soak_link *soak_link_create(
    uv_loop_t *loop, unsigned int port, unsigned int server_port);
void soak_link_destroy(struct soak_link *proxy);

/*
 * delay: microseconds, for PROXY_DELAY. After PROXY_RESET the mode is
 * PROXY_PASS.
 */
void soak_link_set(
    struct soak_link *proxy, enum soak_link_mode mode, uint64_t delay);

#endif
