#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "platform_fixture.h"

/*
 * A prompt part that crashes workers so early that the response head is lost
 * with the connection; test_poison_parts has those that send it.
 */

/* contactMs, and the bound of the rule BUDGET. */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define BUDGET_CRASHES 5
#define BUDGET_ARRIVALS 3

#define ROUTERS 2
#define WORKERS 4
#define RESTART_MSEC 1000
#define INTERVAL_USEC (50 * JH_USEC_PER_MSEC)
/* Poison requests for each sound one that is sent beside them. */
#define SOUND_INTERVAL 4
/* How long arrivals are counted, from CONTACT_USEC after the crashes. */
#define COUNT_USEC (3 * JH_USEC_PER_SEC)

static struct platform *p;
static GPtrArray *calls;

static void
free_call(gpointer c)
{
	call_free(c);
}

static int
set_up(void **state)
{
	static const struct platform_spec spec = {.routers = ROUTERS,
	    .workers = WORKERS,
	    .worker = {.work_msec = 20,
		.begin_msec = 40,
		.event_msec = 20,
		.crash_part = "bad",
		.crash_headless = true,
		.restart_msec = RESTART_MSEC}};

	p = platform_create(&spec);
	calls = g_ptr_array_new_with_free_func(free_call);
	return 0;
}

static int
tear_down(void **state)
{
	g_ptr_array_free(calls, TRUE);
	platform_stop(p);
	return 0;
}

/* Starts the nth request for a stream; no two are alike. */
static void
start_stream(unsigned int n, const char *part)
{
	char *path = g_strdup_printf("/stream/%x?q=%u", n * 2654435761U, n);
	char *id = g_strdup_printf("X-Jacinthhill-Attempt-Id: a%u", n);
	char *prefix =
	    g_strdup_printf("X-Jacinthhill-Prompt-Prefix: f1:200,%s:90,%x:20",
		part, 0x10000 + n);
	struct call_spec spec = {
	    .port = platform_router_at(p, n % ROUTERS)->port,
	    .path = path,
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Model: m1", "X-Jacinthhill-Token-Counts: 400,20",
		"X-Jacinthhill-Deadline-Milliseconds: 3000", id, prefix},
	    .body = "question",
	};

	g_ptr_array_add(calls, call_start(&spec));
	g_free(path);
	g_free(id);
	g_free(prefix);
}

/* Guards against a part that only the attempts of each request bound. */
static void
part_that_crashes_before_the_head_is_stopped(void **state)
{
	uint64_t last_crash = jh_now();
	unsigned int crashes = 0, arrivals = 0, now, n = 0;
	guint i;

	while (jh_now() < last_crash + CONTACT_USEC + COUNT_USEC) {
		start_stream(n, "bad");
		n++;
		if (n % SOUND_INTERVAL == 0)
			start_stream(n++, "c0ffee");
		g_usleep(INTERVAL_USEC);
		now = platform_crashes(p);
		if (now > crashes && crashes < BUDGET_CRASHES)
			last_crash = jh_now();
		crashes = now;
		if (jh_now() < last_crash + CONTACT_USEC)
			arrivals = platform_crash_arrivals(p);
	}
	for (i = 0; i < calls->len; i++)
		call_join(g_ptr_array_index(calls, i));
	arrivals = platform_crash_arrivals(p) - arrivals;
	print_message("%u crashes, %u requests with the part later\n",
	    platform_crashes(p), arrivals);
	assert_int_not_equal(crashes, 0);
	assert_in_range(arrivals, 0, BUDGET_ARRIVALS);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(
	part_that_crashes_before_the_head_is_stopped, set_up, tear_down),
};

HARNESS_MAIN(tests)
