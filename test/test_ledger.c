#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "once/record.h"
#include "once_world.h"

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

/* Takes the next action, which must be of this kind. */
static struct jh_ledger_action
expect(struct jh_ledger *l, enum jh_ledger_act act)
{
	struct jh_ledger_action *a = jh_ledger_next(l), copy;

	assert_non_null(a);
	assert_int_equal(a->act, act);
	copy = *a;
	copy.object = copy.value = copy.agent = NULL;
	copy.answer = NULL;
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
store(struct jh_ledger *l, uint64_t now, uint64_t op, enum jh_store_result r,
    uint64_t version, const char *value)
{
	jh_ledger_store_result(l, now, op, r, version, jh_str_from(value));
}

/* Begins a call and brings it to the point where it has been sent. */
static uint64_t
sent_call(struct jh_ledger *l, uint64_t id, const char *key)
{
	attempt(l, 1, id, key, "h", true);
	store(l, 1, expect(l, JH_LEDGER_CREATE).op, JH_STORE_OK, 1, NULL);
	return expect(l, JH_LEDGER_SEND).op;
}

static void
answer(struct jh_ledger *l, uint64_t op, size_t len)
{
	char *body = g_strnfill(len, 'x');
	struct jh_call_answer *a =
	    jh_call_answer_create(200, JH_STR(""), (struct jh_str){body, len});

	jh_ledger_server_answer(l, 2, op, a);
	jh_call_answer_unref(a);
	g_free(body);
}

/* Guards against a second execution, a false "not run" and crossed answers
 * in any interleaving of crashes, retries, outages and late answers. */
static void
survives_random_interleavings(void **state)
{
	struct once_seen seen = {0};
	const char *fault;
	uint64_t seed;
	size_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		fault = once_world_run(seed, ONCE_SOUND, &seen);
		if (fault != NULL)
			fail_msg("seed %d: %s", (int)seed, fault);
	}
	print_message("done %u not kept %u not run %u unknown %u reused %u; "
		      "replaced %u late %u crashes %u\n",
	    seen.outcome[0], seen.outcome[1], seen.outcome[2], seen.outcome[3],
	    seen.outcome[4], seen.replaced, seen.late_writes, seen.crashes);
	for (i = 0; i < G_N_ELEMENTS(seen.outcome); i++)
		assert_true(i == JH_LEDGER_NOT_KEPT || seen.outcome[i] > 0);
	assert_true(seen.replaced > 0 && seen.late_writes > 0);
	assert_true(seen.crashes > 0);
}

/* Guards against an exploration that could not notice a fault. */
static void
exploration_notices_every_mutant(void **state)
{
	struct once_seen seen;
	enum once_mutant m;
	uint64_t seed;
	int caught;

	for (m = ONCE_STORE_IGNORES_CONDITION; m <= ONCE_ANSWERS_ARE_CROSSED;
	     m++) {
		caught = 0;
		for (seed = 1; seed <= MUTANT_SEEDS; seed++)
			caught += once_world_run(seed, m, &seen) != NULL;
		print_message(
		    "mutant %d: noticed by %d seeds\n", (int)m, caught);
		assert_true(caught > 0);
	}
}

/* Guards against a promise that a late store answer breaks. */
static void
keeps_abandoned_promise_after_late_create(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	struct jh_call_answer *got;
	uint64_t op, now;

	attempt(l, 1, 1, "k", "h", true);
	op = expect(l, JH_LEDGER_CREATE).op;
	now = jh_ledger_due(l);
	jh_ledger_tick(l, now);
	expect_reply(l, 1, JH_LEDGER_NOT_RUN);
	assert_int_equal(jh_ledger_asked(l, (struct jh_nonce){7, 1}, &got),
	    JH_NONCE_ABANDONED);
	store(l, now, op, JH_STORE_OK, 1, NULL);
	assert_null(jh_ledger_next(l));
	assert_int_equal(jh_ledger_calls(l), 0);
	jh_ledger_destroy(l);
}

/* Guards against "not run" where an earlier attempt may have run. */
static void
says_not_run_only_with_proof(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	struct jh_call_answer *got;
	uint64_t op = sent_call(l, 1, "k");
	int i;

	jh_ledger_server_broke(l, 1, op, false);
	expect_reply(l, 1, JH_LEDGER_NOT_RUN);
	/* An earlier attempt may wait at another agent, which has not asked
	 * yet. */
	for (i = 0; i < 2; i++) {
		attempt(l, 1, 2, "k", "h", false);
		expect(l, JH_LEDGER_READ);
		jh_ledger_tick(l, 20 * JH_USEC_PER_SEC);
		expect_reply(l, 2, JH_LEDGER_UNKNOWN);
		assert_int_equal(
		    jh_ledger_asked(l, (struct jh_nonce){7, 1}, &got),
		    JH_NONCE_ABANDONED);
	}
	jh_ledger_destroy(l);
}

static const char started_by_a[] =
    "{\"format\":1,\"state\":\"started\",\"agent\":\"a\","
    "\"incarnation\":\"0000000000000007\",\"seq\":\"0000000000000001\","
    "\"request\":\"h\"}";

/* Guards against the proof outliving a later nonce that was disclosed. */
static void
proof_ends_with_a_later_nonce(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	struct jh_call_answer *got;

	jh_ledger_server_broke(l, 1, sent_call(l, 1, "k"), false);
	expect_reply(l, 1, JH_LEDGER_NOT_RUN);
	attempt(l, 1, 2, "k", "h", true);
	store(l, 1, expect(l, JH_LEDGER_CREATE).op, JH_STORE_CONFLICT, 1,
	    started_by_a);
	expect(l, JH_LEDGER_UPDATE);
	jh_ledger_attempt_left(l, 1, 2);
	assert_int_equal(jh_ledger_asked(l, (struct jh_nonce){7, 2}, &got),
	    JH_NONCE_ABANDONED);
	attempt(l, 2, 3, "k", "h", false);
	expect(l, JH_LEDGER_READ);
	jh_ledger_tick(l, 20 * JH_USEC_PER_SEC);
	expect_reply(l, 3, JH_LEDGER_UNKNOWN);
	jh_ledger_destroy(l);
}

/* Guards against "not run" after the holder has let others run the call. */
static void
foreign_record_voids_first_mark(void **state)
{
	struct jh_ledger *l = new_ledger("b", 8);

	attempt(l, 1, 1, "k", "h", true);
	store(l, 1, expect(l, JH_LEDGER_CREATE).op, JH_STORE_CONFLICT, 1,
	    started_by_a);
	jh_ledger_peer_result(
	    l, 1, expect(l, JH_LEDGER_ASK).op, JH_NONCE_ABANDONED, NULL);
	expect(l, JH_LEDGER_UPDATE);
	jh_ledger_tick(l, 20 * JH_USEC_PER_SEC);
	expect_reply(l, 1, JH_LEDGER_UNKNOWN);
	jh_ledger_destroy(l);
}

/* Guards against a caller left without an answer, or the table growing,
 * while the outcome cannot be written. */
static void
bounds_memory_during_outage(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	uint64_t op = sent_call(l, 1, "k");

	answer(l, op, 65); /* over unwritten_bytes */
	expect_reply(l, 1, JH_LEDGER_DONE);
	op = expect(l, JH_LEDGER_UPDATE).op;
	store(l, 2, op, JH_STORE_UNAVAILABLE, 0, NULL);
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

/* Guards against a store in an outage flooded with retries. */
static void
tries_failed_store_once_a_call(void **state)
{
	struct jh_ledger *l = new_ledger("a", 7);
	uint64_t now = 1;
	int tries = 0;

	attempt(l, now, 1, "k", "h", true);
	while (jh_ledger_calls(l) > 0) {
		store(l, now, expect(l, JH_LEDGER_CREATE).op,
		    JH_STORE_UNAVAILABLE, 0, NULL);
		tries++;
		now = MIN(jh_ledger_due(l), now + 10 * JH_USEC_PER_SEC);
		jh_ledger_tick(l, now);
	}
	expect_reply(l, 1, JH_LEDGER_NOT_RUN);
	assert_true(tries > 1);
	attempt(l, now, 2, "k2", "h", true);
	store(l, now, expect(l, JH_LEDGER_CREATE).op, JH_STORE_UNAVAILABLE, 0,
	    NULL);
	expect_reply(l, 2, JH_LEDGER_NOT_RUN);
	attempt(l, now, 3, "k3", "h", true);
	store(l, now, expect(l, JH_LEDGER_CREATE).op, JH_STORE_OK, 1, NULL);
	expect(l, JH_LEDGER_SEND);
	jh_ledger_destroy(l);
}

/* Guards against a lost answer of the outcome write leaving the call held,
 * and against attempts for one key running apart. */
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
	answer(l, op, 10);
	expect_reply(l, 1, JH_LEDGER_DONE);
	expect_reply(l, 2, JH_LEDGER_DONE);
	op = expect(l, JH_LEDGER_UPDATE).op;
	store(l, 2, op, JH_STORE_UNKNOWN, 0, NULL);
	jh_ledger_tick(l, jh_ledger_due(l));
	op = expect(l, JH_LEDGER_UPDATE).op;
	store(l, 3, op, JH_STORE_CONFLICT, 2, done);
	assert_null(jh_ledger_next(l));
	assert_int_equal(jh_ledger_calls(l), 0);
	jh_ledger_destroy(l);
}

/* Guards against answers that change on their way through the record. */
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
		r.response = jh_call_answer_create(201, JH_STR("t"), bodies[i]);
		text = jh_record_encode(&r, &len);
		assert_true(
		    jh_record_decode((struct jh_str){text, len}, &got, NULL));
		assert_true(
		    jh_str_eq(jh_call_answer_body(got.response), bodies[i]));
		assert_int_equal(jh_call_answer_status(got.response), 201);
		assert_true(got.nonce.incarnation == UINT64_MAX);
		jh_record_clear(&got);
		jh_call_answer_unref(r.response);
		g_free(text);
	}
}

#define HEAD                                                          \
	"{\"format\":1,\"agent\":\"a\",\"seq\":\"0000000000000001\"," \
	"\"incarnation\":\"0000000000000007\",\"request\":\"h\","

/* Guards against running a call on the strength of a damaged record. */
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
	store(l, 1, expect(l, JH_LEDGER_CREATE).op, JH_STORE_CONFLICT, 1, "{}");
	expect_reply(l, 1, JH_LEDGER_UNKNOWN);
	jh_ledger_destroy(l);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(survives_random_interleavings),
	    cmocka_unit_test(exploration_notices_every_mutant),
	    cmocka_unit_test(keeps_abandoned_promise_after_late_create),
	    cmocka_unit_test(says_not_run_only_with_proof),
	    cmocka_unit_test(proof_ends_with_a_later_nonce),
	    cmocka_unit_test(foreign_record_voids_first_mark),
	    cmocka_unit_test(bounds_memory_during_outage),
	    cmocka_unit_test(tries_failed_store_once_a_call),
	    cmocka_unit_test(writes_outcome_until_stored),
	    cmocka_unit_test(record_round_trips),
	    cmocka_unit_test(rejects_malformed_records),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
