#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform_fixture.h"

/* Tests of a router that does not run for a while, with a signal. */

/* The worker responds in the pause; SHORT, a request's time, ends in it too. */
#define WORK_MSEC 400
#define PAUSE_MSEC 1200
#define LONG_PAUSE_MSEC 3000
#define DEADLINE "X-Jacinthhill-Deadline-Milliseconds: "
#define SHORT DEADLINE "900"
#define LONG DEADLINE "3000"
#define LONG_MSEC 3000
#define LONGEST DEADLINE "3900"
#define FIRST "X-Jacinthhill-Attempt-Id: a1"
#define SECOND "X-Jacinthhill-Attempt-Id: a2"
/* Start of a request, and the kernel's coarse time-stamps. */
#define MARGIN_MSEC 300

static struct platform *p;

static int
set_up(void **state)
{
	static const struct platform_spec spec = {
	    .routers = 1, .workers = 1, .worker = {.work_msec = WORK_MSEC}};

	p = platform_create(&spec);
	return 0;
}

static int
tear_down(void **state)
{
	platform_stop(p);
	return 0;
}

static struct call *
start_request(const char *path, const char *deadline, const char *id)
{
	struct call_spec spec = {
	    .port = platform_router(p)->port,
	    .path = path,
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Model: m1", "X-Jacinthhill-Token-Counts: 400,20",
		deadline, id},
	    .body = "question",
	};

	return call_start(&spec);
}

static void
pause_and_join(struct call *c, unsigned int msec)
{
	g_usleep(msec * JH_USEC_PER_MSEC);
	proc_thaw(platform_router(p));
	call_join(c);
}

/* Sends a request and pauses the router while the worker runs it. */
static struct call *
pause_beside_request(const char *path, const char *deadline, unsigned int msec)
{
	struct call *c = start_request(path, deadline, FIRST);

	await(platform_runs(p, 0) == 1);
	proc_freeze(platform_router(p));
	pause_and_join(c, msec);
	return c;
}

/* Sends a request to a paused router. */
static struct call *
pause_before_request(const char *deadline)
{
	struct call *c;

	proc_freeze(platform_router(p));
	c = start_request("/once/x", deadline, FIRST);
	pause_and_join(c, PAUSE_MSEC);
	return c;
}

/* Guards against a 504 in place of a response that is ready. */
static void
ready_response_is_passed_on_after_a_pause(void **state)
{
	struct call *c = pause_beside_request("/once/x", SHORT, PAUSE_MSEC);

	assert_int_equal(call_status(c), 200);
	call_free(c);
}

/* Guards against a worker that is handed more time than the client has left. */
static void
worker_gets_the_time_that_is_left_after_a_pause(void **state)
{
	struct call *c = pause_before_request(LONG);
	char *head = platform_last_head(p);
	const char *left;

	assert_int_equal(call_status(c), 200);
	assert_non_null(head);
	left = strstr(head, DEADLINE);
	assert_non_null(left);
	assert_in_range(atoi(left + strlen(DEADLINE)), 1,
	    LONG_MSEC - PAUSE_MSEC + MARGIN_MSEC);
	g_free(head);
	call_free(c);
}

/* Guards against running a request whose client has given up. */
static void
request_that_expired_in_a_pause_is_not_run(void **state)
{
	struct call *c = pause_before_request(SHORT);

	assert_int_equal(call_status(c), 503);
	assert_int_equal(platform_runs(p, 0), 0);
	call_free(c);
}

/* A slow worker responds to an earlier request in the pause only. */
#define SLOW_WORK_MSEC 2000
#define EARLIER_USEC (1000 * JH_USEC_PER_MSEC)
#define SILENT_PAUSE_USEC (1600 * JH_USEC_PER_MSEC)

static int
set_up_slow(void **state)
{
	static const struct platform_spec spec = {.routers = 1,
	    .workers = 1,
	    .worker = {.work_msec = SLOW_WORK_MSEC}};

	p = platform_create(&spec);
	return 0;
}

/*
 * Guards against a worker that counts as silent because what it sent to others
 * in the pause is not read yet.
 */
static void
worker_that_responded_in_a_pause_is_not_silent(void **state)
{
	struct call *earlier = start_request("/once/x", LONGEST, FIRST);
	struct call *c;

	await(platform_runs(p, 0) == 1);
	g_usleep(EARLIER_USEC);
	c = start_request("/stream/x", LONGEST, SECOND);
	await(platform_runs(p, 0) == 2);
	proc_freeze(platform_router(p));
	g_usleep(SILENT_PAUSE_USEC);
	proc_thaw(platform_router(p));
	call_join(c);
	call_join(earlier);
	assert_int_equal(call_status(earlier), 200);
	assert_int_equal(call_status(c), 200);
	assert_int_equal(platform_runs(p, 0), 2);
	call_free(c);
	call_free(earlier);
}

/*
 * Guards against taking a pause of the router for a busy worker: the first
 * event of a stream was read after the pause, and the next request was refused.
 */
static void
idle_worker_is_not_busy_after_a_pause(void **state)
{
	struct call *c =
	    pause_beside_request("/stream/x", LONGEST, LONG_PAUSE_MSEC);

	assert_int_equal(call_status(c), 200);
	call_free(c);
	c = start_request("/stream/x", LONGEST, FIRST);
	call_join(c);
	assert_int_equal(call_status(c), 200);
	call_free(c);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(
	ready_response_is_passed_on_after_a_pause, set_up, tear_down),
    cmocka_unit_test_setup_teardown(
	worker_gets_the_time_that_is_left_after_a_pause, set_up, tear_down),
    cmocka_unit_test_setup_teardown(
	request_that_expired_in_a_pause_is_not_run, set_up, tear_down),
    cmocka_unit_test_setup_teardown(
	worker_that_responded_in_a_pause_is_not_silent, set_up_slow, tear_down),
    cmocka_unit_test_setup_teardown(
	idle_worker_is_not_busy_after_a_pause, set_up, tear_down),
};

HARNESS_MAIN(tests)
