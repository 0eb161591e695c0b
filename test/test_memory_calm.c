#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <sys/socket.h>

#include "fakes/port.h"
#include "memory_fixture.h"
#include "raw_workers.h"

/* What the limits allow is served by the smallest router, and not evicted. */
#define SMALLEST_MB 88
#define ORDINARY_CLIENTS 400
#define ORDINARY_LEN 55000
#define LONG_RESPONSE_LEN (16 << 20)

#define HEAD                                            \
	"POST /again/x HTTP/1.1\r\nHost: h.example\r\n" \
	"X-Jacinthhill-Attempt-Id: a1\r\n"              \
	"X-Jacinthhill-Deadline-Milliseconds: 4000\r\n"

static struct platform *p;

static int
set_up(void **state)
{
	const struct platform_spec spec = {.routers = 1,
	    .workers = PLATFORM_WORKERS,
	    .plain = true,
	    .memory_mb = SMALLEST_MB};

	p = platform_create(&spec);
	memory_fixture_begin(p);
	return 0;
}

static int
tear_down(void **state)
{
	platform_stop(p);
	return 0;
}

static int
open_client(void)
{
	struct sockaddr_in sin = fake_loopback(platform_router(p)->port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

static void
write_all(int fd, const char *text, size_t len)
{
	ssize_t n;

	for (; len > 0; text += n, len -= (size_t)n) {
		n = send(fd, text, len, MSG_NOSIGNAL);
		assert_true(n > 0);
	}
}

static unsigned int
read_status(int fd)
{
	char buf[4096];
	ssize_t n = read(fd, buf, sizeof(buf) - 1);

	buf[n > 0 ? n : 0] = '\0';
	return answer_status(buf);
}

/* Guards against a budget that one request inside the limits exceeds. */
static void
longest_body_is_served(void **state)
{
	char *body = g_strnfill(MEMORY_BODY_LIMIT, 'x');
	char *head =
	    g_strdup_printf(HEAD "Api-Key: k1\r\nContent-Length: %d\r\n\r\n",
		MEMORY_BODY_LIMIT);
	int fd = open_client();

	write_all(fd, head, strlen(head));
	write_all(fd, body, MEMORY_BODY_LIMIT);
	assert_int_equal(read_status(fd), 200);
	close(fd);
	g_free(head);
	g_free(body);
}

/* Guards against refusals of ordinary bodies that arrive at once. */
static void
ordinary_bodies_are_served(void **state)
{
	char *body = g_strnfill(ORDINARY_LEN, 'x');
	char *head = g_strdup_printf(
	    HEAD "Api-Key: k1\r\nContent-Length: %d\r\n\r\n", ORDINARY_LEN);
	int fd[ORDINARY_CLIENTS];
	unsigned int i;

	for (i = 0; i < ORDINARY_CLIENTS; i++) {
		fd[i] = open_client();
		write_all(fd[i], head, strlen(head));
		write_all(fd[i], body, ORDINARY_LEN - 1);
	}
	for (i = 0; i < ORDINARY_CLIENTS; i++)
		write_all(fd[i], body, 1);
	for (i = 0; i < ORDINARY_CLIENTS; i++) {
		assert_int_equal(read_status(fd[i]), 200);
		close(fd[i]);
	}
	g_free(head);
	g_free(body);
}

/* Guards against 100 (Continue) for a request that is refused by its head. */
static void
head_is_refused_before_the_body(void **state)
{
	static const struct {
		const char *fields;
		unsigned int status;
	} cases[] = {
	    {"Api-Key: k1\r\nContent-Length: 5000000\r\n", 413},
	    {"Api-Key: k2\r\nContent-Length: 9\r\n", 401},
	    {"Api-Key: k1\r\nContent-Length: 9\r\n", 100},
	};
	unsigned int i;
	char *text;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fd = open_client();
		text = g_strdup_printf(
		    HEAD "%sExpect: 100-continue\r\n\r\n", cases[i].fields);
		write_all(fd, text, strlen(text));
		assert_int_equal(read_status(fd), cases[i].status);
		g_free(text);
		close(fd);
	}
}

static int
set_up_raw(void **state)
{
	const struct platform_spec spec = {
	    .routers = 1, .plain = true, .memory_mb = SMALLEST_MB};

	p = raw_workers_start_with(1, &spec);
	return 0;
}

/* Guards against a budget that one response inside the limits exceeds. */
static void
longest_response_is_served(void **state)
{
	char *letters = g_strnfill(LONG_RESPONSE_LEN, 'x');
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" RAW_FIELDS
				     "Content-Length: %d\r\n\r\n%s",
	    LONG_RESPONSE_LEN, letters);
	const struct raw_response response = {.text = text};
	struct call_spec spec = {
	    .port = platform_router(p)->port,
	    .path = "/again/x",
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Deadline-Milliseconds: 4000",
		"X-Jacinthhill-Attempt-Id: a1"},
	    .body = "question",
	};
	struct call *c;

	raw_workers_script(&response, 1);
	c = call_run(&spec);
	assert_int_equal(call_status(c), 200);
	assert_int_equal(strlen(call_body(c)), LONG_RESPONSE_LEN);
	call_free(c);
	g_free(text);
	g_free(letters);
}

#define CALM_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    CALM_TEST(longest_body_is_served),
    CALM_TEST(ordinary_bodies_are_served),
    CALM_TEST(head_is_refused_before_the_body),
    cmocka_unit_test_setup_teardown(
	longest_response_is_served, set_up_raw, raw_workers_tear_down),
};

HARNESS_MAIN(tests)
