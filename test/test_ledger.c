#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "once/record.h"
#include "once_simulation.h"

#define SEEDS 10000
#define MUTANT_SEEDS 300

static struct jh_ledger *
new_ledger(const char *agent, uint64_t incarnation)
{
	struct jh_ledger_settings s = {JH_LEDGER_DEFAULTS,
	    .agent = jh_str_from(agent), .incarnation = incarnation};

	s.max_calls = 2;
	s.unwritten_bytes = 64;
	return jh_ledger_create(&s);
}

static void
attempt(struct jh_ledger *l, uint64_t now, uint64_t id, const char *key,
    const char *hash, bool first)
{
	struct jh_attempt a = {id, JH_STR("org"), jh_str_from(key),
	    jh_str_from(hash), first, now + 10 * JH_USEC_PER_SEC};

	jh_ledger_attempt(l, now, &a);
}

/* Takes the next action, which must be of this kind; copies its scalars. */
static struct jh_ledger_action
expect(struct jh_ledger *l, enum jh_ledger_act act)
{
	struct jh_ledger_action *a = jh_ledger_next(l), copy;

	assert_non_null(a);
	assert_int_equal(a->act, act);
	copy = *a;
	copy.object = copy.value = copy.agent = NULL;
	copy.response = NULL;
	jh_ledger_action_free(a);
	return copy;
}

static void
expect_reply(struct jh_ledger *l, uint64_t id, enum jh_ledger_outcome outcome)
{
	struct jh_ledger_action a = expect(l, JH_LEDGER_REPLY);

	assert_int_equal(a.attempt, id);
	assert_int_equal(a.outcome, outcome);
}

static void
store_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_store_result r, uint64_t version, const char *value)
{
	jh_ledger_store_result(l, now, op, r, version, jh_str_from(value));
}

/* Starts a call and advances it until it has been sent; returns the op. */
static uint64_t
sent_call(struct jh_ledger *l, uint64_t id, const char *key)
{
	attempt(l, 1, id, key, "h", true);
	store_result(
	    l, 1, expect(l, JH_LEDGER_CREATE).op, JH_STORE_OK, 1, NULL);
	return expect(l, JH_LEDGER_SEND).op;
}

static void
receive_response(struct jh_ledger *l, uint64_t op, size_t len)
{
	char *body = g_strnfill(len, 'x');
	struct jh_call_response *a = jh_call_response_create(
	    200, JH_STR(""), (struct jh_str){body, len});

	jh_ledger_backend_response(l, 2, op, a);
	jh_call_response_unref(a);
	g_free(body);
}

/*
 * Guards against a call that runs twice, a wrong "not run" and a response to
 * another request, in random interleavings of crashes, retries, store outages
 * and late results.
 */
static void
survives_random_interleavings(void **state)
{
	struct once_coverage coverage = {0};
	const char *violation;
	uint64_t seed;
	size_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		violation =
		    once_simulation_run(seed, ONCE_NO_MUTATION, &coverage);
		if (violation != NULL)
			fail_msg("seed %d: %s", (int)seed, violation);
	}
	print_message("done %u not kept %u not run %u unknown %u reused %u; "
		      "replaced %u late %u crashes %u\n",
	    coverage.outcome[0], coverage.outcome[1], coverage.outcome[2],
	    coverage.outcome[3], coverage.outcome[4], coverage.replaced,
	    coverage.late_writes, coverage.crashes);
	for (i = 0; i < G_N_ELEMENTS(coverage.outcome); i++)
		assert_true(i == JH_LEDGER_NOT_KEPT || coverage.outcome[i] > 0);
	assert_true(coverage.replaced > 0 && coverage.late_writes > 0);
	assert_true(coverage.crashes > 0);
}

/* Guards against a simulation whose checks cannot detect an error. */
static void
simulation_detects_every_mutant(void **state)
{
	struct once_coverage coverage;
	enum once_mutant m;
	uint64_t seed;
	int caught;

	for (m = ONCE_STORE_IGNORES_CONDITION; m <= ONCE_RESPONSES_ARE_SWAPPED;
	     m++) {
		caught = 0;
		for (seed = 1; seed <= MUTANT_SEEDS; seed++)
			caught +=
			    once_simulation_run(seed, m, &coverage) != NULL;
		print_message(
		    "mutant %d: detected by %d seeds\n", (int)m, caught);
		assert_true(caught > 0);
	}
}

/*
 * Guards against a call that runs under a nonce which was reported as
 * abandoned: the result of creating the record comes after the refusal.
 */
static void
abandoned_nonce_never_runs_after_late_create(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	struct jh_call_response *got;
	uint64_t op, now;

	attempt(l, 1, 1, "k", "h", true);
	op = expect(l, JH_LEDGER_CREATE).op;
	now = jh_ledger_due(l);
	jh_ledger_tick(l, now);
	expect_reply(l, 1, JH_LEDGER_NOT_RUN);
	assert_int_equal(
	    jh_ledger_nonce_state(l, (struct jh_nonce){7, 1}, &got),
	    JH_NONCE_ABANDONED);
	store_result(l, now, op, JH_STORE_OK, 1, NULL);
	assert_null(jh_ledger_next(l));
	assert_int_equal(jh_ledger_calls(l), 0);
	jh_ledger_destroy(l);
}

/* Guards against "not run" where an earlier attempt has perhaps run. */
static void
replies_not_run_only_to_first_attempt(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	struct jh_call_response *got;
	uint64_t op = sent_call(l, 1, "k");
	int i;

	jh_ledger_backend_failed(l, 1, op, false);
	expect_reply(l, 1, JH_LEDGER_NOT_RUN);
	/*
	 * An earlier attempt may wait at another agent, which has not queried
	 * the nonce yet.
	 */
	for (i = 0; i < 2; i++) {
		attempt(l, 1, 2, "k", "h", false);
		expect(l, JH_LEDGER_READ);
		jh_ledger_tick(l, 20 * JH_USEC_PER_SEC);
		expect_reply(l, 2, JH_LEDGER_UNKNOWN);
		assert_int_equal(
		    jh_ledger_nonce_state(l, (struct jh_nonce){7, 1}, &got),
		    JH_NONCE_ABANDONED);
	}
	jh_ledger_destroy(l);
}

static const char started_by_a[] =
    "{\"format\":1,\"state\":\"started\",\"agent\":\"a\","
    "\"incarnation\":\"0000000000000007\",\"seq\":\"0000000000000001\","
    "\"request\":\"h\"}";

/*
 * Guards against "not run" on the ground of an earlier reply, when a later
 * nonce was reported to another agent as abandoned.
 */
static void
earlier_not_run_is_void_after_a_later_nonce(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	struct jh_call_response *got;

	jh_ledger_backend_failed(l, 1, sent_call(l, 1, "k"), false);
	expect_reply(l, 1, JH_LEDGER_NOT_RUN);
	attempt(l, 1, 2, "k", "h", true);
	store_result(l, 1, expect(l, JH_LEDGER_CREATE).op, JH_STORE_CONFLICT, 1,
	    started_by_a);
	expect(l, JH_LEDGER_UPDATE);
	jh_ledger_attempt_cancel(l, 1, 2);
	assert_int_equal(
	    jh_ledger_nonce_state(l, (struct jh_nonce){7, 2}, &got),
	    JH_NONCE_ABANDONED);
	attempt(l, 2, 3, "k", "h", false);
	expect(l, JH_LEDGER_READ);
	jh_ledger_tick(l, 20 * JH_USEC_PER_SEC);
	expect_reply(l, 3, JH_LEDGER_UNKNOWN);
	jh_ledger_destroy(l);
}

/*
 * Guards against "not run" after the holder of the nonce has reported it as
 * abandoned, so that any agent may run the call.
 */
static void
foreign_record_overrides_first_attempt(void **state)
{
	struct jh_ledger *l = new_ledger("b", 8);

	attempt(l, 1, 1, "k", "h", true);
	store_result(l, 1, expect(l, JH_LEDGER_CREATE).op, JH_STORE_CONFLICT, 1,
	    started_by_a);
	jh_ledger_peer_result(
	    l, 1, expect(l, JH_LEDGER_QUERY).op, JH_NONCE_ABANDONED, NULL);
	expect(l, JH_LEDGER_UPDATE);
	jh_ledger_tick(l, 20 * JH_USEC_PER_SEC);
	expect_reply(l, 1, JH_LEDGER_UNKNOWN);
	jh_ledger_destroy(l);
}

/*
 * Guards against a caller without a reply and against unbounded memory while
 * the outcome cannot be written.
 */
static void
bounds_memory_during_outage(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	uint64_t op = sent_call(l, 1, "k");

	receive_response(l, op, 65); /* over unwritten_bytes */
	expect_reply(l, 1, JH_LEDGER_DONE);
	op = expect(l, JH_LEDGER_UPDATE).op;
	store_result(l, 2, op, JH_STORE_UNAVAILABLE, 0, NULL);
	attempt(l, 2, 2, "k", "h", false);
	expect_reply(l, 2, JH_LEDGER_NOT_KEPT);
	attempt(l, 2, 3, "k", "other", false);
	expect_reply(l, 3, JH_LEDGER_KEY_REUSED);
	attempt(l, 2, 4, "k2", "h", true);
	expect(l, JH_LEDGER_CREATE);
	attempt(l, 2, 5, "k3", "h", true);
	expect_reply(l, 5, JH_LEDGER_NOT_RUN);
	attempt(l, 2, 6, "k3", "h", false);
	expect_reply(l, 6, JH_LEDGER_UNKNOWN);
	assert_int_equal(jh_ledger_calls(l), 2);
	jh_ledger_destroy(l);
}

/* Guards against a flood of retries during a store outage. */
static void
tries_failed_store_once_per_call(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	uint64_t now = 1;
	int tries = 0;

	attempt(l, now, 1, "k", "h", true);
	while (jh_ledger_calls(l) > 0) {
		store_result(l, now, expect(l, JH_LEDGER_CREATE).op,
		    JH_STORE_UNAVAILABLE, 0, NULL);
		tries++;
		now = MIN(jh_ledger_due(l), now + 10 * JH_USEC_PER_SEC);
		jh_ledger_tick(l, now);
	}
	expect_reply(l, 1, JH_LEDGER_NOT_RUN);
	assert_true(tries > 1);
	attempt(l, now, 2, "k2", "h", true);
	store_result(l, now, expect(l, JH_LEDGER_CREATE).op,
	    JH_STORE_UNAVAILABLE, 0, NULL);
	expect_reply(l, 2, JH_LEDGER_NOT_RUN);
	attempt(l, now, 3, "k3", "h", true);
	store_result(
	    l, now, expect(l, JH_LEDGER_CREATE).op, JH_STORE_OK, 1, NULL);
	expect(l, JH_LEDGER_SEND);
	jh_ledger_destroy(l);
}

/*
 * Guards against a call that never ends because the result of writing its
 * outcome was lost, and against attempts with one key that run separately.
 */
static void
writes_outcome_until_stored(void **state)
{
	static const char done[] =
	    "{\"format\":1,\"state\":\"done\",\"agent\":\"a\","
	    "\"incarnation\":\"0000000000000007\","
	    "\"seq\":\"0000000000000001\",\"request\":\"h\",\"answer\":null}";
	struct jh_ledger *l = new_ledger("a", 7);
	uint64_t op = sent_call(l, 1, "k");

	attempt(l, 1, 2, "k", "h", false);
	assert_null(jh_ledger_next(l));
	receive_response(l, op, 10);
	expect_reply(l, 1, JH_LEDGER_DONE);
	expect_reply(l, 2, JH_LEDGER_DONE);
	op = expect(l, JH_LEDGER_UPDATE).op;
	store_result(l, 2, op, JH_STORE_UNKNOWN, 0, NULL);
	jh_ledger_tick(l, jh_ledger_due(l));
	op = expect(l, JH_LEDGER_UPDATE).op;
	store_result(l, 3, op, JH_STORE_CONFLICT, 2, done);
	assert_null(jh_ledger_next(l));
	assert_int_equal(jh_ledger_calls(l), 0);
	jh_ledger_destroy(l);
}

/* Guards against responses that change when stored in a record. */
static void
record_round_trips(void **state)
{
	static const struct jh_str bodies[] = {{"", 0},
	    {"caf\xc3\xa9 \"x\"", 9}, {"\xff\x00\x01", 3}, {"\n\n\n", 3},
	    {"a\0b", 3}};
	struct jh_record r = {.state = JH_RECORD_DONE,
	    .nonce = {UINT64_MAX, 1},
	    .agent = "10.0.0.1:7",
	    .request_hash = "h"};
	struct jh_record got;
	char *text;
	size_t i, len;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		r.response =
		    jh_call_response_create(201, JH_STR("t"), bodies[i]);
		text = jh_record_encode(&r, &len);
		assert_true(
		    jh_record_decode((struct jh_str){text, len}, &got, NULL));
		assert_true(
		    jh_str_eq(jh_call_response_body(got.response), bodies[i]));
		assert_int_equal(jh_call_response_status(got.response), 201);
		assert_true(got.nonce.incarnation == UINT64_MAX);
		jh_record_clear(&got);
		jh_call_response_unref(r.response);
		g_free(text);
	}
}

#define HEAD                                                          \
	"{\"format\":1,\"agent\":\"a\",\"seq\":\"0000000000000001\"," \
	"\"incarnation\":\"0000000000000007\",\"request\":\"h\","

/* Guards against running a call on the basis of a malformed record. */
static void
rejects_malformed_records(void **state)
{
	static const char *const texts[] = {
	    "",
	    "[]",
	    "{}",
	    "{\"format\":2}",
	    HEAD "\"state\":\"begun\"}",
	    HEAD "\"state\":\"done\"}",
	    HEAD "\"state\":\"started\",\"answer\":null}",
	    HEAD "\"state\":\"started\",\"more\":1}",
	    HEAD "\"state\":\"done\",\"answer\":{\"status\":200}}",
	    HEAD "\"state\":\"done\",\"answer\":{\"status\":99,\"type\":\"\","
		 "\"body\":\"\"}}",
	    HEAD "\"state\":\"done\",\"answer\":{\"status\":200,\"type\":\"\","
		 "\"body_base64\":\"a!bc\"}}",
	};
	struct jh_ledger *l = new_ledger("a", 7);
	struct jh_record r;
	GError *err;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		err = NULL;
		assert_false(jh_record_decode(jh_str_from(texts[i]), &r, &err));
		assert_true(g_error_matches(
		    err, JH_CALL_RECORD_ERROR, JH_CALL_RECORD_ERROR_INVALID));
		g_error_free(err);
	}
	attempt(l, 1, 1, "k", "h", true);
	store_result(
	    l, 1, expect(l, JH_LEDGER_CREATE).op, JH_STORE_CONFLICT, 1, "{}");
	expect_reply(l, 1, JH_LEDGER_UNKNOWN);
	jh_ledger_destroy(l);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(survives_random_interleavings),
	    cmocka_unit_test(simulation_detects_every_mutant),
	    cmocka_unit_test(abandoned_nonce_never_runs_after_late_create),
	    cmocka_unit_test(replies_not_run_only_to_first_attempt),
	    cmocka_unit_test(earlier_not_run_is_void_after_a_later_nonce),
	    cmocka_unit_test(foreign_record_overrides_first_attempt),
	    cmocka_unit_test(bounds_memory_during_outage),
	    cmocka_unit_test(tries_failed_store_once_per_call),
	    cmocka_unit_test(writes_outcome_until_stored),
	    cmocka_unit_test(record_round_trips),
	    cmocka_unit_test(rejects_malformed_records),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
