#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform_fixture.h"

/*
 * Three routers, and one organisation that asks for more than its quota through
 * all of them.
 */

#define ROUTERS 3
#define RATE 1000.0 /* tokens a second, and the burst */
#define COST 100.0
#define OVERSHOOT 1.1
#define LOAD_USEC (6 * JH_USEC_PER_SEC)
#define SPARE_SECONDS 1.0

static struct platform *p;

static unsigned int
count_runs(void)
{
	unsigned int n = 0, i;

	for (i = 0; i < PLATFORM_WORKERS; i++)
		n += platform_runs(p, i);
	return n;
}

static struct call *
ask(unsigned int router)
{
	struct call_spec spec = {
	    .port = platform_router_at(p, router)->port,
	    .path = "/again/x",
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Deadline-Milliseconds: 3000",
		"X-Jacinthhill-Attempt-Id: a1"},
	    .body = "question",
	};

	return call_run(&spec);
}

/* The status; *wait: seconds until a retry is admitted. */
static unsigned int
ask_status(unsigned int router, double *wait)
{
	struct call *c = ask(router);
	unsigned int status = call_status(c);
	const char *field = call_header(c, "Retry-After");

	*wait = field != NULL ? strtod(field, NULL) : 0;
	call_free(c);
	return status;
}

static int
set_up(void **state)
{
	static const struct platform_spec spec = {
	    .routers = ROUTERS, .workers = PLATFORM_WORKERS, .plain = true};
	json_t *config, *org, *first;
	unsigned int i;
	double wait;

	p = platform_create(&spec);
	first = platform_get(p, "config", "main");
	config = json_deep_copy(first);
	json_decref(first);
	org = json_array_get(json_object_get(config, "tenants"), 0);
	json_object_set_new(config, "version", json_integer(2));
	json_object_set_new(org, "unit", json_string("tokens"));
	json_object_set_new(org, "uncachedTokens", json_real(COST));
	json_object_set_new(org, "ratePerS", json_real(RATE));
	json_object_set_new(org, "burst", json_real(RATE));
	platform_put(p, "config", "main", config);
	for (i = 0; i < ROUTERS; i++)
		await(ask_status(i, &wait) == 429);
	return 0;
}

static int
tear_down(void **state)
{
	platform_stop(p);
	return 0;
}

/*
 * Guards against routers that together run more than the quota, and against a
 * Retry-After at which a retry is refused though nobody else asks.
 */
static void
quota_holds_over_all_routers(void **state)
{
	unsigned int before = count_runs(), runs, refused = 0, i = 0, status;
	uint64_t start = jh_now();
	double wait = 0, bound, longest = 0;

	while (jh_now() < start + LOAD_USEC) {
		status = ask_status(i++ % ROUTERS, &wait);
		assert_true(status == 200 || status == 429);
		refused += status == 429;
		if (status == 429)
			assert_true(wait > 0);
		longest = MAX(longest, wait);
	}
	runs = count_runs() - before;
	bound = (RATE * (double)(jh_now() - start) / 1e6 + RATE) * OVERSHOOT +
		COST * ROUTERS;
	print_message("%u run of %.0f, %u refused, longest wait %.2f s\n", runs,
	    bound / COST, refused, longest);
	assert_true(runs * COST <= bound);
	assert_true(runs > 0 && refused > 0);
	g_usleep((gulong)((longest + SPARE_SECONDS) * 1e6));
	for (i = 0; i < ROUTERS; i++)
		assert_int_equal(ask_status(i, &wait), 200);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(
	quota_holds_over_all_routers, set_up, tear_down),
};

HARNESS_MAIN(tests)
