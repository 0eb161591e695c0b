#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "answer_readers.h"

/* NUL in place of the first byte of a line in a head. */

#define TEXT(s) s, sizeof(s) - 1

/*
 * Guards against an answer of which a part is dropped, up to what arrives
 * later: another head, or another body than the peer's.
 */
static void
line_that_begins_with_nul_is_no_field(void **state)
{
	static const struct {
		const char *text;
		size_t len;
		const char *more; /* a moment later; NULL: nothing */
	} cases[] = {
	    {TEXT("HTTP/1.1 200 OK\r\n\0X: a\r\n"
		  "Content-Length: 4\r\n\r\nbody"),
		NULL},
	    {TEXT("HTTP/1.1 200 OK\r\n\0X: a\r\n"),
		"Content-Length: 4\r\n\r\nbody"},
	    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\0X: a\r\n\r\nbody"),
		"\r\nmore"},
	};
	unsigned int reader, wrong = 0;
	GString *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_string_new_len(cases[i].text, (gssize)cases[i].len);
		for (reader = 0; reader < ANSWER_READERS; reader++)
			wrong += !answer_is_taken_for(false,
			    &answer_readers[reader], text, cases[i].more);
		g_string_free(text, TRUE);
	}
	assert_int_equal(wrong, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(line_that_begins_with_nul_is_no_field),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
