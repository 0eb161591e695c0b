#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

/* An accepted edit is in force everywhere by then (docs/design.md). */
#define IN_FORCE_USEC (8 * JH_USEC_PER_SEC)

/* Requests after an edit, to see that it does not revert. */
#define REPEATS 20

static int
setup(void **state)
{
	static const struct world_spec spec = {.entries = 3, .engines = 1};

	*state = world_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	world_destroy(*state);
	return 0;
}

/* What an entry daemon answers organisation beta. */
struct answer {
	unsigned int status;
	const char *code;
};

static const struct answer served = {200, NULL};
static const struct answer disabled = {401, "unauthorized"};
static const struct answer no_class = {403, "class_not_allowed"};

/* Asks; returns whether the answer is the new one, else it is the old one. */
static bool
ask(struct world *w, unsigned int entry, const struct answer *old,
    const struct answer *new)
{
	char *body = chat_body("in force?", 1, false);
	struct call_spec spec = {.port = w->entry[entry].port,
	    .path = "/v1/chat/completions",
	    .key = "key-beta",
	    .body = body};
	struct call *c = call_run(&spec);
	const struct answer *got = call_status(c) == new->status ? new : old;

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
 * Checks that every entry daemon gives the new answer by the deadline, and goes
 * on to.
 */
static void
check_in_force(
    struct world *w, const struct answer *old, const struct answer *new)
{
	uint64_t until = jh_now() + IN_FORCE_USEC;
	unsigned int i, n;

	for (i = 0; i < w->entries; i++) {
		while (!ask(w, i, old, new))
			assert_true(jh_now() < until);
	}
	for (n = 0; n < REPEATS; n++) {
		for (i = 0; i < w->entries; i++)
			assert_true(ask(w, i, new, new));
	}
}

/* An edit is not in force in time, or an older state comes back. */
static void
test_edit(void **state)
{
	struct world *w = *state;

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

/* An edit is lost on entry daemons that were down or paused meanwhile. */
static void
test_edit_missed(void **state)
{
	struct world *w = *state;

	proc_kill(&w->entry[0]);
	proc_freeze(&w->entry[1]);
	put_org(w, "beta", true);
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-beta"), 401);
	proc_thaw(&w->entry[1]);
	check_in_force(w, &served, &disabled);
}

/*
 * An entry daemon that starts after an edit takes the older catalogue of a peer
 * that cannot read the store yet, and serves by it.
 */
static void
test_edit_before_start(void **state)
{
	struct world *w = *state;

	control_set(&w->store, "{\"mode\":\"down\"}");
	proc_kill(&w->entry[0]);
	/* The watchers fail, and ask again only once the store is slow. */
	g_usleep(JH_USEC_PER_SEC / 2);
	control_set(&w->store, "{\"mode\":\"up\"}");
	put_org(w, "beta", true);
	control_set(&w->store, "{\"mode\":\"slow\", \"slow_ms\":1500}");
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-beta"), 401);
	control_set(&w->store, "{\"mode\":\"up\"}");
	check_in_force(w, &served, &disabled);
}

/* A deleted object comes back with a restarted entry daemon. */
static void
test_delete_survives(void **state)
{
	struct world *w = *state;

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

/* An edit made while some entry daemons could not read the store is lost. */
static void
test_edit_after_outage(void **state)
{
	struct world *w = *state;

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
