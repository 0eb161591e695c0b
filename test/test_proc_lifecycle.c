#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

#define QUESTION "How warm is the water?"
#define TOKENS 200
#define MIDDLE 20
#define STREAMS 3

/* Enough questions that each worker would get some of them. */
#define QUESTIONS 16

static int
setup(void **state)
{
	static const struct world_spec spec = {.entries = 2,
	    .engines = 2,
	    .services = 1,
	    .engine_args = {"--step-usec", "5000"}};

	*state = world_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	world_destroy(*state);
	return 0;
}

static void
start_streams(struct world *w, unsigned int entry, struct call **out)
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
start_held_payment(struct world *w, unsigned int entry)
{
	struct call *c;

	services_set(w, "{\"hang\":true}");
	c = pay_start(w, entry, "order-1", "{\"amount\":900}", NULL);
	await(service_runs(w) == 1);
	return c;
}

static void
check_held_payment(struct world *w, struct call *c)
{
	services_set(w, "{\"hang\":false}");
	check_receipt(c, "run-1");
	check_runs(w, 1);
	call_free(c);
}

/* Asks new questions; returns how often that worker answered. */
static unsigned int
ask_many(struct world *w, unsigned int entry, unsigned int worker)
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
is_leaving(struct world *w, unsigned int agent)
{
	json_t *root = daemon_dump(w->rpc_port[agent]);
	bool leaving = json_is_true(json_object_get(root, "leaving"));

	json_decref(root);
	return leaving;
}

/* A planned stop of an entry daemon cuts requests. */
static void
test_entry_stops(void **state)
{
	struct world *w = *state;
	char *text = chat_reference(w, QUESTION, TOKENS);
	struct call *streams[STREAMS], *payment;

	start_streams(w, 0, streams);
	payment = start_held_payment(w, 0);
	proc_terminate(&w->entry[0]);
	check_streams(streams, text);
	check_held_payment(w, payment);
	assert_int_equal(proc_join(&w->entry[0]), 0);
	chat_ok(w, 1, QUESTION);
	g_free(text);
}

/* The balancer is not told in time that an entry daemon stops. */
static void
test_entry_tells_balancer(void **state)
{
	struct world *w = *state;
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

/* A planned stop of an agent cuts streams, or new work still goes there. */
static void
test_worker_stops(void **state)
{
	struct world *w = *state;
	char *text = chat_reference(w, QUESTION, TOKENS);
	struct call *streams[STREAMS];
	json_int_t before, requests;
	unsigned int worker;

	start_streams(w, 0, streams);
	worker = world_agent(w, call_header(streams[0], "X-Worker"));
	before = engine_requests(w, worker);
	proc_terminate(&w->agent[worker]);
	await(is_leaving(w, worker));
	requests = daemon_counter(w->rpc_port[worker], "requests");
	assert_int_equal(ask_many(w, 0, worker), 0);
	assert_int_equal(ask_many(w, 1, worker), 0);
	assert_int_equal(engine_requests(w, worker), before);
	/* One refusal tells an entry daemon. */
	requests = daemon_counter(w->rpc_port[worker], "requests") - requests;
	assert_true(requests <= w->entries);
	check_streams(streams, text);
	assert_int_equal(proc_join(&w->agent[worker]), 0);
	g_free(text);
}

/* A planned stop of a service's agent cuts a payment or loses its record. */
static void
test_service_agent_stops(void **state)
{
	struct world *w = *state;
	struct call *payment = start_held_payment(w, 0);
	unsigned int agent = w->engines;

	proc_terminate(&w->agent[agent]);
	await(is_leaving(w, agent));
	check_held_payment(w, payment);
	assert_int_equal(proc_join(&w->agent[agent]), 0);
	proc_start(&w->agent[agent]);
	proc_await(&w->agent[agent]);
	payment = pay_start(w, 1, "order-1", "{\"amount\":900}", NULL);
	check_receipt(payment, "run-1");
	call_free(payment);
	check_runs(w, 1);
}

/* A worker that the list shows as leaving still gets new work. */
static void
test_leaving_in_list(void **state)
{
	struct world *w = *state;
	json_int_t before;
	unsigned int i;

	w->leaving[0] = true;
	world_publish(w);
	for (i = 0; i < w->entries; i++)
		await(!entry_knows(w, i, 0));
	before = engine_requests(w, 0);
	assert_int_equal(ask_many(w, 0, 0), 0);
	assert_int_equal(ask_many(w, 1, 0), 0);
	assert_int_equal(engine_requests(w, 0), before);
}

/* Requests are refused while the list still shows a dead agent. */
static void
test_list_lags(void **state)
{
	struct world *w = *state;

	/* Both get some of the questions. */
	await(ask_many(w, 0, 0) > 0);
	await(ask_many(w, 0, 1) > 0);
	proc_kill(&w->agent[0]);
	assert_int_equal(ask_many(w, 0, 0), 0);
	assert_int_equal(ask_many(w, 1, 0), 0);
	proc_start(&w->agent[0]);
	await(ask_many(w, 0, 0) > 0);
	await(ask_many(w, 1, 0) > 0);
}

/* Requests are refused when an engine is dead beside a live agent. */
static void
test_engine_dead(void **state)
{
	struct world *w = *state;

	proc_kill(&w->backend[0]);
	assert_int_equal(ask_many(w, 0, 0), 0);
	assert_int_equal(ask_many(w, 1, 0), 0);
	proc_start(&w->backend[0]);
	await(ask_many(w, 0, 0) > 0);
}

/* An entry daemon that restarts refuses its first request. */
static void
test_entry_restarts(void **state)
{
	struct world *w = *state;

	proc_kill(&w->entry[0]);
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-alpha"), 200);
}

/* The same while the store is down: it must take the catalogue from a peer. */
static void
test_entry_restarts_without_store(void **state)
{
	struct world *w = *state;

	control_set(&w->store, "{\"mode\":\"down\"}");
	proc_kill(&w->entry[0]);
	proc_start(&w->entry[0]);
	assert_int_equal(first_status(w, 0, "key-alpha"), 200);
}

/* All entry daemons restart together and refuse their first requests. */
static void
test_herd_restart(void **state)
{
	struct world *w = *state;
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
    cmocka_unit_test_setup_teardown(test_entry_tells_balancer, setup, teardown),
    cmocka_unit_test_setup_teardown(test_worker_stops, setup, teardown),
    cmocka_unit_test_setup_teardown(test_service_agent_stops, setup, teardown),
    cmocka_unit_test_setup_teardown(test_leaving_in_list, setup, teardown),
    cmocka_unit_test_setup_teardown(test_list_lags, setup, teardown),
    cmocka_unit_test_setup_teardown(test_engine_dead, setup, teardown),
    cmocka_unit_test_setup_teardown(test_entry_restarts, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_entry_restarts_without_store, setup, teardown),
    cmocka_unit_test_setup_teardown(test_herd_restart, setup, teardown),
};

HARNESS_MAIN(tests)
