#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "net/server.h"

/*
 * Tests of the HTTP server after a pause of its event loop, such as the
 * decoding of a large configuration: timers run before sockets are read, so
 * they see connections whose next request has arrived and is not read yet.
 */

#define LIMIT_USEC (300 * JH_USEC_PER_MSEC)
/* Longer than the limit, and than the interval of the server's checks. */
#define PAUSE_USEC (600 * JH_USEC_PER_MSEC)
/* A connection that sends nothing for so long may be closed for another. */
#define SILENT_MIN_USEC (1100 * JH_USEC_PER_MSEC)
#define WAIT_USEC (5 * JH_USEC_PER_SEC)
/* The loop waits for events by then. */
#define SIGNAL_MSEC 20
/* The clock of the kernel's time-stamps is coarse. */
#define ARRIVAL_MARGIN_USEC (100 * JH_USEC_PER_MSEC)

#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

struct fixture {
	uv_loop_t loop;
	struct jh_uv_server *server;
	unsigned int requests; /* passed to the handler */
	uint64_t started; /* of the last one */
	struct sockaddr_in address;
	int client;
	char response[4096]; /* what the client has received */
	size_t len;
};

static void
on_request(void *arg, struct jh_server_request *req)
{
	struct fixture *f = arg;

	f->requests++;
	f->started = jh_server_request_started(req);
	jh_server_request_respond(req, 200, "OK", JH_STR(""), JH_STR("hello"));
}

static const struct jh_uv_server_ops server_ops = {.request = on_request};

/* Returns a free port of the loopback interface. */
static struct sockaddr_in
free_address(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &len), 0);
	close(fd);
	return a;
}

static void
connect_client(struct fixture *f)
{
	f->client = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(f->client, (struct sockaddr *)&f->address,
			     sizeof(f->address)),
	    0);
}

static struct fixture *
create(const struct jh_uv_server_limits *limits)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->address = free_address();
	uv_loop_init(&f->loop);
	f->server = jh_uv_server_create(&f->loop, limits, &server_ops, f);
	assert_int_equal(jh_uv_server_listen(f->server, &f->address), 0);
	connect_client(f);
	return f;
}

/* Closes the client's connection and opens another one. */
static void
reconnect(struct fixture *f)
{
	close(f->client);
	connect_client(f);
}

static void
destroy(struct fixture *f)
{
	close(f->client);
	jh_uv_server_destroy(f->server);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&f->loop), 0);
	g_free(f);
}

static void
send_text(struct fixture *f, const char *text)
{
	assert_int_equal(write(f->client, text, strlen(text)), strlen(text));
}

/*
 * Runs the loop until the client has received the text; fails the test if the
 * connection ends before.
 */
static void
expect(struct fixture *f, const char *text)
{
	uint64_t deadline = jh_now() + WAIT_USEC;
	ssize_t n;

	f->len = 0;
	f->response[0] = '\0';
	while (strstr(f->response, text) == NULL) {
		uv_run(&f->loop, UV_RUN_NOWAIT);
		n = recv(f->client, f->response + f->len,
		    sizeof(f->response) - 1 - f->len, MSG_DONTWAIT);
		if (n == 0 || jh_now() > deadline)
			fail_msg("no \"%s\" but: \"%s\"", text, f->response);
		if (n > 0)
			f->len += (size_t)n;
		f->response[f->len] = '\0';
	}
}

/* Guards against closing an idle connection whose next request has arrived. */
static void
request_that_arrived_in_a_pause_is_answered(void **state)
{
	const struct jh_uv_server_limits limits = {
	    .head_bytes = 4096, .idle_usec = LIMIT_USEC};
	struct fixture *f = create(&limits);

	send_text(f, REQUEST);
	expect(f, "hello");
	send_text(f, REQUEST);
	g_usleep(PAUSE_USEC);
	expect(f, "hello");
	destroy(f);
}

/* Guards against the same when a stopping server closes idle connections. */
static void
request_that_arrived_before_the_stop_is_answered(void **state)
{
	const struct jh_uv_server_limits limits = {.head_bytes = 4096};
	struct fixture *f = create(&limits);

	send_text(f, REQUEST);
	expect(f, "hello");
	send_text(f, REQUEST);
	g_usleep(PAUSE_USEC);
	jh_uv_server_drain(f->server);
	jh_uv_server_close_idle(f->server);
	expect(f, "hello");
	destroy(f);
}

/* Guards against an exit while a client waits to be accepted. */
static void
waiting_client_keeps_the_server_open(void **state)
{
	const struct jh_uv_server_limits limits = {.head_bytes = 4096};
	struct fixture *f = create(&limits);

	send_text(f, REQUEST);
	assert_false(jh_uv_server_is_drained(f->server));
	expect(f, "hello");
	assert_false(jh_uv_server_is_drained(f->server));
	destroy(f);
}

/*
 * Guards against a reset of new clients because the end of connections that
 * count for the limit is not read yet.
 */
static void
limit_does_not_count_clients_that_left_in_a_pause(void **state)
{
	const struct jh_uv_server_limits limits = {
	    .head_bytes = 4096, .connections = 1};
	struct fixture *f = create(&limits);

	send_text(f, REQUEST);
	expect(f, "hello");
	reconnect(f);
	send_text(f, REQUEST);
	expect(f, "hello");
	assert_int_equal(f->requests, 2);
	destroy(f);
}

/* Guards against a time-out of a request whose rest has arrived. */
static void
rest_that_arrived_in_a_pause_is_read(void **state)
{
	const struct jh_uv_server_limits limits = {
	    .head_bytes = 4096, .request_usec = LIMIT_USEC};
	struct fixture *f = create(&limits);
	unsigned int i;

	send_text(f, "GET / HTTP/1.1\r\n");
	for (i = 0; i < 10; i++)
		uv_run(&f->loop, UV_RUN_NOWAIT);
	send_text(f, "Host: h\r\n\r\n");
	g_usleep(PAUSE_USEC);
	expect(f, "hello");
	destroy(f);
}

/* Guards against forwarding the request of a client that has left since. */
static void
request_of_a_client_that_left_in_a_pause_is_dropped(void **state)
{
	const struct jh_uv_server_limits limits = {.head_bytes = 4096};
	struct fixture *f = create(&limits);
	uint64_t deadline = jh_now() + WAIT_USEC;

	send_text(f, REQUEST);
	expect(f, "hello");
	send_text(f, REQUEST);
	shutdown(f->client, SHUT_RDWR);
	while (jh_uv_server_connections(f->server) > 0) {
		assert_true(jh_now() < deadline);
		uv_run(&f->loop, UV_RUN_NOWAIT);
	}
	assert_int_equal(f->requests, 1);
	destroy(f);
}

/* Guards against the same when the client has reset its connection. */
static void
request_of_a_client_that_reset_in_a_pause_is_dropped(void **state)
{
	const struct jh_uv_server_limits limits = {.head_bytes = 4096};
	const struct linger linger = {1, 0};
	struct fixture *f = create(&limits);
	uint64_t deadline = jh_now() + WAIT_USEC;

	send_text(f, REQUEST);
	expect(f, "hello");
	send_text(f, REQUEST);
	setsockopt(f->client, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(f->client);
	f->client = socket(AF_INET, SOCK_STREAM, 0);
	while (jh_uv_server_connections(f->server) > 0) {
		assert_true(jh_now() < deadline);
		uv_run(&f->loop, UV_RUN_NOWAIT);
	}
	assert_int_equal(f->requests, 1);
	destroy(f);
}

/* Guards against counting the time of a request from when it was read. */
static void
pause_counts_in_the_time_of_a_request(void **state)
{
	const struct jh_uv_server_limits limits = {.head_bytes = 4096};
	struct fixture *f = create(&limits);
	uint64_t sent;

	send_text(f, REQUEST);
	expect(f, "hello");
	send_text(f, REQUEST);
	sent = jh_now();
	g_usleep(PAUSE_USEC);
	expect(f, "hello");
	assert_in_range(f->started, 0, sent + 100 * JH_USEC_PER_MSEC);
	destroy(f);
}

static volatile sig_atomic_t client_to_write;
static uint64_t written;

/* The request arrives while the process waits for it and does not run. */
static void
on_alarm(int sig)
{
	const struct timespec pause = {.tv_nsec = PAUSE_USEC * 1000};

	(void)sig;
	written = jh_now();
	if (write(client_to_write, REQUEST, strlen(REQUEST)) < 0)
		abort();
	nanosleep(&pause, NULL);
}

/* Runs the loop until on_alarm() has paused it while it waits for events. */
static void
pause_while_waiting(struct fixture *f)
{
	const struct sigaction action = {.sa_handler = on_alarm};
	const struct itimerval in = {
	    .it_value = {.tv_usec = SIGNAL_MSEC * JH_USEC_PER_MSEC}};
	unsigned int before = f->requests;

	client_to_write = f->client;
	sigaction(SIGALRM, &action, NULL);
	setitimer(ITIMER_REAL, &in, NULL);
	while (f->requests == before)
		uv_run(&f->loop, UV_RUN_ONCE);
}

/*
 * Guards against the same when the process did not run while it waited for
 * events, as on a machine with more load than processors.
 */
static void
pause_while_waiting_counts_in_the_time_of_a_request(void **state)
{
	const struct jh_uv_server_limits limits = {.head_bytes = 4096};
	struct fixture *f = create(&limits);

	send_text(f, REQUEST);
	expect(f, "hello");
	pause_while_waiting(f);
	assert_in_range(f->started, 0, written + ARRIVAL_MARGIN_USEC);
	destroy(f);
}

/* Guards against the same for the first request on a connection. */
static void
pause_while_waiting_counts_on_a_new_connection(void **state)
{
	const struct jh_uv_server_limits limits = {.head_bytes = 4096};
	struct fixture *f = create(&limits);

	pause_while_waiting(f);
	assert_in_range(f->started, 0, written + ARRIVAL_MARGIN_USEC);
	destroy(f);
}

/* Guards against counting time before the request arrived. */
static void
pause_before_a_request_does_not_count(void **state)
{
	const struct jh_uv_server_limits limits = {.head_bytes = 4096};
	struct fixture *f = create(&limits);
	uint64_t sent;

	send_text(f, REQUEST);
	expect(f, "hello");
	g_usleep(PAUSE_USEC);
	sent = jh_now();
	send_text(f, REQUEST);
	expect(f, "hello");
	assert_true(f->started + ARRIVAL_MARGIN_USEC > sent);
	destroy(f);
}

/*
 * Guards against a request that crosses the close of its idle connection: the
 * client has to stop using the connection well before the server closes it.
 */
static void
idle_time_is_stated_with_a_margin(void **state)
{
	const struct jh_uv_server_limits limits = {
	    .head_bytes = 4096, .idle_usec = 15 * JH_USEC_PER_SEC};
	struct fixture *f = create(&limits);
	const char *field;
	uint64_t seconds;

	send_text(f, REQUEST);
	expect(f, "hello");
	field = strstr(f->response, "\r\nKeep-Alive: timeout=");
	assert_non_null(field);
	seconds = g_ascii_strtoull(strchr(field, '=') + 1, NULL, 10);
	assert_in_range(seconds * JH_USEC_PER_SEC, 1, limits.idle_usec * 4 / 5);
	destroy(f);
}

/* Guards against silent connections that keep out all others. */
static void
silent_connection_gives_way(void **state)
{
	const struct jh_uv_server_limits limits = {
	    .head_bytes = 4096, .connections = 1};
	struct fixture *f = create(&limits);
	int silent = f->client;

	while (jh_uv_server_connections(f->server) == 0)
		uv_run(&f->loop, UV_RUN_NOWAIT);
	g_usleep(SILENT_MIN_USEC);
	connect_client(f);
	send_text(f, REQUEST);
	expect(f, "hello");
	close(silent);
	destroy(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(request_that_arrived_in_a_pause_is_answered),
	    cmocka_unit_test(request_that_arrived_before_the_stop_is_answered),
	    cmocka_unit_test(waiting_client_keeps_the_server_open),
	    cmocka_unit_test(
		request_of_a_client_that_left_in_a_pause_is_dropped),
	    cmocka_unit_test(idle_time_is_stated_with_a_margin),
	    cmocka_unit_test(limit_does_not_count_clients_that_left_in_a_pause),
	    cmocka_unit_test(rest_that_arrived_in_a_pause_is_read),
	    cmocka_unit_test(
		request_of_a_client_that_reset_in_a_pause_is_dropped),
	    cmocka_unit_test(pause_counts_in_the_time_of_a_request),
	    cmocka_unit_test(
		pause_while_waiting_counts_in_the_time_of_a_request),
	    cmocka_unit_test(pause_while_waiting_counts_on_a_new_connection),
	    cmocka_unit_test(pause_before_a_request_does_not_count),
	    cmocka_unit_test(silent_connection_gives_way),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
