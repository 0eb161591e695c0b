#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/catalog.h>

#define NO_LIMIT SIZE_MAX
#define HASH_A \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static const char entry_json[] =
    "{\"owner\":\"acme\",\"class\":\"chat\",\"kind\":\"chat\","
    "\"rank\":\"background\",\"rank_ceiling\":\"urgent\","
    "\"models\":[\"large\"],\"cost_tokens_per_second\":1000,"
    "\"concurrent_requests\":10,\"idempotent\":true,"
    "\"ttft_target_ms\":1000,\"shared_prompts\":[\"" HASH_A "\"],"
    "\"region_shares\":[{\"region\":\"mtl\",\"percent\":70},"
    "{\"region\":\"qc\",\"percent\":30}]}";

static char *
org_json(const char *name, const char *hash)
{
	return g_strdup_printf("{\"name\":\"%s\",\"display_name\":\"X\","
			       "\"key_hashes\":[\"%s\"]}",
	    name, hash);
}

static void
merge_org(struct jh_catalog *c, const char *name, uint64_t version)
{
	char *json = org_json(name, HASH_A);
	char *key = g_strconcat("orgs/", name, NULL);

	jh_catalog_merge(c, key, version, json);
	g_free(key);
	g_free(json);
}

/* Finds the version of an object; 0 if it does not exist. */
struct version_query {
	const char *key;
	uint64_t version;
};

static void
check_item(void *arg, const struct jh_catalog_item *item)
{
	struct version_query *p = arg;

	if (strcmp(item->key, p->key) == 0)
		p->version = item->version;
}

static uint64_t
version_of(struct jh_catalog *c, const char *key)
{
	struct version_query p = {key, 0};

	jh_catalog_foreach(c, check_item, &p);
	return p.version;
}

/* Guards against a JSON member that is read into the wrong struct member. */
static void
parses_an_entry(void **state)
{
	struct jh_catalog_entry *e;

	e = jh_catalog_entry_parse(jh_str_from(entry_json), NULL);
	assert_non_null(e);
	assert_string_equal(e->owner, "acme");
	assert_string_equal(e->class_name, "chat");
	assert_int_equal(e->rank, JH_RANK_BACKGROUND);
	assert_int_equal(e->rank_ceiling, JH_RANK_URGENT);
	assert_int_equal(e->cost_tokens_per_second, 1000);
	assert_int_equal(e->floor_percent, JH_ENTRY_NO_FLOOR);
	assert_true(jh_catalog_entry_allows_model(e, "large"));
	assert_false(jh_catalog_entry_allows_model(e, "small"));
	assert_true(jh_catalog_entry_shares_prompt(e, HASH_A));
	assert_int_equal(jh_catalog_entry_region_percent(e, "mtl", 2), 70);
	assert_int_equal(jh_catalog_entry_region_percent(e, "xx", 2), 0);
	jh_catalog_entry_unref(e);
}

/* Guards against a parser that stops at the first fault or misses one. */
static void
reports_every_fault(void **state)
{
	static const char text[] =
	    "{\"owner\":\"Acme\",\"class\":\"chat\",\"kind\":\"talk\","
	    "\"rank\":\"urgent\",\"models\":\"m\",\"concurrent_requests\":0,"
	    "\"idempotent\":1,\"ttft_target_ms\":1.5,\"colour\":1,"
	    "\"shared_prompts\":[\"zz\"],\"floor_percent\":51,"
	    "\"region_shares\":[{\"region\":\"a\",\"percent\":10}]}";
	static const char *const expected[] = {"owner is \"Acme\"",
	    "kind must be one of chat, service", "missing member rank_ceiling",
	    "models must be a list", "missing member cost_tokens_per_second",
	    "concurrent_requests must be", "idempotent must be true or false",
	    "ttft_target_ms must be", "unknown member \"colour\"",
	    "shared_prompts holds \"zz\"", "floor_percent must be",
	    "add up to 10 percent"};
	GError *err = NULL;
	size_t i;

	assert_null(jh_catalog_entry_parse(jh_str_from(text), &err));
	for (i = 0; i < G_N_ELEMENTS(expected); i++) {
		if (strstr(err->message, expected[i]) == NULL)
			fail_msg("no \"%s\" in: %s", expected[i], err->message);
	}
	g_clear_error(&err);
	assert_false(jh_record_check(
	    "catalog/other/chat", jh_str_from(entry_json), &err));
	assert_true(g_error_matches(err, JH_RECORD_ERROR, JH_RECORD_ERROR_KEY));
	g_clear_error(&err);
	assert_null(jh_org_parse(JH_STR("[]"), NULL));
	assert_null(jh_model_parse(JH_STR("{\"name\":\"m\"}"), NULL));
}

/* Guards against the return of an older version or of a deleted object. */
static void
older_versions_are_ignored(void **state)
{
	struct jh_catalog *c = jh_catalog_create();
	struct jh_catalog_entry *e;
	struct jh_catalog_stats s;

	assert_true(jh_catalog_merge(c, "catalog/acme/chat", 5, entry_json));
	assert_false(jh_catalog_merge(c, "catalog/acme/chat", 4, NULL));
	assert_false(jh_catalog_merge(c, "catalog/acme/chat", 5, NULL));
	e = jh_catalog_find_entry(c, "acme", "chat");
	assert_non_null(e);
	jh_catalog_entry_unref(e);
	assert_true(jh_catalog_merge(c, "catalog/acme/chat", 7, NULL));
	assert_false(jh_catalog_merge(c, "catalog/acme/chat", 6, entry_json));
	assert_null(jh_catalog_find_entry(c, "acme", "chat"));
	jh_catalog_stats(c, &s);
	assert_int_equal(s.tombstones, 1);

	/* Complete up to 9: an unknown key of version 8 has been deleted. */
	jh_catalog_advance(c, 9);
	merge_org(c, "late", 8);
	assert_null(jh_catalog_find_org(c, "late"));
	assert_true(jh_catalog_merge(c, "catalog/acme/chat", 10, "{}"));
	assert_null(jh_catalog_find_entry(c, "acme", "chat"));
	jh_catalog_stats(c, &s);
	assert_int_equal(s.invalid, 1);
	jh_catalog_destroy(c);
}

/* Guards against a key hash that finds a removed or the wrong organisation. */
static void
finds_by_key_hash_and_alias(void **state)
{
	static const char model[] = "{\"name\":\"large-2\",\"weights\":\"w7\","
				    "\"aliases\":[\"large\"]}";
	struct jh_catalog *c = jh_catalog_create();
	struct jh_org *o;
	struct jh_model *m;

	assert_null(jh_catalog_find_org_by_key(c, HASH_A));
	merge_org(c, "b", 1);
	merge_org(c, "a", 2);
	merge_org(c, "c", 3);
	o = jh_catalog_find_org_by_key(c, HASH_A);
	assert_string_equal(o->name, "a");
	jh_catalog_merge(c, "orgs/a", 4, NULL);
	assert_string_equal(o->name, "a");
	jh_org_unref(o);
	o = jh_catalog_find_org_by_key(c, HASH_A);
	assert_string_equal(o->name, "b");
	jh_org_unref(o);
	jh_catalog_merge(c, "models/large-2", 5, model);
	m = jh_catalog_find_model(c, "large");
	assert_string_equal(m->weights, "w7");
	jh_model_unref(m);
	jh_catalog_destroy(c);
}

static bool
pull(struct jh_catalog *to, struct jh_catalog *from, size_t max_bytes)
{
	uint64_t revision = jh_catalog_revision(to);
	struct jh_catalog_delta d;
	bool advanced;

	if (!jh_catalog_delta(from, revision, max_bytes, &d))
		return false;
	advanced = jh_catalog_apply(to, revision, &d);
	jh_catalog_delta_clear(&d);
	return advanced;
}

/* Guards against a delta that skips changes, also when it is cut. */
static void
deltas_bring_a_peer_up_to_date(void **state)
{
	struct jh_catalog *a = jh_catalog_create(), *b = jh_catalog_create();
	int rounds = 0;
	char name[16];
	unsigned int i;

	for (i = 1; i <= 20; i++) {
		snprintf(name, sizeof(name), "org%u", i);
		merge_org(a, name, i);
	}
	jh_catalog_advance(a, 20);
	while (pull(b, a, 1000))
		rounds++;
	assert_true(rounds > 2);
	assert_int_equal(jh_catalog_revision(b), 20);
	jh_catalog_merge(a, "orgs/org3", 21, NULL);
	jh_catalog_advance(a, 21);
	assert_true(pull(b, a, NO_LIMIT));
	assert_int_equal(version_of(b, "orgs/org3"), 0);
	assert_int_equal(version_of(b, "orgs/org4"), 4);
	assert_false(pull(a, b, NO_LIMIT));
	jh_catalog_destroy(a);
	jh_catalog_destroy(b);
}

/* Guards against objects that remain at a peer although a list lacks them. */
static void
full_copy_removes_absent_objects(void **state)
{
	struct jh_catalog *a = jh_catalog_create(), *b = jh_catalog_create();
	char *json = org_json("new", HASH_A);
	struct jh_catalog_item item = {"orgs/new", 30, json};
	struct jh_catalog_delta d;

	merge_org(b, "old", 10);
	merge_org(b, "newer", 40);
	jh_catalog_advance(b, 12);
	jh_catalog_replace(a, &item, 1, 30);
	assert_int_equal(jh_catalog_revision(a), 30);
	assert_false(jh_catalog_delta(a, 12, 10, &d));
	assert_true(pull(b, a, NO_LIMIT));
	assert_int_equal(version_of(b, "orgs/old"), 0);
	assert_int_equal(version_of(b, "orgs/new"), 30);
	assert_int_equal(version_of(b, "orgs/newer"), 40);
	/* An older list changes nothing. */
	jh_catalog_replace(b, NULL, 0, 20);
	assert_int_equal(version_of(b, "orgs/new"), 30);
	jh_catalog_destroy(a);
	jh_catalog_destroy(b);
	g_free(json);
}

/*
 * Guards against a full copy without tombstones: the peers of each new daemon
 * would then need full copies too.
 */
static void
full_copies_include_tombstones(void **state)
{
	struct jh_catalog *a = jh_catalog_create(), *b = jh_catalog_create();
	struct jh_catalog *late = jh_catalog_create();
	char *json = org_json("x", HASH_A);
	struct jh_catalog_item item = {"orgs/x", 30, json};
	struct jh_catalog_delta d;

	jh_catalog_replace(a, &item, 1, 30);
	jh_catalog_replace(late, &item, 1, 30);
	jh_catalog_merge(a, "orgs/x", 31, NULL);
	jh_catalog_advance(a, 31);
	assert_true(pull(b, a, NO_LIMIT));
	assert_true(jh_catalog_delta(b, 30, NO_LIMIT, &d));
	assert_false(d.full);
	assert_true(jh_catalog_apply(late, 30, &d));
	assert_int_equal(version_of(late, "orgs/x"), 0);
	jh_catalog_delta_clear(&d);
	jh_catalog_destroy(a);
	jh_catalog_destroy(b);
	jh_catalog_destroy(late);
	g_free(json);
}

/* Guards against a delta that lacks deletions whose tombstones were evicted. */
static void
bounds_tombstones(void **state)
{
	struct jh_catalog *a = jh_catalog_create(), *b = jh_catalog_create();
	const uint64_t n = JH_CATALOG_TOMBSTONES + 10;
	struct jh_catalog_stats s;
	char key[32];
	uint64_t i;

	merge_org(a, "kept", 1);
	merge_org(b, "kept", 1);
	merge_org(b, "gone", 2);
	jh_catalog_advance(b, 2);
	jh_catalog_merge(a, "orgs/gone", 3, NULL);
	for (i = 4; i < n; i++) {
		snprintf(key, sizeof(key), "orgs/x%u", (unsigned int)i);
		jh_catalog_merge(a, key, i, NULL);
	}
	jh_catalog_advance(a, n);
	jh_catalog_stats(a, &s);
	assert_int_equal(s.tombstones, JH_CATALOG_TOMBSTONES);
	assert_true(pull(b, a, NO_LIMIT));
	assert_int_equal(version_of(b, "orgs/gone"), 0);
	assert_int_equal(version_of(b, "orgs/kept"), 1);
	jh_catalog_destroy(a);
	jh_catalog_destroy(b);
}

/*
 * Guards against a catalogue of the design size (1,300 organisations with 5
 * classes each) that takes more than half of the daemon's 128 MB.
 */
static void
design_size_fits_memory(void **state)
{
	struct jh_catalog *c = jh_catalog_create();
	struct jh_catalog_stats s;
	char key[64], name[32];
	unsigned int o, k, v = 0;
	char *json;

	for (o = 0; o < 1300; o++) {
		snprintf(name, sizeof(name), "org-%u", o);
		merge_org(c, name, ++v);
		for (k = 0; k < 5; k++) {
			json = g_strdup_printf(
			    "{\"owner\":\"%s\",\"class\":\"c%u\",%s", name, k,
			    strstr(entry_json, "\"kind\""));
			snprintf(key, sizeof(key), "catalog/%s/c%u", name, k);
			jh_catalog_merge(c, key, ++v, json);
			g_free(json);
		}
	}
	jh_catalog_stats(c, &s);
	assert_int_equal(s.entries, 6500);
	assert_int_equal(s.orgs, 1300);
	assert_int_equal(s.invalid, 0);
	assert_true(s.bytes < 64 * 1024 * 1024);
	print_message("%zu bytes\n", s.bytes);
	jh_catalog_destroy(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(parses_an_entry),
	    cmocka_unit_test(reports_every_fault),
	    cmocka_unit_test(older_versions_are_ignored),
	    cmocka_unit_test(finds_by_key_hash_and_alias),
	    cmocka_unit_test(deltas_bring_a_peer_up_to_date),
	    cmocka_unit_test(full_copy_removes_absent_objects),
	    cmocka_unit_test(full_copies_include_tombstones),
	    cmocka_unit_test(bounds_tombstones),
	    cmocka_unit_test(design_size_fits_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
