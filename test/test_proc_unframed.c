#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <pthread.h>
#include <sys/socket.h>

#include "fakes/port.h"
#include "harness.h"
#include "raw_request.h"

/*
 * Engines whose streams have neither a length nor chunks and end with their
 * connection, or which write a response once more. They are threads with a
 * plain socket in place of fake-engine.
 */

#define ENGINES 2
#define MARKER "petal-of-death"
#define HEAD_MARKER "petal-of-silence"
#define REFUSED_MARKER "petal-of-refusal"
#define ERROR_MARKER "petal-of-error"
#define NAME_MARKER "petal-of-names"

#define HEAD                                  \
	"HTTP/1.1 200 OK\r\n"                 \
	"Content-Type: text/event-stream\r\n" \
	"X-Cached-Tokens: 0\r\n\r\n"
#define TOKEN(id)       \
	"id: " #id "\n" \
	"data: {\"choices\":[{\"delta\":{\"content\":\"w" #id "\"}}]}\n\n"
#define DONE "data: [DONE]\n\n"
#define REFUSAL                        \
	"HTTP/1.1 503 Full\r\n"        \
	"Content-Type: text/plain\r\n" \
	"Content-Length: 0\r\n\r\n"

/* Requests with the part, and the most of them that may reach engines. */
#define REQUESTS 12
#define MAX_ARRIVALS 5
#define INTERVAL_USEC (500 * JH_USEC_PER_MSEC)

struct raw_engine {
	struct proc *fake; /* whose port it has */
	char *load; /* the fake's reply to /v1/load */
	int listener;
	pthread_t thread;
};

static struct fixture *fixture;
static struct raw_engine engines[ENGINES];
static int arrivals; /* atomic: requests with the marker */
static int connections; /* atomic: that are open */
static int runs; /* atomic: streams that were sent whole */

static void
reply(int fd, const char *text)
{
	(void)!write(fd, text, strlen(text));
}

static void
reply_json(int fd, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "Connection: close\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);

	reply(fd, text);
	g_free(text);
}

/* The first such request begins a stream that breaks off, others fail. */
static void
send_error(int fd)
{
	if (g_atomic_int_add(&arrivals, 1) > 0) {
		reply(fd, "HTTP/1.1 500 Broken\r\nContent-Type: text/plain\r\n"
			  "Content-Length: 15\r\n\r\nout of memory\n\n");
		return;
	}
	reply(fd, HEAD TOKEN(1));
	/* The client has to get the event before the end. */
	g_usleep(300000);
}

static void
send_stream(int fd)
{
	g_atomic_int_inc(&runs);
	reply(fd, HEAD TOKEN(1) TOKEN(2) DONE);
}

/*
 * Refuses a request, and writes the refusal once more when the next one has
 * arrived on the connection, which then runs.
 */
static void
refuse_twice(int fd, char *buf, size_t len)
{
	reply(fd, REFUSAL);
	if (!raw_request_read(fd, buf, len))
		return;
	reply(fd, REFUSAL);
	if (g_str_has_prefix(buf, "POST /v1/chat/completions"))
		send_stream(fd);
}

/* A request with the marker ends its engine after the head of the response. */
static void
serve(const struct raw_engine *e, int fd)
{
	char buf[16384];

	if (!raw_request_read(fd, buf, sizeof(buf)))
		return;
	if (g_str_has_prefix(buf, "GET /v1/load")) {
		reply_json(fd, e->load);
	} else if (!g_str_has_prefix(buf, "POST /v1/chat/completions")) {
		reply_json(fd, "{}");
	} else if (strstr(buf, MARKER) != NULL) {
		g_atomic_int_inc(&arrivals);
		reply(fd, HEAD);
	} else if (strstr(buf, HEAD_MARKER) != NULL) {
		reply(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/eve");
	} else if (strstr(buf, ERROR_MARKER) != NULL) {
		send_error(fd);
	} else if (strstr(buf, NAME_MARKER) != NULL) {
		reply(fd,
		    "HTTP/1.1 200 OK\r\nContent Type: text/plain\r\n"
		    "Content-Type: text/event-stream\r\n\r\n" TOKEN(1) DONE);
	} else if (strstr(buf, REFUSED_MARKER) != NULL) {
		refuse_twice(fd, buf, sizeof(buf));
	} else {
		send_stream(fd);
	}
}

struct connection {
	const struct raw_engine *engine;
	int fd;
};

static void *
run_connection(void *arg)
{
	struct connection *c = arg;

	serve(c->engine, c->fd);
	close(c->fd);
	g_free(c);
	g_atomic_int_add(&connections, -1);
	return NULL;
}

static void *
run_engine(void *arg)
{
	struct raw_engine *e = arg;
	int fd;

	while ((fd = accept(e->listener, NULL, NULL)) >= 0) {
		struct connection *c = g_new(struct connection, 1);

		*c = (struct connection){e, fd};
		g_atomic_int_inc(&connections);
		g_thread_unref(g_thread_new("connection", run_connection, c));
	}
	return NULL;
}

/* Takes the place of the fake engine. */
static void
start_engine(struct raw_engine *e, struct proc *fake)
{
	struct call_spec spec = {
	    .port = fake->port, .method = "GET", .path = "/v1/load"};
	struct sockaddr_in address = fake_loopback(fake->port);
	struct call *c = call_run(&spec);
	int on = 1;

	e->fake = fake;
	e->load = g_strdup(call_body(c));
	call_free(c);
	proc_kill(fake);
	e->listener = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(
	    e->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(
	    bind(e->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(e->listener, 64), 0);
	pthread_create(&e->thread, NULL, run_engine, e);
}

static int
set_up(void **state)
{
	static const struct fixture_spec spec = {
	    .entries = 1, .engines = ENGINES};
	unsigned int i;

	fixture = fixture_create(&spec);
	for (i = 0; i < ENGINES; i++)
		start_engine(&engines[i], &fixture->backend[i]);
	g_atomic_int_set(&arrivals, 0);
	g_atomic_int_set(&runs, 0);
	return 0;
}

static int
tear_down(void **state)
{
	unsigned int i;

	for (i = 0; i < ENGINES; i++) {
		shutdown(engines[i].listener, SHUT_RDWR);
		pthread_join(engines[i].thread, NULL);
		close(engines[i].listener);
	}
	fixture_destroy(fixture);
	await(g_atomic_int_get(&connections) == 0);
	for (i = 0; i < ENGINES; i++)
		g_free(engines[i].load);
	return 0;
}

/* Runs a request whose last message is like no other. */
static struct call *
run_request(const char *first, unsigned int n)
{
	char *text = g_strdup_printf(
	    "{\"model\":\"small\",\"stream\":true,\"max_tokens\":2,"
	    "\"messages\":[{\"role\":\"system\",\"content\":\"%s\"},"
	    "{\"role\":\"user\",\"content\":\"question %u\"}]}",
	    first, n);
	struct call *c = chat_start(fixture, 0, text, NULL);

	call_join(c);
	g_free(text);
	return c;
}

/* Guards against taking the end of the connection for a failure. */
static void
test_complete(void **state)
{
	struct call *c = run_request("You are brief.", 1);

	assert_int_equal(call_status(c), 200);
	assert_true(call_complete(c));
	assert_int_equal(call_event_count(c), 3);
	call_free(c);
}

/*
 * Guards against a success without a body, from an engine that stops in the
 * head of its response.
 */
static void
test_end_in_head(void **state)
{
	struct call *c = run_request("Measure the " HEAD_MARKER ".", 1);

	assert_in_range(call_status(c), 400, 599);
	call_free(c);
}

/* Guards against a response whose head has a line that is no field. */
static void
test_invalid_name(void **state)
{
	struct call *c = run_request("Measure the " NAME_MARKER ".", 1);

	assert_in_range(call_status(c), 400, 599);
	call_free(c);
}

/*
 * Guards against a stream with the text of an error in it, or that looks
 * complete, because the engine that was to resume it failed.
 */
static void
test_error_of_resuming_engine(void **state)
{
	struct call *c = run_request("Measure the " ERROR_MARKER ".", 1);

	assert_true(g_atomic_int_get(&arrivals) > 1);
	assert_int_equal(call_status(c), 200);
	assert_false(call_complete(c));
	assert_int_equal(call_event_count(c), 1);
	assert_null(strstr(call_body(c), "memory"));
	assert_null(strstr(call_body(c), "HTTP"));
	call_free(c);
}

/*
 * Guards against a refusal that an engine writes once more, and that is taken
 * for the response to the next request: its client is told that it has not run,
 * or it runs at a second engine.
 */
static void
test_refusal_sent_twice(void **state)
{
	struct call *c;
	unsigned int i;

	for (i = 0; i < 4; i++) {
		call_free(run_request("Measure the " REFUSED_MARKER ".", i));
		g_atomic_int_set(&runs, 0);
		c = run_request("You are brief.", i);
		assert_int_equal(call_status(c), 200);
		assert_true(call_complete(c));
		assert_int_equal(call_event_count(c), 3);
		assert_int_equal(g_atomic_int_get(&runs), 1);
		call_free(c);
	}
}

/* Guards against taking an engine's crash for the end of a stream. */
static void
test_part_that_crashes_engines(void **state)
{
	struct call *c;
	unsigned int i;

	for (i = 0; i < REQUESTS; i++) {
		c = run_request("Measure the " MARKER ".", i);
		assert_false(call_status(c) == 200 && call_complete(c));
		call_free(c);
		g_usleep(INTERVAL_USEC);
	}
	print_message("%d requests with the part reached engines\n",
	    g_atomic_int_get(&arrivals));
	assert_in_range(g_atomic_int_get(&arrivals), 1, MAX_ARRIVALS);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_complete, set_up, tear_down),
    cmocka_unit_test_setup_teardown(test_end_in_head, set_up, tear_down),
    cmocka_unit_test_setup_teardown(test_invalid_name, set_up, tear_down),
    cmocka_unit_test_setup_teardown(
	test_error_of_resuming_engine, set_up, tear_down),
    cmocka_unit_test_setup_teardown(test_refusal_sent_twice, set_up, tear_down),
    cmocka_unit_test_setup_teardown(
	test_part_that_crashes_engines, set_up, tear_down),
};

HARNESS_MAIN(tests)
