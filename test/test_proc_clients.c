#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

#define QUESTION "How warm is the water?"
#define MIDDLE 30

/* A stream of this length runs for several minutes unless it is cancelled. */
#define LONG_TOKENS 100000

/* Far less than the size of a long stream; see test_slow_reader(). */
#define MEMORY_LIMIT_KB 8192

/* Polls without growth after which a process's memory counts as stable. */
#define STABLE_POLLS 60

/* Growth over all these polls that still counts as stable. */
#define STABLE_GROWTH_KB 256

static int
setup(void **state)
{
	static const struct fixture_spec spec = {
	    .entries = 2, .engines = 1, .engine_args = {"--step-usec", "5000"}};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

static struct call *
start_long(struct fixture *w, unsigned int entry)
{
	char *body = chat_body(QUESTION, LONG_TOKENS, true);
	struct call *c = chat_start(w, entry, body, NULL);

	g_free(body);
	await(call_event_count(c) >= MIDDLE);
	return c;
}

/* Cancels a request at the engine; returns false if there is none. */
static bool
engine_cancels(struct fixture *w, const char *rid)
{
	char *path = g_strdup_printf("/v1/requests/%s", rid);
	struct call_spec spec = {
	    .port = w->backend[0].port, .method = "DELETE", .path = path};
	struct call *c = call_run(&spec);
	bool had = call_status(c) == 200;

	call_free(c);
	g_free(path);
	return had;
}

/*
 * Guards against an engine that goes on computing after the client has
 * disconnected. An agent keeps the stream of a dead entry daemon for 10 s. Such
 * a stream is started first and must outlive the other one, which shows that
 * the disconnect was reported and was not merely detected by that timeout.
 */
static void
test_client_disconnects(void **state)
{
	struct fixture *w = *state;
	struct call *orphan = start_long(w, 1), *c;
	char *kept, *left;

	proc_kill(&w->entry[1]);
	c = start_long(w, 0);
	call_join(orphan);
	kept = g_strdup(call_header(orphan, "X-Request-Id"));
	left = g_strdup(call_header(c, "X-Request-Id"));
	assert_int_equal(engines_load(w), 2);
	call_disconnect(c);
	await(engines_load(w) < 2);
	assert_false(engine_cancels(w, left));
	assert_true(engine_cancels(w, kept));
	call_free(c);
	call_free(orphan);
	g_free(kept);
	g_free(left);
}

/*
 * Guards against an engine that goes on computing after the client's entry
 * died.
 */
static void
test_orphan_is_cancelled(void **state)
{
	struct fixture *w = *state;
	struct call *c = start_long(w, 0);

	proc_kill(&w->entry[0]);
	await(engines_load(w) == 0);
	call_free(c);
}

static int
setup_fast(void **state)
{
	static const struct fixture_spec spec = {.entries = 1,
	    .engines = 1,
	    .engine_args = {"--step-usec", "0", "--per-seq-usec", "0"}};

	*state = fixture_create(&spec);
	return 0;
}

/*
 * Waits until a daemon's memory no longer grows, so that a daemon that buffers
 * without bound has read a large part of the stream. Only a faulty daemon can
 * grow further afterwards.
 */
static void
await_stable_memory(const struct proc *p)
{
	long last = -STABLE_GROWTH_KB - 1, now;
	unsigned int same = 0;

	while (same < STABLE_POLLS) {
		now = proc_memory(p, "VmHWM:");
		/* Sanitizers retain freed memory, so some growth goes on. */
		if (now - last > STABLE_GROWTH_KB) {
			same = 0;
			last = now;
		} else {
			same++;
		}
		g_usleep(AWAIT_POLL_USEC);
	}
}

/* Guards against a daemon that buffers what a slow reader leaves unread. */
static void
test_slow_reader(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, LONG_TOKENS);
	char *body = chat_body(QUESTION, LONG_TOKENS, true);
	struct call_spec spec = {.port = w->entry[0].port,
	    .path = "/v1/chat/completions",
	    .key = "key-alpha",
	    .body = body,
	    .paused = true};
	long entry = proc_memory(&w->entry[0], "VmHWM:");
	long agent = proc_memory(&w->agent[0], "VmHWM:");
	struct call *c = call_start(&spec);

	await(engines_load(w) > 0);
	await(engines_load(w) == 0);
	await_stable_memory(&w->agent[0]);
	await_stable_memory(&w->entry[0]);
	call_resume(c);
	call_join(c);
	check_stream(&c, 1, LONG_TOKENS, text);
	entry = proc_memory(&w->entry[0], "VmHWM:") - entry;
	agent = proc_memory(&w->agent[0], "VmHWM:") - agent;
	print_message("answer %zu kB; entry grew by %ld kB, agent by %ld kB\n",
	    strlen(call_body(c)) / 1024, entry, agent);
	assert_true(strlen(call_body(c)) / 1024 > 2 * MEMORY_LIMIT_KB);
	assert_true(entry < MEMORY_LIMIT_KB);
	assert_true(agent < MEMORY_LIMIT_KB);
	call_free(c);
	g_free(body);
	g_free(text);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_client_disconnects, setup, teardown),
    cmocka_unit_test_setup_teardown(test_orphan_is_cancelled, setup, teardown),
    cmocka_unit_test_setup_teardown(test_slow_reader, setup_fast, teardown),
};

HARNESS_MAIN(tests)
