#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

#define MARKER "petal-of-death"

/* Crashes after which a request is quarantined (docs/design.md). */
#define MAX_CRASHES 3
#define REPEATS 10
#define QUESTION "How warm is the water?"
#define TOKENS 200
#define MIDDLE 20
#define STREAMS 3

/* Time in which daemons tell each other of a crash. */
#define EXCHANGE_USEC (3 * JH_USEC_PER_SEC)

/* Engines that end under a stream, for other reasons. */
#define ENDED_ENGINES 4
#define LONG_TOKENS 400

/* Crashes after which a stream is given up, however far it has got. */
#define MAX_STREAM_CRASHES 8
#define ENDLESS_TOKENS 4000

static int
setup(void **state)
{
	static const struct fixture_spec spec = {.entries = 2,
	    .engines = 6,
	    .engine_args = {"--step-usec", "5000", "--crash-on", MARKER}};

	*state = fixture_create(&spec);
	return 0;
}

static int
setup_two_engines(void **state)
{
	static const struct fixture_spec spec = {.entries = 2,
	    .engines = 2,
	    .engine_args = {"--step-usec", "5000", "--crash-on", MARKER}};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

static unsigned int
crashed_engines(struct fixture *w)
{
	unsigned int i, n = 0;

	for (i = 0; i < w->engines; i++) {
		if (proc_has_ended(&w->backend[i]))
			n++;
	}
	return n;
}

static bool
has_code(struct call *c, const char *code)
{
	char *text = g_strdup_printf("\"code\":\"%s\"", code);
	bool has = strstr(call_body(c), text) != NULL;

	g_free(text);
	return has;
}

/* Sends the request that crashes engines; returns whether it is quarantined. */
static bool
send_poison(struct fixture *w, unsigned int entry)
{
	char *body = chat_body(MARKER, 4, true);
	struct call *c = chat_start(w, entry, body, NULL);
	bool quarantined;

	call_join(c);
	quarantined = has_code(c, "request_quarantined");
	assert_int_not_equal(call_status(c), 200);
	call_free(c);
	g_free(body);
	return quarantined;
}

/* Checks that the quarantined request is refused as not run. */
static void
check_quarantined(struct fixture *w, unsigned int entry)
{
	char *body = chat_body(MARKER, 4, true);
	struct call *c = chat_start(w, entry, body, NULL);

	call_join(c);
	check_error(c, 422, "request_quarantined", "not_run");
	call_free(c);
	g_free(body);
}

/* Guards against a request that crashes one engine after the other. */
static void
test_retry(void **state)
{
	struct fixture *w = *state;
	unsigned int i;

	send_poison(w, 0);
	assert_true(crashed_engines(w) >= 1);
	assert_true(crashed_engines(w) <= MAX_CRASHES);
	await(send_poison(w, 1));
	await(send_poison(w, 0));
	assert_true(crashed_engines(w) <= MAX_CRASHES);
	for (i = 0; i < REPEATS; i++)
		check_quarantined(w, i % w->entries);
	assert_true(crashed_engines(w) <= MAX_CRASHES);
	chat_ok(w, 0, QUESTION);
	chat_ok(w, 1, QUESTION);
}

/* Guards against losing a quarantine when entry daemons restart. */
static void
test_entries_restart(void **state)
{
	struct fixture *w = *state;
	unsigned int i;

	await(send_poison(w, 0));
	await(send_poison(w, 1));
	for (i = 0; i < w->entries; i++) {
		proc_kill(&w->entry[i]);
		proc_start(&w->entry[i]);
		fixture_await_entry(w, i);
		await(send_poison(w, i));
	}
	assert_true(crashed_engines(w) <= MAX_CRASHES);
}

/*
 * Guards against a quarantine that other entry daemons do not learn of, because
 * the agents of the crashed engines end before they have told any.
 */
static void
test_agents_end(void **state)
{
	struct fixture *w = *state;
	unsigned int i, crashed;

	/* Agents that start without the list know no entry daemon. */
	proc_freeze(&w->list);
	for (i = 0; i < w->agents; i++)
		proc_restart(&w->agent[i]);
	await(send_poison(w, 0));
	crashed = crashed_engines(w);
	assert_true(crashed <= MAX_CRASHES);
	for (i = 0; i < w->agents; i++) {
		if (proc_has_ended(&w->backend[i]))
			proc_kill(&w->agent[i]);
	}
	proc_thaw(&w->list);
	g_usleep(EXCHANGE_USEC);
	check_quarantined(w, 1);
	assert_int_equal(crashed_engines(w), crashed);
}

/*
 * Guards against losing, or later refusing, requests that ran on a crashed
 * engine.
 */
static void
test_concurrent_streams(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	char *body = chat_body(QUESTION, TOKENS, true);
	struct call *c[STREAMS];
	size_t i;

	for (i = 0; i < STREAMS; i++)
		c[i] = chat_start(w, i % w->entries, body, NULL);
	for (i = 0; i < STREAMS; i++)
		await(call_event_count(c[i]) >= MIDDLE);
	await(send_poison(w, 0));
	assert_true(crashed_engines(w) <= MAX_CRASHES);
	for (i = 0; i < STREAMS; i++) {
		call_join(c[i]);
		check_stream(&c[i], 1, TOKENS, text);
		call_free(c[i]);
	}
	for (i = 0; i < w->entries; i++)
		chat_ok(w, (unsigned int)i, QUESTION);
	g_free(body);
	g_free(text);
}

/*
 * Kills the engine that runs the only request, after some more output; returns
 * its index.
 */
static unsigned int
kill_engine_of(struct fixture *w, struct call *c)
{
	guint seen = call_event_count(c);
	unsigned int i;

	await(call_event_count(c) >= seen + MIDDLE || call_ended(c));
	if (call_ended(c))
		fail_msg("the stream has ended after %u events (%s)",
		    call_event_count(c), call_error(c));
	for (i = 0; i < w->engines; i++) {
		if (proc_has_ended(&w->backend[i]) || engine_load(w, i) == 0)
			continue;
		proc_kill(&w->backend[i]);
		return i;
	}
	fail_msg("no engine runs the stream");
	return 0;
}

/*
 * Guards against a stream that is quarantined because engines ended while they
 * ran it, although it went on after each of these ends.
 */
static void
test_stream_goes_on(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, LONG_TOKENS);
	char *body = chat_body(QUESTION, LONG_TOKENS, true);
	struct call *c = chat_start(w, 0, body, NULL);
	unsigned int i;

	for (i = 0; i < ENDED_ENGINES; i++)
		kill_engine_of(w, c);
	call_join(c);
	check_stream(&c, 1, LONG_TOKENS, text);
	call_free(c);
	for (i = 0; i < w->entries; i++)
		chat_ok(w, i, QUESTION);
	g_free(body);
	g_free(text);
}

/*
 * Guards against a resumed stream that is taken for the cause of a crash before
 * its first new output, when a request that crashes engines comes beside it.
 */
static void
test_resumed_stream_beside(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, LONG_TOKENS);
	char *body = chat_body(QUESTION, LONG_TOKENS, true);
	struct call *c = chat_start(w, 0, body, NULL);
	unsigned int first, other;

	await(call_event_count(c) >= MIDDLE);
	first = engine_load(w, 0) > 0 ? 0 : 1;
	other = 1 - first;
	control_set(&w->backend[other], "{\"action\":\"stall\"}");
	proc_kill(&w->backend[first]);
	await(engine_load(w, other) > 0);
	send_poison(w, 1);
	await(proc_has_ended(&w->backend[other]));
	proc_start(&w->backend[first]);
	proc_start(&w->backend[other]);
	call_join(c);
	check_stream(&c, 1, LONG_TOKENS, text);
	call_free(c);
	g_free(body);
	g_free(text);
}

/*
 * Guards against a stream that crashes engine after engine because it gets a
 * little further each time.
 */
static void
test_stream_crashes_engines(void **state)
{
	struct fixture *w = *state;
	char *body = chat_body(QUESTION, ENDLESS_TOKENS, true);
	struct call *c = chat_start(w, 0, body, NULL);
	unsigned int i, engine;

	for (i = 0; i < MAX_STREAM_CRASHES; i++) {
		engine = kill_engine_of(w, c);
		proc_start(&w->backend[engine]);
		proc_await(&w->backend[engine]);
	}
	call_join(c);
	assert_false(call_complete(c));
	call_free(c);
	c = chat_start(w, 0, body, NULL);
	call_join(c);
	check_error(c, 422, "request_quarantined", "not_run");
	call_free(c);
	chat_ok(w, 0, QUESTION);
	g_free(body);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_retry, setup, teardown),
    cmocka_unit_test_setup_teardown(test_entries_restart, setup, teardown),
    cmocka_unit_test_setup_teardown(test_agents_end, setup, teardown),
    cmocka_unit_test_setup_teardown(test_concurrent_streams, setup, teardown),
    cmocka_unit_test_setup_teardown(test_stream_goes_on, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_resumed_stream_beside, setup_two_engines, teardown),
    cmocka_unit_test_setup_teardown(
	test_stream_crashes_engines, setup, teardown),
};

HARNESS_MAIN(tests)
