#include <limits.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "feed/replica.h"
#include "member/mirrors.h"

/* The objects passed to on_object(), as "name=text " and "name- ". */
static GString *seen;

static void
on_object(void *arg, const char *name, struct jh_str text)
{
	if (text.ptr != NULL)
		g_string_append_printf(
		    seen, "%s=%.*s ", name, (int)text.len, text.ptr);
	else
		g_string_append_printf(seen, "%s- ", name);
}

static const struct jh_replica_ops ops = {on_object};
static const struct jh_replica_limit no_limit = {UINT_MAX, SIZE_MAX};
static const struct jh_replica_limit two_objects = {2, SIZE_MAX};
static const struct jh_replica_limit three_bytes = {UINT_MAX, 3};

static int
set_up(void **state)
{
	seen = g_string_new(NULL);
	*state = jh_replica_create();
	return 0;
}

static int
tear_down(void **state)
{
	jh_replica_destroy(*state);
	g_string_free(seen, TRUE);
	return 0;
}

static void
expect_changes(struct jh_replica *r, uint64_t since, const char *text)
{
	g_string_truncate(seen, 0);
	assert_true(jh_replica_changes(
	    r, &(struct jh_position){0, since}, &no_limit, &ops, NULL));
	assert_string_equal(seen->str, text);
}

/* Guards against changes that a reader misses, or gets twice or reordered. */
static void
changes_are_passed_once_in_order(void **state)
{
	struct jh_replica *r = *state;

	jh_replica_put(r, "a", JH_STR("1"));
	jh_replica_put(r, "b", JH_STR("1"));
	assert_int_equal(jh_replica_position(r).revision, 0);
	jh_replica_commit(r, &(struct jh_position){0, 10});
	expect_changes(r, 10, "");
	jh_replica_put(r, "a", JH_STR("2"));
	expect_changes(r, 10, "");
	jh_replica_commit(r, &(struct jh_position){0, 12});
	jh_replica_remove(r, "b");
	jh_replica_put(r, "c", JH_STR("1"));
	jh_replica_commit(r, &(struct jh_position){0, 15});
	expect_changes(r, 10, "a=2 b- c=1 ");
	expect_changes(r, 12, "b- c=1 ");
	expect_changes(r, 15, "");
	expect_changes(r, 99, "");
	assert_false(jh_replica_list(r, NULL, &no_limit, &ops, NULL));
}

/* Guards against objects that are missing between two pages of a list. */
static void
lists_continue_after_a_name(void **state)
{
	struct jh_replica *r = *state;

	jh_replica_put(r, "b", JH_STR("1"));
	jh_replica_put(r, "a", JH_STR("1"));
	jh_replica_put(r, "c", JH_STR("1"));
	jh_replica_commit(r, &(struct jh_position){0, 4});
	assert_true(jh_replica_list(r, NULL, &two_objects, &ops, NULL));
	assert_false(jh_replica_list(r, "b", &two_objects, &ops, NULL));
	assert_string_equal(seen->str, "a=1 b=1 c=1 ");
}

/*
 * Guards against pages and changes that are too large for their reader, and
 * against an object that is never passed because it exceeds the limit alone.
 */
static void
texts_are_limited(void **state)
{
	struct jh_replica *r = *state;

	jh_replica_put(r, "a", JH_STR("12"));
	jh_replica_put(r, "b", JH_STR("1"));
	jh_replica_put(r, "c", JH_STR("1"));
	jh_replica_put(r, "d", JH_STR("1234"));
	jh_replica_commit(r, &(struct jh_position){0, 4});
	assert_true(jh_replica_list(r, NULL, &three_bytes, &ops, NULL));
	assert_true(jh_replica_list(r, "b", &three_bytes, &ops, NULL));
	assert_false(jh_replica_list(r, "c", &three_bytes, &ops, NULL));
	assert_string_equal(seen->str, "a=12 b=1 c=1 d=1234 ");
	g_string_truncate(seen, 0);
	jh_replica_put(r, "a", JH_STR("1234"));
	jh_replica_commit(r, &(struct jh_position){0, 5});
	jh_replica_remove(r, "b");
	jh_replica_commit(r, &(struct jh_position){0, 6});
	assert_false(jh_replica_changes(
	    r, &(struct jh_position){0, 4}, &three_bytes, &ops, NULL));
	assert_string_equal(seen->str, "");
	assert_true(jh_replica_changes(
	    r, &(struct jh_position){0, 5}, &three_bytes, &ops, NULL));
	assert_string_equal(seen->str, "b- ");
}

/* Guards against a second list that counts as a change of every object. */
static void
repeated_objects_are_no_changes(void **state)
{
	struct jh_replica *r = *state;

	jh_replica_put(r, "a", JH_STR("1"));
	jh_replica_commit(r, &(struct jh_position){0, 4});
	jh_replica_put(r, "a", JH_STR("1"));
	jh_replica_remove(r, "x");
	jh_replica_commit(r, &(struct jh_position){0, 6});
	expect_changes(r, 4, "");
	jh_replica_put(r, "a", JH_STR("2"));
	jh_replica_put(r, "a", JH_STR("1"));
	jh_replica_commit(r, &(struct jh_position){0, 8});
	expect_changes(r, 6, "a=2 a=1 ");
}

/* Guards against a reader that misses changes which are no longer kept. */
static void
dropped_changes_are_reported(void **state)
{
	struct jh_replica *r = *state;
	char text[16];
	unsigned int i;

	jh_replica_put(r, "a", JH_STR("0"));
	jh_replica_commit(r, &(struct jh_position){0, 1});
	assert_false(jh_replica_changes(
	    r, &(struct jh_position){0, 0}, &no_limit, &ops, NULL));
	for (i = 1; i <= JH_REPLICA_MAX_CHANGES + 5; i++) {
		g_snprintf(text, sizeof(text), "%u", i);
		jh_replica_put(r, "a", jh_str_from(text));
		jh_replica_commit(r, &(struct jh_position){0, 1 + i});
	}
	assert_false(jh_replica_changes(
	    r, &(struct jh_position){0, 1}, &no_limit, &ops, NULL));
	assert_false(jh_replica_changes(
	    r, &(struct jh_position){0, 5}, &no_limit, &ops, NULL));
	assert_true(jh_replica_changes(
	    r, &(struct jh_position){0, 6}, &no_limit, &ops, NULL));
}

static struct jh_mirrors *
create_mirrors(unsigned int self, unsigned int n)
{
	char name[16];
	struct jh_mirrors *r;
	unsigned int i;

	g_snprintf(name, sizeof(name), "e%u", self);
	r = jh_mirrors_create(name);
	for (i = 0; i < n; i++) {
		g_snprintf(name, sizeof(name), "e%u", i);
		if (i != self)
			jh_mirrors_add(r, name);
	}
	return r;
}

/*
 * Guards against a mirror that passes on objects or changes that the store has
 * lost.
 */
static void
new_era_replaces_all(void **state)
{
	struct jh_replica *r = *state;

	jh_replica_put(r, "a", JH_STR("1"));
	jh_replica_put(r, "b", JH_STR("1"));
	jh_replica_commit(r, &(struct jh_position){1, 10});
	jh_replica_put(r, "a", JH_STR("2"));
	jh_replica_commit(r, &(struct jh_position){1, 20});
	jh_replica_put(r, "a", JH_STR("1"));
	jh_replica_commit(r, &(struct jh_position){2, 15});
	assert_int_equal(jh_replica_position(r).revision, 15);
	assert_false(jh_replica_changes(
	    r, &(struct jh_position){1, 10}, &no_limit, &ops, NULL));
	assert_false(jh_replica_list(r, NULL, &no_limit, &ops, NULL));
	assert_string_equal(seen->str, "a=1 ");
}

/* Guards against mirrors in a small deployment. */
static void
few_processes_all_read_the_store(void **state)
{
	struct jh_mirrors *r = create_mirrors(3, JH_MIRRORS_MIN_ZONE);

	assert_true(jh_mirrors_unused(r));
	assert_null(jh_mirrors_source(r, 1));
	jh_mirrors_destroy(r);
}

/*
 * Guards against processes that read from one that reads from a mirror itself,
 * and against a mirror that all others read from.
 */
static void
mirrors_read_the_store_and_share_the_load(void **state)
{
	enum { ALL = 168 };
	unsigned int reads[ALL] = {0}, n_mirrors = 0, i;
	struct jh_mirrors *r[ALL];
	const char *source;

	for (i = 0; i < ALL; i++) {
		r[i] = create_mirrors(i, ALL);
		source = jh_mirrors_source(r[i], 1);
		if (source == NULL)
			n_mirrors++;
		else
			reads[g_ascii_strtoull(source + 1, NULL, 10)]++;
	}
	assert_int_equal(n_mirrors,
	    (ALL + JH_MIRRORS_GROUP_SIZE - 1) / JH_MIRRORS_GROUP_SIZE);
	for (i = 0; i < ALL; i++) {
		if (reads[i] > 0)
			assert_null(jh_mirrors_source(r[i], 1));
		assert_true(reads[i] <= 2 * JH_MIRRORS_GROUP_SIZE);
		jh_mirrors_destroy(r[i]);
	}
}

/*
 * Guards against a process that keeps reading from a mirror that fails, or goes
 * back to it because all its watches fail there.
 */
static void
failed_mirrors_are_replaced(void **state)
{
	const uint64_t later = 1 + JH_MIRRORS_BACKOFF_USEC;
	struct jh_mirrors *r = NULL;
	const char *second;
	char *first;
	unsigned int i;

	for (i = 0; i < 40; i++) {
		r = create_mirrors(i, 40);
		if (jh_mirrors_source(r, 1) != NULL)
			break;
		jh_mirrors_destroy(r);
	}
	first = g_strdup(jh_mirrors_source(r, 1));
	for (i = 0; i < 4; i++) {
		jh_mirrors_source_failed(r, 1, first);
		assert_string_not_equal(jh_mirrors_source(r, 1), first);
	}
	while ((second = jh_mirrors_source(r, 1)) != NULL)
		jh_mirrors_source_failed(r, 1, second);
	assert_string_equal(jh_mirrors_source(r, later), first);
	jh_mirrors_source_failed(r, later, first);
	jh_mirrors_remove(r, first);
	assert_string_not_equal(jh_mirrors_source(r, later), first);
	g_free(first);
	jh_mirrors_destroy(r);
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    CASE(changes_are_passed_once_in_order),
    CASE(lists_continue_after_a_name),
    CASE(texts_are_limited),
    CASE(repeated_objects_are_no_changes),
    CASE(dropped_changes_are_reported),
    CASE(new_era_replaces_all),
    cmocka_unit_test(few_processes_all_read_the_store),
    cmocka_unit_test(mirrors_read_the_store_and_share_the_load),
    cmocka_unit_test(failed_mirrors_are_replaced),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
