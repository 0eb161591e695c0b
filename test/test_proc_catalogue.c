#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

/* Time limit until an accepted edit is in force everywhere (docs/design.md). */
#define IN_FORCE_USEC (8 * JH_USEC_PER_SEC)

/* Requests per entry daemon that check that an edit does not revert. */
#define REPEATS 20

static int
setup(void **state)
{
	static const struct fixture_spec spec = {.entries = 3, .engines = 1};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

/* A response of an entry daemon to organisation beta; code NULL: no error. */
struct response {
	unsigned int status;
	const char *code;
};

static const struct response served = {200, NULL};
static const struct response disabled = {401, "unauthorized"};
static const struct response no_class = {403, "class_not_allowed"};

/*
 * Sends a chat request. Returns true for the new response; any other response
 * must be the old one.
 */
static bool
response_is_new(struct fixture *w, unsigned int entry,
    const struct response *old, const struct response *new)
{
	char *body = chat_body("in force?", 1, false);
	struct call_spec spec = {.port = w->entry[entry].port,
	    .path = "/v1/chat/completions",
	    .key = "key-beta",
	    .body = body};
	struct call *c = call_run(&spec);
	const struct response *got = call_status(c) == new->status ? new : old;

	if (got->code == NULL && call_status(c) != got->status)
		print_message("answer: %s\n", call_body(c));
	if (got->code == NULL)
		assert_int_equal(call_status(c), got->status);
	else
		check_error(c, got->status, got->code, "not_run");
	call_free(c);
	g_free(body);
	return got == new;
}

/*
 * Checks that every entry daemon gives the new response before the deadline,
 * and keeps giving it.
 */
static void
check_in_force(
    struct fixture *w, const struct response *old, const struct response *new)
{
	uint64_t until = jh_now() + IN_FORCE_USEC;
	unsigned int i, n;

	for (i = 0; i < w->entries; i++) {
		while (!response_is_new(w, i, old, new))
			assert_true(jh_now() < until);
	}
	for (n = 0; n < REPEATS; n++) {
		for (i = 0; i < w->entries; i++)
			assert_true(response_is_new(w, i, new, new));
	}
}

/* Guards against an edit that is in force too late, or is reverted. */
static void
test_edit(void **state)
{
	struct fixture *w = *state;

	check_in_force(w, &served, &served);
	put_org(w, "beta", true);
	check_in_force(w, &served, &disabled);
	put_org(w, "beta", false);
	check_in_force(w, &disabled, &served);
	put_class(w, "beta", "chat", "chat", "large", true);
	check_in_force(w, &served, &no_class);
	put_class(w, "beta", "chat", "chat", "small", true);
	check_in_force(w, &no_class, &served);
}

/*
 * Guards against missing an edit made while an entry daemon was down or paused.
 */
static void
test_edit_missed(void **state)
{
	struct fixture *w = *state;

	proc_kill(&w->entry[0]);
	proc_freeze(&w->entry[1]);
	put_org(w, "beta", true);
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-beta"), 401);
	proc_thaw(&w->entry[1]);
	check_in_force(w, &served, &disabled);
}

/*
 * Guards against an entry daemon that starts after an edit and serves by the
 * older catalogue of a peer that cannot read the store yet.
 */
static void
test_edit_before_start(void **state)
{
	struct fixture *w = *state;

	control_set(&w->store, "{\"mode\":\"down\"}");
	proc_kill(&w->entry[0]);
	/* The watches fail, and are retried only when the store is slow. */
	g_usleep(JH_USEC_PER_SEC / 2);
	control_set(&w->store, "{\"mode\":\"up\"}");
	put_org(w, "beta", true);
	control_set(&w->store, "{\"mode\":\"slow\", \"slow_ms\":1500}");
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-beta"), 401);
	control_set(&w->store, "{\"mode\":\"up\"}");
	check_in_force(w, &served, &disabled);
}

/*
 * Guards against a deleted object that reappears when an entry daemon restarts.
 */
static void
test_delete_survives(void **state)
{
	struct fixture *w = *state;

	store_delete(w, "catalog/beta/chat");
	check_in_force(w, &served, &no_class);
	proc_kill(&w->entry[0]);
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-beta"), 403);
	control_set(&w->store, "{\"mode\":\"down\"}");
	proc_kill(&w->entry[1]);
	proc_start(&w->entry[1]);
	assert_int_equal(first_status(w, 1, "key-beta"), 403);
	check_in_force(w, &no_class, &no_class);
	control_set(&w->store, "{\"mode\":\"up\"}");
	check_in_force(w, &no_class, &no_class);
}

/*
 * Guards against losing an edit made after a store outage while some entry
 * daemons do not read the store again yet.
 */
static void
test_edit_after_outage(void **state)
{
	struct fixture *w = *state;

	control_set(&w->store, "{\"mode\":\"down\"}");
	check_in_force(w, &served, &served);
	control_set(&w->store, "{\"mode\":\"up\"}");
	put_org(w, "beta", true);
	check_in_force(w, &served, &disabled);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_edit, setup, teardown),
    cmocka_unit_test_setup_teardown(test_edit_missed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_edit_before_start, setup, teardown),
    cmocka_unit_test_setup_teardown(test_delete_survives, setup, teardown),
    cmocka_unit_test_setup_teardown(test_edit_after_outage, setup, teardown),
};

HARNESS_MAIN(tests)
