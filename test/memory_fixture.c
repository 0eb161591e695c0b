#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <glob.h>
#include <sys/socket.h>

#include "fakes/port.h"
#include "memory_fixture.h"

/* A send that makes no progress for so long has been stopped. */
#define SEND_TIMEOUT_USEC 300000

/* Files and connections of the router beside those of the clients. */
#define OTHER_DESCRIPTORS 200

/*
 * Builds with sanitizers use more memory at the start, so there the growth is
 * bounded. Under TSan each byte has up to three bytes of shadow memory.
 */
#define START_KB (8 * 1024)
#if defined(__SANITIZE_THREAD__)
#define BOUND_KB (4 * (MEMORY_MB * 1024 - START_KB))
#elif defined(__SANITIZE_ADDRESS__)
#define BOUND_KB (MEMORY_MB * 1024 - START_KB)
#else
#define BOUND_KB (MEMORY_MB * 1024)
#define COUNT_START
#endif

static struct platform *platform;
static long start_kb;
static int client[MEMORY_CLIENTS];
static unsigned int n_clients;

static bool
limit_is_in_force(void)
{
	struct call_spec spec = {.port = platform_metrics_port(platform),
	    .method = "GET",
	    .path = "/metrics"};
	struct call *c = call_run(&spec);
	bool ok = strstr(call_body(c), "\njh_config_version 2\n") != NULL;

	call_free(c);
	return ok;
}

void
memory_fixture_begin(struct platform *p)
{
	json_t *config = platform_get(p, "config", "main");

	platform = p;
	n_clients = 0;
	json_object_set_new(config, "version", json_integer(2));
	json_object_set_new(config, "limits",
	    json_pack("{s:i, s:i}", "headerBytes", 16384, "bodyBytes",
		MEMORY_BODY_LIMIT));
	platform_put(p, "config", "main", config);
	await(limit_is_in_force());
	start_kb = proc_memory(platform_router(p), "VmHWM:");
	assert_true(start_kb > 0);
#ifdef COUNT_START
	start_kb = 0;
#endif
}

void
memory_fixture_connect(int receive_len)
{
	struct sockaddr_in sin = fake_loopback(platform_router(platform)->port);
	struct timeval limit = {.tv_usec = SEND_TIMEOUT_USEC};
	int fd;

	for (n_clients = 0; n_clients < MEMORY_CLIENTS; n_clients++) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		assert_true(fd >= 0);
		if (receive_len != 0)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_len,
			    sizeof(receive_len));
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
		assert_int_equal(
		    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
		client[n_clients] = fd;
	}
}

void
memory_fixture_end(void)
{
	while (n_clients > 0)
		close(client[--n_clients]);
}

bool
memory_fixture_send_to(unsigned int number, const char *text, size_t len)
{
	return send(client[number], text, len, MSG_NOSIGNAL) == (ssize_t)len;
}

void
memory_fixture_send(const char *text, size_t len, size_t block)
{
	bool stopped[MEMORY_CLIENTS] = {false};
	size_t at, n;
	unsigned int i;

	for (at = 0; at < len; at += n) {
		n = MIN(block, len - at);
		for (i = 0; i < n_clients; i++) {
			if (!stopped[i] &&
			    !memory_fixture_send_to(i, text + at, n))
				stopped[i] = true;
		}
	}
}

/*
 * ThreadSanitizer sees closedir() and not opendir(), and takes the number of
 * the directory's descriptor for that of a connection which had it before; it
 * sees nothing of glob().
 */
static unsigned int
open_descriptors(void)
{
	char *pattern = g_strdup_printf(
	    "/proc/%d/fd/*", (int)platform_router(platform)->pid);
	glob_t found;
	unsigned int n;

	assert_int_equal(glob(pattern, GLOB_NOSORT, NULL, &found), 0);
	n = (unsigned int)found.gl_pathc;
	globfree(&found);
	g_free(pattern);
	return n;
}

static bool
is_answered(void)
{
	char *answer = platform_ask(platform, "POST", "/again/x",
	    "Api-Key: k1\r\nX-Jacinthhill-Deadline-Milliseconds: 3000\r\n"
	    "X-Jacinthhill-Attempt-Id: a1\r\nContent-Length: 0\r\n");
	bool ok = answer_status(answer) == 200;

	g_free(answer);
	return ok;
}

void
memory_fixture_check(void)
{
	long used;

	assert_false(proc_has_ended(platform_router(platform)));
	assert_in_range(open_descriptors(), 1, n_clients + OTHER_DESCRIPTORS);
	await(is_answered());
	used = proc_memory(platform_router(platform), "VmHWM:") - start_kb;
	print_message("%ld KB of %d KB\n", used, BOUND_KB);
	assert_in_range(used, 1, BOUND_KB);
}
