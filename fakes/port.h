#ifndef FAKES_PORT_H
#define FAKES_PORT_H

#include <netinet/in.h>

/* The IPv4 loopback address with this port. */
struct sockaddr_in fake_loopback(unsigned int port);

/*
 * Returns a loopback TCP port that is free at the moment and outside the
 * ephemeral port range. Not thread-safe.
 */
unsigned int fake_port(void);

#endif
