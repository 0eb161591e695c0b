#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

#define QUESTION "How warm is the water?"

/* Tokens of a stream, and events received before a fault is injected. */
#define TOKENS 200
#define MIDDLE 30

static int
setup(void **state)
{
	static const struct fixture_spec spec = {
	    .entries = 2, .engines = 3, .engine_args = {"--step-usec", "5000"}};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

/* Starts a stream and waits for its first MIDDLE events. */
static struct call *
start_stream(struct fixture *w, unsigned int entry, unsigned int tokens)
{
	char *body = chat_body(QUESTION, tokens, true);
	struct call *c = chat_start(w, entry, body, NULL);

	g_free(body);
	await(call_event_count(c) >= MIDDLE || call_ended(c));
	assert_false(call_ended(c));
	return c;
}

static unsigned int
worker_of(struct fixture *w, struct call *c)
{
	return fixture_agent(w, call_header(c, "X-Worker"));
}

/*
 * Guards against a stream that ends early, or repeats tokens, on engine
 * failure.
 */
static void
test_engine_killed(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *c = start_stream(w, 0, TOKENS);

	proc_kill(&w->backend[worker_of(w, c)]);
	call_join(c);
	check_stream(&c, 1, TOKENS, text);
	assert_int_equal(stream_workers(c), 2);
	call_free(c);
	g_free(text);
}

/*
 * Guards against a stream that ends early, or repeats tokens, on agent failure.
 */
static void
test_agent_killed(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *c = start_stream(w, 0, TOKENS);

	proc_kill(&w->agent[worker_of(w, c)]);
	call_join(c);
	check_stream(&c, 1, TOKENS, text);
	assert_int_equal(stream_workers(c), 2);
	call_free(c);
	g_free(text);
}

/*
 * Guards against tokens lost or repeated on a resume at another entry daemon.
 */
static void
test_entry_killed(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *part[2] = {start_stream(w, 0, TOKENS)};
	char *body = chat_body(QUESTION, TOKENS, true);
	char *last, *header;

	proc_kill(&w->entry[0]);
	call_join(part[0]);
	assert_false(call_complete(part[0]));
	last = call_last_id(part[0]);
	header = g_strdup_printf("Last-Event-ID: %s", last);
	part[1] = chat_start(w, 1, body, header);
	call_join(part[1]);
	check_stream(part, 2, TOKENS, text);
	assert_string_equal(
	    call_header(part[0], "X-Worker"), call_header(part[1], "X-Worker"));
	await(engines_load(w) == 0);
	call_free(part[0]);
	call_free(part[1]);
	g_free(header);
	g_free(last);
	g_free(body);
	g_free(text);
}

/* Whether the last event came from another worker than the event first. */
static bool
goes_on_elsewhere(struct call *c, const char *first)
{
	char *last = call_last_id(c);
	size_t n = (size_t)(strrchr(first, ':') - first);
	bool elsewhere = strncmp(last, first, n) != 0;

	g_free(last);
	return elsewhere;
}

/*
 * Kills the engine of a stream and waits until the stream resumes at another
 * one. Returns the index of that engine's agent.
 */
static unsigned int
kill_first_engine(struct fixture *w, struct call *c)
{
	char *first = call_last_id(c);
	unsigned int i, found = FIXTURE_MAX;

	proc_kill(&w->backend[worker_of(w, c)]);
	await(goes_on_elsewhere(c, first));
	g_free(first);
	for (i = 0; i < w->engines; i++) {
		if (w->backend[i].pid != 0 && engine_load(w, i) > 0)
			found = i;
	}
	assert_int_not_equal(found, FIXTURE_MAX);
	return found;
}

/* Guards against losing tokens on a second failure of the same stream. */
static void
test_engine_and_agent_killed(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *c = start_stream(w, 0, TOKENS);

	proc_kill(&w->agent[kill_first_engine(w, c)]);
	call_join(c);
	check_stream(&c, 1, TOKENS, text);
	assert_int_equal(stream_workers(c), 3);
	call_free(c);
	g_free(text);
}

/*
 * Guards against aborting a stream because all workers are briefly in backoff.
 */
static void
test_engines_restart(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *c = start_stream(w, 0, TOKENS);
	unsigned int first = worker_of(w, c), i;

	for (i = 0; i < w->engines; i++) {
		if (i != first && i != (first + 1) % w->engines)
			proc_kill(&w->agent[i]);
	}
	proc_kill(&w->agent[kill_first_engine(w, c)]);
	proc_start(&w->backend[first]);
	call_join(c);
	check_stream(&c, 1, TOKENS, text);
	call_free(c);
	g_free(text);
}

/*
 * Guards against aborting or mixing up concurrent streams that fail together.
 */
static void
test_concurrent_failures(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *a = start_stream(w, 0, TOKENS);
	struct call *b = start_stream(w, 1, TOKENS);
	unsigned int worker = worker_of(w, a);

	proc_kill(&w->backend[worker]);
	if (worker_of(w, b) != worker)
		proc_kill(&w->agent[worker_of(w, b)]);
	call_join(a);
	call_join(b);
	check_stream(&a, 1, TOKENS, text);
	check_stream(&b, 1, TOKENS, text);
	assert_int_equal(stream_workers(a), 2);
	assert_int_equal(stream_workers(b), 2);
	call_free(a);
	call_free(b);
	g_free(text);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_engine_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_agent_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_entry_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_engine_and_agent_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_engines_restart, setup, teardown),
    cmocka_unit_test_setup_teardown(test_concurrent_failures, setup, teardown),
};

HARNESS_MAIN(tests)
