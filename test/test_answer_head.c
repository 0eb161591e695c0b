#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "answer_readers.h"
#include "raw_request.h"

/* Heads that are no answer's, and their neighbours that are. */

#define BODY "Content-Length: 4\r\n\r\nbody"

/* After a head, it could pass for the answer. */
#define NEXT "HTTP/1.1 200 OK\r\n" BODY

struct answer {
	const GString *text;
	bool keep; /* leaves the connection open until the caller closes it */
};

static void
serve(void *arg, int fd)
{
	const struct answer *a = arg;
	char head[4096];

	if (!raw_request_read_head(fd, head, sizeof(head)))
		return;
	(void)!write(fd, a->text->str, a->text->len);
	if (a->keep)
		(void)!read(fd, head, sizeof(head));
}

static struct answer_call
call_peer(const struct answer_reader *reader, struct answer a)
{
	struct raw_peer p = {.serve = serve, .arg = &a};
	struct answer_call c = {0};

	raw_peer_start(&p);
	c.peer = p.address;
	reader->call(&c);
	raw_peer_stop(&p);
	return c;
}

/*
 * Returns whether a reader accepts the answer, or rejects it without waiting
 * for more.
 */
static bool
is_accepted(
    bool accepted, const struct answer_reader *reader, const GString *text)
{
	struct answer_call c =
	    call_peer(reader, (struct answer){text, .keep = !accepted});
	bool expected = c.complete == accepted && !c.timed_out;
	char *shown = g_strescape(text->str, NULL);

	if (!expected)
		print_message("%s: %s, status %u, body \"%s\": %s\n",
		    reader->name,
		    c.complete	  ? "accepted"
		    : c.timed_out ? "timed out"
				  : "rejected",
		    c.status, c.body->str, shown);
	g_free(shown);
	g_string_free(c.body, TRUE);
	return expected;
}

/* Answers with this status, in every framing. */
static unsigned int
count_wrong_status(bool accepted, const char *status)
{
	static const char *const framings[] = {BODY,
	    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	    "\r\nbody", "Content-Length: 0\r\n\r\n", BODY NEXT, "\r\n" NEXT,
	    "Connection: close\r\n" BODY};
	GString *text = g_string_new(NULL);
	unsigned int reader, wrong = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framings); i++) {
		g_string_printf(text, "HTTP/1.1 %s\r\n%s", status, framings[i]);
		for (reader = 0; reader < ANSWER_READERS; reader++)
			wrong += !is_accepted(
			    accepted, &answer_readers[reader], text);
	}
	g_string_free(text, TRUE);
	return wrong;
}

/* Guards against an answer whose status is none (RFC 9110, 15). */
static void
invalid_status_is_no_answer(void **state)
{
	static const char *const statuses[] = {"000 ", "000 OK", "000",
	    "001 OK", "099 OK", "0 OK", "20 OK", "0200 OK", "1000 OK", "600 OK",
	    "999 OK", "-20 OK", "+20 OK", "0x2 OK", "2OO OK", "OK", ""};
	unsigned int wrong = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(statuses); i++)
		wrong += count_wrong_status(false, statuses[i]);
	assert_int_equal(wrong, 0);
}

/* Guards against the loss of answers whose status is not known. */
static void
valid_status_is_an_answer(void **state)
{
	static const char *const statuses[] = {
	    "200 OK", "200 ", "200", "299 A", "404 B", "599 C"};
	unsigned int wrong = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(statuses); i++)
		wrong += count_wrong_status(true, statuses[i]);
	assert_int_equal(wrong, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(invalid_status_is_no_answer),
	    cmocka_unit_test(valid_status_is_an_answer),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
