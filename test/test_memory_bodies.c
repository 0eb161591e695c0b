#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "memory_fixture.h"

/* Requests that together exceed the router's memory; see memory_fixture.h. */

#define HEAD                                              \
	"POST /once/x HTTP/1.1\r\nHost: h.example\r\n"    \
	"Api-Key: k1\r\nX-Jacinthhill-Attempt-Id: b1\r\n" \
	"X-Jacinthhill-Deadline-Milliseconds: 4000\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

#define TURN_LEN 65536
#define CHUNK_LEN 32768

/* Bodies that stop short of their end, and one beyond the limit. */
#define UNFINISHED_LEN (7 * MEMORY_BODY_LIMIT / 8)
#define OVERSIZE_LEN (2 * MEMORY_BODY_LIMIT)
#define PIPELINED_LEN 131072
#define WHOLE_LEN 500000

static struct platform *p;

static int
set_up(void **state)
{
	const struct platform_spec spec = {.routers = 1,
	    .workers = PLATFORM_WORKERS,
	    .plain = true,
	    .memory_mb = MEMORY_MB};

	p = platform_create(&spec);
	memory_fixture_begin(p);
	memory_fixture_connect(0);
	return 0;
}

static int
tear_down(void **state)
{
	memory_fixture_end();
	platform_stop(p);
	return 0;
}

static void
send_body(const char *head, const char *chunk, size_t len)
{
	GString *text = g_string_new(head);

	while (text->len < len + strlen(head))
		g_string_append(text, chunk);
	memory_fixture_send(text->str, text->len, TURN_LEN);
	g_string_free(text, TRUE);
	memory_fixture_check();
}

static char *
large_chunk(void)
{
	char *letters = g_strnfill(CHUNK_LEN, 'x');
	char *chunk = g_strdup_printf("%x\r\n%s\r\n", CHUNK_LEN, letters);

	g_free(letters);
	return chunk;
}

/* Guards against a sum of unfinished bodies that exceeds the memory. */
static void
unfinished_bodies_in_large_chunks(void **state)
{
	char *chunk = large_chunk();

	send_body(CHUNKED, chunk, UNFINISHED_LEN);
	g_free(chunk);
}

/* Guards against the same where each byte of a body costs more of them. */
static void
unfinished_bodies_in_small_chunks(void **state)
{
	/* Six bytes are sent for each byte of the body. */
	send_body(CHUNKED, "1\r\nx\r\n", (size_t)6 * MEMORY_BODY_LIMIT / 2);
}

/* Guards against reading a body that its head shows to be too long. */
static void
announced_bodies_over_the_limit(void **state)
{
	char *head =
	    g_strdup_printf(HEAD "Content-Length: %d\r\n\r\n", OVERSIZE_LEN);

	send_body(head, "xxxxxxxxxxxxxxxx", UNFINISHED_LEN);
	g_free(head);
}

/* Guards against a sum of bodies on their way over the limit. */
static void
unannounced_bodies_over_the_limit(void **state)
{
	char *chunk = large_chunk();

	send_body(CHUNKED, chunk, OVERSIZE_LEN);
	g_free(chunk);
}

/* Guards against copies for workers and pipelined bytes beside the bodies. */
static void
pipelined_requests(void **state)
{
	char *letters = g_strnfill(WHOLE_LEN, 'x');
	char *request = g_strdup_printf(
	    HEAD "Content-Length: %d\r\n\r\n%s", WHOLE_LEN, letters);
	char *next = g_strnfill(PIPELINED_LEN, 'x');
	unsigned int i;

	/* An ordinary request is answered once the load's have timed out. */
	for (i = 0; i < PLATFORM_WORKERS; i++)
		platform_set_mode(p, i, WORKER_SILENT);
	memory_fixture_send(request, strlen(request), TURN_LEN);
	memory_fixture_send(CHUNKED, strlen(CHUNKED), TURN_LEN);
	memory_fixture_send(next, PIPELINED_LEN, TURN_LEN);
	for (i = 0; i < PLATFORM_WORKERS; i++)
		platform_set_mode(p, i, WORKER_RESPONDS);
	memory_fixture_check();
	g_free(letters);
	g_free(request);
	g_free(next);
}

#define MEMORY_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    MEMORY_TEST(unfinished_bodies_in_large_chunks),
    MEMORY_TEST(unfinished_bodies_in_small_chunks),
    MEMORY_TEST(announced_bodies_over_the_limit),
    MEMORY_TEST(unannounced_bodies_over_the_limit),
    MEMORY_TEST(pipelined_requests),
};

HARNESS_MAIN(tests)
