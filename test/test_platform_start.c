#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "platform_fixture.h"

/*
 * Tests of a router that starts, or is paused, while its worker has outdated
 * weights because the leader gives no orders.
 */

/* From this time after its start a router counts as connected. */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
/* Outdated weights are not to be used later than this. */
#define LIMIT_USEC (8 * JH_USEC_PER_SEC)

#define FIELDS                                   \
	"X-Jacinthhill-Attempt-Id: a1\r\n"       \
	"X-Jacinthhill-Model: m1\r\n"            \
	"X-Jacinthhill-Token-Counts: 100,10\r\n" \
	"Api-Key: k1\r\n"

struct leader {
	struct platform *platform;
	GThread *thread;
	gint stops;
};

/* Renews the lease of a leader that does nothing else. */
static void *
renew(void *arg)
{
	struct leader *l = arg;
	int term;

	for (term = 1; !g_atomic_int_get(&l->stops); term++) {
		platform_put(l->platform, "duties", "weights",
		    json_pack("{s:s, s:i, s:i, s:b}", "holder", "idle", "term",
			term, "restMs", 0, "released", 0));
		g_usleep(300000);
	}
	return NULL;
}

static void
start_leader(struct leader *l, struct platform *p)
{
	l->platform = p;
	l->stops = 0;
	l->thread = g_thread_new("leader", renew, l);
}

static void
stop_leader(struct leader *l)
{
	g_atomic_int_set(&l->stops, 1);
	g_thread_join(l->thread);
}

/*
 * Sends requests until so long after a time, and returns how long after it the
 * last one was sent that the worker ran; 0: it ran none.
 */
static uint64_t
last_run_after(struct platform *p, uint64_t start, uint64_t watch_usec)
{
	unsigned int runs = platform_runs(p, 0);
	uint64_t sent, last = 0;

	while ((sent = jh_now()) < start + watch_usec) {
		g_free(platform_ask(p, "GET", "/again/x", FIELDS));
		if (platform_runs(p, 0) > runs)
			last = sent - start;
		runs = platform_runs(p, 0);
		g_usleep(20000);
	}
	return last;
}

/*
 * Guards against outdated weights that a new router uses although it counts as
 * connected: it does not know when the newer version was published, and waits a
 * while for the other routers before it lists the versions.
 */
static void
new_router_avoids_outdated_worker_once_connected(void **state)
{
	static const struct platform_spec spec = {.routers = 1, .workers = 1};
	struct platform *p = platform_create(&spec);
	struct leader leader;
	uint64_t start, last;

	proc_kill(platform_router(p));
	platform_remove(p, "entries", "e1");
	start_leader(&leader, p);
	platform_set_weights(p, 2);
	start = jh_now();
	proc_start(platform_router(p));
	last = last_run_after(p, start, 6 * JH_USEC_PER_SEC);
	stop_leader(&leader);
	assert_int_equal(platform_weights(p, 0), 1);
	assert_true(last > 0);
	assert_in_range(last, 1, CONTACT_USEC);
	platform_stop(p);
}

/*
 * Pauses the router, publishes a version publish_usec later, and checks when
 * the router uses the outdated worker last.
 */
static void
publish_in_pause(uint64_t publish_usec, uint64_t pause_usec)
{
	static const struct platform_spec spec = {.routers = 1, .workers = 1};
	struct platform *p = platform_create(&spec);
	uint64_t published, resumed, last;
	struct leader leader;

	start_leader(&leader, p);
	g_usleep(3 * JH_USEC_PER_SEC);
	proc_freeze(platform_router(p));
	g_usleep(publish_usec);
	platform_set_weights(p, 2);
	published = jh_now();
	g_usleep(pause_usec - publish_usec);
	proc_thaw(platform_router(p));
	resumed = jh_now();
	last = last_run_after(p, resumed, 6 * JH_USEC_PER_SEC);
	stop_leader(&leader);
	assert_int_equal(platform_weights(p, 0), 1);
	assert_in_range(resumed + last, resumed + 1,
	    MAX(published + LIMIT_USEC, resumed + CONTACT_USEC));
	platform_stop(p);
}

/*
 * Guards against outdated weights that a router uses for longer because a newer
 * version was published while its process stood still.
 */
static void
paused_router_avoids_outdated_worker_in_time(void **state)
{
	publish_in_pause(0, 4500 * JH_USEC_PER_MSEC);
}

/*
 * Guards against the same if a response from before the publication is read
 * after the pause, and seems to show that the version is newer than that.
 */
static void
response_that_waited_in_a_pause_dates_nothing(void **state)
{
	publish_in_pause(3300 * JH_USEC_PER_MSEC, 9 * JH_USEC_PER_SEC);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(paused_router_avoids_outdated_worker_in_time),
	    cmocka_unit_test(response_that_waited_in_a_pause_dates_nothing),
	    cmocka_unit_test(new_router_avoids_outdated_worker_once_connected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
