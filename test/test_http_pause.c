#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "http/client.h"
#include "raw_request.h"

/*
 * Tests of the HTTP client of the daemons when its thread does not run for a
 * while: a callback blocks it.
 */

#define REPLY_USEC (100 * JH_USEC_PER_MSEC)
#define DEADLINE_USEC (300 * JH_USEC_PER_MSEC)
#define PAUSE_USEC (600 * JH_USEC_PER_MSEC)
#define WAIT_USEC (5 * JH_USEC_PER_SEC)

static const char reply[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct call {
	uint64_t block_usec; /* in the callback at the end */
	int ended; /* atomic */
	enum jh_http_result result;
};

/* Replies at once to "/now", and after REPLY_USEC to others. */
static void
serve(void *arg, int fd)
{
	char buf[4096];
	ssize_t n = read(fd, buf, sizeof(buf) - 1);

	buf[MAX(n, 0)] = '\0';
	if (!g_str_has_prefix(buf, "GET /now"))
		g_usleep(REPLY_USEC);
	(void)!write(fd, reply, strlen(reply));
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct call *c = arg;

	c->result = result;
	g_atomic_int_set(&c->ended, 1);
	if (c->block_usec > 0)
		g_usleep(c->block_usec);
}

static const struct jh_http_call_ops ops = {.data = on_data, .done = on_done};

static void
start(struct jh_http_client *client, const struct raw_peer *p, const char *path,
    struct call *c)
{
	struct jh_http_call_spec spec = {.peer = p->address,
	    .method = "GET",
	    .path = path,
	    .deadline = jh_now() + DEADLINE_USEC,
	    .ops = &ops,
	    .arg = c};

	jh_http_call_unref(jh_http_call_start(client, &spec));
}

static void
await_end(struct call *c)
{
	uint64_t deadline = jh_now() + WAIT_USEC;

	while (!g_atomic_int_get(&c->ended)) {
		assert_true(jh_now() < deadline);
		g_usleep(1000);
	}
}

/*
 * Guards against discarding a reply that arrived in time while the thread did
 * not run until the deadline.
 */
static void
reply_that_arrived_in_a_pause_is_read(void **state)
{
	struct jh_http_client *client = jh_http_client_create("test", 8);
	struct call late = {0}, blocking = {.block_usec = PAUSE_USEC};
	struct raw_peer p[2] = {{.serve = serve}, {.serve = serve}};

	raw_peer_start(&p[0]);
	raw_peer_start(&p[1]);
	start(client, &p[0], "/later", &late);
	g_usleep(REPLY_USEC / 2);
	start(client, &p[1], "/now", &blocking);
	await_end(&late);
	assert_int_equal(blocking.result, JH_HTTP_OK);
	assert_int_equal(late.result, JH_HTTP_OK);
	jh_http_client_destroy(client);
	raw_peer_stop(&p[0]);
	raw_peer_stop(&p[1]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(reply_that_arrived_in_a_pause_is_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
