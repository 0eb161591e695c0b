#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "harness.h"
#include "poison_service_fixture.h"

#define WORK_MSEC 2

static int
set_up_again(void **state)
{
	poison_service_create(POISON_AGAIN, WORK_MSEC);
	return 0;
}

static int
set_up_once(void **state)
{
	poison_service_create(POISON_ONCE, WORK_MSEC);
	return 0;
}

/*
 * Guards against crashes that do not count because the call was broken off so
 * soon that it may not have reached the worker.
 */
static void
call_that_crashes_workers_at_its_start_is_stopped(void **state)
{
	poison_service_check(POISON_AGAIN, 1);
}

static void
non_idempotent_call_that_crashes_at_its_start_is_stopped(void **state)
{
	poison_service_check(POISON_ONCE, POISON_SERVICE_COPIES);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(
	call_that_crashes_workers_at_its_start_is_stopped, set_up_again,
	poison_service_tear_down),
    cmocka_unit_test_setup_teardown(
	non_idempotent_call_that_crashes_at_its_start_is_stopped, set_up_once,
	poison_service_tear_down),
};

HARNESS_MAIN(tests)
