#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "platform_fixture.h"

/*
 * A prompt part, or a request that is repeated, that crashes workers so early
 * that the response head is lost with the connection; test_poison_parts has
 * those that send it.
 */

/* contactMs, and the bounds of the rule BUDGET. */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define PART_CRASHES 5
#define REQUEST_CRASHES 3
#define BUDGET_ARRIVALS 3

#define ROUTERS 2
#define WORKERS 4
#define PART_WORK_MSEC 20
#define REQUEST_WORK_MSEC 40
#define RESTART_MSEC 1000
#define INTERVAL_USEC (50 * JH_USEC_PER_MSEC)
/* Poison requests for each sound one that is sent beside them. */
#define SOUND_INTERVAL 4
/* Sound requests after the repeated one. */
#define SOUND_REQUESTS 10
/* How long arrivals are counted, from CONTACT_USEC after the crashes. */
#define COUNT_USEC (3 * JH_USEC_PER_SEC)

static struct platform *p;
static GPtrArray *calls;
static unsigned int sent;

static void
free_call(gpointer c)
{
	call_free(c);
}

static void
create(unsigned int work_msec)
{
	const struct platform_spec spec = {.routers = ROUTERS,
	    .workers = WORKERS,
	    .worker = {.work_msec = work_msec,
		.begin_msec = 40,
		.event_msec = 20,
		.crash_part = "bad",
		.crash_headless = true,
		.restart_msec = RESTART_MSEC}};

	p = platform_create(&spec);
	calls = g_ptr_array_new_with_free_func(free_call);
	sent = 0;
}

static int
set_up_part(void **state)
{
	create(PART_WORK_MSEC);
	return 0;
}

static int
set_up_request(void **state)
{
	create(REQUEST_WORK_MSEC);
	return 0;
}

static int
tear_down(void **state)
{
	g_ptr_array_free(calls, TRUE);
	platform_stop(p);
	return 0;
}

static struct call *
start(const char *path, const char *prefix)
{
	char *id = g_strdup_printf("X-Jacinthhill-Attempt-Id: a%u", sent);
	struct call_spec spec = {
	    .port = platform_router_at(p, sent % ROUTERS)->port,
	    .path = path,
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Model: m1", "X-Jacinthhill-Token-Counts: 400,20",
		"X-Jacinthhill-Deadline-Milliseconds: 3000", id, prefix},
	    .body = "question",
	};
	struct call *c = call_start(&spec);

	g_ptr_array_add(calls, c);
	g_free(id);
	sent++;
	return c;
}

/* Starts a request for a stream; no two are alike. */
static void
start_stream(const char *part)
{
	char *path =
	    g_strdup_printf("/stream/%x?q=%u", sent * 2654435761U, sent);
	char *prefix =
	    g_strdup_printf("X-Jacinthhill-Prompt-Prefix: f1:200,%s:90,%x:20",
		part, 0x10000 + sent);

	start(path, prefix);
	g_free(path);
	g_free(prefix);
}

static void
start_streams(void)
{
	start_stream("bad");
	if (sent % SOUND_INTERVAL == 0)
		start_stream("c0ffee");
}

/* Starts the repeated request, to a path that is idempotent. */
static void
start_repeated(void)
{
	start("/again/poison", "X-Jacinthhill-Prompt-Prefix: bad:90,c0:20");
}

/*
 * Sends requests until all routers have to know the cause and arrivals were
 * counted after that; checks the arrivals.
 */
static void
check_late_arrivals(void (*send)(void), unsigned int known_crashes)
{
	uint64_t last_crash = jh_now();
	unsigned int crashes = 0, arrivals = 0, now;
	guint i;

	while (jh_now() < last_crash + CONTACT_USEC + COUNT_USEC) {
		send();
		g_usleep(INTERVAL_USEC);
		now = platform_crashes(p);
		if (now > crashes && crashes < known_crashes)
			last_crash = jh_now();
		crashes = now;
		if (jh_now() < last_crash + CONTACT_USEC)
			arrivals = platform_crash_arrivals(p);
	}
	for (i = 0; i < calls->len; i++)
		call_join(g_ptr_array_index(calls, i));
	arrivals = platform_crash_arrivals(p) - arrivals;
	print_message(
	    "%u crashes, %u arrivals later\n", platform_crashes(p), arrivals);
	assert_int_not_equal(crashes, 0);
	assert_in_range(arrivals, 0, BUDGET_ARRIVALS);
}

/* Guards against a part that only the attempts of each request bound. */
static void
part_that_crashes_before_the_head_is_stopped(void **state)
{
	check_late_arrivals(start_streams, PART_CRASHES);
}

/* Guards against a request that only the attempts of each repeat bound. */
static void
request_that_crashes_before_the_head_is_stopped(void **state)
{
	struct call *c;
	unsigned int i;

	check_late_arrivals(start_repeated, REQUEST_CRASHES);
	/* Sound ones are served. */
	g_usleep(2 * RESTART_MSEC * JH_USEC_PER_MSEC);
	for (i = 0; i < SOUND_REQUESTS; i++) {
		c = start(
		    "/again/sound", "X-Jacinthhill-Prompt-Prefix: f1:90,c0:20");
		call_join(c);
		assert_int_equal(call_status(c), 200);
	}
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(
	part_that_crashes_before_the_head_is_stopped, set_up_part, tear_down),
    cmocka_unit_test_setup_teardown(
	request_that_crashes_before_the_head_is_stopped, set_up_request,
	tear_down),
};

HARNESS_MAIN(tests)
