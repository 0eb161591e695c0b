#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "net/parse.h"

/* What a parser said of the bytes it was fed. */
struct seen {
	unsigned int heads, bodies, completes;
	unsigned int status;
	bool keep_alive;
	GString *body;
	GString *target;
};

static void
on_head(void *arg, const struct jh_head *head)
{
	struct seen *s = arg;
	struct jh_str t = jh_head_target(head);

	s->heads++;
	s->status = head->status;
	s->keep_alive = head->keep_alive;
	g_string_truncate(s->target, 0);
	g_string_append_len(s->target, t.ptr, (gssize)t.len);
}

static void
on_body(void *arg, const char *p, size_t n)
{
	struct seen *s = arg;

	g_string_append_len(s->body, p, (gssize)n);
}

static void
on_complete(void *arg)
{
	struct seen *s = arg;

	s->completes++;
}

static const struct jh_parse_ops ops = {on_head, on_body, on_complete};

static void
seen_init(struct seen *s)
{
	memset(s, 0, sizeof(*s));
	s->body = g_string_new(NULL);
	s->target = g_string_new(NULL);
}

static void
seen_clear(struct seen *s)
{
	g_string_free(s->body, TRUE);
	g_string_free(s->target, TRUE);
}

static enum jh_parse_result
feed(struct jh_parse *p, const char *text)
{
	return jh_parse_feed(p, text, strlen(text));
}

/* Guards against a second request that is read as part of the first. */
static void
pipelined_requests_stay_apart(void **state)
{
	struct seen s;
	struct jh_parse *p;

	seen_init(&s);
	p = jh_parse_create(JH_PARSE_REQUESTS, 4096, &ops, &s);
	assert_int_equal(
	    feed(p, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
		    "GET /b HTTP/1.1\r\n\r\n"),
	    JH_PARSE_PAUSED);
	assert_int_equal(s.completes, 1);
	assert_string_equal(s.body->str, "abc");
	assert_string_equal(s.target->str, "/a");
	assert_int_equal(jh_parse_resume(p), JH_PARSE_PAUSED);
	assert_int_equal(s.completes, 2);
	assert_string_equal(s.target->str, "/b");
	jh_parse_destroy(p);
	seen_clear(&s);
}

/* Guards against a request smuggled inside another by two framings. */
static void
two_framings_are_refused(void **state)
{
	struct seen s;
	struct jh_parse *p;

	seen_init(&s);
	p = jh_parse_create(JH_PARSE_REQUESTS, 4096, &ops, &s);
	assert_int_equal(feed(p, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
	    JH_PARSE_BAD);
	assert_int_equal(s.completes, 0);
	jh_parse_destroy(p);
	seen_clear(&s);
}

/* Guards against heads that fill the memory, in one piece or byte by byte. */
static void
large_heads_are_refused(void **state)
{
	enum jh_parse_result r = JH_PARSE_OK;
	struct jh_parse *p;
	struct seen s;
	int i;

	seen_init(&s);
	p = jh_parse_create(JH_PARSE_REQUESTS, 256, &ops, &s);
	assert_int_equal(feed(p, "GET / HTTP/1.1\r\nX: "), JH_PARSE_OK);
	for (i = 0; i < 1000 && r == JH_PARSE_OK; i++)
		r = feed(p, "y");
	assert_int_equal(r, JH_PARSE_TOO_LARGE);
	assert_true(i < 300);
	jh_parse_destroy(p);
	seen_clear(&s);
}

/* Guards against an answer without a length that is taken for incomplete. */
static void
answer_may_end_with_its_connection(void **state)
{
	struct seen s;
	struct jh_parse *p;

	seen_init(&s);
	p = jh_parse_create(JH_PARSE_ANSWERS, 4096, &ops, &s);
	assert_int_equal(feed(p, "HTTP/1.1 200 OK\r\n\r\nabc"), JH_PARSE_OK);
	assert_int_equal(s.completes, 0);
	jh_parse_eof(p);
	assert_int_equal(s.completes, 1);
	assert_false(s.keep_alive);
	jh_parse_destroy(p);
	seen_clear(&s);
}

/* Guards against an answer cut short that looks complete. */
static void
short_answer_is_not_complete(void **state)
{
	struct seen s;
	struct jh_parse *p;

	seen_init(&s);
	p = jh_parse_create(JH_PARSE_ANSWERS, 4096, &ops, &s);
	feed(p, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
	jh_parse_eof(p);
	assert_int_equal(s.completes, 0);
	jh_parse_destroy(p);
	seen_clear(&s);
}

/* Guards against trailers that appear among the header fields. */
static void
trailers_are_left_out(void **state)
{
	struct seen s;
	struct jh_parse *p;

	seen_init(&s);
	p = jh_parse_create(JH_PARSE_ANSWERS, 4096, &ops, &s);
	assert_int_equal(
	    feed(p, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		    "\r\n3\r\nabc\r\n0\r\nX-Late: 1\r\n\r\n"),
	    JH_PARSE_PAUSED);
	assert_string_equal(s.body->str, "abc");
	assert_int_equal(s.completes, 1);
	jh_parse_destroy(p);
	seen_clear(&s);
}

/* Guards against numbers that overflow or are read from other text. */
static void
numbers_are_read_whole(void **state)
{
	unsigned long long n = 7;

	assert_true(jh_str_number(JH_STR("1500"), &n));
	assert_int_equal(n, 1500);
	assert_false(jh_str_number(JH_STR(""), &n));
	assert_false(jh_str_number(JH_STR("-1"), &n));
	assert_false(jh_str_number(JH_STR("12x"), &n));
	assert_false(jh_str_number(JH_STR("9999999999999999"), &n));
	assert_int_equal(n, 1500);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(pipelined_requests_stay_apart),
	    cmocka_unit_test(two_framings_are_refused),
	    cmocka_unit_test(large_heads_are_refused),
	    cmocka_unit_test(answer_may_end_with_its_connection),
	    cmocka_unit_test(short_answer_is_not_complete),
	    cmocka_unit_test(trailers_are_left_out),
	    cmocka_unit_test(numbers_are_read_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
