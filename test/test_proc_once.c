#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

#define BODY "{\"amount\":900}"
#define FIRST_ATTEMPT "X-First-Attempt: true"

static int
setup(void **state)
{
	static const struct fixture_spec spec = {.entries = 2, .services = 3};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

/* Sends a payment and waits for the response. */
static struct call *
pay(struct fixture *w, unsigned int entry, const char *key, const char *body,
    const char *header)
{
	struct call *c = pay_start(w, entry, key, body, header);

	call_join(c);
	return c;
}

static void
expect_receipt(struct fixture *w, unsigned int entry, const char *key)
{
	struct call *c = pay(w, entry, key, BODY, NULL);

	check_receipt(c, "run-1");
	call_free(c);
}

static void
expect_error(struct fixture *w, unsigned int entry, const char *key,
    unsigned int status, const char *code, const char *ran)
{
	struct call *c = pay(w, entry, key, BODY, NULL);

	check_error(c, status, code, ran);
	call_free(c);
}

/* Starts a payment that the service runs without responding yet. */
static struct call *
start_pending(struct fixture *w)
{
	struct call *c;

	services_set(w, "{\"hang\":true}");
	c = pay_start(w, 0, "order-1", BODY, NULL);
	await(service_runs(w) == 1);
	return c;
}

/* Guards against a second run of a payment retried at another entry daemon. */
static void
test_retry(void **state)
{
	struct fixture *w = *state;

	expect_receipt(w, 0, "order-1");
	expect_receipt(w, 1, "order-1");
	expect_receipt(w, 0, "order-1");
	check_runs(w, 1);
}

/* Guards against returning the first call's response when its key is reused. */
static void
test_key_reused(void **state)
{
	struct fixture *w = *state;
	struct call *c;

	expect_receipt(w, 0, "order-1");
	c = pay(w, 1, "order-1", "{\"amount\":1}", NULL);
	check_error(c, 422, "idempotency_key_reused", "not_run");
	call_free(c);
	check_runs(w, 1);
}

/* Guards against running two concurrent copies of a payment. */
static void
test_concurrent_copies(void **state)
{
	struct fixture *w = *state;
	struct call *a = start_pending(w);
	struct call *b = pay_start(w, 1, "order-1", BODY, NULL);

	services_set(w, "{\"hang\":false}");
	check_receipt(a, "run-1");
	check_receipt(b, "run-1");
	check_runs(w, 1);
	call_free(a);
	call_free(b);
}

/* Guards against a second run of a payment retried after its entry died. */
static void
test_entry_killed(void **state)
{
	struct fixture *w = *state;
	struct call *a = start_pending(w), *b;

	proc_kill(&w->entry[0]);
	call_join(a);
	assert_false(call_complete(a));
	b = pay_start(w, 1, "order-1", BODY, NULL);
	services_set(w, "{\"hang\":false}");
	check_receipt(b, "run-1");
	check_runs(w, 1);
	call_free(a);
	call_free(b);
}

/*
 * Guards against running a payment again, or reporting it as not run, after its
 * agent died between execution and response.
 */
static void
test_agent_killed(void **state)
{
	struct fixture *w = *state;
	struct call *c = start_pending(w);
	unsigned int used = service_used(w);

	proc_kill(&w->agent[used]);
	call_join(c);
	check_error(c, 504, "outcome_unknown", "unknown");
	call_free(c);
	services_set(w, "{\"hang\":false}");
	expect_error(w, 1, "order-1", 504, "outcome_unknown", "unknown");
	proc_start(&w->agent[used]);
	proc_await(&w->agent[used]);
	expect_error(w, 0, "order-1", 504, "outcome_unknown", "unknown");
	expect_error(w, 1, "order-1", 504, "outcome_unknown", "unknown");
	check_runs(w, 1);
}

/*
 * Guards against running a payment again, or reporting it as not run, after its
 * service closed the connection without a response.
 */
static void
test_service_breaks_connection(void **state)
{
	struct fixture *w = *state;

	services_set(w, "{\"break_next\":true}");
	expect_error(w, 0, "order-1", 504, "outcome_unknown", "unknown");
	services_set(w, "{\"break_next\":false}");
	expect_error(w, 1, "order-1", 504, "outcome_unknown", "unknown");
	check_runs(w, 1);
}

/*
 * Guards against a payment that runs twice, or never, when the store's response
 * to a write of its record is lost.
 */
static void
test_store_answer_lost(void **state)
{
	static const char *const faults[] = {
	    "{\"lose_next\":1}", "{\"lose_next\":2}", "{\"lose_next\":3}"};
	struct fixture *w = *state;
	char key[16], body[32];
	struct call *c;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		g_snprintf(key, sizeof(key), "order-%zu", i);
		g_snprintf(body, sizeof(body), "{\"amount\":%zu}", i);
		control_set(&w->store, faults[i]);
		c = pay(w, 0, key, body, NULL);
		check_receipt(c, "run-1");
		call_free(c);
		c = pay(w, 1, key, body, NULL);
		check_receipt(c, "run-1");
		call_free(c);
	}
	check_runs(w, (json_int_t)G_N_ELEMENTS(faults));
}

/*
 * Guards against refusals during a store outage that misstate whether the call
 * ran, and against refusals after the outage.
 */
static void
test_store_down(void **state)
{
	struct fixture *w = *state;
	struct call *c;

	control_set(&w->store, "{\"mode\":\"down\"}");
	c = pay(w, 0, "order-1", BODY, FIRST_ATTEMPT);
	check_error(c, 503, "store_unavailable", "not_run");
	call_free(c);
	c = pay(w, 0, "order-2", "{\"amount\":2}", NULL);
	check_error(c, 503, "store_unavailable", "unknown");
	call_free(c);
	check_runs(w, 0);
	control_set(&w->store, "{\"mode\":\"up\"}");
	expect_receipt(w, 1, "order-1");
	c = pay(w, 0, "order-2", "{\"amount\":2}", NULL);
	check_receipt(c, "run-1");
	call_free(c);
	check_runs(w, 2);
}

/*
 * Guards against losing a response when the store fails while the payment runs.
 */
static void
test_store_down_while_running(void **state)
{
	struct fixture *w = *state;
	struct call *a = start_pending(w);

	control_set(&w->store, "{\"mode\":\"down\"}");
	services_set(w, "{\"hang\":false}");
	check_receipt(a, "run-1");
	control_set(&w->store, "{\"mode\":\"up\"}");
	expect_receipt(w, 1, "order-1");
	check_runs(w, 1);
	call_free(a);
}

/* Whether the outcome of the only call is in the store. */
static bool
outcome_is_stored(struct fixture *w)
{
	struct call_spec spec = {.port = w->store.port,
	    .method = "GET",
	    .path = "/v1/list?prefix=calls/"};
	struct call *c = call_run(&spec);
	bool stored;

	assert_int_equal(call_status(c), 200);
	stored = strstr(call_body(c), "\\\"done\\\"") != NULL;
	call_free(c);
	return stored;
}

/*
 * Guards against reporting a payment that ran as not run because no agent could
 * be queried, and a payment that cannot have run as unknown.
 */
static void
test_no_agent(void **state)
{
	struct fixture *w = *state;
	struct call *c;
	unsigned int i;

	expect_receipt(w, 0, "order-1");
	await(outcome_is_stored(w));
	for (i = 0; i < w->agents; i++)
		proc_kill(&w->agent[i]);
	expect_error(w, 1, "order-1", 503, "no_capacity", "unknown");
	c = pay(w, 1, "order-2", BODY, FIRST_ATTEMPT);
	check_error(c, 503, "no_capacity", "not_run");
	call_free(c);
	for (i = 0; i < w->agents; i++) {
		proc_start(&w->agent[i]);
		proc_await(&w->agent[i]);
	}
	expect_receipt(w, 1, "order-1");
	check_runs(w, 1);
}

/*
 * The same when the agents respond, but no service does. The record does not
 * prove "not run": an earlier attempt may still wait at another agent.
 */
static void
test_no_service(void **state)
{
	struct fixture *w = *state;
	unsigned int i;

	for (i = 0; i < w->agents; i++)
		proc_kill(&w->backend[i]);
	expect_error(w, 0, "order-1", 504, "outcome_unknown", "unknown");
	for (i = 0; i < w->agents; i++) {
		proc_start(&w->backend[i]);
		proc_await(&w->backend[i]);
		w->probe_runs[i] = 0;
	}
	expect_receipt(w, 1, "order-1");
	check_runs(w, 1);
}

/* Waits until the entry daemon has the class, with a call that cannot run. */
static void
await_class(struct fixture *w, unsigned int entry, const char *class_name)
{
	char *line = g_strdup_printf("X-Class: %s", class_name);
	struct call_spec spec = {.port = w->entry[entry].port,
	    .path = "/v1/services/pay/charge",
	    .key = "key-alpha",
	    .headers = {line},
	    .body = BODY};
	struct call *c;
	unsigned int status;

	do {
		c = call_run(&spec);
		status = call_status(c);
		call_free(c);
	} while (status != 400);
	g_free(line);
}

/*
 * Guards against a second run, at another agent, of a paused agent's payment.
 */
static void
test_agent_frozen(void **state)
{
	struct fixture *w = *state;
	struct call *a, *b;
	unsigned int used;

	put_pay_class(w, "pay-soon", 3000);
	await_class(w, 1, "pay-soon");
	a = start_pending(w);
	used = service_used(w);
	proc_freeze(&w->agent[used]);
	services_set(w, "{\"hang\":false}");
	w->listed[used] = false;
	fixture_publish_instances(w);
	await(!entry_knows(w, 1, used));
	b = pay(w, 1, "order-1", BODY, "X-Class: pay-soon");
	check_error(b, 504, "outcome_unknown", "unknown");
	call_free(b);
	proc_thaw(&w->agent[used]);
	check_receipt(a, "run-1");
	expect_receipt(w, 1, "order-1");
	check_runs(w, 1);
	call_free(a);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_retry, setup, teardown),
    cmocka_unit_test_setup_teardown(test_key_reused, setup, teardown),
    cmocka_unit_test_setup_teardown(test_concurrent_copies, setup, teardown),
    cmocka_unit_test_setup_teardown(test_entry_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_agent_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_service_breaks_connection, setup, teardown),
    cmocka_unit_test_setup_teardown(test_store_answer_lost, setup, teardown),
    cmocka_unit_test_setup_teardown(test_store_down, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_store_down_while_running, setup, teardown),
    cmocka_unit_test_setup_teardown(test_no_agent, setup, teardown),
    cmocka_unit_test_setup_teardown(test_no_service, setup, teardown),
    cmocka_unit_test_setup_teardown(test_agent_frozen, setup, teardown),
};

HARNESS_MAIN(tests)
