#ifndef FAKES_PORT_H
#define FAKES_PORT_H

#include <netinet/in.h>

/* The IPv4 loopback address with this port. */
struct sockaddr_in fake_loopback(unsigned int port);

/*
 * Returns a loopback TCP port that is free at the moment, outside the ephemeral
 * port range, and that no other program chooses while this one runs. Not
 * thread-safe.
 */
unsigned int fake_port(void);

#endif
