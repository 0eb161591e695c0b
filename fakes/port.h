#ifndef FAKES_PORT_H
#define FAKES_PORT_H

/*
 * A loopback TCP port that is free now, outside the range of outgoing
 * connections. Not safe between threads.
 */
unsigned int fake_port(void);

#endif
