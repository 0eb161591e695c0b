#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <jacinthhill/relay.h>

struct sink {
	GString *text;
	uint64_t last;
	int ends;
};

static void
on_token(void *arg, uint64_t position, struct jh_str payload)
{
	struct sink *s = arg;

	assert_int_equal(position, s->last + 1);
	s->last = position;
	g_string_append_printf(s->text, "%d ", (int)position);
}

static void
on_end(void *arg)
{
	((struct sink *)arg)->ends++;
}

static const struct jh_relay_ops ops = {.token = on_token, .end = on_end};

static void
append_token(GString *s, unsigned int position)
{
	g_string_append_printf(s,
	    "id: %u\ndata: {\"choices\":[{\"delta\":{\"content\":\"w%u \"}}]}"
	    "\n\n",
	    position, position);
}

static struct jh_str
as_str(const GString *s)
{
	return (struct jh_str){s->str, s->len};
}

/* Guards against events that are lost or split if a read ends inside one. */
static void
reassembles_any_split(void **state)
{
	GString *in = g_string_new(NULL);
	unsigned int i;
	size_t cut, at, n;

	for (i = 1; i <= 5; i++)
		append_token(in, i);
	g_string_append(in, "data: [DONE]\n\n");
	for (cut = 1; cut < 40; cut++) {
		struct sink s = {g_string_new(NULL), 0, 0};
		struct jh_relay *r = jh_relay_create(0, &ops, &s);

		for (at = 0; at < in->len; at += cut) {
			n = MIN(cut, in->len - at);
			assert_int_equal(
			    jh_relay_feed(r, (struct jh_str){in->str + at, n}),
			    JH_RELAY_OK);
		}
		assert_string_equal(s.text->str, "1 2 3 4 5 ");
		assert_int_equal(s.ends, 1);
		assert_true(
		    jh_str_eq(jh_relay_text(r), JH_STR("w1 w2 w3 w4 w5 ")));
		jh_relay_destroy(r);
		g_string_free(s.text, TRUE);
	}
	g_string_free(in, TRUE);
}

/* Guards against repeated or missing tokens after a stream is resumed. */
static void
drops_repeats_and_reports_gaps(void **state)
{
	struct sink s = {g_string_new(NULL), 0, 0};
	struct jh_relay *r = jh_relay_create(0, &ops, &s);
	GString *in = g_string_new(NULL);

	append_token(in, 1);
	append_token(in, 2);
	g_string_append(in, "id: 3\ndata: {\"par");
	assert_int_equal(jh_relay_feed(r, as_str(in)), JH_RELAY_OK);
	jh_relay_restart(r);
	g_string_truncate(in, 0);
	append_token(in, 2);
	append_token(in, 3);
	append_token(in, 5);
	assert_int_equal(jh_relay_feed(r, as_str(in)), JH_RELAY_GAP);
	assert_int_equal(jh_relay_position(r), 3);
	assert_false(jh_relay_ended(r));
	assert_string_equal(s.text->str, "1 2 3 ");
	jh_relay_destroy(r);
	g_string_free(s.text, TRUE);
	g_string_free(in, TRUE);
}

/* Guards against unbounded memory and against tokens without a position. */
static void
rejects_malformed_events(void **state)
{
	struct sink s = {g_string_new(NULL), 0, 0};
	struct jh_relay *r = jh_relay_create(0, &ops, &s);
	char *big = g_strnfill(70000, 'x');

	assert_int_equal(
	    jh_relay_feed(r, JH_STR("data: {}\n\n")), JH_RELAY_MALFORMED);
	assert_int_equal(jh_relay_feed(r, JH_STR("id: x\ndata: {}\n\n")),
	    JH_RELAY_MALFORMED);
	assert_int_equal(
	    jh_relay_feed(r, (struct jh_str){big, 70000}), JH_RELAY_MALFORMED);
	assert_int_equal(s.last, 0);
	jh_relay_destroy(r);
	g_string_free(s.text, TRUE);
	g_free(big);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(reassembles_any_split),
	    cmocka_unit_test(drops_repeats_and_reports_gaps),
	    cmocka_unit_test(rejects_malformed_events),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
