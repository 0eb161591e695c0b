#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "memory_fixture.h"
#include "raw_workers.h"

/* Clients that ask for long responses and do not read them. */

#define REQUEST(path)                                     \
	"POST " path " HTTP/1.1\r\nHost: h.example\r\n"   \
	"Api-Key: k1\r\nX-Jacinthhill-Attempt-Id: a1\r\n" \
	"X-Jacinthhill-Deadline-Milliseconds: 4000\r\n"   \
	"Content-Length: 0\r\n\r\n"

#define RECEIVE_LEN 4096
/* The kernel takes about half of it for a client that does not read. */
#define RESPONSE_LEN (5 << 20)

/*
 * A client waits until the request before it has arrived, as workers' responses
 * that are held at once have a limit of their own. One that was refused does
 * not arrive.
 */
#define ARRIVAL_POLLS 100

#define SOUND_RESPONSES 100

static struct platform *p;

static int
set_up(void **state)
{
	const struct platform_spec spec = {
	    .routers = 1, .plain = true, .memory_mb = MEMORY_MB};

	p = raw_workers_start_with(RAW_MAX_WORKERS, &spec);
	memory_fixture_begin(p);
	memory_fixture_connect(RECEIVE_LEN);
	return 0;
}

static int
tear_down(void **state)
{
	memory_fixture_end();
	raw_workers_stop();
	return 0;
}

static void
check_responses(const char *request, const struct raw_response *load)
{
	static const struct raw_response sound = {
	    .text =
		"HTTP/1.1 200 OK\r\n" RAW_FIELDS "Content-Length: 2\r\n\r\nok"};
	struct raw_response loads[MEMORY_CLIENTS], after[SOUND_RESPONSES];
	unsigned int i, polls;

	for (i = 0; i < MEMORY_CLIENTS; i++)
		loads[i] = *load;
	for (i = 0; i < SOUND_RESPONSES; i++)
		after[i] = sound;
	raw_workers_script(loads, MEMORY_CLIENTS);
	for (i = 0; i < MEMORY_CLIENTS; i++) {
		(void)memory_fixture_send_to(i, request, strlen(request));
		for (polls = 0;
		     polls < ARRIVAL_POLLS && raw_workers_requests() <= (int)i;
		     polls++)
			g_usleep(AWAIT_POLL_USEC);
		g_usleep(AWAIT_POLL_USEC);
	}
	raw_workers_script(after, SOUND_RESPONSES);
	memory_fixture_check();
}

/* Guards against events that cost more in a queue than their length. */
static void
slow_readers_of_long_streams(void **state)
{
	const struct raw_response load = {
	    .text = RAW_HEAD, .flood = "data: t\n\ndata: u\n\ndata: v\n\n"};

	check_responses(REQUEST("/stream/x"), &load);
}

/* Guards against whole responses that wait for many clients. */
static void
slow_readers_of_long_responses(void **state)
{
	char *letters = g_strnfill(RESPONSE_LEN, 'x');
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" RAW_FIELDS
				     "Content-Length: %d\r\n\r\n%s",
	    RESPONSE_LEN, letters);
	const struct raw_response load = {.text = text};

	check_responses(REQUEST("/once/x"), &load);
	g_free(text);
	g_free(letters);
}

#define MEMORY_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    MEMORY_TEST(slow_readers_of_long_streams),
    MEMORY_TEST(slow_readers_of_long_responses),
};

HARNESS_MAIN(tests)
