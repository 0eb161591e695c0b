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

#include "fakes/port.h"
#include "net/server.h"

/* Tests of the HTTP server with many requests in one write of a client. */

#define REQUESTS 10000
#define REQUEST "GET / HTTP/1.1\r\n\r\n"
#define LAST_REQUEST "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
#define WAIT_USEC (30 * JH_USEC_PER_SEC)

/*
 * Stack that a request may take more than another one: the event loop has 17 KB
 * more in use when it reads than when a timer runs.
 */
#define STACK_BYTES 32768

enum handling { RESPOND, STREAM, RESPOND_LATER };

struct fixture {
	uv_loop_t loop;
	uv_timer_t timer; /* responds later */
	struct jh_uv_server *server;
	struct sockaddr_in address;
	enum handling handling;
	struct jh_server_request *waiting;
	unsigned int requests;
	uintptr_t lowest, highest; /* addresses of the handler's stack */
	unsigned int last; /* the request that asks to close, from 1 */
	GString *received; /* by the client */
};

static void
note_stack(struct fixture *f)
{
	char here;
	uintptr_t at = (uintptr_t)&here;

	f->lowest = f->requests == 0 ? at : MIN(f->lowest, at);
	f->highest = MAX(f->highest, at);
}

static void
on_request(void *arg, struct jh_server_request *req)
{
	struct fixture *f = arg;

	note_stack(f);
	f->requests++;
	switch (f->handling) {
	case RESPOND:
		jh_server_request_respond(
		    req, 200, "OK", JH_STR(""), JH_STR("x"));
		return;
	case STREAM:
		jh_server_request_begin_response(req, 200, "OK", JH_STR(""));
		jh_server_request_write(req, JH_STR("x"));
		jh_server_request_end(req);
		return;
	case RESPOND_LATER:
		assert_null(f->waiting);
		f->waiting = req;
		return;
	}
}

static const struct jh_uv_server_ops server_ops = {.request = on_request};

static void
respond_later(uv_timer_t *t)
{
	struct fixture *f = t->data;
	struct jh_server_request *req = f->waiting;

	f->waiting = NULL;
	if (req != NULL)
		jh_server_request_respond(
		    req, 200, "OK", JH_STR(""), JH_STR("x"));
}

/* Sends all requests at once, then reads until the server closes. */
static void *
run_client(void *arg)
{
	struct fixture *f = arg;
	GString *text = g_string_new(NULL);
	char buf[65536];
	size_t at = 0;
	ssize_t n = 1;
	unsigned int i;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	for (i = 1; i < f->last; i++)
		g_string_append(text, REQUEST);
	g_string_append(text, LAST_REQUEST);
	if (connect(fd, (struct sockaddr *)&f->address, sizeof(f->address)) !=
	    0)
		n = 0;
	while (n > 0 && at < text->len) {
		n = send(fd, text->str + at, text->len - at, MSG_NOSIGNAL);
		at += n > 0 ? (size_t)n : 0;
	}
	while (n > 0) {
		n = read(fd, buf, sizeof(buf));
		if (n > 0)
			g_string_append_len(f->received, buf, n);
	}
	close(fd);
	g_string_free(text, TRUE);
	return NULL;
}

static unsigned int
count_responses(const struct fixture *f)
{
	const char *at = f->received->str;
	unsigned int n = 0;

	while ((at = strstr(at, "HTTP/1.1 200 OK\r\n")) != NULL) {
		at++;
		n++;
	}
	return n;
}

/* All requests but the last may use the connection again. */
static struct fixture *
run(enum handling handling, unsigned int requests)
{
	static const struct jh_uv_server_limits limits = {0};
	struct fixture *f = g_new0(struct fixture, 1);
	uint64_t deadline = jh_now() + WAIT_USEC;
	pthread_t client;

	f->handling = handling;
	f->last = requests;
	f->received = g_string_new(NULL);
	f->address = fake_loopback(fake_port());
	uv_loop_init(&f->loop);
	uv_timer_init(&f->loop, &f->timer);
	f->timer.data = f;
	uv_timer_start(&f->timer, respond_later, 1, 1);
	f->server = jh_uv_server_create(&f->loop, &limits, &server_ops, f);
	assert_int_equal(jh_uv_server_listen(f->server, &f->address), 0);
	pthread_create(&client, NULL, run_client, f);
	while (f->requests < requests || f->waiting != NULL ||
	       jh_uv_server_connections(f->server) > 0) {
		uv_run(&f->loop, UV_RUN_NOWAIT);
		assert_true(jh_now() < deadline);
	}
	uv_close((uv_handle_t *)&f->timer, NULL);
	jh_uv_server_destroy(f->server);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	pthread_join(client, NULL);
	assert_int_equal(uv_loop_close(&f->loop), 0);
	return f;
}

static void
fixture_free(struct fixture *f)
{
	g_string_free(f->received, TRUE);
	g_free(f);
}

static void
check_run(enum handling handling, unsigned int requests)
{
	struct fixture *f = run(handling, requests);

	assert_int_equal(f->requests, requests);
	assert_int_equal(count_responses(f), requests);
	if (f->highest - f->lowest > STACK_BYTES)
		fail_msg("the handler's stack differs by %zu bytes",
		    (size_t)(f->highest - f->lowest));
	fixture_free(f);
}

/* Guards against a stack that grows with each request of one write. */
static void
pipelined_requests_take_no_stack(void **state)
{
	check_run(RESPOND, 1);
	check_run(RESPOND, 2);
	check_run(RESPOND, REQUESTS);
}

static void
pipelined_streams_take_no_stack(void **state)
{
	check_run(STREAM, REQUESTS);
}

/* Guards against requests that are lost or handled two at a time. */
static void
pipelined_requests_wait_for_the_response_before(void **state)
{
	check_run(RESPOND_LATER, 300);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(pipelined_requests_take_no_stack),
	    cmocka_unit_test(pipelined_streams_take_no_stack),
	    cmocka_unit_test(pipelined_requests_wait_for_the_response_before),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
