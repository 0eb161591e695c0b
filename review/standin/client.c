#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"
#include "internal.h"

/* Reads once; returns false at the end, or at the deadline. */
static bool
read_some(int fd, GString *in, uint64_t deadline)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	uint64_t now = jh_now();
	char buf[8192];
	ssize_t n;

	if (now >= deadline ||
	    poll(&p, 1, (int)((deadline - now) / JH_USEC_PER_MSEC) + 1) <= 0)
		return false;
	n = recv(fd, buf, sizeof(buf), 0);
	if (n <= 0)
		return false;
	g_string_append_len(in, buf, n);
	return true;
}

static void
set_malformed(struct si_answer *out, const char *at)
{
	const char *end = strstr(at, "\r\n");
	size_t n = end != NULL ? (size_t)(end - at) : strlen(at);

	out->malformed = true;
	g_strlcpy(out->malformed_at, at, MIN(n + 1, sizeof(out->malformed_at)));
}

/* Counts the events of a stream and checks their order. */
static void
check_events(const char *body, struct si_answer *out)
{
	uint64_t last = 0, id;
	const char *at;

	for (at = strstr(body, "id: "); at != NULL;
	     at = strstr(at + 4, "id: ")) {
		id = g_ascii_strtoull(at + 4, NULL, 10);
		out->gap |= last != 0 && id != last + 1;
		last = id;
		if (out->events++ == 0)
			out->first_event = id;
		out->last_event = id;
	}
}

/* Reads the chunks of a body that begins at offset at. */
static void
read_chunks(
    int fd, GString *in, size_t at, uint64_t deadline, struct si_answer *out)
{
	GString *body = g_string_new(NULL);

	for (;;) {
		const char *line = in->str + at, *end = strstr(line, "\r\n");
		char *after;
		uint64_t n;
		if (end == NULL) {
			if (!read_some(fd, in, deadline))
				break;
			continue;
		}
		n = g_ascii_strtoull(line, &after, 16);
		if (after != end) {
			set_malformed(out, line);
			break;
		}
		if (in->len < (size_t)(end + 4 - in->str) + n) {
			if (!read_some(fd, in, deadline))
				break;
			continue;
		}
		if (memcmp(end + 2 + n, "\r\n", 2) != 0) {
			set_malformed(out, end + 2 + n);
			break;
		}
		if (n == 0) {
			out->complete = true;
			break;
		}
		g_string_append_len(body, end + 2, (gssize)n);
		at = (size_t)(end - in->str) + 4 + (size_t)n;
	}
	check_events(body->str, out);
	g_string_free(body, TRUE);
}

static void
read_answer(int fd, uint64_t deadline, struct si_answer *out)
{
	GString *in = g_string_new(NULL);
	const char *end, *at;
	size_t body, len;
	char *head = NULL;

	for (;;) {
		end = strstr(in->str, "\r\n\r\n");
		if (end != NULL)
			break;
		if (!read_some(fd, in, deadline))
			goto done;
	}
	body = (size_t)(end - in->str) + 4;
	if (!g_str_has_prefix(in->str, "HTTP/1.1 ")) {
		set_malformed(out, in->str);
		goto done;
	}
	out->status = (unsigned int)g_ascii_strtoull(in->str + 9, NULL, 10);
	head = g_strndup(in->str, body);
	at = strstr(head, "Retry-After: ");
	if (at != NULL)
		out->retry_after = g_ascii_strtod(at + 13, NULL);
	if (strstr(head, "Transfer-Encoding: chunked") != NULL) {
		read_chunks(fd, in, body, deadline, out);
		goto done;
	}
	at = strstr(head, "Content-Length: ");
	len = at != NULL ? (size_t)g_ascii_strtoull(at + 16, NULL, 10) : 0;
	while (in->len < body + len) {
		if (!read_some(fd, in, deadline))
			goto done;
	}
	out->complete = true;
done:
	g_free(head);
	g_string_free(in, TRUE);
}

static int
connect_to(unsigned int port)
{
	struct sockaddr_in sin = fake_loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0 &&
	    connect(fd, (const struct sockaddr *)&sin, sizeof(sin)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

void
si_call(struct si_platform *p, unsigned int router, const struct si_call *call,
    struct si_answer *out)
{
	uint64_t deadline = jh_now() + call->msec * JH_USEC_PER_MSEC;
	int fd = connect_to(p->routers[router].clients);
	char *text;

	memset(out, 0, sizeof(*out));
	if (fd < 0)
		return;
	text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: " SI_HOST "\r\n"
			       "X-Jacinthhill-Attempt-Id: %s\r\n"
			       "X-Jacinthhill-Deadline-Milliseconds: %u\r\n"
			       "Api-Key: " SI_KEY "\r\n%s"
			       "Content-Length: %zu\r\n\r\n%s",
	    call->method, call->path, call->id, call->msec, call->fields,
	    strlen(call->body), call->body);
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) == (ssize_t)strlen(text))
		read_answer(fd, deadline, out);
	g_free(text);
	close(fd);
}

static bool
is_ready(unsigned int port)
{
	static const char probe[] =
	    "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
	struct si_answer answer = {0};
	int fd = connect_to(port);

	if (fd < 0)
		return false;
	if (send(fd, probe, sizeof(probe) - 1, MSG_NOSIGNAL) > 0)
		read_answer(fd, jh_now() + JH_USEC_PER_SEC, &answer);
	close(fd);
	return answer.status == 200;
}

bool
si_router_await(struct si_platform *p, unsigned int router, unsigned int msec)
{
	uint64_t until = si_now(p) + msec;

	while (si_now(p) < until) {
		if (is_ready(p->routers[router].readiness)) {
			si_record(p, "router %u: ready", router);
			return true;
		}
		si_sleep(50);
	}
	return false;
}
