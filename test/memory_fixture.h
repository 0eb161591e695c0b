#ifndef TEST_MEMORY_FIXTURE_H
#define TEST_MEMORY_FIXTURE_H

#include "platform_fixture.h"

/*
 * Hostile clients of one router with little memory. The client loads would use
 * more than MEMORY_MB if the router kept all of what they send or ask for.
 */
#define MEMORY_MB 48
#define MEMORY_CLIENTS 60
#define MEMORY_BODY_LIMIT (4 << 20)

/* Raises the limit on bodies to MEMORY_BODY_LIMIT; opens no connection. */
void memory_fixture_begin(struct platform *p);
/* Opens the connections; receive_len: receive buffer in bytes, 0: default. */
void memory_fixture_connect(int receive_len);
void memory_fixture_end(void);

/*
 * Sends the text over each connection, in turns of block bytes, until it is
 * sent or the router has closed or stopped reading.
 */
void memory_fixture_send(const char *text, size_t len, size_t block);
/* Sends to one of the MEMORY_CLIENTS; returns whether all was sent. */
bool memory_fixture_send_to(unsigned int number, const char *text, size_t len);
/*
 * The router lives, its memory and open descriptors have stayed under the
 * bounds, and it answers one ordinary request while the connections are open.
 */
void memory_fixture_check(void);

#endif
