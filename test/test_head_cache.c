#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "entry/chat_request.h"
#include "entry/head_cache.h"

#define CONTENT_LEN 20000

/* Returns a body whose first content is CONTENT_LEN letters and content_end. */
static GString *
make_body(const char *content_end, const char *question)
{
	GString *s =
	    g_string_new("{\"model\":\"m\",\"messages\":[{\"role\":\"system\","
			 "\"content\":\"");
	int i;

	for (i = 0; i < CONTENT_LEN; i++)
		g_string_append_c(s, (char)('a' + i * 7 % 26));
	g_string_append(s, content_end);
	g_string_append_printf(s,
	    "\"},{\"role\":\"user\",\"content\":\"%s\"}],\"max_tokens\":5}",
	    question);
	return s;
}

static struct jh_str
str(const GString *s)
{
	return (struct jh_str){s->str, s->len};
}

/*
 * Parses a body with the cache as the entry daemon does. Returns a reference to
 * the head that was found, or NULL.
 */
static struct entry_head *
handle_body(struct entry_head_cache *h, const char *org, const GString *body,
    struct jh_prefix *prefix)
{
	struct jh_prefix_scope scope = {
	    .model = JH_STR("m"), .org = jh_str_from(org)};
	struct entry_head *head = entry_head_cache_find(h, org, str(body));
	struct chat_request c;
	const char *detail;

	assert_int_equal(
	    chat_request_parse(&c, head, str(body), &detail), CHAT_OK);
	chat_request_prefix(&c, &scope, 0, prefix);
	if (head == NULL)
		entry_head_cache_add(
		    h, org, str(body), c.root, c.first_message_hash);
	else
		g_atomic_int_inc(&head->refs);
	chat_request_clear(&c);
	return head;
}

static void
assert_same_prefix(const struct jh_prefix *a, const struct jh_prefix *b)
{
	size_t i;

	assert_int_equal(a->n, b->n);
	for (i = 0; i < a->n; i++) {
		assert_int_equal(a->level[i].hash, b->level[i].hash);
		assert_int_equal(a->level[i].tokens, b->level[i].tokens);
	}
}

/* The prefix keys must not depend on whether the head was cached. */
static void
test_same_keys(void **state)
{
	static const char *const ends[] = {
	    "", "\\n\\\"quoted\\\" \\\\", "\xc3\xa9t\xc3\xa9 / \\u0001"};
	struct jh_prefix full, cached;
	struct entry_head_cache *h;
	struct entry_head *head;
	GString *body;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		h = entry_head_cache_create();
		body = make_body(ends[i], "q");
		assert_null(handle_body(h, "org", body, &full));
		assert_null(handle_body(h, "org", body, &full));
		head = handle_body(h, "org", body, &cached);
		assert_non_null(head);
		assert_same_prefix(&full, &cached);
		entry_head_unref(head);
		g_string_free(body, TRUE);
		entry_head_cache_destroy(h);
	}
}

/*
 * A longer or truncated content, or the same one of another organisation, must
 * not match a cached head.
 */
static void
test_other_content(void **state)
{
	static const char *const ends[] = {"x", "\\\"", "\\n"};
	struct entry_head_cache *h = entry_head_cache_create();
	GString *body = make_body("", "q"), *other;
	struct jh_prefix p;
	size_t i;

	handle_body(h, "org", body, &p);
	handle_body(h, "org", body, &p);
	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		other = make_body(ends[i], "q");
		assert_null(entry_head_cache_find(h, "org", str(other)));
		g_string_truncate(other, CONTENT_LEN);
		assert_null(entry_head_cache_find(h, "org", str(other)));
		g_string_free(other, TRUE);
	}
	assert_null(entry_head_cache_find(h, "other", str(body)));
	g_string_free(body, TRUE);
	entry_head_cache_destroy(h);
}

/* Malformed JSON after a cached head must be rejected. */
static void
test_broken_rest(void **state)
{
	struct entry_head_cache *h = entry_head_cache_create();
	GString *body = make_body("", "q");
	struct entry_head *head;
	struct chat_request c;
	struct jh_prefix p;
	const char *detail;

	handle_body(h, "org", body, &p);
	handle_body(h, "org", body, &p);
	g_string_truncate(body, body->len - 1);
	head = entry_head_cache_find(h, "org", str(body));
	assert_non_null(head);
	assert_int_equal(
	    chat_request_parse(&c, head, str(body), &detail), CHAT_BAD_JSON);
	chat_request_clear(&c);
	head = entry_head_cache_find(h, "org", str(body));
	g_string_append(body, ",\"model\":\"twice\"}");
	assert_int_equal(
	    chat_request_parse(&c, head, str(body), &detail), CHAT_BAD_JSON);
	chat_request_clear(&c);
	g_string_free(body, TRUE);
	entry_head_cache_destroy(h);
}

/*
 * A body in which the text of the content occurs earlier in another field must
 * not be cached: the head would end at the wrong place.
 */
static void
test_text_twice(void **state)
{
	struct entry_head_cache *h = entry_head_cache_create();
	GString *body = make_body("", "q"), *twice;
	struct jh_prefix p;
	const char *from;

	from = strchr(body->str, '[') + 1 + strlen("{\"role\":\"system\",");
	twice = g_string_new("{\"note\":\"");
	g_string_append_len(
	    twice, from + strlen("\"content\":\""), CONTENT_LEN);
	g_string_append(twice, "\",");
	g_string_append(twice, body->str + 1);
	handle_body(h, "org", twice, &p);
	handle_body(h, "org", twice, &p);
	assert_null(entry_head_cache_find(h, "org", str(twice)));
	g_string_free(twice, TRUE);
	g_string_free(body, TRUE);
	entry_head_cache_destroy(h);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_same_keys),
	    cmocka_unit_test(test_other_content),
	    cmocka_unit_test(test_broken_rest),
	    cmocka_unit_test(test_text_twice),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
