#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "base/thread.h"
#include "../fakes/list/instances.h"
#include "feed/instances.h"
#include "feed/poll_timer.h"

struct reader {
	struct fake_list *fake;
	struct jh_http_client *client;
	struct jh_instances *instances;
	pthread_mutex_t lock; /* guards what follows */
	pthread_cond_t cond;
	unsigned int lists;
	unsigned int unchanged;
	size_t rows; /* of the last list */
};

static void
on_list(void *arg, const struct jh_instance *const *list, size_t n)
{
	struct reader *r = arg;

	pthread_mutex_lock(&r->lock);
	r->lists++;
	r->rows = n;
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
}

static void
on_unchanged(void *arg)
{
	struct reader *r = arg;

	pthread_mutex_lock(&r->lock);
	r->unchanged++;
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
}

static const struct jh_instances_ops ops = {on_list, on_unchanged};

static void
add(struct reader *r, const char *id)
{
	json_t *o = json_pack("{s:[{s:s, s:s, s:s, s:s, s:s, s:s}]}", "add",
	    "id", id, "role", "entry", "address", "127.0.0.1:1", "rpc_address",
	    "127.0.0.1:2", "zone", "z", "region", "r");

	assert_true(fake_list_control(r->fake, o, false));
	json_decref(o);
}

/* Reads the list once and waits for the result. */
static void
read_list(struct reader *r)
{
	unsigned int before;

	pthread_mutex_lock(&r->lock);
	before = r->lists + r->unchanged;
	while (r->lists + r->unchanged == before) {
		/* The previous read may not have ended yet. */
		jh_instances_read_now(r->instances);
		jh_instances_tick(r->instances);
		jh_cond_wait_until(&r->cond, &r->lock,
		    g_get_monotonic_time() + 10 * G_TIME_SPAN_MILLISECOND);
	}
	pthread_mutex_unlock(&r->lock);
}

/* Guards against sending and parsing a list again that has not changed. */
static void
unchanged_list_is_not_sent_again(void **state)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct fake_list_options o = {.listen = at};
	struct reader r = {.fake = fake_list_create(&o, NULL)};

	assert_non_null(r.fake);
	at.sin_port = htons((uint16_t)fake_list_port(r.fake));
	r.client = jh_http_client_create("test", 4);
	r.instances = jh_instances_create(r.client, &at, &ops, &r);
	add(&r, "entry-0");
	read_list(&r);
	assert_int_equal(r.lists, 1);
	assert_int_equal(r.rows, 1);
	read_list(&r);
	assert_int_equal(r.lists, 1);
	assert_int_equal(r.unchanged, 1);
	add(&r, "entry-1");
	read_list(&r);
	assert_int_equal(r.lists, 2);
	assert_int_equal(r.rows, 2);
	read_list(&r);
	assert_int_equal(r.lists, 2);
	jh_http_client_destroy(r.client);
	jh_instances_destroy(r.instances);
	fake_list_destroy(r.fake);
}

#define SECOND JH_USEC_PER_SEC

/* Counts the reads of one hour, all of which succeed. */
static unsigned int
count_reads_in_hour(struct poll_timer *t)
{
	unsigned int reads = 0;
	uint64_t now;

	for (now = SECOND; now < 3601 * SECOND; now += SECOND / 50)
		if (poll_timer_due(t, now)) {
			reads++;
			poll_timer_succeeded(t);
		}
	return reads;
}

/* Guards against agents that keep reading the whole list at short intervals. */
static void
interval_grows_to_maximum(void **state)
{
	struct poll_timer *t = poll_timer_create(SECOND / 2, 120 * SECOND, 1);
	unsigned int reads = count_reads_in_hour(t);

	/* 3,600 / (120 x 5/4) to 3,600 / (120 x 3/4), and 8 shorter ones. */
	assert_in_range(reads, 24, 48);
	poll_timer_reset(t);
	assert_true(poll_timer_due(t, 3601 * SECOND));
	assert_true(poll_timer_due(t, 3602 * SECOND));
	poll_timer_destroy(t);
}

/* Guards against a longer interval after a failed read. */
static void
failed_reads_keep_the_interval(void **state)
{
	struct poll_timer *t = poll_timer_create(SECOND, 120 * SECOND, 1);
	uint64_t now;

	for (now = 2 * SECOND; now < 100 * SECOND; now += 2 * SECOND)
		assert_true(poll_timer_due(t, now));
	poll_timer_destroy(t);
}

/* Guards against agents that start together and then always read together. */
static void
reads_spread(void **state)
{
	unsigned int at[60] = {0}, seed;
	struct poll_timer *t;
	uint64_t now;

	for (seed = 0; seed < 600; seed++) {
		t = poll_timer_create(120 * SECOND, 120 * SECOND, seed);
		poll_timer_due(t, 0);
		for (now = 0; !poll_timer_due(t, now); now += SECOND)
			continue;
		assert_in_range(now, 90 * SECOND, 150 * SECOND);
		at[(now / SECOND - 90) % 60]++;
		poll_timer_destroy(t);
	}
	/* The mean is 10 a second. */
	for (seed = 0; seed < 60; seed++)
		assert_in_range(at[seed], 0, 30);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(unchanged_list_is_not_sent_again),
	    cmocka_unit_test(interval_grows_to_maximum),
	    cmocka_unit_test(failed_reads_keep_the_interval),
	    cmocka_unit_test(reads_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
