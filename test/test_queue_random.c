#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/queue.h>

#define MSEC JH_USEC_PER_MSEC

enum status {
	STATUS_NONE,
	STATUS_QUEUED,
	STATUS_RUNNING,
	STATUS_ENDED,
};

#define STEPS 20000
#define SLOTS 6
#define MAX_ITEMS 40

static void
random_step(struct jh_queue *q, GRand *rand, uint64_t now, uint8_t *status,
    uint64_t last)
{
	char org[] = {(char)('a' + g_rand_int_range(rand, 0, 5)), '\0'};
	uint64_t id = (uint64_t)g_rand_int_range(rand, 1, (gint32)last + 1);
	struct jh_queue_decision d;
	struct jh_queue_item it;
	bool ok;

	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
	case 1:
		it = (struct jh_queue_item){.id = last,
		    .org = jh_str_from(org),
		    .rank = g_rand_int_range(rand, 0, JH_RANKS),
		    .deadline =
			now + (uint64_t)g_rand_int_range(rand, 0, 5000) * MSEC,
		    .prefill = (uint32_t)g_rand_int_range(rand, 0, 3000),
		    .decode = 50};
		if (jh_queue_offer(q, now, &it, &d))
			status[last] = STATUS_QUEUED;
		break;
	case 2:
		ok = jh_queue_cancel(q, id);
		assert_int_equal(ok, status[id] == STATUS_QUEUED);
		if (ok)
			status[id] = STATUS_ENDED;
		break;
	default:
		for (id = last; id > 0 && status[id] != STATUS_RUNNING; id--)
			;
		if (id == 0)
			break;
		jh_queue_first_token(q, now, id);
		assert_true(
		    jh_queue_finished(q, now, id, JH_QUEUE_END_DONE, 50));
		status[id] = STATUS_ENDED;
	}
}

static void
take_all(struct jh_queue *q, uint64_t now, uint8_t *status)
{
	struct jh_queue_item it;
	struct jh_queue_refused r;

	while (jh_queue_next(q, now, &it)) {
		assert_int_equal(status[it.id], STATUS_QUEUED);
		assert_true(it.deadline >= now);
		status[it.id] = STATUS_RUNNING;
	}
	while (jh_queue_take_refused(q, &r)) {
		assert_int_equal(status[r.item.id], STATUS_QUEUED);
		status[r.item.id] = STATUS_ENDED;
	}
}

static void
add_counts(void *arg, const char *name, uint64_t value)
{
	uint64_t *counts = arg;

	if (g_str_has_suffix(name, "_queued"))
		counts[0] += value;
	else if (g_str_has_suffix(name, "_running"))
		counts[1] += value;
}

/*
 * Guards against items that are lost, returned twice or started past their
 * deadline, and against exceeded limits, in any order of calls.
 */
static void
random_calls_account_for_every_item(void **state)
{
	struct jh_queue_config config;
	struct jh_queue *q;
	GRand *rand = g_rand_new_with_seed(7);
	uint8_t *status = g_malloc0(STEPS + 1);
	uint64_t counts[2], expected[2], now = 1, i, id;

	jh_queue_config_init(&config);
	config.slots = SLOTS;
	config.max_items = MAX_ITEMS;
	q = jh_queue_create(&config);
	for (i = 1; i <= STEPS; i++) {
		now += (uint64_t)g_rand_int_range(rand, 0, 200) * MSEC;
		random_step(q, rand, now, status, i);
		take_all(q, now, status);
		if (i % 100 != 0)
			continue;
		counts[0] = counts[1] = expected[0] = expected[1] = 0;
		for (id = 1; id <= i; id++) {
			expected[0] += status[id] == STATUS_QUEUED;
			expected[1] += status[id] == STATUS_RUNNING;
		}
		jh_queue_visit(q, add_counts, counts);
		assert_int_equal(counts[0], expected[0]);
		assert_int_equal(counts[1], expected[1]);
		assert_true(expected[0] <= MAX_ITEMS && expected[1] <= SLOTS);
	}
	g_free(status);
	g_rand_free(rand);
	jh_queue_destroy(q);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(random_calls_account_for_every_item),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
