#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

#define BODY "{\"amount\":900}"
#define FIRST "X-First-Attempt: true"

static int
setup(void **state)
{
	static const struct world_spec spec = {.entries = 2, .services = 3};

	*state = world_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	world_destroy(*state);
	return 0;
}

/* Sends a payment and waits for its end. */
static struct call *
pay(struct world *w, unsigned int entry, const char *key, const char *body,
    const char *header)
{
	struct call *c = pay_start(w, entry, key, body, header);

	call_join(c);
	return c;
}

static void
expect_receipt(struct world *w, unsigned int entry, const char *key)
{
	struct call *c = pay(w, entry, key, BODY, NULL);

	check_receipt(c, "run-1");
	call_free(c);
}

static void
expect_error(struct world *w, unsigned int entry, const char *key,
    unsigned int status, const char *code, const char *ran)
{
	struct call *c = pay(w, entry, key, BODY, NULL);

	check_error(c, status, code, ran);
	call_free(c);
}

/* Starts a payment whose service has run it and keeps the answer. */
static struct call *
start_held(struct world *w)
{
	struct call *c;

	services_set(w, "{\"hang\":true}");
	c = pay_start(w, 0, "order-1", BODY, NULL);
	await(service_runs(w) == 1);
	return c;
}

/* A payment that is sent again through another entry runs again. */
static void
test_sent_again(void **state)
{
	struct world *w = *state;

	expect_receipt(w, 0, "order-1");
	expect_receipt(w, 1, "order-1");
	expect_receipt(w, 0, "order-1");
	check_runs(w, 1);
}

/* A key that was used for one call gives the answer of that call to another. */
static void
test_key_reused(void **state)
{
	struct world *w = *state;
	struct call *c;

	expect_receipt(w, 0, "order-1");
	c = pay(w, 1, "order-1", "{\"amount\":1}", NULL);
	check_error(c, 422, "idempotency_key_reused", "not_run");
	call_free(c);
	check_runs(w, 1);
}

/* Two copies of a payment at the same time both run. */
static void
test_at_the_same_time(void **state)
{
	struct world *w = *state;
	struct call *a = start_held(w);
	struct call *b = pay_start(w, 1, "order-1", BODY, NULL);

	services_set(w, "{\"hang\":false}");
	check_receipt(a, "run-1");
	check_receipt(b, "run-1");
	check_runs(w, 1);
	call_free(a);
	call_free(b);
}

/* A payment whose entry died runs again when its caller repeats it. */
static void
test_entry_killed(void **state)
{
	struct world *w = *state;
	struct call *a = start_held(w), *b;

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
 * A payment runs again, or is reported as not run, when its agent died between
 * execution and answer.
 */
static void
test_agent_killed(void **state)
{
	struct world *w = *state;
	struct call *c = start_held(w);
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

/* A payment whose service broke off runs again, or counts as not run. */
static void
test_service_broke(void **state)
{
	struct world *w = *state;

	services_set(w, "{\"break_next\":true}");
	expect_error(w, 0, "order-1", 504, "outcome_unknown", "unknown");
	services_set(w, "{\"break_next\":false}");
	expect_error(w, 1, "order-1", 504, "outcome_unknown", "unknown");
	check_runs(w, 1);
}

/* A payment whose record's answer was lost runs twice, or never. */
static void
test_store_answer_lost(void **state)
{
	static const char *const faults[] = {
	    "{\"lose_next\":1}", "{\"lose_next\":2}", "{\"lose_next\":3}"};
	struct world *w = *state;
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

/* A refusal without the store is wrong about what ran, or lasts. */
static void
test_store_down(void **state)
{
	struct world *w = *state;
	struct call *c;

	control_set(&w->store, "{\"mode\":\"down\"}");
	c = pay(w, 0, "order-1", BODY, FIRST);
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

/* An answer is lost when the store fails while the payment runs. */
static void
test_store_down_while_running(void **state)
{
	struct world *w = *state;
	struct call *a = start_held(w);

	control_set(&w->store, "{\"mode\":\"down\"}");
	services_set(w, "{\"hang\":false}");
	check_receipt(a, "run-1");
	control_set(&w->store, "{\"mode\":\"up\"}");
	expect_receipt(w, 1, "order-1");
	check_runs(w, 1);
	call_free(a);
}

/* Whether the store has the outcome of the only call in it. */
static bool
outcome_is_stored(struct world *w)
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
 * A payment that ran is reported as not run because no agent could be asked,
 * or a payment that cannot have run is reported as unknown.
 */
static void
test_no_agent(void **state)
{
	struct world *w = *state;
	struct call *c;
	unsigned int i;

	expect_receipt(w, 0, "order-1");
	await(outcome_is_stored(w));
	for (i = 0; i < w->agents; i++)
		proc_kill(&w->agent[i]);
	expect_error(w, 1, "order-1", 503, "no_capacity", "unknown");
	c = pay(w, 1, "order-2", BODY, FIRST);
	check_error(c, 503, "no_capacity", "not_run");
	call_free(c);
	for (i = 0; i < w->agents; i++) {
		proc_start(&w->agent[i]);
		proc_await(&w->agent[i]);
	}
	expect_receipt(w, 1, "order-1");
	check_runs(w, 1);
}

/* The same when agents answer, but no service does: the record tells. */
static void
test_no_service(void **state)
{
	struct world *w = *state;
	unsigned int i;

	for (i = 0; i < w->agents; i++)
		proc_kill(&w->backend[i]);
	expect_error(w, 0, "order-1", 503, "no_capacity", "not_run");
	for (i = 0; i < w->agents; i++) {
		proc_start(&w->backend[i]);
		proc_await(&w->backend[i]);
		w->probed[i] = 0;
	}
	expect_receipt(w, 1, "order-1");
	check_runs(w, 1);
}

/* Waits until the entry daemon has the class, by a call that cannot run. */
static void
await_class(struct world *w, unsigned int entry, const char *class_name)
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

/* A payment of a paused agent runs again at another one. */
static void
test_agent_frozen(void **state)
{
	struct world *w = *state;
	struct call *a, *b;
	unsigned int used;

	put_pay_class(w, "pay-soon", 3000);
	await_class(w, 1, "pay-soon");
	a = start_held(w);
	used = service_used(w);
	proc_freeze(&w->agent[used]);
	services_set(w, "{\"hang\":false}");
	w->listed[used] = false;
	world_publish(w);
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
    cmocka_unit_test_setup_teardown(test_sent_again, setup, teardown),
    cmocka_unit_test_setup_teardown(test_key_reused, setup, teardown),
    cmocka_unit_test_setup_teardown(test_at_the_same_time, setup, teardown),
    cmocka_unit_test_setup_teardown(test_entry_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_agent_killed, setup, teardown),
    cmocka_unit_test_setup_teardown(test_service_broke, setup, teardown),
    cmocka_unit_test_setup_teardown(test_store_answer_lost, setup, teardown),
    cmocka_unit_test_setup_teardown(test_store_down, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_store_down_while_running, setup, teardown),
    cmocka_unit_test_setup_teardown(test_no_agent, setup, teardown),
    cmocka_unit_test_setup_teardown(test_no_service, setup, teardown),
    cmocka_unit_test_setup_teardown(test_agent_frozen, setup, teardown),
};

HARNESS_MAIN(tests)
