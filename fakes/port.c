#include <errno.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>

#include "fakes/port.h"

/*
 * The ports are below 32768, where the ephemeral ports of outgoing connections
 * begin. They are divided into blocks; a program owns a block as long as it
 * holds its first port bound, and chooses only ports of its own blocks.
 */
#define FIRST_PORT 20000
#define BLOCKS 200
#define BLOCK_PORTS 60

/* With this number of blocks a program chooses its ports anew. */
#define MAX_OWN_BLOCKS 20

struct sockaddr_in
fake_loopback(unsigned int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)port)};
}

/* Returns a socket that is bound to the port; -1 if the port is in use. */
static int
bind_port(unsigned int port)
{
	struct sockaddr_in sin = fake_loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		g_error("cannot create a socket: %s", strerror(errno));
	if (bind(fd, (const struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool
is_port_free(unsigned int port)
{
	int fd = bind_port(port);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/* Returns the first port of a block that this program now owns; 0: none. */
static unsigned int
own_block(void)
{
	unsigned int i, port;

	for (i = 0; i < BLOCKS; i++) {
		port = FIRST_PORT +
		       ((unsigned int)getpid() + i) % BLOCKS * BLOCK_PORTS;
		/* The socket stays open until the program ends. */
		if (bind_port(port) >= 0)
			return port;
	}
	return 0;
}

/* The next port of the own blocks, free or not. */
static unsigned int
next_port(void)
{
	static unsigned int blocks[MAX_OWN_BLOCKS];
	static unsigned int n, current, used = BLOCK_PORTS;

	if (used == BLOCK_PORTS) {
		if (n < MAX_OWN_BLOCKS && (blocks[n] = own_block()) != 0)
			current = n++;
		else if (n > 0)
			current = (current + 1) % n;
		else
			g_error("all ports are in use by other programs");
		used = 1;
	}
	return blocks[current] + used++;
}

unsigned int
fake_port(void)
{
	unsigned int port;

	do {
		port = next_port();
	} while (!is_port_free(port));
	return port;
}
