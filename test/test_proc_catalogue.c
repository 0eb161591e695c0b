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

/* Asks as organisation beta; checks the code of a refusal. */
static unsigned int
ask(struct world *w, unsigned int entry, const char *code)
{
	char *body = chat_body("in force?", 1, false);
	struct call_spec spec = {.port = w->entry[entry].port,
	    .path = "/v1/chat/completions",
	    .key = "key-beta",
	    .body = body};
	struct call *c = call_run(&spec);
	unsigned int status = call_status(c);

	if (status != 200)
		check_error(c, status, code, "not_run");
	call_free(c);
	g_free(body);
	return status;
}

/*
 * Checks that every entry daemon answers with the status by the deadline, and
 * goes on to.
 */
static void
check_in_force(
    struct world *w, uint64_t edited, unsigned int status, const char *code)
{
	unsigned int i, n;

	for (i = 0; i < w->entries; i++) {
		while (ask(w, i, code) != status)
			assert_true(jh_now() < edited + IN_FORCE_USEC);
	}
	for (n = 0; n < REPEATS; n++) {
		for (i = 0; i < w->entries; i++)
			assert_int_equal(ask(w, i, code), status);
	}
}

/* An edit is not in force in time, or an older state comes back. */
static void
test_edit(void **state)
{
	struct world *w = *state;

	check_in_force(w, jh_now(), 200, NULL);
	put_org(w, "beta", true);
	check_in_force(w, jh_now(), 401, "unauthorized");
	put_org(w, "beta", false);
	check_in_force(w, jh_now(), 200, NULL);
	put_class(w, "beta", "chat", "chat", "large", true);
	check_in_force(w, jh_now(), 403, "class_not_allowed");
	put_class(w, "beta", "chat", "chat", "small", true);
	check_in_force(w, jh_now(), 200, NULL);
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
	check_in_force(w, jh_now(), 401, "unauthorized");
}

/* A deleted object comes back with a restarted entry daemon. */
static void
test_delete_survives(void **state)
{
	struct world *w = *state;

	store_delete(w, "catalog/beta/chat");
	check_in_force(w, jh_now(), 403, "class_not_allowed");
	proc_kill(&w->entry[0]);
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-beta"), 403);
	control_set(&w->store, "{\"mode\":\"down\"}");
	proc_kill(&w->entry[1]);
	proc_start(&w->entry[1]);
	assert_int_equal(first_status(w, 1, "key-beta"), 403);
	check_in_force(w, jh_now(), 403, "class_not_allowed");
	control_set(&w->store, "{\"mode\":\"up\"}");
	check_in_force(w, jh_now(), 403, "class_not_allowed");
}

/* An edit made while some entry daemons could not read the store is lost. */
static void
test_edit_after_outage(void **state)
{
	struct world *w = *state;

	control_set(&w->store, "{\"mode\":\"down\"}");
	check_in_force(w, jh_now(), 200, NULL);
	control_set(&w->store, "{\"mode\":\"up\"}");
	put_org(w, "beta", true);
	check_in_force(w, jh_now(), 401, "unauthorized");
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_edit, setup, teardown),
    cmocka_unit_test_setup_teardown(test_edit_missed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_delete_survives, setup, teardown),
    cmocka_unit_test_setup_teardown(test_edit_after_outage, setup, teardown),
};

HARNESS_MAIN(tests)
