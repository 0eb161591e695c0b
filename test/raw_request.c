#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <sys/socket.h>

#include <glib.h>

#include "fakes/port.h"
#include "raw_request.h"

bool
raw_request_read(int fd, char *buf, size_t len)
{
	const char *end = NULL, *field;
	size_t n = 0, total = len;
	ssize_t r;

	while (n < total) {
		r = read(fd, buf + n, len - 1 - n);
		if (r <= 0)
			return false;
		n += (size_t)r;
		buf[n] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end == NULL)
			continue;
		field = g_strstr_len(buf, end - buf, "Content-Length: ");
		total = (size_t)(end + 4 - buf);
		if (field != NULL)
			total += strtoul(
			    field + strlen("Content-Length: "), NULL, 10);
	}
	return true;
}

/* The client gets the end of the stream, and closes first. */
static void *
run_peer(void *arg)
{
	struct raw_peer *p = arg;
	char buf[4096];
	int fd;

	while ((fd = accept(p->listener, NULL, NULL)) >= 0) {
		p->serve(p->arg, fd);
		shutdown(fd, SHUT_WR);
		(void)!read(fd, buf, sizeof(buf));
		close(fd);
	}
	return NULL;
}

void
raw_peer_start(struct raw_peer *p)
{
	p->listener = socket(AF_INET, SOCK_STREAM, 0);
	p->address = fake_loopback(fake_port());
	assert_int_equal(bind(p->listener, (struct sockaddr *)&p->address,
			     sizeof(p->address)),
	    0);
	assert_int_equal(listen(p->listener, 8), 0);
	pthread_create(&p->thread, NULL, run_peer, p);
}

void
raw_peer_stop(struct raw_peer *p)
{
	shutdown(p->listener, SHUT_RDWR);
	pthread_join(p->thread, NULL);
	close(p->listener);
}
