#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>

#include "fakes/port.h"
#include "platform_fixture.h"

/*
 * Tests of responses with neither a length nor chunks, which end with their
 * connection. The workers are threads with a plain socket.
 */

#define WORKERS 2

#define HEAD                                    \
	"HTTP/1.1 200 OK\r\n"                   \
	"X-Jacinthhill-Attempt-Id: a1\r\n"      \
	"X-Jacinthhill-Weight-Versions: 1\r\n"  \
	"X-Jacinthhill-Response-Seal: w.a1\r\n" \
	"Content-Type: text/event-stream\r\n"   \
	"\r\n"
#define EVENT(id) "id: " #id "\ndata: t" #id "\n\n"

/* A response and the end of its connection. */
struct response {
	const char *text;
	bool reset;
};

struct raw_worker {
	int listener;
	pthread_t thread;
};

static struct platform *p;
static struct raw_worker workers[WORKERS];
/* One response for each attempt, whichever worker gets it. */
static const struct response *script;
static int next_response; /* atomic */

/* Reads a head and the body that it announces. */
static bool
read_request(int fd, char *buf, size_t len)
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

static void
serve(int fd)
{
	static const char not_found[] =
	    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
	const struct linger linger = {1, 0};
	const struct response *r;
	char buf[8192];

	if (!read_request(fd, buf, sizeof(buf)))
		return;
	if (g_str_has_prefix(buf, "GET")) {
		(void)!write(fd, not_found, strlen(not_found));
		return;
	}
	r = &script[g_atomic_int_add(&next_response, 1)];
	(void)!write(fd, r->text, strlen(r->text));
	if (r->reset)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void *
run_worker(void *arg)
{
	struct raw_worker *w = arg;
	int fd;

	while ((fd = accept(w->listener, NULL, NULL)) >= 0) {
		serve(fd);
		close(fd);
	}
	return NULL;
}

static void
start_worker(unsigned int number)
{
	struct raw_worker *w = &workers[number];
	struct sockaddr_in address = fake_loopback(fake_port());
	char *name = g_strdup_printf("w%u", number);
	char *at =
	    g_strdup_printf("127.0.0.1:%u", (unsigned)ntohs(address.sin_port));

	w->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
	    bind(w->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(w->listener, 8), 0);
	pthread_create(&w->thread, NULL, run_worker, w);
	platform_put(p, "servers", name,
	    json_pack("{s:s, s:s, s:s, s:i, s:s, s:[{s:s, s:i}], s:i, s:i}",
		"service", "llm", "address", at, "zone", "z0", "slots", 8,
		"state", "ready", "models", "name", "m1", "version", 1,
		"sequence", 1, "born", 1));
	g_free(at);
	g_free(name);
}

/* Whether the router has the workers in its list. */
static bool
knows_workers(void)
{
	struct call_spec spec = {.port = platform_metrics_port(p),
	    .method = "GET",
	    .path = "/metrics"};
	char *line = g_strdup_printf("\njh_workers %d\n", WORKERS);
	struct call *c = call_run(&spec);
	bool known = strstr(call_body(c), line) != NULL;

	call_free(c);
	g_free(line);
	return known;
}

static int
set_up(void **state)
{
	static const struct platform_spec spec = {.routers = 1};
	unsigned int i;

	p = platform_create(&spec);
	for (i = 0; i < WORKERS; i++)
		start_worker(i);
	await(knows_workers());
	return 0;
}

static int
tear_down(void **state)
{
	unsigned int i;

	platform_stop(p);
	for (i = 0; i < WORKERS; i++) {
		shutdown(workers[i].listener, SHUT_RDWR);
		pthread_join(workers[i].thread, NULL);
		close(workers[i].listener);
	}
	return 0;
}

static struct call *
request(const char *path, const struct response *responses)
{
	struct call_spec spec = {
	    .port = platform_router(p)->port,
	    .path = path,
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Model: m1", "X-Jacinthhill-Token-Counts: 400,20",
		"X-Jacinthhill-Deadline-Milliseconds: 3000",
		"X-Jacinthhill-Attempt-Id: a1"},
	    .body = "question",
	};

	script = responses;
	g_atomic_int_set(&next_response, 0);
	return call_run(&spec);
}

/* Checks the response and the number of attempts. */
static void
expect_stream(
    const struct response *responses, guint events, int attempts, bool complete)
{
	struct call *c = request("/stream/x", responses);

	assert_int_equal(call_status(c), 200);
	assert_int_equal(call_event_count(c), events);
	assert_int_equal(g_atomic_int_get(&next_response), attempts);
	assert_int_equal(call_complete(c), complete);
	call_free(c);
}

/* Guards against taking the end of the connection for a failure. */
static void
stream_that_ends_with_its_connection_is_complete(void **state)
{
	static const struct response responses[] = {
	    {HEAD EVENT(1) EVENT(2) EVENT(3), false}, {HEAD, true}};

	expect_stream(responses, 3, 1, true);
}

/* Guards against a broken stream that looks complete. */
static void
stream_that_ends_inside_an_event_is_resumed(void **state)
{
	static const struct response responses[] = {
	    {HEAD EVENT(1) "id: 2\nda", false},
	    {HEAD EVENT(2) EVENT(3), false}};

	expect_stream(responses, 3, 2, true);
}

/* Guards against the same for a reset between events. */
static void
stream_that_is_reset_after_an_event_is_resumed(void **state)
{
	static const struct response responses[] = {
	    {HEAD EVENT(1), true}, {HEAD EVENT(2) EVENT(3), false}};

	expect_stream(responses, 3, 2, true);
}

/* Guards against the same for a stream that ends before its first event. */
static void
stream_without_an_event_is_repeated(void **state)
{
	static const struct response responses[] = {
	    {HEAD, false}, {HEAD EVENT(1) EVENT(2), false}};

	expect_stream(responses, 2, 2, true);
}

/*
 * Guards against the same when the worker that resumes a stream ends after its
 * response head.
 */
static void
resumed_stream_without_an_event_is_not_complete(void **state)
{
	static const struct response responses[] = {
	    {HEAD EVENT(1) "id: 2\nda", false}, {HEAD, false}};

	expect_stream(responses, 1, 2, false);
}

/*
 * Guards against an empty response that looks complete because its worker ended
 * after the head.
 */
static void
response_without_a_body_is_repeated(void **state)
{
	static const struct response responses[] = {
	    {HEAD, false}, {HEAD "done", false}};
	struct call *c = request("/again/x", responses);

	assert_int_equal(call_status(c), 200);
	assert_string_equal(call_body(c), "done");
	assert_int_equal(g_atomic_int_get(&next_response), 2);
	call_free(c);
}

#define UNFRAMED_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    UNFRAMED_TEST(stream_that_ends_with_its_connection_is_complete),
    UNFRAMED_TEST(stream_that_ends_inside_an_event_is_resumed),
    UNFRAMED_TEST(stream_that_is_reset_after_an_event_is_resumed),
    UNFRAMED_TEST(stream_without_an_event_is_repeated),
    UNFRAMED_TEST(resumed_stream_without_an_event_is_not_complete),
    UNFRAMED_TEST(response_without_a_body_is_repeated),
};

HARNESS_MAIN(tests)
