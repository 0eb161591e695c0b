#ifndef FAKES_PORT_H
#define FAKES_PORT_H

#include <netinet/in.h>

struct sockaddr_in fake_loopback(unsigned int port);

/*
 * A loopback TCP port that is free now, outside the range of outgoing
 * connections. Not safe between threads.
 */
unsigned int fake_port(void);

#endif
