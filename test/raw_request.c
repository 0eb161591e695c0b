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

int
raw_listen(struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	*address = fake_loopback(fake_port());
	assert_int_equal(
	    bind(fd, (struct sockaddr *)address, sizeof(*address)), 0);
	assert_int_equal(listen(fd, 8), 0);
	return fd;
}
