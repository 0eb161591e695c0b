#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "raw_workers.h"

/* Tests of workers whose response has a head that is none. */

#define BODY "Content-Length: 4\r\n\r\nbody"
#define WHOLE "HTTP/1.1 200 OK\r\n" RAW_FIELDS "Content-Length: 5\r\n\r\nwhole"

static int
set_up(void **state)
{
	raw_workers_start(RAW_MAX_WORKERS, false);
	return 0;
}

static void
check_answer(char *answer, unsigned int status, const char *body)
{
	if (answer_status(answer) != status ||
	    !g_str_has_suffix(answer, body) ||
	    (status != 200 && strstr(answer, "body") != NULL))
		fail_msg("not %u and \"%s\": %s", status, body, answer);
	g_free(answer);
}

/* The client gets an error at once, or the response of another worker. */
static void
expect_rejection(const char *response, unsigned int number)
{
	struct raw_response responses[] = {
	    {.text = response, .keep = true}, {.text = WHOLE}};
	char path[32];

	raw_workers_script(responses, G_N_ELEMENTS(responses));
	g_snprintf(path, sizeof(path), "/once/%u", number);
	check_answer(raw_workers_ask(path), 502, "\r\n\r\n");
	raw_workers_script(responses, G_N_ELEMENTS(responses));
	g_snprintf(path, sizeof(path), "/again/%u", number);
	check_answer(raw_workers_ask(path), 200, "whole");
}

/* Guards against an answer without a status, and against a wait for another. */
static void
response_without_a_status_is_rejected(void **state)
{
	static const char *const responses[] = {
	    "HTTP/1.1 000 OK\r\n" RAW_FIELDS BODY,
	    "HTTP/1.1 000 \r\n" RAW_FIELDS "\r\n",
	    "HTTP/1.1 000 OK\r\n" RAW_FIELDS BODY WHOLE,
	    "HTTP/1.1 099 OK\r\n" RAW_FIELDS BODY,
	    "HTTP/1.1 0200 OK\r\n" RAW_FIELDS BODY,
	    "HTTP/1.1 600 OK\r\n" RAW_FIELDS BODY};
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(responses); i++)
		expect_rejection(responses[i], i);
}

/*
 * Guards against a line that is no field, and is passed on, or gives the body
 * another length.
 */
static void
response_with_an_invalid_name_is_rejected(void **state)
{
	static const char *const lines[] = {"X Bad: 1", "X-Bad : 1",
	    " X-Bad: 1", "\tX-Bad: 1", "X\001Bad: 1", "X-Bad\x7f: 1",
	    "Content-Length : 2", "Content -Length: 2", "Content-Length\x1f: 2",
	    "Transfer-Encoding : chunked",
	    "X-Jacinthhill-Response-Seal : w.a2"};
	unsigned int i;
	char *text;

	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		text = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\n%s\r\n%s", lines[i], RAW_FIELDS BODY);
		expect_rejection(text, i);
		g_free(text);
	}
}

#define MALFORMED_TEST(f) \
	cmocka_unit_test_setup_teardown(f, set_up, raw_workers_tear_down)

static const struct CMUnitTest tests[] = {
    MALFORMED_TEST(response_without_a_status_is_rejected),
    MALFORMED_TEST(response_with_an_invalid_name_is_rejected),
};

HARNESS_MAIN(tests)
