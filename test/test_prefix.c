#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/prefix.h>

static const struct jh_prefix_scope scope_a = {
    {"m", 1}, {"v1", 2}, {"org-a", 5}};
static const struct jh_prefix_scope scope_b = {
    {"m", 1}, {"v1", 2}, {"org-b", 5}};
static const struct jh_prefix_scope newer_weights = {
    {"m", 1}, {"v2", 2}, {"org-a", 5}};

static const struct jh_prefix_message conversation[10] = {
    {{"system", 6}, {"manual", 6}}, {{"system", 6}, {"tenant", 6}},
    {{"user", 4}, {"1", 1}}, {{"user", 4}, {"2", 1}}, {{"user", 4}, {"3", 1}},
    {{"user", 4}, {"4", 1}}, {{"user", 4}, {"5", 1}}, {{"user", 4}, {"6", 1}},
    {{"user", 4}, {"7", 1}}, {{"user", 4}, {"8", 1}}};

static struct jh_prefix
build(const struct jh_prefix_scope *scope, size_t n, size_t shared)
{
	struct jh_prefix p;

	jh_prefix_build(&p, scope, conversation, n, shared);
	return p;
}

/* Guards against keys that are equal across organisations or weights. */
static void
keys_differ_by_scope(void **state)
{
	struct jh_prefix a = build(&scope_a, 3, 0);
	struct jh_prefix b = build(&scope_b, 3, 0);
	struct jh_prefix c = build(&newer_weights, 3, 0);
	size_t i;

	for (i = 0; i < 3; i++) {
		assert_int_not_equal(a.level[i].hash, b.level[i].hash);
		assert_int_not_equal(a.level[i].hash, c.level[i].hash);
	}
}

/* Guards against sharing the private levels that follow a shared message. */
static void
only_shared_messages_are_shared(void **state)
{
	struct jh_prefix a = build(&scope_a, 2, 1);
	struct jh_prefix b = build(&scope_b, 2, 1);
	struct jh_prefix private = build(&scope_a, 2, 0);

	assert_int_equal(a.level[0].hash, b.level[0].hash);
	assert_int_not_equal(a.level[1].hash, b.level[1].hash);
	assert_int_not_equal(a.level[0].hash, private.level[0].hash);
}

/* Guards against equal keys when text moves between role and content. */
static void
field_boundaries_are_hashed(void **state)
{
	const struct jh_prefix_message x = {{"ab", 2}, {"c", 1}};
	const struct jh_prefix_message y = {{"a", 1}, {"bc", 2}};
	struct jh_prefix a, b;

	jh_prefix_build(&a, &scope_a, &x, 1, 0);
	jh_prefix_build(&b, &scope_a, &y, 1, 0);
	assert_int_not_equal(a.level[0].hash, b.level[0].hash);
}

/*
 * Guards against later messages that change the keys of earlier ones, or that
 * are lost past the last level.
 */
static void
later_messages_extend_the_chain(void **state)
{
	struct jh_prefix two = build(&scope_a, 2, 0);
	struct jh_prefix nine = build(&scope_a, 9, 0);
	struct jh_prefix ten = build(&scope_a, 10, 0);

	assert_int_equal(two.level[0].hash, ten.level[0].hash);
	assert_int_equal(two.level[1].hash, ten.level[1].hash);
	assert_int_equal(two.level[1].tokens, ten.level[1].tokens);
	assert_int_equal(ten.n, JH_PREFIX_MAX_LEVELS);
	assert_int_not_equal(nine.level[7].hash, ten.level[7].hash);
	assert_int_equal(ten.level[0].tokens, 2);
	assert_int_equal(ten.level[7].tokens, 3);
	assert_int_equal(jh_prefix_tokens(&ten), 2 + 2 + 5 + 3);
}

/* Guards against a header that parses to another prefix than was formatted. */
static void
header_round_trip(void **state)
{
	struct jh_prefix a = build(&scope_a, 10, 0), b;
	char text[JH_PREFIX_HEADER_SIZE];
	size_t len;

	a.level[3].tokens = UINT32_MAX;
	len = jh_prefix_format(&a, text);
	assert_int_equal(len, strlen(text));
	assert_true(jh_prefix_parse(&b, jh_str_from(text)));
	assert_int_equal(a.n, b.n);
	for (len = 0; len < a.n; len++) {
		assert_int_equal(a.level[len].hash, b.level[len].hash);
		assert_int_equal(a.level[len].tokens, b.level[len].tokens);
	}
}

/* Guards against parsing malformed headers as a prefix. */
static void
malformed_headers_are_rejected(void **state)
{
	static const char *const bad[] = {"", "0123456789abcdef",
	    "0123456789abcdef:", "0123456789abcde:1", "0123456789abcdeg:1",
	    "0123456789abcdef:1,", "0123456789abcdef:4294967296",
	    "0123456789abcdef:1 ", "0123456789abcdef:-1"};
	char nine[9 * 19 + 1] = "";
	struct jh_prefix p;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_false(jh_prefix_parse(&p, jh_str_from(bad[i])));
	for (i = 0; i < 9; i++)
		memcpy(nine + i * 19, "0123456789abcdef:1,", 19);
	nine[9 * 19 - 1] = '\0';
	assert_false(jh_prefix_parse(&p, jh_str_from(nine)));
	nine[8 * 19 - 1] = '\0';
	assert_true(jh_prefix_parse(&p, jh_str_from(nine)));
}

/*
 * Guards against an engine that matches cached blocks of another organisation,
 * of other weights or of an earlier process of its own.
 */
static void
salts_differ_by_scope_and_incarnation(void **state)
{
	const struct jh_prefix_scope shifted = {
	    {"mv", 2}, {"1", 1}, {"org-a", 5}};
	const struct jh_prefix_scope shared = {{"m", 1}, {"v1", 2}, {"", 0}};
	char salt[7][JH_CACHE_SALT_LEN + 1];
	size_t i, j;

	jh_cache_salt(&scope_a, 1, salt[0]);
	jh_cache_salt(&scope_b, 1, salt[1]);
	jh_cache_salt(&newer_weights, 1, salt[2]);
	jh_cache_salt(&scope_a, 2, salt[3]);
	jh_cache_salt(&shifted, 1, salt[4]);
	jh_cache_salt(&shared, 1, salt[5]);
	jh_cache_salt(&scope_a, 1, salt[6]);
	assert_string_equal(salt[0], salt[6]);
	for (i = 0; i < 6; i++) {
		assert_int_equal(strlen(salt[i]), JH_CACHE_SALT_LEN);
		for (j = 0; j < i; j++)
			assert_string_not_equal(salt[i], salt[j]);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(keys_differ_by_scope),
	    cmocka_unit_test(only_shared_messages_are_shared),
	    cmocka_unit_test(field_boundaries_are_hashed),
	    cmocka_unit_test(later_messages_extend_the_chain),
	    cmocka_unit_test(header_round_trip),
	    cmocka_unit_test(malformed_headers_are_rejected),
	    cmocka_unit_test(salts_differ_by_scope_and_incarnation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
