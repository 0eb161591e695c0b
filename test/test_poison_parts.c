#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "platform_fixture.h"

/* contactMs, and the bounds of the rules BUDGET and LOST. */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define BUDGET_CRASHES 5
#define BUDGET_ARRIVALS 3
#define MIN_SOUND_SHARE 0.5

#define ROUTERS 2
#define WORKERS 4
#define RESTART_MSEC 1000
#define WORK_MSEC 20
#define BEGIN_MSEC 40
#define EVENT_MSEC 20

/* The first part of all prompts, and the one that crashes workers. */
#define FIRST_PART "f1"
#define CRASH_PART "bad"
/* Other parts that requests share: their IDs are from a hundred on. */
#define SHARED_PARTS 16

#define INTERVAL_USEC (50 * JH_USEC_PER_MSEC)
/* Poison requests for each sound one that is sent beside them. */
#define SOUND_INTERVAL 4
/* How long arrivals are counted, from CONTACT_USEC after the crashes. */
#define COUNT_USEC (3 * JH_USEC_PER_SEC)
#define SOUND_REQUESTS 30
#define RESTART_REQUESTS 10
#define ALL_CRASHES 3

static struct platform *p;
static GPtrArray *calls;
static unsigned int sent; /* makes requests different from each other */
static struct {
	unsigned int crashes;
	/* Time of the fifth, or the last one if there are fewer. */
	uint64_t last_crash;
	unsigned int arrivals; /* until CONTACT_USEC after that */
} seen;

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
		.begin_msec = BEGIN_MSEC,
		.event_msec = EVENT_MSEC,
		.crash_part = CRASH_PART,
		.restart_msec = RESTART_MSEC}};

	p = platform_create(&spec);
	calls = g_ptr_array_new_with_free_func(free_call);
	memset(&seen, 0, sizeof(seen));
	seen.last_crash = jh_now();
	return 0;
}

static int
tear_down(void **state)
{
	g_ptr_array_free(calls, TRUE);
	platform_stop(p);
	return 0;
}

/* Starts a request for a stream; calls owns it. */
static struct call *
start_stream(unsigned int router, const char *parts)
{
	unsigned int n = ++sent;
	char *path = g_strdup_printf("/stream/%x?q=%u", n * 2654435761U, n);
	char *id = g_strdup_printf("X-Jacinthhill-Attempt-Id: a%u", n);
	char *prefix = g_strdup_printf("X-Jacinthhill-Prompt-Prefix: %s,%x:%u",
	    parts, 0x10000 + n, 20 + n % 50);
	char *body = g_strdup_printf("question %u", n);
	struct call_spec spec = {
	    .port = platform_router_at(p, router)->port,
	    .path = path,
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Model: m1", "X-Jacinthhill-Token-Counts: 400,20",
		"X-Jacinthhill-Deadline-Milliseconds: 3000", id, prefix},
	    .body = body,
	};
	struct call *c = call_start(&spec);

	g_ptr_array_add(calls, c);
	g_free(path);
	g_free(id);
	g_free(prefix);
	g_free(body);
	return c;
}

static unsigned int
shared_part(unsigned int offset)
{
	return 0x100 + (sent + offset) % SHARED_PARTS;
}

/* The part that crashes workers is the second or the third of four. */
static void
send_poison(unsigned int router)
{
	char *parts =
	    sent % 3 == 0
		? g_strdup_printf(
		      FIRST_PART ":200," CRASH_PART ":90,%x:40", shared_part(5))
		: g_strdup_printf(FIRST_PART ":200,%x:40," CRASH_PART ":90",
		      shared_part(7));

	start_stream(router, parts);
	g_free(parts);
}

static struct call *
send_sound(unsigned int router)
{
	char *parts = g_strdup_printf(FIRST_PART ":200,%x:40", shared_part(3));
	struct call *c = start_stream(router, parts);

	g_free(parts);
	return c;
}

/* Waits until the next requests are due, and notes the crashes until then. */
static void
wait_interval(void)
{
	unsigned int crashes;

	g_usleep(INTERVAL_USEC);
	crashes = platform_crashes(p);
	if (crashes > seen.crashes && seen.crashes < BUDGET_CRASHES)
		seen.last_crash = jh_now();
	seen.crashes = crashes;
	if (jh_now() < seen.last_crash + CONTACT_USEC)
		seen.arrivals = platform_crash_arrivals(p);
}

/*
 * Sends poison requests, to the routers in turn, until this long after the
 * fifth crash, or the last one if there are fewer.
 */
static void
poison_until_after_crashes(uint64_t usec, bool with_sound)
{
	unsigned int i;

	for (i = 0; jh_now() < seen.last_crash + usec; i++) {
		send_poison(i % ROUTERS);
		if (with_sound && i % SOUND_INTERVAL == 0)
			send_sound(i / SOUND_INTERVAL % ROUTERS);
		wait_interval();
	}
	assert_int_not_equal(seen.crashes, 0);
}

static void
join_all(void)
{
	guint i;

	for (i = 0; i < calls->len; i++)
		call_join(g_ptr_array_index(calls, i));
}

static unsigned int
served(const GPtrArray *list)
{
	unsigned int n = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		call_join(g_ptr_array_index(list, i));
		if (call_status(g_ptr_array_index(list, i)) == 200)
			n++;
	}
	return n;
}

/* Guards against one part of a prompt that crashes one worker after another. */
static void
part_that_crashes_workers_is_stopped_fleet_wide(void **state)
{
	unsigned int late;

	poison_until_after_crashes(CONTACT_USEC + COUNT_USEC, true);
	join_all();
	late = platform_crash_arrivals(p) - seen.arrivals;
	print_message("%u crashes, %u requests with the part later\n",
	    platform_crashes(p), late);
	assert_in_range(late, 0, BUDGET_ARRIVALS);
}

/* Guards against refusing requests that only share other parts with it. */
static void
sound_requests_with_the_same_first_part_are_served(void **state)
{
	GPtrArray *sound = g_ptr_array_new();
	unsigned int i, n;

	poison_until_after_crashes(2 * CONTACT_USEC, false);
	for (i = 0; sound->len < SOUND_REQUESTS; i++) {
		send_poison(i % ROUTERS);
		if (i % ROUTERS == 0)
			g_ptr_array_add(
			    sound, send_sound(sound->len % ROUTERS));
		wait_interval();
	}
	n = served(sound);
	g_ptr_array_free(sound, TRUE);
	print_message("%u crashes, %u of %u sound requests served\n",
	    seen.crashes, n, SOUND_REQUESTS);
	assert_true(n >= MIN_SOUND_SHARE * SOUND_REQUESTS);
}

/* Guards against a router that starts and does not learn the part. */
static void
restarted_router_knows_the_part(void **state)
{
	struct proc *router = platform_router_at(p, 1);
	unsigned int arrivals, i;
	struct call *c;
	uint64_t until;

	poison_until_after_crashes(CONTACT_USEC, true);
	proc_kill(router);
	proc_start(router);
	platform_await_ready(p);
	for (until = jh_now() + CONTACT_USEC; jh_now() < until;) {
		send_poison(0);
		wait_interval();
	}
	join_all();
	/* All workers are up again. */
	g_usleep(2 * RESTART_MSEC * JH_USEC_PER_MSEC);
	arrivals = platform_crash_arrivals(p);
	for (i = 0; i < RESTART_REQUESTS; i++) {
		send_poison(1);
		wait_interval();
	}
	join_all();
	arrivals = platform_crash_arrivals(p) - arrivals;
	print_message(
	    "%u requests with the part after the restart\n", arrivals);
	assert_int_equal(arrivals, 0);
	c = send_sound(1);
	call_join(c);
	assert_int_equal(call_status(c), 200);
}

/*
 * Guards against parts that are suspected because all workers crash while
 * responses to requests with them have begun.
 */
static void
crashes_of_all_workers_suspect_nothing(void **state)
{
	char *id = g_strdup_printf("w0-%d", ALL_CRASHES + 1);
	GPtrArray *late = g_ptr_array_new();
	json_t *restarted;
	unsigned int i, crash, n;

	for (crash = 0; crash < ALL_CRASHES; crash++) {
		for (i = 0; i < 2 * WORKERS; i++)
			send_sound(i % ROUTERS);
		g_usleep((WORK_MSEC + BEGIN_MSEC / 2) * JH_USEC_PER_MSEC);
		platform_crash_workers(p);
		for (i = 0; i < 40; i++) {
			send_sound(i % ROUTERS);
			wait_interval();
		}
	}
	g_usleep(CONTACT_USEC);
	while (late->len < SOUND_REQUESTS) {
		g_ptr_array_add(late, send_sound(late->len % ROUTERS));
		wait_interval();
	}
	n = served(late);
	g_ptr_array_free(late, TRUE);
	restarted = platform_get(p, "servers", id);
	g_free(id);
	assert_non_null(restarted);
	json_decref(restarted);
	print_message("%u of %u requests served\n", n, SOUND_REQUESTS);
	assert_int_equal(n, SOUND_REQUESTS);
}

/*
 * Guards against suspecting a part because responses that are no streams are
 * cut off in their body by workers that go on.
 */
static void
truncated_bodies_suspect_nothing(void **state)
{
	static const char fields[] =
	    "Api-Key: k1\r\nX-Jacinthhill-Model: m1\r\n"
	    "X-Jacinthhill-Token-Counts: 400,20\r\n"
	    "X-Jacinthhill-Attempt-Id: t%u\r\n"
	    "X-Jacinthhill-Prompt-Prefix: %s:200,%x:20\r\n"
	    "Content-Length: 0\r\n";
	unsigned int i, w, status = 0;
	char *head, *answer;

	/* The last two are sent to sound workers; the first has another part.
	 */
	for (i = 0; i < 14; i++) {
		for (w = 0; w < WORKERS; w++)
			platform_set_mode(
			    p, w, i < 12 ? WORKER_TRUNCATES : WORKER_RESPONDS);
		head = g_strdup_printf(
		    fields, i, i == 12 ? "f8" : "f9", 0x20000 + i);
		answer = platform_ask(p, "POST", "/again/x", head);
		status = answer_status(answer);
		print_message("%u ", status);
		g_free(answer);
		g_free(head);
		g_usleep(150000);
	}
	print_message("\n");
	assert_int_equal(platform_crashes(p), 0);
	assert_int_equal(status, 200);
}

#define POISON_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    POISON_TEST(part_that_crashes_workers_is_stopped_fleet_wide),
    POISON_TEST(sound_requests_with_the_same_first_part_are_served),
    POISON_TEST(restarted_router_knows_the_part),
    POISON_TEST(crashes_of_all_workers_suspect_nothing),
    POISON_TEST(truncated_bodies_suspect_nothing),
};

HARNESS_MAIN(tests)
