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
#define FEW_TOKENS 2

/* Ample time to write a request to a socket on loopback. */
#define RECONNECT_SENT_USEC (200 * JH_USEC_PER_MSEC)

static int
setup(void **state)
{
	static const struct fixture_spec spec = {
	    .entries = 2, .engines = 3, .engine_args = {"--step-usec", "5000"}};

	*state = fixture_create(&spec);
	return 0;
}

/* With time between the last token and the end marker. */
static int
setup_slow(void **state)
{
	static const struct fixture_spec spec = {.entries = 1,
	    .engines = 2,
	    .engine_args = {"--step-usec", "1000000"}};

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

/* The request that resumes an interrupted stream, sent to entry daemon 1. */
static struct call *
start_reconnect(struct fixture *w, struct call *first)
{
	char *body = chat_body(QUESTION, TOKENS, true);
	char *last = call_last_id(first);
	char *header = g_strdup_printf("Last-Event-ID: %s", last);
	struct call *c = chat_start(w, 1, body, header);

	g_free(header);
	g_free(last);
	g_free(body);
	return c;
}

/* Checks that both parts are the whole stream; frees them. */
static void
check_resumed(struct fixture *w, struct call **part, const char *text)
{
	call_join(part[1]);
	check_stream(part, 2, TOKENS, text);
	assert_string_equal(
	    call_header(part[0], "X-Worker"), call_header(part[1], "X-Worker"));
	await(engines_load(w) == 0);
	call_free(part[0]);
	call_free(part[1]);
}

/* Kills entry daemon 0 and checks that its stream resumes at the other one. */
static void
check_resume_elsewhere(struct fixture *w, struct call *first, const char *text)
{
	struct call *part[2] = {first};

	proc_kill(&w->entry[0]);
	call_join(part[0]);
	assert_false(call_complete(part[0]));
	part[1] = start_reconnect(w, first);
	check_resumed(w, part, text);
}

/*
 * Guards against tokens lost or repeated on a resume at another entry daemon.
 */
static void
test_entry_killed(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);

	check_resume_elsewhere(w, start_stream(w, 0, TOKENS), text);
	g_free(text);
}

/*
 * Guards against losing the end of a stream that the agent has sent in full to
 * an entry daemon which is killed before it passes it on.
 */
static void
test_entry_killed_after_end(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *c = start_stream(w, 0, TOKENS);
	unsigned int worker = worker_of(w, c);
	unsigned int port = w->rpc_port[worker];
	json_int_t completed = daemon_counter(port, "completed");
	json_int_t requests = engine_requests(w, worker);

	proc_freeze(&w->entry[0]);
	await(daemon_counter(port, "completed") > completed);
	check_resume_elsewhere(w, c, text);
	/* A second run could give another text. */
	assert_int_equal(engine_requests(w, worker), requests);
	g_free(text);
}

static bool
agents_have_revision(struct fixture *w, json_int_t revision)
{
	json_int_t n;
	json_t *root;
	unsigned int i;

	for (i = 0; i < w->agents; i++) {
		root = daemon_dump(w->rpc_port[i]);
		n = json_integer_value(
		    json_object_get(root, "catalogue_revision"));
		json_decref(root);
		if (n < revision)
			return false;
	}
	return true;
}

/*
 * Guards against a stream that is given up because its agent has a newer
 * catalogue than the entry daemon to which the client reconnects.
 */
static void
test_reconnect_to_older_catalogue(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *part[2];
	json_int_t revision;

	proc_freeze(&w->entry[1]);
	put_org(w, "gamma", false);
	revision = control_integer(&w->store, "/control", "revision");
	await(agents_have_revision(w, revision));
	part[0] = start_stream(w, 0, TOKENS);
	proc_kill(&w->entry[0]);
	call_join(part[0]);
	part[1] = start_reconnect(w, part[0]);
	/* The request is in the socket when the process continues. */
	g_usleep(RECONNECT_SENT_USEC);
	proc_thaw(&w->entry[1]);
	check_resumed(w, part, text);
	g_free(text);
}

/*
 * Guards against an entry daemon that hangs on an event id with a worker that
 * it does not know.
 */
static void
test_unknown_worker(void **state)
{
	struct fixture *w = *state;
	char *body = chat_body(QUESTION, TOKENS, true);
	struct call *c =
	    chat_start(w, 0, body, "Last-Event-ID: 5e4de239.1234abcd:7");

	call_join(c);
	check_error(c, 410, "stream_lost", "ran");
	chat_ok(w, 0, QUESTION);
	call_free(c);
	g_free(body);
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

/*
 * Guards against a stream that never ends because its engine ended after the
 * last token and before the end marker: the next engine has only that to send.
 */
static void
test_resume_after_last_token(void **state)
{
	struct fixture *w = *state;
	struct call_spec spec = {.port = w->backend[0].port,
	    .path = "/v1/chat/completions",
	    .body = "{\"model\":\"small\",\"stream\":true,\"max_tokens\":3,"
		    "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],"
		    "\"resume\":{\"position\":3,\"text\":\"b c d \"}}"};
	struct call *c = call_run(&spec);

	if (!call_complete(c))
		fail_msg("%u (%s)", call_status(c), call_error(c));
	assert_int_equal(call_status(c), 200);
	assert_string_equal(call_body(c), "data: [DONE]\n\n");
	call_free(c);
}

/* The same through the daemons. */
static void
test_engine_killed_after_last_token(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, FEW_TOKENS);
	char *body = chat_body(QUESTION, FEW_TOKENS, true);
	struct call *c = chat_start(w, 0, body, NULL);
	unsigned int i;

	await(call_event_count(c) == FEW_TOKENS);
	for (i = 0; engine_load(w, i) == 0; i++)
		assert_true(i + 1 < w->engines);
	proc_kill(&w->backend[i]);
	call_join(c);
	check_stream(&c, 1, FEW_TOKENS, text);
	call_free(c);
	g_free(body);
	g_free(text);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_engine_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_agent_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_entry_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_entry_killed_after_end, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_reconnect_to_older_catalogue, setup, teardown),
    cmocka_unit_test_setup_teardown(test_unknown_worker, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_engine_and_agent_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_resume_after_last_token, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_engine_killed_after_last_token, setup_slow, teardown),
    cmocka_unit_test_setup_teardown(test_engines_restart, setup, teardown),
    cmocka_unit_test_setup_teardown(test_concurrent_failures, setup, teardown),
};

HARNESS_MAIN(tests)
