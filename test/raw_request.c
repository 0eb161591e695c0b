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
raw_request_read_head(int fd, char *buf, size_t len)
{
	size_t n = 0;

	while (n < len - 1 && read(fd, buf + n, 1) == 1) {
		buf[++n] = '\0';
		if (g_str_has_suffix(buf, "\r\n\r\n"))
			return true;
	}
	return false;
}

size_t
raw_request_body_len(const char *head)
{
	const char *field = strstr(head, "Content-Length: ");

	return field == NULL
		   ? 0
		   : strtoul(field + strlen("Content-Length: "), NULL, 10);
}

bool
raw_request_skip(int fd, size_t n)
{
	char buf[65536];
	ssize_t r;

	for (; n > 0; n -= (size_t)r) {
		r = read(fd, buf, MIN(n, sizeof(buf)));
		if (r <= 0)
			return false;
	}
	return true;
}

bool
raw_request_read(int fd, char *buf, size_t len)
{
	size_t n, total;
	ssize_t r;

	if (!raw_request_read_head(fd, buf, len))
		return false;
	n = strlen(buf);
	total = n + raw_request_body_len(buf);
	for (; n < total; n += (size_t)r) {
		r = read(fd, buf + n, len - 1 - n);
		if (r <= 0)
			return false;
		buf[n + (size_t)r] = '\0';
	}
	return true;
}

void
raw_request_reset(int fd)
{
	const struct sockaddr nowhere = {.sa_family = AF_UNSPEC};

	(void)connect(fd, &nowhere, sizeof(nowhere));
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
