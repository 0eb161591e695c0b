#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <uv.h>

#include <jacinthhill/clock.h>

#include "net/loop_lag.h"

#define MIN_USEC (100 * JH_USEC_PER_MSEC)
#define TICK_MSEC 10

/* A loop whose ticks take the next of these times, then none. */
struct fixture {
	uv_loop_t loop;
	uv_timer_t tick;
	struct jh_loop_lag *lag;
	const uint64_t *busy; /* microseconds; ends with 0 */
	/* What a callback learns just after each of them. */
	uint64_t resumed_at, paused_for;
};

static void
on_tick(uv_timer_t *t)
{
	struct fixture *f = t->data;

	f->resumed_at = jh_loop_lag_resumed_at(f->lag, &f->paused_for);
	if (*f->busy != 0)
		g_usleep(*f->busy++);
	else
		uv_stop(&f->loop);
}

static void
run(struct fixture *f, const uint64_t *busy)
{
	uv_loop_init(&f->loop);
	f->busy = busy;
	f->lag = jh_loop_lag_create(&f->loop, MIN_USEC, NULL, NULL);
	uv_timer_init(&f->loop, &f->tick);
	f->tick.data = f;
	uv_timer_start(&f->tick, on_tick, TICK_MSEC, TICK_MSEC);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&f->tick, NULL);
	jh_loop_lag_destroy(f->lag);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&f->loop), 0);
}

/* Guards against a pause that is not noticed, or where there is none. */
static void
pause_is_recorded(void **state)
{
	static const uint64_t calm[] = {MIN_USEC / 10, MIN_USEC / 10, 0};
	static const uint64_t paused[] = {5 * MIN_USEC, 0};
	struct fixture f;
	uint64_t begun = jh_boot_now();

	run(&f, paused);
	assert_in_range(f.paused_for, 4 * MIN_USEC, jh_boot_now() - begun);
	assert_in_range(f.resumed_at, begun + 5 * MIN_USEC, jh_boot_now());
	run(&f, calm);
	assert_int_equal(f.resumed_at, 0);
}

/*
 * Guards against a long pause that is forgotten because of the work that has
 * gathered in it.
 */
static void
work_after_a_pause_does_not_replace_it(void **state)
{
	static const uint64_t busy[] = {8 * MIN_USEC, 2 * MIN_USEC, 0};
	struct fixture f;
	uint64_t begun = jh_boot_now();

	run(&f, busy);
	assert_true(f.paused_for >= 7 * MIN_USEC);
	assert_in_range(
	    f.resumed_at, begun + 8 * MIN_USEC, jh_boot_now() - 2 * MIN_USEC);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(pause_is_recorded),
	    cmocka_unit_test(work_after_a_pause_does_not_replace_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
