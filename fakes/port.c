#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "fakes/port.h"

/* Below 32768, where the ephemeral ports of outgoing connections begin. */
#define FIRST_PORT 20000
#define PORTS 12000

struct sockaddr_in
fake_loopback(unsigned int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)port)};
}

static bool
is_port_free(unsigned int port)
{
	struct sockaddr_in sin = fake_loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	ok = bind(fd, (const struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(fd);
	return ok;
}

unsigned int
fake_port(void)
{
	static unsigned int next;
	unsigned int port;

	/* Programs that run at the same time start at different ports. */
	if (next == 0)
		next = (unsigned int)getpid() * 101;
	do {
		port = FIRST_PORT + next++ % PORTS;
	} while (!is_port_free(port));
	return port;
}
