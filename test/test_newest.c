#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "feed/newest.h"

/* The rule that decides whether an object of the store is taken. */

#define NAME "a"

static bool
offer(struct jh_newest *n, uint64_t start, uint64_t version, uint64_t era,
    uint64_t revision)
{
	struct jh_content_order order = {start, version};
	struct jh_position at = {era, revision};
	GBytes *text = g_bytes_new_static("x", 1);
	bool taken = jh_newest_offer(n, NAME, &order, &at, text);

	g_bytes_unref(text);
	return taken;
}

static bool
lacks(const struct jh_newest *n, uint64_t start, uint64_t version)
{
	struct jh_content_order order = {start, version};

	return jh_newest_lacks(n, NAME, &order);
}

static int
set_up(void **state)
{
	*state = jh_newest_create();
	return 0;
}

static int
tear_down(void **state)
{
	jh_newest_destroy(*state);
	return 0;
}

/* Guards against older content that a restored store has again. */
static void
older_content_of_another_era_is_not_taken(void **state)
{
	struct jh_newest *n = *state;

	assert_true(offer(n, 0, 7, 1, 50));
	assert_false(offer(n, 0, 6, 2, 40));
	assert_false(lacks(n, 0, 7));
	assert_true(lacks(n, 0, 8));
	assert_true(offer(n, 0, 7, 2, 60));
	assert_true(offer(n, 0, 8, 2, 70));
}

/* Guards against ignoring what the store was told last in its present era. */
static void
later_write_of_the_same_era_is_taken(void **state)
{
	struct jh_newest *n = *state;

	assert_true(offer(n, 0, 7, 2, 50));
	assert_true(offer(n, 0, 6, 2, 51));
	assert_true(lacks(n, 0, 7));
	assert_false(offer(n, 0, 5, 2, 51));
}

/* Guards against older content of the store in place of what a peer told. */
static void
content_of_a_peer_is_not_undone_by_the_store(void **state)
{
	struct jh_newest *n = *state;

	assert_true(offer(n, 0, 6, 2, 40));
	assert_true(offer(n, 0, 7, 0, 0));
	assert_false(offer(n, 0, 6, 2, 41));
	assert_true(offer(n, 0, 7, 2, 42));
	/* A store without eras does not go back. */
	assert_true(offer(n, 0, 9, 0, 0));
	assert_true(offer(n, 0, 8, 0, 1));
}

/*
 * Guards against an instance that does not leave any more, or that is not used
 * after its next start because the one before has left.
 */
static void
leaving_lasts_until_the_next_start(void **state)
{
	struct jh_newest *n = *state;

	assert_true(offer(n, 100, 1, 1, 50));
	jh_newest_remove(n, NAME, 1);
	assert_false(offer(n, 100, 0, 2, 10));
	assert_true(offer(n, 200, 0, 2, 20));
	assert_null(jh_newest_text(n, NAME));
	assert_false(lacks(n, 100, 1));
	assert_false(offer(n, 100, 1, 3, 5));
	assert_true(lacks(n, 200, 1));
}

/* Guards against contents that are kept for ever. */
static void
removed_content_is_forgotten(void **state)
{
	struct jh_newest *n = *state;

	assert_true(offer(n, 0, 7, 1, 50));
	jh_newest_remove(n, NAME, 1);
	jh_newest_remove(n, "b", JH_NEWEST_REMOVED_USEC);
	assert_non_null(jh_newest_text(n, NAME));
	jh_newest_remove(n, "b", JH_NEWEST_REMOVED_USEC + 2);
	assert_null(jh_newest_text(n, NAME));
}

static void
count(void *arg, const char *name, const struct jh_content_order *order)
{
	*(unsigned int *)arg += 1;
	assert_string_equal(name, NAME);
	assert_int_equal(order->version, 1);
}

/* Guards against telling peers of each worker that does not leave. */
static void
only_versions_are_told(void **state)
{
	struct jh_newest *n = *state;
	unsigned int told = 0;

	assert_true(offer(n, 100, 0, 1, 50));
	jh_newest_each(n, count, &told);
	assert_int_equal(told, 0);
	assert_true(offer(n, 100, 1, 1, 51));
	jh_newest_each(n, count, &told);
	assert_int_equal(told, 1);
}

/*
 * Guards against two processes that take different contents for the same, or
 * tell each other everything though they know the same.
 */
static void
digests_tell_contents_apart(void **state)
{
	struct jh_newest *n = *state, *other = jh_newest_create();

	assert_true(offer(n, 100, 1, 1, 50));
	assert_true(offer(other, 100, 2, 1, 40));
	assert_true(jh_newest_digest(n) != jh_newest_digest(other));
	assert_true(offer(n, 100, 2, 2, 7));
	assert_true(jh_newest_digest(n) == jh_newest_digest(other));
	assert_true(offer(n, 101, 2, 2, 8));
	assert_true(jh_newest_digest(n) != jh_newest_digest(other));
	jh_newest_destroy(other);
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    CASE(older_content_of_another_era_is_not_taken),
	    CASE(later_write_of_the_same_era_is_taken),
	    CASE(content_of_a_peer_is_not_undone_by_the_store),
	    CASE(leaving_lasts_until_the_next_start),
	    CASE(removed_content_is_forgotten),
	    CASE(only_versions_are_told),
	    CASE(digests_tell_contents_apart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
