#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "platform_fixture.h"

/* Requests that repeat while all workers crash for another reason. */

#define ROUTERS 2
#define WORKERS 4
#define WORK_MSEC 40
#define RESTART_MSEC 1000
#define SOUND_REQUESTS 10
/* Crashes of all workers, one after the other. */
#define ALL_CRASHES 3

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
	    .worker = {.work_msec = WORK_MSEC,
		.begin_msec = 40,
		.event_msec = 20,
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

/* Starts the nth request, to a path that is idempotent. */
static struct call *
start_request(unsigned int n, const char *path, const char *part)
{
	char *id = g_strdup_printf("X-Jacinthhill-Attempt-Id: a%u", n);
	char *prefix =
	    g_strdup_printf("X-Jacinthhill-Prompt-Prefix: %s:90,c0:20", part);
	struct call_spec spec = {
	    .port = platform_router_at(p, n % ROUTERS)->port,
	    .path = path,
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Model: m1", "X-Jacinthhill-Token-Counts: 400,20",
		"X-Jacinthhill-Deadline-Milliseconds: 3000", id, prefix},
	    .body = "question",
	};
	struct call *c = call_start(&spec);

	g_ptr_array_add(calls, c);
	g_free(id);
	g_free(prefix);
	return c;
}

/* Guards against requests that are refused because all workers crashed. */
static void
crashes_of_all_workers_suspect_no_request(void **state)
{
	unsigned int crash, i, n = 0;
	struct call *c;

	for (crash = 0; crash < ALL_CRASHES; crash++) {
		for (i = 0; i < 2 * WORKERS; i++)
			start_request(n++, "/again/sound", "f1");
		g_usleep(WORK_MSEC / 2 * JH_USEC_PER_MSEC);
		platform_crash_workers(p);
		g_usleep(3 * RESTART_MSEC * JH_USEC_PER_MSEC);
	}
	for (i = 0; i < SOUND_REQUESTS; i++) {
		c = start_request(n++, "/again/sound", "f1");
		call_join(c);
		assert_int_equal(call_status(c), 200);
	}
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(
	crashes_of_all_workers_suspect_no_request, set_up, tear_down),
};

HARNESS_MAIN(tests)
