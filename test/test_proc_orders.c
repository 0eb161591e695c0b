#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "harness.h"
#include "rpc/server.h"

#define QUESTION "How warm is the water?"
#define TOKENS 400

static int
setup(void **state)
{
	/* The engines accept any order: only the agents refuse old ones. */
	static const struct fixture_spec spec = {.entries = 1,
	    .engines = 3,
	    .engine_args = {
		"--step-usec", "5000", "--ignore-fencing", "--load-ms", "400"}};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

/* Sends an order; returns the message of the reply; free with g_free(). */
static char *
order(struct fixture *w, unsigned int agent, uint64_t fencing,
    const char *weights)
{
	struct sockaddr_in peer = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)w->rpc_port[agent])};
	char duty[] = "test", model[] = "small", role[] = "";
	struct jh_order_args args = {
	    duty, fencing, JH_ORDER_LOAD_WEIGHTS, model, (char *)weights, role};
	struct jh_status_reply reply = {0};
	struct jh_auth_key key;
	char *text;

	assert_true(jh_auth_key_parse(&key, FIXTURE_SECRET));
	assert_true(jh_rpc_call(&peer, &key, JH_ORDER, &args, &reply,
	    jh_now() + 5 * JH_USEC_PER_SEC, NULL));
	text = g_strdup(reply.message);
	jh_rpc_reply_clear(JH_ORDER, &reply);
	return text;
}

static void
check_order(struct fixture *w, unsigned int agent, uint64_t fencing,
    const char *weights, const char *expected)
{
	char *text = order(w, agent, fencing, weights);

	assert_string_equal(text, expected);
	g_free(text);
}

/* Whether an order is accepted; the agent may not have the catalogue yet. */
static bool
order_taken(struct fixture *w, unsigned int agent, uint64_t fencing,
    const char *weights)
{
	char *text = order(w, agent, fencing, weights);
	bool accepted = strcmp(text, "accepted") == 0;

	g_free(text);
	return accepted;
}

static bool
order_refused_as_old(struct fixture *w, unsigned int agent, uint64_t fencing)
{
	char *text = order(w, agent, fencing, "v4");
	bool old = strcmp(text, "the fencing token is old") == 0;

	g_free(text);
	return old;
}

/* Whether a string in a section of an agent's state dump has this value. */
static bool
agent_shows(struct fixture *w, unsigned int agent, const char *section,
    const char *name, const char *value)
{
	json_t *root = daemon_dump(w->rpc_port[agent]), *o;
	bool same;

	o = json_object_get(json_object_get(root, section), name);
	same = g_strcmp0(json_string_value(o), value) == 0;
	json_decref(root);
	return same;
}

/* An integer of an agent's state dump, or of a section of it. */
static json_int_t
agent_figure(struct fixture *w, unsigned int agent, const char *section,
    const char *name)
{
	json_t *root = daemon_dump(w->rpc_port[agent]), *o = root;
	json_int_t n;

	if (section != NULL)
		o = json_object_get(root, section);
	n = json_integer_value(json_object_get(o, name));
	json_decref(root);
	return n;
}

static bool
engine_serves(struct fixture *w, unsigned int engine, const char *weights)
{
	json_t *root = control_get(&w->backend[engine], "/v1/load");
	bool same;

	same = g_strcmp0(json_string_value(json_object_get(root, "weights")),
		   weights) == 0;
	json_decref(root);
	return same;
}

static bool
all_serve(struct fixture *w, const char *weights)
{
	unsigned int i;

	for (i = 0; i < w->engines; i++) {
		if (!engine_serves(w, i, weights))
			return false;
	}
	return true;
}

/* Guards against an agent that passes on an order of a former leader. */
static void
test_old_order(void **state)
{
	struct fixture *w = *state;

	store_delete(w, "models/small");
	await(agent_shows(w, 0, "engine", "weights", "v1"));
	await(order_taken(w, 0, 1010, "v5"));
	await(agent_shows(w, 0, "engine", "weights", "v5"));
	await(agent_shows(w, 0, "order", "state", "none"));
	check_order(w, 0, 1009, "v4", "the fencing token is old");
	assert_true(engine_serves(w, 0, "v5"));
	/* Other agents have not seen an order with a newer token. */
	await(order_taken(w, 1, 1009, "v4"));
	await(engine_serves(w, 1, "v4"));
}

/* The same after the agent has been restarted and has seen no order yet. */
static void
test_old_order_after_restart(void **state)
{
	struct fixture *w = *state;

	store_delete(w, "models/small");
	await(agent_shows(w, 0, "engine", "weights", "v1"));
	proc_kill(&w->agent[0]);
	proc_start(&w->agent[0]);
	await(agent_shows(w, 0, "engine", "weights", "v1"));
	await(agent_figure(w, 0, NULL, "catalogue_revision") > 1);
	await(order_refused_as_old(w, 0, 1));
	assert_true(engine_serves(w, 0, "v1"));
	await(order_taken(w, 0, 1010, "v5"));
	await(engine_serves(w, 0, "v5"));
}

/*
 * Guards against an order and the catalogue that undo each other's loads in
 * turn.
 */
static void
test_order_against_catalogue(void **state)
{
	struct fixture *w = *state;

	await(agent_shows(w, 0, "engine", "weights", "v1"));
	await(agent_figure(w, 0, NULL, "catalogue_revision") > 0);
	check_order(w, 0, 1010, "v5",
	    "the catalogue names other weights for the model");
	assert_true(engine_serves(w, 0, "v1"));
}

/* Guards against a load that interrupts a stream, or starts while one runs. */
static void
test_load_waits_for_streams(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	char *body = chat_body(QUESTION, TOKENS, true);
	struct call *c = chat_start(w, 0, body, NULL);
	unsigned int agent;

	await(call_event_count(c) > 10);
	agent = fixture_agent(w, call_header(c, "X-Worker"));
	check_order(w, agent, 1010, "v1", "accepted");
	check_order(w, agent, 1011, "v1", "another order is in progress");
	assert_true(agent_shows(w, agent, "order", "state", "draining"));
	/* New requests go to the other engines meanwhile. */
	assert_int_not_equal(chat_ok(w, 0, QUESTION), agent);
	call_join(c);
	check_stream(&c, 1, TOKENS, text);
	assert_int_equal(stream_workers(c), 1);
	await(agent_shows(w, agent, "order", "outcome", "loaded"));
	await(agent_shows(w, agent, "order", "state", "none"));
	call_free(c);
	g_free(body);
	g_free(text);
}

static bool
nothing_reserved(struct fixture *w)
{
	char *value = NULL;
	bool none;

	none = store_get(w, "rollout/montreal/small", &value) == 200 &&
	       strcmp(value, "{\"out\":[]}") == 0;
	g_free(value);
	return none;
}

/*
 * Guards against a rollout that causes refusals, does not complete or leaves a
 * reservation behind.
 */
static void
test_rollout(void **state)
{
	struct fixture *w = *state;

	chat_ok(w, 0, QUESTION);
	store_put(w, "models/small", "{\"name\":\"small\",\"weights\":\"v2\"}");
	while (!all_serve(w, "v2"))
		chat_ok(w, 0, QUESTION);
	await(nothing_reserved(w));
	chat_ok(w, 0, QUESTION);
}

/*
 * Guards against an agent that stops during a rollout and blocks the others or
 * interrupts its streams.
 */
static void
test_stop_while_draining(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, QUESTION, TOKENS);
	char *body = chat_body(QUESTION, TOKENS, true);
	struct call *c = chat_start(w, 0, body, NULL);
	unsigned int agent;

	await(call_event_count(c) > 1);
	agent = fixture_agent(w, call_header(c, "X-Worker"));
	/* A client that does not read keeps the stream running. */
	call_pause(c);
	store_put(w, "models/small", "{\"name\":\"small\",\"weights\":\"v2\"}");
	await(agent_shows(w, agent, "order", "state", "draining"));
	assert_false(nothing_reserved(w));
	proc_terminate(&w->agent[agent]);
	call_resume(c);
	call_join(c);
	check_stream(&c, 1, TOKENS, text);
	assert_int_equal(proc_join(&w->agent[agent]), 0);
	await(nothing_reserved(w));
	call_free(c);
	g_free(body);
	g_free(text);
}

/* Guards against taking the only available worker out of service. */
static void
test_last_worker_stays(void **state)
{
	struct fixture *w = *state;

	await(agent_figure(w, 0, "rollout", "stand_ins") == 2);
	w->listed[1] = false;
	w->listed[2] = false;
	proc_kill(&w->agent[1]);
	proc_kill(&w->agent[2]);
	fixture_publish_instances(w);
	await(agent_figure(w, 0, "rollout", "stand_ins") == 0);
	chat_ok(w, 0, QUESTION);
	store_put(w, "models/small", "{\"name\":\"small\",\"weights\":\"v2\"}");
	/* It waits until another worker is available to stand in. */
	await(agent_shows(w, 0, "rollout", "state", "waiting"));
	chat_ok(w, 0, QUESTION);
	assert_true(engine_serves(w, 0, "v1"));
	proc_start(&w->agent[1]);
	w->listed[1] = true;
	fixture_publish_instances(w);
	await(engine_serves(w, 0, "v2") && engine_serves(w, 1, "v2"));
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_old_order, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_old_order_after_restart, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_order_against_catalogue, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_load_waits_for_streams, setup, teardown),
    cmocka_unit_test_setup_teardown(test_rollout, setup, teardown),
    cmocka_unit_test_setup_teardown(test_stop_while_draining, setup, teardown),
    cmocka_unit_test_setup_teardown(test_last_worker_stays, setup, teardown),
};

HARNESS_MAIN(tests)
