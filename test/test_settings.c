#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "config/settings.h"

struct peer {
	char *name;
	struct sockaddr_in address;
};

struct sample {
	char *zone;
	int64_t limit;
	bool fast;
	GPtrArray *peers;
};

static const struct jh_setting peer_table[] = {
    {.key = "name",
	.type = JH_SET_STRING,
	.required = true,
	.offset = offsetof(struct peer, name)},
    {.key = "address",
	.type = JH_SET_ADDRESS,
	.required = true,
	.offset = offsetof(struct peer, address)},
    {0}};

static const struct jh_setting sample_table[] = {
    {.key = "availability_zone",
	.type = JH_SET_STRING,
	.required = true,
	.offset = offsetof(struct sample, zone)},
    {.key = "limit",
	.type = JH_SET_INT,
	.min = 1,
	.max = 10,
	.fallback = "5",
	.offset = offsetof(struct sample, limit)},
    {.key = "fast",
	.type = JH_SET_BOOL,
	.fallback = "false",
	.offset = offsetof(struct sample, fast)},
    {.key = "peers",
	.type = JH_SET_LIST,
	.item = peer_table,
	.item_size = sizeof(struct peer),
	.offset = offsetof(struct sample, peers)},
    {0}};

/* Guards against values that are read into the wrong members. */
static void
reads_every_member(void **state)
{
	static const char text[] = "availability_zone: mtl-a\nlimit: 7\n"
				   "fast: true\npeers:\n"
				   "  - name: a\n    address: 127.0.0.1:81\n";
	struct sample s = {0};
	struct peer *p;

	assert_true(
	    jh_settings_parse("t", text, strlen(text), sample_table, &s, NULL));
	assert_string_equal(s.zone, "mtl-a");
	assert_int_equal(s.limit, 7);
	assert_true(s.fast);
	assert_int_equal(s.peers->len, 1);
	p = s.peers->pdata[0];
	assert_string_equal(p->name, "a");
	assert_int_equal(ntohs(p->address.sin_port), 81);
	jh_settings_clear(sample_table, &s);
}

/* Guards against a reader that stops at the first fault. */
static void
reports_all_faults_with_lines(void **state)
{
	static const char text[] = "limit: 11\nspeed: 3\nfast: maybe\npeers:\n"
				   "  - name: a\n    address: localhost:81\n";
	struct sample s = {0};
	GError *err = NULL;

	assert_false(
	    jh_settings_parse("t", text, strlen(text), sample_table, &s, &err));
	assert_true(
	    g_error_matches(err, JH_SETTINGS_ERROR, JH_SETTINGS_ERROR_INVALID));
	assert_non_null(strstr(err->message, "t:1: limit"));
	assert_non_null(strstr(err->message, "t:2: unknown key \"speed\""));
	assert_non_null(strstr(err->message, "t:3: fast"));
	assert_non_null(strstr(err->message, "t:6: address"));
	assert_non_null(
	    strstr(err->message, "missing key \"availability_zone\""));
	g_error_free(err);
	jh_settings_clear(sample_table, &s);
}

/* Guards against a crash on input that is not a mapping or not YAML. */
static void
rejects_malformed_text(void **state)
{
	static const char *const texts[] = {
	    "", "- a\n", "a: [", "x", "a: *b\n"};
	struct sample s = {0};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_false(jh_settings_parse(
		    "t", texts[i], strlen(texts[i]), sample_table, &s, NULL));
		jh_settings_clear(sample_table, &s);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(reads_every_member),
	    cmocka_unit_test(reports_all_faults_with_lines),
	    cmocka_unit_test(rejects_malformed_text),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
