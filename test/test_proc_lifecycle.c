#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "config/start.h"
#include "fakes/port.h"
#include "harness.h"

/* Starts of a daemon whose port is in use. */
#define STARTS 5

#define QUESTION "How warm is the water?"
#define TOKENS 200
#define MIDDLE 20
#define STREAMS 3

/* Enough that each available worker gets some of them. */
#define QUESTIONS 16

static int
setup(void **state)
{
	static const struct fixture_spec spec = {.entries = 2,
	    .engines = 2,
	    .services = 1,
	    .engine_args = {"--step-usec", "5000"}};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

static void
start_streams(struct fixture *w, unsigned int entry, struct call **out)
{
	char *body = chat_body(QUESTION, TOKENS, true);
	size_t i;

	for (i = 0; i < STREAMS; i++)
		out[i] = chat_start(w, entry, body, NULL);
	for (i = 0; i < STREAMS; i++)
		await(call_event_count(out[i]) >= MIDDLE);
	g_free(body);
}

static void
check_streams(struct call **streams, const char *text)
{
	size_t i;

	for (i = 0; i < STREAMS; i++) {
		call_join(streams[i]);
		check_stream(&streams[i], 1, TOKENS, text);
		assert_int_equal(stream_workers(streams[i]), 1);
		call_free(streams[i]);
	}
}

static struct call *
start_pending_payment(struct fixture *w, unsigned int entry)
{
	struct call *c;

	services_set(w, "{\"hang\":true}");
	c = pay_start(w, entry, "order-1", "{\"amount\":900}", NULL);
	await(service_runs(w) == 1);
	return c;
}

static void
finish_pending_payment(struct fixture *w, struct call *c)
{
	services_set(w, "{\"hang\":false}");
	check_receipt(c, "run-1");
	check_runs(w, 1);
	call_free(c);
}

/* Sends QUESTIONS new requests; returns how many this worker served. */
static unsigned int
ask_many(struct fixture *w, unsigned int entry, unsigned int worker)
{
	static unsigned int number;
	char question[32];
	unsigned int i, n = 0;

	for (i = 0; i < QUESTIONS; i++) {
		g_snprintf(question, sizeof(question), "question %u", number++);
		if (chat_ok(w, entry, question) == worker)
			n++;
	}
	return n;
}

static bool
is_leaving(struct fixture *w, unsigned int agent)
{
	json_t *root = daemon_dump(w->rpc_port[agent]);
	bool leaving = json_is_true(json_object_get(root, "leaving"));

	json_decref(root);
	return leaving;
}

/* Guards against a planned stop of an entry daemon that interrupts requests. */
static void
test_entry_stops(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *streams[STREAMS], *payment;

	start_streams(w, 0, streams);
	payment = start_pending_payment(w, 0);
	proc_terminate(&w->entry[0]);
	check_streams(streams, text);
	finish_pending_payment(w, payment);
	assert_int_equal(proc_join(&w->entry[0]), 0);
	chat_ok(w, 1, QUESTION);
	g_free(text);
}

/*
 * Guards against an entry daemon that stops before its /health has told the
 * load balancer so.
 */
static void
test_health_while_stopping(void **state)
{
	struct fixture *w = *state;
	struct call_spec spec = {
	    .port = w->entry[0].port, .method = "GET", .path = "/health"};
	struct call *c = call_run(&spec);

	assert_int_equal(call_status(c), 200);
	call_free(c);
	proc_terminate(&w->entry[0]);
	for (;;) {
		c = call_run(&spec);
		if (call_status(c) != 200)
			break;
		call_free(c);
	}
	check_error(c, 503, "shutting_down", "not_run");
	call_free(c);
	assert_int_equal(proc_join(&w->entry[0]), 0);
}

/*
 * Guards against a planned stop of an agent that interrupts streams, and
 * against new requests that still run there.
 */
static void
test_worker_stops(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	struct call *streams[STREAMS];
	json_int_t before, requests;
	unsigned int worker;

	start_streams(w, 0, streams);
	worker = fixture_agent(w, call_header(streams[0], "X-Worker"));
	before = engine_requests(w, worker);
	proc_terminate(&w->agent[worker]);
	await(is_leaving(w, worker));
	/* The agent keeps running until the questions have been asked. */
	proc_freeze(&w->backend[worker]);
	requests = daemon_counter(w->rpc_port[worker], "requests");
	assert_int_equal(ask_many(w, 0, worker), 0);
	assert_int_equal(ask_many(w, 1, worker), 0);
	/* Each entry daemon learns it from one refusal at most. */
	requests = daemon_counter(w->rpc_port[worker], "requests") - requests;
	assert_true(requests <= w->entries);
	proc_thaw(&w->backend[worker]);
	assert_int_equal(engine_requests(w, worker), before);
	check_streams(streams, text);
	assert_int_equal(proc_join(&w->agent[worker]), 0);
	g_free(text);
}

/*
 * Guards against a planned stop of a service's agent that interrupts a payment
 * or loses its record.
 */
static void
test_service_agent_stops(void **state)
{
	struct fixture *w = *state;
	struct call *payment = start_pending_payment(w, 0);
	unsigned int agent = w->engines;

	proc_terminate(&w->agent[agent]);
	await(is_leaving(w, agent));
	finish_pending_payment(w, payment);
	assert_int_equal(proc_join(&w->agent[agent]), 0);
	proc_start(&w->agent[agent]);
	proc_await(&w->agent[agent]);
	payment = pay_start(w, 1, "order-1", "{\"amount\":900}", NULL);
	check_receipt(payment, "run-1");
	call_free(payment);
	check_runs(w, 1);
}

/*
 * Guards against new requests to a worker that is leaving in the instance list.
 */
static void
test_leaving_in_list(void **state)
{
	struct fixture *w = *state;
	json_int_t before;
	unsigned int i;

	w->leaving[0] = true;
	fixture_publish_instances(w);
	for (i = 0; i < w->entries; i++)
		await(!entry_knows(w, i, 0));
	before = engine_requests(w, 0);
	assert_int_equal(ask_many(w, 0, 0), 0);
	assert_int_equal(ask_many(w, 1, 0), 0);
	assert_int_equal(engine_requests(w, 0), before);
}

/* Guards against refusals while a dead agent is still in the instance list. */
static void
test_dead_agent_listed(void **state)
{
	struct fixture *w = *state;

	/* Both workers serve requests. */
	await(ask_many(w, 0, 0) > 0);
	await(ask_many(w, 0, 1) > 0);
	proc_kill(&w->agent[0]);
	assert_int_equal(ask_many(w, 0, 0), 0);
	assert_int_equal(ask_many(w, 1, 0), 0);
	proc_start(&w->agent[0]);
	await(ask_many(w, 0, 0) > 0);
	await(ask_many(w, 1, 0) > 0);
}

/* Guards against refusals when an engine is down and its agent is not. */
static void
test_engine_dead(void **state)
{
	struct fixture *w = *state;

	proc_kill(&w->backend[0]);
	assert_int_equal(ask_many(w, 0, 0), 0);
	assert_int_equal(ask_many(w, 1, 0), 0);
	proc_start(&w->backend[0]);
	await(ask_many(w, 0, 0) > 0);
}

/* Starts entry daemon 0 with the port in use; returns its exit status. */
static int
start_with_port_in_use(struct fixture *w, unsigned int port)
{
	struct sockaddr_in sin = fake_loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1, status;

	assert_int_equal(
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), 0);
	assert_int_equal(
	    bind(fd, (const struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(fd, 1), 0);
	proc_start(&w->entry[0]);
	status = proc_join(&w->entry[0]);
	close(fd);
	return status;
}

/*
 * Guards against a crash of an entry daemon that ends because its port is in
 * use: its threads still used the settings.
 */
static void
test_port_in_use(void **state)
{
	struct fixture *w = *state;
	int i;

	assert_int_equal(proc_stop(&w->entry[0]), 0);
	for (i = 0; i < STARTS; i++) {
		assert_int_equal(
		    start_with_port_in_use(w, w->entry[0].port), JH_EXIT_START);
		assert_int_equal(
		    start_with_port_in_use(w, w->entry_rpc[0]), JH_EXIT_START);
	}
}

/*
 * Guards against an entry daemon that refuses its first request after a
 * restart.
 */
static void
test_entry_restarts(void **state)
{
	struct fixture *w = *state;

	proc_kill(&w->entry[0]);
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-alpha"), 200);
}

/* The same while the store is down; the catalogue must come from a peer. */
static void
test_entry_restarts_without_store(void **state)
{
	struct fixture *w = *state;

	control_set(&w->store, "{\"mode\":\"down\"}");
	proc_kill(&w->entry[0]);
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-alpha"), 200);
}

/*
 * Guards against refused first requests when all entry daemons restart at once.
 */
static void
test_all_entries_restart(void **state)
{
	struct fixture *w = *state;
	unsigned int i;

	for (i = 0; i < w->entries; i++)
		proc_kill(&w->entry[i]);
	for (i = 0; i < w->entries; i++)
		proc_start(&w->entry[i]);
	for (i = 0; i < w->entries; i++)
		assert_int_equal(first_status(w, i, "key-alpha"), 200);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_entry_stops, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_health_while_stopping, setup, teardown),
    cmocka_unit_test_setup_teardown(test_worker_stops, setup, teardown),
    cmocka_unit_test_setup_teardown(test_service_agent_stops, setup, teardown),
    cmocka_unit_test_setup_teardown(test_leaving_in_list, setup, teardown),
    cmocka_unit_test_setup_teardown(test_dead_agent_listed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_engine_dead, setup, teardown),
    cmocka_unit_test_setup_teardown(test_port_in_use, setup, teardown),
    cmocka_unit_test_setup_teardown(test_entry_restarts, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_entry_restarts_without_store, setup, teardown),
    cmocka_unit_test_setup_teardown(test_all_entries_restart, setup, teardown),
};

HARNESS_MAIN(tests)
