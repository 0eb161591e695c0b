#ifndef SOAK_LINK_H
#define SOAK_LINK_H

#include <stdint.h>

#include <uv.h>

#include "soak/plan.h"

/*
 * A proxy on loopback: every connection to its port goes on to the server's
 * port, as the mode in force lets it.
 */
struct soak_link;

struct soak_link *soak_link_create(
    uv_loop_t *loop, unsigned int port, unsigned int server_port);
void soak_link_destroy(struct soak_link *l);

/* delay: microseconds, of LINK_DELAY. LINK_RESET leaves the link open. */
void soak_link_set(
    struct soak_link *l, enum soak_link_mode mode, uint64_t delay);

#endif
