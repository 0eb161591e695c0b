#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "soak/checker.h"

/*
 * Tests of the checks on quotas of organisations: they must report use above a
 * quota and refusals below it, and nothing that the rule allows. A quota of 10
 * a second and a burst of 10 allows (80 + 10) x 1.1 + 12 = 111 in a window.
 */

#define SEC JH_USEC_PER_SEC
#define START (100 * SEC)
#define CONTACT (4 * SEC)
#define ALLOWED 111
#define ALLOWED_LOWERED 61 /* (40 + 5) x 1.1 + 12, rounded down */

static const struct soak_bounds bounds = {.connected_after = CONTACT,
    .drain = 5 * SEC / 2,
    .response = SEC / 2,
    .cancel = SEC / 2,
    .order_grace = 3 * SEC / 10,
    .routers = 2,
    .workers = 3};

static const struct soak_quota quota = {"t1", 10, 10, 1};
static const struct soak_quota lowered = {"t1", 5, 5, 1};

static struct soak_checker *checker;
static unsigned int sent;
static char id[16]; /* of the last request */

static int
set_up(void **state)
{
	checker = soak_checker_create(&bounds);
	soak_checker_quota(checker, START - 20 * SEC, &quota);
	sent = 0;
	return 0;
}

static int
tear_down(void **state)
{
	soak_checker_destroy(checker);
	return 0;
}

static void
send(unsigned int router, uint64_t at)
{
	struct soak_request r = {.target = g_strdup("/x"),
	    .body = g_strdup("b"),
	    .method = "POST",
	    .org = "t1",
	    .model = "",
	    .cost = 1,
	    .kind = SOAK_IDEMPOTENT,
	    .permission = SOAK_ALLOWED,
	    .ever_allowed = true,
	    .router = router,
	    .sent = at,
	    .timeout = 30 * SEC};

	g_snprintf(id, sizeof(id), "r%u", ++sent);
	r.id = g_strdup(id);
	soak_checker_sent(checker, &r);
}

static void
execute(unsigned int worker, uint64_t at)
{
	struct soak_execution r = {.id = jh_str_from(id),
	    .method = JH_STR("POST"),
	    .target = JH_STR("/x"),
	    .body = JH_STR("b"),
	    .org = JH_STR("t1"),
	    .remaining_msec = 2900,
	    .worker = worker};

	soak_checker_execution_started(checker, at, &r);
}

static void
run(unsigned int n, uint64_t at)
{
	while (n-- > 0) {
		send(n % 2, at);
		execute(0, at);
	}
}

static void
refuse(uint64_t at)
{
	struct soak_response a = {.status = 429, .complete = true};

	send(0, at);
	soak_checker_responded(checker, at + SEC / 100, id, &a);
}

/* The time passes with both routers in touch with the store. */
static void
tick(uint64_t from, uint64_t until)
{
	for (; from < until; from += SOAK_TICK_USEC)
		soak_checker_tick(checker, from);
}

static void
expect(unsigned int n)
{
	const GPtrArray *faults = soak_checker_violations(checker);

	if (faults->len != n)
		fail_msg("%u faults: %s", faults->len,
		    faults->len > 0 ? (char *)g_ptr_array_index(faults, 0)
				    : "");
	if (n > 0 && strstr(g_ptr_array_index(faults, 0), "QUOTA") == NULL)
		fail_msg("%s", (char *)g_ptr_array_index(faults, 0));
}

static void
use_within_the_quota_is_accepted(void **state)
{
	run(ALLOWED, START);
	run(ALLOWED, START + SOAK_QUOTA_WINDOW_USEC);
	expect(0);
}

static void
use_above_the_quota_is_found(void **state)
{
	run(ALLOWED - 50, START);
	run(51, START + SOAK_QUOTA_WINDOW_USEC - 1);
	expect(1);
}

static void
other_organisations_are_not_judged(void **state)
{
	soak_checker_destroy(checker);
	checker = soak_checker_create(&bounds);
	run(2 * ALLOWED, START);
	expect(0);
}

/* Retries of a router are one request. */
static void
further_runs_do_not_count(void **state)
{
	run(ALLOWED, START);
	execute(1, START);
	expect(0);
}

/* A fault of the link to a worker delayed what its router admitted before. */
static void
delayed_requests_count_when_they_were_sent(void **state)
{
	unsigned int i;

	soak_checker_disturb_worker(checker, 1, START + 9 * SEC);
	for (i = 0; i < 60; i++) {
		send(0, START);
		execute(1, START + 9 * SEC);
	}
	run(60, START + 9 * SEC);
	expect(0);
	run(1, START + SEC);
	run(ALLOWED - 60, START + SEC);
	expect(1);
}

static void
lowered_limit_is_checked_when_in_force(void **state)
{
	uint64_t settled = START + CONTACT;

	soak_checker_quota(checker, START, &lowered);
	tick(START, settled + SEC);
	run(ALLOWED, settled + SOAK_QUOTA_WINDOW_USEC - 1);
	expect(0);
	run(ALLOWED_LOWERED, settled + 3 * SOAK_QUOTA_WINDOW_USEC);
	expect(0);
	run(1, settled + 3 * SOAK_QUOTA_WINDOW_USEC);
	expect(1);
}

static void
lowered_limit_waits_for_routers_out_of_touch(void **state)
{
	soak_checker_disturb_router(checker, 1, START + 60 * SEC, false);
	soak_checker_quota(checker, START, &lowered);
	tick(START, START + 30 * SEC);
	run(ALLOWED, START + 30 * SEC);
	expect(0);
}

static void
raised_limit_is_allowed_at_once(void **state)
{
	soak_checker_quota(checker, START - 10 * SEC, &lowered);
	tick(START - 10 * SEC, START);
	soak_checker_quota(checker, START, &quota);
	run(ALLOWED, START + 20 * SEC);
	expect(0);
}

static void
refusals_below_the_quota_are_found(void **state)
{
	run(6, START);
	refuse(START);
	expect(1);
}

static void
refusals_above_the_quota_are_accepted(void **state)
{
	run(8, START);
	refuse(START);
	expect(0);
}

/* A router alone has its part of the quota, here a half. */
static void
refusals_by_disturbed_routers_are_by_parts(void **state)
{
	soak_checker_disturb_router(checker, 1, START, false);
	run(3, START);
	refuse(START);
	expect(0);
	refuse(START + 20 * SEC);
	expect(1);
}

static void
routers_that_start_are_excused(void **state)
{
	soak_checker_interrupt_router(checker, 0, START);
	refuse(START + SEC);
	expect(0);
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    CASE(use_within_the_quota_is_accepted),
    CASE(use_above_the_quota_is_found),
    CASE(other_organisations_are_not_judged),
    CASE(further_runs_do_not_count),
    CASE(delayed_requests_count_when_they_were_sent),
    CASE(lowered_limit_is_checked_when_in_force),
    CASE(lowered_limit_waits_for_routers_out_of_touch),
    CASE(raised_limit_is_allowed_at_once),
    CASE(refusals_below_the_quota_are_found),
    CASE(refusals_above_the_quota_are_accepted),
    CASE(refusals_by_disturbed_routers_are_by_parts),
    CASE(routers_that_start_are_excused),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
