#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "soak/ledger.h"
#include "soak/plan.h"

/*
 * The checks of the soak themselves: each breach must be found, and what the
 * pages allow must not be.
 */

#define SEC JH_USEC_PER_SEC
#define START (100 * SEC)

static const struct soak_bounds bounds = {.contact = 4 * SEC,
    .drain = 5 * SEC / 2,
    .answer = SEC / 2,
    .stop = SEC / 2,
    .thaw = 3 * SEC / 10,
    .entries = 2,
    .workers = 3};

static struct soak_ledger *l;

static int
set_up(void **state)
{
	l = soak_ledger_create(&bounds);
	return 0;
}

static int
tear_down(void **state)
{
	soak_ledger_destroy(l);
	return 0;
}

static bool varies;

static void
set_varies(bool v)
{
	varies = v;
}

static void
send(const char *id, enum soak_kind kind, enum soak_right right)
{
	struct soak_request r = {.id = g_strdup(id),
	    .target = g_strdup("/x"),
	    .body = g_strdup("b"),
	    .method = "POST",
	    .tenant = "t1",
	    .model = "",
	    .kind = kind,
	    .right = right,
	    .varies = varies,
	    .key_ever = true,
	    .sent = START,
	    .timeout = 3 * SEC};

	soak_ledger_sent(l, &r);
}

static struct soak_run
run_of(const char *id)
{
	return (struct soak_run){.id = jh_str_from(id),
	    .method = JH_STR("POST"),
	    .target = JH_STR("/x"),
	    .body = JH_STR("b"),
	    .tenant = JH_STR("t1"),
	    .left_msec = 2900};
}

static void
run(const char *id, uint64_t at)
{
	struct soak_run r = run_of(id);

	soak_ledger_ran(l, at, &r);
}

static void
answer(const char *id, unsigned int status, const char *seal, const char *body)
{
	struct soak_answer a = {.status = status,
	    .id = jh_str_from(id),
	    .seal = jh_str_from(seal),
	    .body = jh_str_from(body),
	    .complete = true};

	soak_ledger_answered(l, START + SEC / 10, id, &a);
}

/* Checks that exactly one fault of the rule has been found. */
static void
expect(const char *rule)
{
	const GPtrArray *faults = soak_ledger_faults(l);

	if (faults->len != 1)
		fail_msg("%u faults", faults->len);
	if (strstr(g_ptr_array_index(faults, 0), rule) == NULL)
		fail_msg("not %s: %s", rule,
		    (const char *)g_ptr_array_index(faults, 0));
}

static void
expect_none(void)
{
	const GPtrArray *faults = soak_ledger_faults(l);

	if (faults->len != 0)
		fail_msg("%s", (const char *)g_ptr_array_index(faults, 0));
}

static void
good_requests_are_no_faults(void **state)
{
	char events[256] = "";
	int i;

	send("a", SOAK_ONCE, SOAK_ALLOWED);
	run("a", START);
	soak_ledger_ended(l, START + 10, JH_STR("a"));
	answer("a", 200, "w0.a", "done a");
	send("b", SOAK_AGAIN, SOAK_ALLOWED);
	run("b", START);
	run("b", START + 9);
	answer("b", 503, "", "");
	send("c", SOAK_STREAM, SOAK_ALLOWED);
	run("c", START);
	for (i = 1; i <= 6; i++)
		g_snprintf(events + strlen(events),
		    sizeof(events) - strlen(events), "id: %d\ndata: t%d\n\n", i,
		    i);
	answer("c", 200, "w1.c", events);
	send("d", SOAK_ONCE, SOAK_FORBIDDEN);
	answer("d", 404, "", "");
	soak_ledger_finish(l, START + 9 * SEC);
	expect_none();
	assert_int_equal(soak_ledger_totals(l).served, 2);
}

static void
second_run_is_found(void **state)
{
	send("a", SOAK_ONCE, SOAK_ALLOWED);
	run("a", START);
	run("a", START + 1);
	expect("TWICE");
}

static void
refusal_after_a_run_is_found(void **state)
{
	send("a", SOAK_ONCE, SOAK_ALLOWED);
	run("a", START);
	answer("a", 503, "", "");
	expect("REFUSED");
}

static void
run_after_a_refusal_is_found(void **state)
{
	send("a", SOAK_ONCE, SOAK_ALLOWED);
	answer("a", 429, "", "");
	run("a", START + SEC / 10);
	expect("REFUSED");
}

static void
foreign_answer_is_found(void **state)
{
	send("a", SOAK_ONCE, SOAK_ALLOWED);
	run("a", START);
	answer("a", 200, "w0.b", "done a");
	expect("MIXED");
}

static void
short_body_is_found(void **state)
{
	send("a", SOAK_ONCE, SOAK_ALLOWED);
	run("a", START);
	answer("a", 200, "w0.a", "do");
	expect("MIXED");
}

static void
missing_event_is_found(void **state)
{
	send("a", SOAK_STREAM, SOAK_ALLOWED);
	run("a", START);
	answer("a", 200, "w0.a", "id: 1\ndata: t1\n\nid: 3\ndata: t3\n\n");
	expect("ORDER");
}

static void
changed_request_is_found(void **state)
{
	struct soak_run r = run_of("a");

	send("a", SOAK_ONCE, SOAK_ALLOWED);
	r.body = JH_STR("c");
	soak_ledger_ran(l, START, &r);
	expect("UNASKED");
}

static void
passed_on_key_is_found(void **state)
{
	struct soak_run r = run_of("a");

	send("a", SOAK_ONCE, SOAK_ALLOWED);
	r.has_key = true;
	soak_ledger_ran(l, START, &r);
	expect("UNASKED");
}

static void
unknown_request_is_found(void **state)
{
	run("a", START);
	expect("UNASKED");
}

static void
longer_deadline_is_found(void **state)
{
	struct soak_run r = run_of("a");

	send("a", SOAK_AGAIN, SOAK_ALLOWED);
	soak_ledger_ran(l, START + SEC, &r);
	expect("BUDGET");
}

static void
withdrawn_route_is_found(void **state)
{
	send("a", SOAK_AGAIN, SOAK_FORBIDDEN);
	run("a", START);
	expect("CONFIG");
}

/*
 * Guards against a request that is judged by the configuration before the one
 * that came while it was on its way.
 */
static void
later_configuration_may_allow(void **state)
{
	send("b", SOAK_AGAIN, SOAK_FORBIDDEN);
	soak_ledger_configured(l, START + 1);
	run("b", START + 2);
	expect("CONFIG");
	set_varies(true);
	send("c", SOAK_AGAIN, SOAK_FORBIDDEN);
	soak_ledger_configured(l, START + 1);
	run("c", START + 2);
	expect("CONFIG");
	send("d", SOAK_AGAIN, SOAK_ALLOWED);
	answer("d", 404, "", "");
	expect("CONFIG");
	set_varies(false);
}

static void
denied_request_is_found(void **state)
{
	send("a", SOAK_AGAIN, SOAK_ALLOWED);
	answer("a", 401, "", "");
	expect("DENIED");
}

static void
held_request_is_found_unless_disturbed(void **state)
{
	send("a", SOAK_AGAIN, SOAK_ALLOWED);
	send("b", SOAK_AGAIN, SOAK_ALLOWED);
	soak_ledger_unanswered(l, START + 4 * SEC, "a");
	expect("CONFIG");
	soak_ledger_disturb_entry(l, 0, START + SEC, false);
	soak_ledger_unanswered(l, START + 4 * SEC, "b");
	expect("CONFIG");
}

static void
late_arrival_is_found(void **state)
{
	send("a", SOAK_AGAIN, SOAK_ALLOWED);
	soak_ledger_left(l, START, "a");
	run("a", START + SEC * 6 / 10);
	expect("GONE");
}

static void
leaving_worker_is_found(void **state)
{
	soak_ledger_draining(l, 0, START - 3 * SEC);
	send("a", SOAK_AGAIN, SOAK_ALLOWED);
	run("a", START);
	expect("DRAIN");
}

static void
lost_answers_are_found_past_three(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d"};
	unsigned int i;

	for (i = 0; i < 4; i++) {
		expect_none();
		send(ids[i], SOAK_ONCE, SOAK_ALLOWED);
		run(ids[i], START);
		soak_ledger_broken(l, START + 1, ids[i]);
	}
	expect("LOST");
}

static void
planned_stop_excuses_no_lost_answer(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d"};
	unsigned int i;

	soak_ledger_disturb_entry(l, 0, START, true);
	for (i = 0; i < 4; i++) {
		send(ids[i], SOAK_ONCE, SOAK_ALLOWED);
		run(ids[i], START);
		soak_ledger_broken(l, START + 1, ids[i]);
	}
	expect("LOST");
}

static void
two_holders_of_a_token_are_found(void **state)
{
	soak_ledger_order(l, START, 0, "h1", 5);
	soak_ledger_order(l, START, 1, "h1", 5);
	expect_none();
	soak_ledger_order(l, START, 2, "h2", 5);
	expect("ONE");
}

static void
lower_token_is_found(void **state)
{
	soak_ledger_order(l, START, 0, "h1", 5);
	soak_ledger_order(l, START, 0, "h2", 4);
	expect("ONE");
}

/* Guards against plans that differ between runs of one seed. */
static void
plan_follows_from_its_seed(void **state)
{
	GRand *a = g_rand_new_with_seed(9), *b = g_rand_new_with_seed(9);
	GArray *x = soak_plan_draw(a, 4, SEC, 20 * SEC);
	GArray *y = soak_plan_draw(b, 4, SEC, 20 * SEC);
	guint i;

	assert_int_equal(x->len, y->len);
	assert_true(x->len > 20);
	for (i = 0; i < x->len; i++) {
		const struct soak_fault *f =
		    &g_array_index(x, struct soak_fault, i);
		const struct soak_fault *g =
		    &g_array_index(y, struct soak_fault, i);
		assert_int_equal(f->kind, g->kind);
		assert_int_equal(f->at, g->at);
		assert_true(f->at >= SEC && f->until <= 20 * SEC);
	}
	g_array_free(x, TRUE);
	g_array_free(y, TRUE);
	g_rand_free(a);
	g_rand_free(b);
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    CASE(good_requests_are_no_faults),
    CASE(second_run_is_found),
    CASE(refusal_after_a_run_is_found),
    CASE(run_after_a_refusal_is_found),
    CASE(foreign_answer_is_found),
    CASE(short_body_is_found),
    CASE(missing_event_is_found),
    CASE(changed_request_is_found),
    CASE(passed_on_key_is_found),
    CASE(unknown_request_is_found),
    CASE(longer_deadline_is_found),
    CASE(withdrawn_route_is_found),
    CASE(later_configuration_may_allow),
    CASE(denied_request_is_found),
    CASE(held_request_is_found_unless_disturbed),
    CASE(late_arrival_is_found),
    CASE(leaving_worker_is_found),
    CASE(lost_answers_are_found_past_three),
    CASE(planned_stop_excuses_no_lost_answer),
    CASE(two_holders_of_a_token_are_found),
    CASE(lower_token_is_found),
    cmocka_unit_test(plan_follows_from_its_seed),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
