#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <stdint.h>

#include <uv.h>

#include "soak/plan.h"

/*
 * A TCP proxy on loopback. It forwards each connection to its port to the
 * server's port, and delays, holds or resets it as the current mode says.
 */
struct soak_proxy;

struct soak_proxy *soak_proxy_create(
    uv_loop_t *loop, unsigned int port, unsigned int server_port);
void soak_proxy_destroy(struct soak_proxy *proxy);

/*
 * delay: microseconds, for PROXY_DELAY. After PROXY_RESET the mode is
 * PROXY_PASS.
 */
void soak_proxy_set_mode(
    struct soak_proxy *proxy, enum soak_proxy_mode mode, uint64_t delay);

#endif
