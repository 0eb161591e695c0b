#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "platform_fixture.h"

/* Routers whose store comes back from an older copy. */

#define KEYED                                    \
	"X-Jacinthhill-Attempt-Id: a1\r\n"       \
	"X-Jacinthhill-Model: m1\r\n"            \
	"X-Jacinthhill-Token-Counts: 100,10\r\n" \
	"Api-Key: k1\r\n"
#define SETTLE_USEC (500 * JH_USEC_PER_MSEC)
#define AWAY_USEC (300 * JH_USEC_PER_MSEC)
/* Users' bound on the time until a configuration is in force. */
#define IN_FORCE_USEC (2500 * JH_USEC_PER_MSEC)

static int
set_up(void **state)
{
	*state = platform_start();
	return 0;
}

static int
tear_down(void **state)
{
	platform_stop(*state);
	return 0;
}

static unsigned int
status_of_request(struct platform *p)
{
	char *answer = platform_ask(p, "GET", "/again/x", KEYED);
	unsigned int status = answer_status(answer);

	g_free(answer);
	return status;
}

static void
expect_status_in_time(struct platform *p, unsigned int status)
{
	uint64_t until = jh_now() + IN_FORCE_USEC;

	while (jh_now() < until && status_of_request(p) != status)
		g_usleep(20000);
	assert_int_equal(status_of_request(p), status);
}

/*
 * Guards against ignoring what the operator writes after a restore, because its
 * revision is lower than one that was seen before.
 */
static void
configuration_after_a_restore_is_in_force(void **state)
{
	struct fake_restore restore = {0};
	unsigned int version;

	g_usleep(SETTLE_USEC);
	restore.copied_at = jh_now();
	g_usleep(SETTLE_USEC);
	for (version = 2; version < 20; version++)
		platform_configure(*state, version, "k1");
	platform_revoke(*state, version);
	expect_status_in_time(*state, 401);
	restore.back_at = jh_now() + AWAY_USEC;
	restore.rewritten_by = restore.back_at + AWAY_USEC;
	platform_restore(*state, &restore);
	g_usleep(2 * AWAY_USEC);
	/* The older configuration of the copy, which has the key, is not. */
	assert_int_equal(status_of_request(*state), 401);
	platform_configure(*state, version + 1, "k1");
	expect_status_in_time(*state, 200);
}

/*
 * Guards against refusing requests because workers that the store has lost are
 * not registered again yet.
 */
static void
requests_are_served_through_a_restore(void **state)
{
	struct fake_restore restore = {.copied_at = 1};
	uint64_t until;

	assert_int_equal(status_of_request(*state), 200);
	restore.back_at = jh_now() + AWAY_USEC;
	restore.rewritten_by = restore.back_at + AWAY_USEC;
	platform_restore(*state, &restore);
	until = jh_now() + 4 * JH_USEC_PER_SEC;
	while (jh_now() < until) {
		assert_int_equal(status_of_request(*state), 200);
		g_usleep(20000);
	}
}

/* As long as the test; the operator writes nothing again. */
#define NOT_REWRITTEN_USEC (1000 * JH_USEC_PER_SEC)

/*
 * Takes a copy of the store, makes a change, and when all routers know it goes
 * back to the copy and restarts the first router.
 */
static void
restart_after_restore(struct platform *p, void (*change)(struct platform *p))
{
	struct fake_restore restore = {0};

	g_usleep(SETTLE_USEC);
	restore.copied_at = jh_now();
	g_usleep(SETTLE_USEC);
	change(p);
	g_usleep(IN_FORCE_USEC);
	restore.back_at = jh_now() + AWAY_USEC;
	restore.rewritten_by = restore.back_at + NOT_REWRITTEN_USEC;
	platform_restore(p, &restore);
	proc_kill(platform_router(p));
	proc_start(platform_router(p));
}

static void
revoke_key(struct platform *p)
{
	platform_revoke(p, 2);
}

/*
 * Guards against a router that starts after a restore and runs requests with a
 * key that was taken away, because it believes the store though its peer knows
 * better.
 */
static void
restarted_router_keeps_the_configuration(void **state)
{
	static const struct platform_spec spec = {.routers = 2, .workers = 1};
	struct platform *p = platform_create(&spec);
	uint64_t until;

	restart_after_restore(p, revoke_key);
	until = jh_now() + 4 * JH_USEC_PER_SEC;
	while (jh_now() < until) {
		assert_int_not_equal(status_of_request(p), 200);
		g_usleep(20000);
	}
	assert_int_equal(status_of_request(p), 401);
	platform_configure(p, 3, "k1");
	expect_status_in_time(p, 200);
	platform_stop(p);
}

static void
name_weights(struct platform *p)
{
	platform_set_weights(p, 2);
}

/* Guards against the same with weights, which no worker has any more. */
static void
restarted_router_keeps_the_weights(void **state)
{
	static const struct platform_spec spec = {.routers = 2, .workers = 1};
	struct platform *p = platform_create(&spec);
	char *head;

	restart_after_restore(p, name_weights);
	platform_await_ready(p);
	expect_status_in_time(p, 200);
	head = platform_last_head(p);
	assert_non_null(strstr(head, "X-Jacinthhill-Expected-Version: 2"));
	g_free(head);
	platform_stop(p);
}

static char *
key_of(struct platform *p, const char *name)
{
	json_t *entry = platform_get(p, "entries", name);
	char *key = g_strdup(json_string_value(json_object_get(entry, "key")));

	json_decref(entry);
	return key;
}

static bool
has_key(struct platform *p, const char *name, const char *key)
{
	char *present = key_of(p, name);
	bool same = g_strcmp0(present, key) == 0;

	g_free(present);
	return same;
}

/* The number of routers that the first one knows, itself included. */
static int
known_routers(struct platform *p)
{
	struct call_spec spec = {.port = platform_metrics_port(p),
	    .method = "GET",
	    .path = "/metrics"};
	struct call *c = call_run(&spec);
	const char *at = strstr(call_body(c), "\njh_entries ");
	int n = at != NULL ? atoi(at + strlen("\njh_entries ")) : -1;

	call_free(c);
	return n;
}

/*
 * Guards against routers that ignore each other's messages, because the store
 * has lost the entry of one or has that of an earlier start again.
 */
static void
entries_of_routers_are_written_again(void **state)
{
	static const struct platform_spec spec = {.routers = 2, .workers = 1};
	struct platform *p = platform_create(&spec);
	struct fake_restore restore = {0};
	struct proc *second = platform_router_at(p, 1);
	char *before = key_of(p, "e2"), *after;
	uint64_t until;

	g_usleep(SETTLE_USEC);
	restore.copied_at = jh_now();
	g_usleep(SETTLE_USEC);
	proc_kill(second);
	proc_start(second);
	await(!has_key(p, "e2", before));
	platform_await_ready(p);
	await(known_routers(p) == 2);
	after = key_of(p, "e2");
	platform_restore(p, &restore);
	assert_true(has_key(p, "e2", before));
	await(has_key(p, "e2", after));
	/* Now without any entry. */
	restore.copied_at = 1;
	platform_restore(p, &restore);
	assert_false(has_key(p, "e2", after));
	until = jh_now() + 3 * JH_USEC_PER_SEC;
	while (jh_now() < until) {
		assert_int_equal(known_routers(p), 2);
		g_usleep(20000);
	}
	assert_true(has_key(p, "e2", after));
	/* A router that does not write its entry again is gone. */
	proc_kill(second);
	platform_restore(p, &restore);
	await(known_routers(p) == 1);
	g_free(before);
	g_free(after);
	platform_stop(p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		configuration_after_a_restore_is_in_force, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		requests_are_served_through_a_restore, set_up, tear_down),
	    cmocka_unit_test(restarted_router_keeps_the_configuration),
	    cmocka_unit_test(restarted_router_keeps_the_weights),
	    cmocka_unit_test(entries_of_routers_are_written_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
