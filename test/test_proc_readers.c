#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

#define QUESTION "How warm is the water?"
#define MIDDLE 30

/* Runs for several minutes unless it is cancelled. */
#define LONG_TOKENS 100000

/* The whole of a long stream is far over this; see test_slow_reader(). */
#define MEMORY_LIMIT_KB 8192

/* Unchanged readings of a process's memory that count as rest. */
#define REST_POLLS 60

/* Growth over all these polls that counts as rest. */
#define REST_GROWTH_KB 256

static int
setup(void **state)
{
	static const struct world_spec spec = {
	    .entries = 2, .engines = 1, .engine_args = {"--step-usec", "5000"}};

	*state = world_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	world_destroy(*state);
	return 0;
}

static struct call *
start_long(struct world *w, unsigned int entry)
{
	char *body = chat_body(QUESTION, LONG_TOKENS, true);
	struct call *c = chat_start(w, entry, body, NULL);

	g_free(body);
	await(call_event_count(c) >= MIDDLE);
	return c;
}

/* Whether the engine still had the request, which it now drops. */
static bool
engine_drops(struct world *w, const char *rid)
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
 * The engine goes on computing for a caller that has left. A stream whose
 * entry died before is kept for 10 s, so the order of the two shows that the
 * caller's leaving was told and not only found out.
 */
static void
test_caller_leaves(void **state)
{
	struct world *w = *state;
	struct call *orphan = start_long(w, 1), *c;
	char *kept, *left;

	proc_kill(&w->entry[1]);
	c = start_long(w, 0);
	call_join(orphan);
	kept = g_strdup(call_header(orphan, "X-Request-Id"));
	left = g_strdup(call_header(c, "X-Request-Id"));
	assert_int_equal(engines_load(w), 2);
	call_leave(c);
	await(engines_load(w) < 2);
	assert_false(engine_drops(w, left));
	assert_true(engine_drops(w, kept));
	call_free(c);
	call_free(orphan);
	g_free(kept);
	g_free(left);
}

/* The engine goes on computing when the entry of a caller died for good. */
static void
test_orphan_is_cancelled(void **state)
{
	struct world *w = *state;
	struct call *c = start_long(w, 0);

	proc_kill(&w->entry[0]);
	await(engines_load(w) == 0);
	call_free(c);
}

static int
setup_fast(void **state)
{
	static const struct world_spec spec = {.entries = 1,
	    .engines = 1,
	    .engine_args = {"--step-usec", "0", "--per-seq-usec", "0"}};

	*state = world_create(&spec);
	return 0;
}

/*
 * Waits until a daemon's memory no longer grows, so that one that reads without
 * bound has read a good part. Only a faulty daemon can be found growing later.
 */
static void
await_rest(const struct proc *p)
{
	long last = -REST_GROWTH_KB - 1, now;
	unsigned int same = 0;

	while (same < REST_POLLS) {
		now = proc_memory(p, "VmHWM:");
		/* Sanitizers keep freed memory, so a little growth goes on. */
		if (now - last > REST_GROWTH_KB) {
			same = 0;
			last = now;
		} else {
			same++;
		}
		g_usleep(AWAIT_POLL_USEC);
	}
}

/* A daemon keeps in memory what a slow reader does not take. */
static void
test_slow_reader(void **state)
{
	struct world *w = *state;
	char *text = chat_reference(w, QUESTION, LONG_TOKENS);
	char *body = chat_body(QUESTION, LONG_TOKENS, true);
	struct call_spec spec = {.port = w->entry[0].port,
	    .path = "/v1/chat/completions",
	    .key = "key-alpha",
	    .body = body,
	    .held = true};
	long entry = proc_memory(&w->entry[0], "VmHWM:");
	long agent = proc_memory(&w->agent[0], "VmHWM:");
	struct call *c = call_start(&spec);

	await(engines_load(w) > 0);
	await(engines_load(w) == 0);
	await_rest(&w->agent[0]);
	await_rest(&w->entry[0]);
	call_release(c);
	call_join(c);
	check_stream(&c, 1, LONG_TOKENS, text);
	entry = proc_memory(&w->entry[0], "VmHWM:") - entry;
	agent = proc_memory(&w->agent[0], "VmHWM:") - agent;
	print_message("answer %zu kB; entry grew %ld kB, agent %ld kB\n",
	    strlen(call_body(c)) / 1024, entry, agent);
	assert_true(strlen(call_body(c)) / 1024 > 2 * MEMORY_LIMIT_KB);
	assert_true(entry < MEMORY_LIMIT_KB);
	assert_true(agent < MEMORY_LIMIT_KB);
	call_free(c);
	g_free(body);
	g_free(text);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_caller_leaves, setup, teardown),
    cmocka_unit_test_setup_teardown(test_orphan_is_cancelled, setup, teardown),
    cmocka_unit_test_setup_teardown(test_slow_reader, setup_fast, teardown),
};

HARNESS_MAIN(tests)
