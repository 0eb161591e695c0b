#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "answer_readers.h"

/* Heads that are no answer's, and their neighbours that are. */

#define BODY "Content-Length: 4\r\n\r\nbody"

/* After a head, it could pass for the answer. */
#define NEXT "HTTP/1.1 200 OK\r\n" BODY

/* Answers with this status, in every framing. */
static unsigned int
count_wrong_status(bool accepted, const char *status)
{
	static const char *const framings[] = {(BODY),
	    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	    "\r\nbody", "Content-Length: 0\r\n\r\n", (BODY NEXT), ("\r\n" NEXT),
	    ("Connection: close\r\n" BODY)};
	GString *text = g_string_new(NULL);
	unsigned int reader, wrong = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framings); i++) {
		g_string_printf(text, "HTTP/1.1 %s\r\n%s", status, framings[i]);
		for (reader = 0; reader < ANSWER_READERS; reader++)
			wrong += !answer_is_taken_for(
			    accepted, &answer_readers[reader], text, NULL);
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

/* See answer_is_taken_for(): a name of the first field or of a later one. */
static bool
name_is_taken_for(bool accepted, const struct answer_reader *reader,
    const GString *name, bool first)
{
	GString *text = g_string_new("HTTP/1.1 200 OK\r\n");
	bool expected;

	if (!first)
		g_string_append(text, "A: b\r\n");
	g_string_append_len(text, name->str, (gssize)name->len);
	g_string_append(text, ": 4\r\n" BODY);
	expected = answer_is_taken_for(accepted, reader, text, NULL);
	g_string_free(text, TRUE);
	return expected;
}

/* Names with this byte in every place that makes it a part of the name. */
static unsigned int
count_wrong_names(const struct answer_reader *reader, const char *name, char c)
{
	static const size_t ends = 3;
	size_t at[] = {0, strlen(name) / 2, strlen(name)}, i;
	unsigned int wrong = 0;
	GString *s;

	for (i = 0; i < ends; i++) {
		/* LF there ends the head. */
		if (at[i] == 0 && c == '\n')
			continue;
		s = g_string_new(name);
		g_string_insert_c(s, (gssize)at[i], c);
		wrong += !name_is_taken_for(false, reader, s, true);
		/* Space before a later name folds the line before it. */
		if (at[i] > 0)
			wrong += !name_is_taken_for(false, reader, s, false);
		g_string_free(s, TRUE);
	}
	return wrong;
}

/*
 * Guards against an answer with a line that is no field (RFC 9110, 5.6.2): it
 * was passed on, or gave the body another length.
 */
static void
invalid_name_is_no_answer(void **state)
{
	static const char *const names[] = {
	    "X-Field", "Content-Length", "Transfer-Encoding", "Connection"};
	static const char delimiters[] = " \x7f\"(),/;<=>?@[\\]{}\x80\xff";
	unsigned int reader, wrong = 0;
	size_t i, n;

	for (reader = 0; reader < ANSWER_READERS; reader++) {
		for (n = 0; n < G_N_ELEMENTS(names); n++) {
			for (i = 0; i < ' '; i++)
				wrong += count_wrong_names(
				    &answer_readers[reader], names[n], (char)i);
			for (i = 0; delimiters[i] != '\0'; i++)
				wrong +=
				    count_wrong_names(&answer_readers[reader],
					names[n], delimiters[i]);
		}
	}
	assert_int_equal(wrong, 0);
}

/* Guards against the loss of answers with names of every valid byte. */
static void
valid_name_is_accepted(void **state)
{
	static const char *const names[] = {"X", "x-1", "9", "-", "_", "A.B",
	    "!#$%&'*+-.^_`|~", "abcdefghijklmnopqrstuvwxyz0123456789",
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"};
	unsigned int reader, wrong = 0;
	GString *name;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		name = g_string_new(names[i]);
		for (reader = 0; reader < ANSWER_READERS; reader++)
			wrong += !name_is_taken_for(
			    true, &answer_readers[reader], name, i % 2 == 0);
		g_string_free(name, TRUE);
	}
	assert_int_equal(wrong, 0);
}

/*
 * Guards against an answer that is checked only if it comes at once, or first
 * on its connection: in two pieces, cut at each byte of its head, after another
 * answer, and after a head with status 100.
 */
static void
invalid_head_is_no_answer_at_any_moment(void **state)
{
	static const struct {
		const char *head;
		bool accepted;
	} heads[] = {
	    {"HTTP/1.1 000 OK\r\n", false},
	    {"HTTP/1.1 0200 OK\r\n", false},
	    {"HTTP/1.1 200 OK\r\nX Field: a\r\n", false},
	    {"HTTP/1.1 200 OK\r\nX-Field\x01: a\r\n", false},
	    {"HTTP/1.1 200 OK\r\nX-Field: a\r\n", true},
	};
	unsigned int reader, moment, wrong = 0;
	GString *text = g_string_new(NULL);
	size_t i, cut;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		g_string_printf(text, "%s" BODY, heads[i].head);
		for (moment = 0; moment <= ANSWER_AFTER_INFORMATION; moment++)
			for (reader = 0; reader < ANSWER_READERS; reader++)
				for (cut = 0; cut <= strlen(heads[i].head);
				     cut++)
					wrong += !answer_in_pieces_is_taken_for(
					    heads[i].accepted,
					    &answer_readers[reader], text, cut,
					    moment);
	}
	g_string_free(text, TRUE);
	assert_int_equal(wrong, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(invalid_status_is_no_answer),
	    cmocka_unit_test(valid_status_is_an_answer),
	    cmocka_unit_test(invalid_name_is_no_answer),
	    cmocka_unit_test(valid_name_is_accepted),
	    cmocka_unit_test(invalid_head_is_no_answer_at_any_moment),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
