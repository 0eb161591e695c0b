#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <sys/socket.h>

#include "fakes/port.h"
#include "raw_workers.h"

/*
 * A router that gets SIGTERM exits by itself before the end of its grace
 * period, whatever holds its connections. Guards against a shutdown that waits
 * for a peer, and is ended by the platform's SIGKILL.
 */

#define GRACE_SEC 3
/* More than the test takes. */
#define ENDLESS_MSEC 60000
/* More than the buffers of two sockets hold; the limit is 16 MB. */
#define LARGE_BODY_LEN ((size_t)12 << 20)
#define CLIENTS 4

static const char *const unfinished_bodies[] = {
    "Content-Length: 60000\r\n\r\nhalf of a body",
    "Transfer-Encoding: chunked\r\n\r\n8000\r\nhalf of a chunk",
    "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n",
    "X-Unfinished: he",
};

static struct platform *p;
static int sockets[CLIENTS];
static unsigned int n_sockets;

static void
start(unsigned int event_msec, size_t padding)
{
	const struct platform_spec spec = {.routers = 1,
	    .workers = PLATFORM_WORKERS,
	    .grace_sec = GRACE_SEC,
	    .worker = {.event_msec = event_msec,
		.padding = padding,
		.load_msec = ENDLESS_MSEC}};

	p = platform_create(&spec);
}

static int
tear_down(void **state)
{
	while (n_sockets > 0)
		close(sockets[--n_sockets]);
	platform_stop(p);
	return 0;
}

/* A client that sends the text and then neither sends nor reads. */
static void
open_client(const char *text)
{
	struct sockaddr_in sin = fake_loopback(platform_router(p)->port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t len = strlen(text);

	assert_true(fd >= 0);
	sockets[n_sockets++] = fd;
	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(write(fd, text, len), (ssize_t)len);
}

static void
open_request(const char *path, const char *rest)
{
	char *text = g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: h.example\r\n" RAW_REQUEST_FIELDS "%s",
	    path, rest);

	open_client(text);
	g_free(text);
}

static void
open_stream(void)
{
	open_request("/stream/x", "Content-Length: 0\r\n\r\n");
}

static void
open_unfinished_bodies(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unfinished_bodies); i++)
		open_request("/once/x", unfinished_bodies[i]);
}

/* A value of the router's metrics; -1: it does not respond. */
static int
metric(const char *name)
{
	struct call_spec spec = {.port = platform_metrics_port(p),
	    .method = "GET",
	    .path = "/metrics"};
	char *start = g_strdup_printf("%s ", name);
	struct call *c = call_run(&spec);
	const char *at =
	    call_status(c) == 200 ? strstr(call_body(c), start) : NULL;
	int value = at != NULL
			? (int)g_ascii_strtoll(at + strlen(start), NULL, 10)
			: -1;

	call_free(c);
	g_free(start);
	return value;
}

static void
expect_exit(void)
{
	struct proc *router = platform_router(p);
	uint64_t stop = jh_now();

	proc_terminate(router);
	g_usleep(GRACE_SEC * JH_USEC_PER_SEC);
	/* It is reaped only now, so that it cannot have ended later. */
	if (!proc_has_ended(router))
		fail_msg("not ended %.3f s after the stop signal",
		    (double)(jh_now() - stop) / 1e6);
}

static void
exits_from_rest(void **state)
{
	start(0, 0);
	expect_exit();
}

static void
exits_during_streams(void **state)
{
	start(ENDLESS_MSEC, 0);
	open_stream();
	open_stream();
	await(metric("jh_active_requests") == 2);
	expect_exit();
}

static void
exits_with_clients_that_do_not_read(void **state)
{
	start(0, LARGE_BODY_LEN);
	open_request("/once/x", "Content-Length: 0\r\n\r\n");
	await(metric("jh_answers{status=\"200\"}") == 1);
	expect_exit();
}

static void
exits_with_unfinished_bodies(void **state)
{
	start(0, 0);
	open_unfinished_bodies();
	await(metric("jh_connections") == CLIENTS);
	expect_exit();
}

static void
exits_while_the_store_is_silent(void **state)
{
	start(0, 0);
	platform_silence_store(p);
	expect_exit();
}

/* It has no configuration and waits for its first list. */
static void
exits_without_a_configuration(void **state)
{
	start(0, 0);
	proc_kill(platform_router(p));
	platform_silence_store(p);
	proc_start(platform_router(p));
	await(metric("jh_connections") == 0);
	expect_exit();
}

static void
exits_during_a_change_of_weights(void **state)
{
	start(0, 0);
	platform_set_weights(p, 2);
	await(platform_orders(p) > 0);
	expect_exit();
}

/* The leader cannot give up its leadership in the store. */
static void
exits_in_all_states_at_once(void **state)
{
	start(ENDLESS_MSEC, 0);
	open_stream();
	await(metric("jh_active_requests") == 1);
	open_request("/once/x", unfinished_bodies[0]);
	platform_set_weights(p, 2);
	await(platform_orders(p) > 0);
	await(metric("jh_connections") == 2);
	platform_silence_store(p);
	expect_exit();
}

#define CASE(f) cmocka_unit_test_teardown(f, tear_down)

static const struct CMUnitTest tests[] = {
    CASE(exits_from_rest),
    CASE(exits_during_streams),
    CASE(exits_with_clients_that_do_not_read),
    CASE(exits_with_unfinished_bodies),
    CASE(exits_while_the_store_is_silent),
    CASE(exits_without_a_configuration),
    CASE(exits_during_a_change_of_weights),
    CASE(exits_in_all_states_at_once),
};

HARNESS_MAIN(tests)
