#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "soak/checker.h"
#include "soak/plan.h"

/*
 * Tests of the checks on a prompt part that crashes workers: they must report
 * each violation, and nothing that the platform's documents allow.
 */

#define SEC JH_USEC_PER_SEC
#define START (100 * SEC)
#define CONTACT (4 * SEC)
/* The fifth crash in most tests; BUDGET and LOST hold from later times. */
#define FIFTH (START + 4 * SEC)
#define BESIDE (FIFTH + 2 * CONTACT)
#define LAST_SENT (START + 20 * SEC)
#define OUTSIDE (LAST_SENT + 2 * CONTACT)
#define ENOUGH 20

static const struct soak_bounds bounds = {.connected_after = CONTACT,
    .drain = 5 * SEC / 2,
    .response = SEC / 2,
    .cancel = SEC / 2,
    .order_grace = 3 * SEC / 10,
    .routers = 2,
    .workers = 3};

/* What distinguishes the requests of a test. */
struct kind {
	const char *org, *first_part;
	bool crashes_workers;
	unsigned int router;
	const char *parts;
};

static const struct kind poison = {"t1", "a0", true, 0, NULL};
static const struct kind same_key = {"t1", "a1", false, 0, NULL};
static const struct kind same_part = {"t2", "a0", false, 0, NULL};
static const struct kind unrelated = {"t2", "a1", false, 0, NULL};
static const struct kind with_b1 = {"t1", "a0", false, 0, "a0:200,b1:80"};
static const struct kind with_b2 = {"t1", "a0", false, 0, "a0:200,b2:80"};

static struct soak_checker *checker;
static unsigned int sent;
static char id[16]; /* of the last request */

static int
set_up(void **state)
{
	checker = soak_checker_create(&bounds);
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
send(const struct kind *kind, uint64_t at)
{
	struct soak_request r = {.target = g_strdup("/x"),
	    .body = g_strdup("b"),
	    .method = "POST",
	    .org = kind->org,
	    .model = "",
	    .first_part = g_strdup(kind->first_part),
	    .parts = g_strdup(kind->parts),
	    .crashes_workers = kind->crashes_workers,
	    .kind = SOAK_STREAMING,
	    .permission = SOAK_ALLOWED,
	    .ever_allowed = true,
	    .router = kind->router,
	    .sent = at,
	    .timeout = 3 * SEC};

	g_snprintf(id, sizeof(id), "r%u", ++sent);
	r.id = g_strdup(id);
	soak_checker_sent(checker, &r);
}

static void
execute(const char *org, uint64_t at)
{
	struct soak_execution r = {.id = jh_str_from(id),
	    .method = JH_STR("POST"),
	    .target = JH_STR("/x"),
	    .body = JH_STR("b"),
	    .org = jh_str_from(org),
	    .remaining_msec = 2900};

	soak_checker_execution_started(checker, at, &r);
}

/* A request with the part reaches a worker. */
static void
run_poison(const struct kind *kind, uint64_t at)
{
	send(kind, at);
	execute(kind->org, at);
}

static void
run_poison_times(unsigned int n, uint64_t at)
{
	while (n-- > 0)
		run_poison(&poison, at);
}

/* Crashes, one each second, the last at the given time. */
static void
crash_times(unsigned int n, uint64_t last)
{
	while (n-- > 0)
		soak_checker_crashed_by_part(
		    checker, last - n * SEC, n % 3, last - n * SEC + SEC / 2);
}

/* A request whose client receives a whole stream, or an error. */
static void
end(const struct kind *kind, uint64_t at, bool served)
{
	static const char events[] = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
				     "id: 3\ndata: t3\n\nid: 4\ndata: t4\n\n"
				     "id: 5\ndata: t5\n\nid: 6\ndata: t6\n\n";
	char seal[32];
	struct soak_response a = {.status = 503, .complete = true};

	send(kind, at);
	a.id = jh_str_from(id);
	if (served) {
		execute(kind->org, at);
		g_snprintf(seal, sizeof(seal), "w0.%s", id);
		a.status = 200;
		a.seal = jh_str_from(seal);
		a.body = jh_str_from(events);
	}
	soak_checker_responded(checker, at + SEC / 10, id, &a);
}

static void
end_times(unsigned int n, const struct kind *kind, uint64_t at, bool served)
{
	while (n-- > 0)
		end(kind, at, served);
}

/* Requests with the part until LAST_SENT, of which workers crash five times. */
static void
poison_five(void)
{
	send(&poison, START);
	crash_times(5, FIFTH);
}

static void
poison_ends(void)
{
	send(&poison, LAST_SENT);
}

static void
expect_violation(const char *rule)
{
	const GPtrArray *faults = soak_checker_violations(checker);

	soak_checker_finish(checker, OUTSIDE + SEC);
	if (faults->len != 1)
		fail_msg("%u faults", faults->len);
	if (strstr(g_ptr_array_index(faults, 0), rule) == NULL)
		fail_msg("not %s: %s", rule,
		    (const char *)g_ptr_array_index(faults, 0));
}

static void
expect_no_violation(void)
{
	const GPtrArray *faults = soak_checker_violations(checker);

	soak_checker_finish(checker, OUTSIDE + SEC);
	if (faults->len != 0)
		fail_msg("%s", (const char *)g_ptr_array_index(faults, 0));
}

static void
late_requests_with_the_part_are_found(void **state)
{
	poison_five();
	run_poison_times(4, FIFTH + CONTACT + 1);
	expect_violation("BUDGET");
}

static void
late_repeats_are_found(void **state)
{
	unsigned int i;

	poison_five();
	send(&poison, FIFTH + CONTACT);
	for (i = 1; i <= 4; i++)
		execute(poison.org, FIFTH + CONTACT + i);
	expect_violation("BUDGET");
}

static void
later_crashes_move_no_bound(void **state)
{
	poison_five();
	crash_times(3, FIFTH + 3 * SEC);
	run_poison_times(4, FIFTH + CONTACT + 1);
	expect_violation("BUDGET");
}

static void
requests_within_the_bound_are_accepted(void **state)
{
	poison_five();
	run_poison_times(10, FIFTH + CONTACT);
	run_poison_times(3, FIFTH + CONTACT + 1);
	expect_no_violation();
}

static void
four_crashes_bound_no_requests(void **state)
{
	crash_times(4, FIFTH);
	run_poison_times(10, FIFTH + CONTACT + SEC);
	expect_no_violation();
}

static void
routers_out_of_touch_are_excused(void **state)
{
	struct kind other = poison;

	other.router = 1;
	poison_five();
	soak_checker_disturb_router(checker, 1, FIFTH + 3 * SEC, false);
	run_poison(&other, FIFTH + CONTACT + SEC);
	run_poison(&other, FIFTH + CONTACT + SEC);
	run_poison_times(2, FIFTH + CONTACT + SEC);
	expect_no_violation();
}

static void
routers_without_the_store_are_excused(void **state)
{
	poison_five();
	soak_checker_disturb_store(checker, FIFTH + 3 * SEC);
	run_poison_times(10, FIFTH + CONTACT + SEC);
	expect_no_violation();
}

/* The link may have held what arrives. */
static void
disturbed_links_are_excused(void **state)
{
	poison_five();
	soak_checker_disturb_worker(checker, 0, FIFTH + 3 * SEC);
	run_poison_times(10, FIFTH + CONTACT + SEC);
	expect_no_violation();
}

static void
unserved_sound_requests_are_found(void **state)
{
	poison_five();
	end_times(ENOUGH / 2 - 1, &same_key, BESIDE, true);
	end_times(ENOUGH / 2 + 1, &same_key, BESIDE, false);
	poison_ends();
	end_times(ENOUGH, &same_key, OUTSIDE, true);
	expect_violation("LOST");
}

static void
unserved_requests_with_the_same_first_part_are_found(void **state)
{
	poison_five();
	end_times(ENOUGH, &same_part, BESIDE, false);
	poison_ends();
	end_times(ENOUGH, &same_part, OUTSIDE, true);
	expect_violation("LOST");
}

static void
unserved_requests_with_one_part_are_found(void **state)
{
	poison_five();
	end_times(2 * ENOUGH, &with_b1, BESIDE, true);
	end_times(ENOUGH, &with_b2, BESIDE, false);
	poison_ends();
	end_times(ENOUGH, &with_b1, OUTSIDE, true);
	end_times(ENOUGH, &with_b2, OUTSIDE, true);
	expect_violation("LOST: 0 of 20 sound requests with b2:80");
}

static void
requests_with_each_part_are_served_often_enough(void **state)
{
	poison_five();
	end_times(ENOUGH, &with_b1, BESIDE, true);
	end_times(ENOUGH / 2, &with_b2, BESIDE, true);
	end_times(ENOUGH / 2, &with_b2, BESIDE, false);
	poison_ends();
	end_times(ENOUGH, &with_b1, OUTSIDE, true);
	end_times(ENOUGH, &with_b2, OUTSIDE, true);
	expect_no_violation();
}

static void
broken_and_silent_requests_are_found(void **state)
{
	unsigned int i;

	poison_five();
	for (i = 0; i < ENOUGH; i++) {
		send(&same_key, BESIDE);
		/* Later, they are also lost without the part. */
		soak_checker_broken(checker, BESIDE + SEC / 10, id);
	}
	poison_ends();
	end_times(ENOUGH, &same_key, OUTSIDE, true);
	expect_violation("LOST");
}

/* With fewer than five crashes, the time counts from the last. */
static void
unserved_requests_after_one_crash_are_found(void **state)
{
	send(&poison, START);
	crash_times(1, START);
	end_times(ENOUGH, &same_key, START + 2 * CONTACT, false);
	poison_ends();
	end_times(ENOUGH, &same_key, OUTSIDE, true);
	expect_violation("LOST");
}

static void
half_of_the_sound_requests_suffice(void **state)
{
	poison_five();
	end_times(ENOUGH, &same_key, BESIDE, true);
	end_times(ENOUGH, &same_key, BESIDE, false);
	poison_ends();
	end_times(ENOUGH, &same_key, OUTSIDE, true);
	expect_no_violation();
}

static void
early_and_late_requests_are_not_beside(void **state)
{
	poison_five();
	end_times(ENOUGH, &same_key, BESIDE - 1, false);
	poison_ends();
	end_times(ENOUGH, &same_key, LAST_SENT + 1, false);
	end_times(ENOUGH, &same_key, OUTSIDE, true);
	expect_no_violation();
}

static void
few_requests_are_not_judged(void **state)
{
	poison_five();
	end_times(ENOUGH - 1, &same_key, BESIDE, false);
	poison_ends();
	end_times(ENOUGH, &same_key, OUTSIDE, true);
	expect_no_violation();
}

static void
unrelated_requests_are_not_judged(void **state)
{
	poison_five();
	end_times(ENOUGH, &unrelated, BESIDE, false);
	poison_ends();
	end_times(ENOUGH, &unrelated, OUTSIDE, true);
	expect_no_violation();
}

static void
sound_requests_to_routers_out_of_touch_are_excused(void **state)
{
	struct kind other = same_key;

	other.router = 1;
	poison_five();
	soak_checker_disturb_router(checker, 1, BESIDE - CONTACT, false);
	end_times(ENOUGH, &other, BESIDE, false);
	poison_ends();
	end_times(ENOUGH, &other, OUTSIDE, true);
	expect_no_violation();
}

/* What a fault disturbs is no measure of what is served without the part. */
static void
disturbed_requests_are_no_measure(void **state)
{
	poison_five();
	end_times(ENOUGH, &same_key, BESIDE, false);
	poison_ends();
	soak_checker_disturb_worker(checker, 1, OUTSIDE - CONTACT);
	end_times(ENOUGH, &same_key, OUTSIDE, true);
	expect_no_violation();
}

/* A seed has the same other faults with and without the part. */
static void
plan_with_the_part_adds_one_fault(void **state)
{
	GRand *a = g_rand_new_with_seed(9), *b = g_rand_new_with_seed(9);
	GArray *x = soak_plan_draw(a, 4, SEC, 20 * SEC);
	GArray *y = soak_plan_draw(b, 4, SEC, 20 * SEC);
	guint i, j = 0;

	soak_plan_add_poison(y, b, SEC, 20 * SEC);
	assert_int_equal(y->len, x->len + 1);
	for (i = 0; i < y->len; i++) {
		const struct soak_fault *f =
		    &g_array_index(y, struct soak_fault, i);
		const struct soak_fault *g =
		    &g_array_index(x, struct soak_fault, MIN(j, x->len - 1));
		if (f->kind == FAULT_POISON_PART) {
			assert_true(f->at >= SEC && f->until > 20 * SEC);
			continue;
		}
		assert_int_equal(f->kind, g->kind);
		assert_int_equal(f->at, g->at);
		j++;
	}
	assert_int_equal(j, x->len);
	g_array_free(x, TRUE);
	g_array_free(y, TRUE);
	g_rand_free(a);
	g_rand_free(b);
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    CASE(late_requests_with_the_part_are_found),
    CASE(late_repeats_are_found),
    CASE(later_crashes_move_no_bound),
    CASE(requests_within_the_bound_are_accepted),
    CASE(four_crashes_bound_no_requests),
    CASE(routers_out_of_touch_are_excused),
    CASE(routers_without_the_store_are_excused),
    CASE(disturbed_links_are_excused),
    CASE(unserved_sound_requests_are_found),
    CASE(unserved_requests_with_the_same_first_part_are_found),
    CASE(unserved_requests_with_one_part_are_found),
    CASE(requests_with_each_part_are_served_often_enough),
    CASE(broken_and_silent_requests_are_found),
    CASE(unserved_requests_after_one_crash_are_found),
    CASE(half_of_the_sound_requests_suffice),
    CASE(early_and_late_requests_are_not_beside),
    CASE(few_requests_are_not_judged),
    CASE(unrelated_requests_are_not_judged),
    CASE(sound_requests_to_routers_out_of_touch_are_excused),
    CASE(disturbed_requests_are_no_measure),
    cmocka_unit_test(plan_with_the_part_adds_one_fault),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
