#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "feed/store_backoff.h"
#include "platform/watch.h"

#define MSEC 1000ULL
#define READERS 4
#define SEED 17

static GRand *rand_source;

/* Calls that READERS readers make in an outage of 8 s, each tried every tick.
 */
static unsigned int
calls_in_outage(struct jh_store_backoff *b, uint64_t call_usec)
{
	uint64_t busy_until[READERS] = {0}, now;
	unsigned int calls = 0, i;

	for (now = 1; now < 8000 * MSEC; now += 20 * MSEC)
		for (i = 0; i < READERS; i++) {
			if (busy_until[i] != 0 && now >= busy_until[i]) {
				busy_until[i] = 0;
				jh_store_backoff_failed(b, now);
			}
			if (busy_until[i] != 0 ||
			    !jh_store_backoff_may_call(b, now))
				continue;
			busy_until[i] = now + call_usec;
			calls++;
		}
	return calls;
}

static int
set_up(void **state)
{
	rand_source = g_rand_new_with_seed(SEED);
	*state = jh_store_backoff_create(rand_source);
	return 0;
}

/*
 * Guards against an outage in which every reader of every process calls the
 * store several times a second.
 */
static void
readers_share_the_probes(void **state)
{
	/* Refused at once, and without a response until a timeout. */
	assert_in_range(calls_in_outage(*state, 5 * MSEC), 8, 16);
	jh_store_backoff_served(*state);
	assert_in_range(calls_in_outage(*state, 1300 * MSEC), 4, 12);
}

/* Guards against readers that stay away after the outage has ended. */
static void
readers_return_together(void **state)
{
	struct jh_store_backoff *b = *state;
	unsigned int i;

	calls_in_outage(b, 5 * MSEC);
	assert_true(jh_store_backoff_may_call(
	    b, 8000 * MSEC + 2 * JH_STORE_BACKOFF_MAX_USEC));
	assert_false(jh_store_backoff_may_call(
	    b, 8000 * MSEC + 2 * JH_STORE_BACKOFF_MAX_USEC));
	jh_store_backoff_served(b);
	for (i = 0; i < READERS; i++)
		assert_true(jh_store_backoff_may_call(b, 11000 * MSEC));
}

/* The platform's bound after which a process counts as connected again. */
#define CONNECTED_USEC (4000 * MSEC)

/* When a probe is answered, if the outage ends at this time. */
static uint64_t
noticed_at(struct jh_store_backoff *b, uint64_t end)
{
	uint64_t now, probe = 0;

	jh_store_backoff_served(b);
	for (now = 1;; now += PLAT_WATCH_RETRY_USEC) {
		if (probe != 0 && now < probe + PLAT_WATCH_PROBE_USEC)
			continue;
		if (probe != 0)
			jh_store_backoff_failed(b, now);
		probe = 0;
		if (now > 1 && !jh_store_backoff_may_call(b, now))
			continue;
		if (now > end)
			return now + PLAT_WATCH_PROBE_WAIT_USEC;
		probe = now;
	}
}

/*
 * Guards against requests to workers that have left, from a process that counts
 * as connected again: it doubts removals for a while after it has noticed the
 * end of an outage.
 */
static void
end_of_an_outage_is_noticed_in_time(void **state)
{
	uint64_t end;

	for (end = 3000 * MSEC; end < 9000 * MSEC; end += 7 * MSEC)
		assert_true(noticed_at(*state, end) + PLAT_WATCH_RETRY_USEC +
				PLAT_SUSPECT_REMOVAL_USEC <=
			    end + CONNECTED_USEC);
}

/* Guards against a probe without a result that stops all later ones. */
static void
lost_probe_is_repeated(void **state)
{
	struct jh_store_backoff *b = *state;

	jh_store_backoff_failed(b, 1);
	assert_true(jh_store_backoff_may_call(b, 1000 * MSEC));
	assert_false(jh_store_backoff_may_call(b, 1500 * MSEC));
	assert_true(jh_store_backoff_may_call(b, 3500 * MSEC));
}

static int
tear_down(void **state)
{
	jh_store_backoff_destroy(*state);
	g_rand_free(rand_source);
	return 0;
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    CASE(readers_share_the_probes),
    CASE(readers_return_together),
    CASE(end_of_an_outage_is_noticed_in_time),
    CASE(lost_probe_is_repeated),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
