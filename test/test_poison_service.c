#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "harness.h"
#include "poison_service_fixture.h"

#define WORK_MSEC 40

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

/* Guards against a call that each of its copies' attempts alone bound. */
static void
idempotent_call_that_crashes_workers_is_stopped(void **state)
{
	poison_service_check(POISON_AGAIN, 1);
}

static void
non_idempotent_call_that_crashes_workers_is_stopped(void **state)
{
	poison_service_check(POISON_ONCE, 1);
}

/* Guards against crashes that count once because they come together. */
static void
call_that_crashes_all_workers_at_once_is_stopped(void **state)
{
	poison_service_check(POISON_AGAIN, POISON_SERVICE_COPIES);
}

static void
non_idempotent_call_that_crashes_all_workers_at_once_is_stopped(void **state)
{
	poison_service_check(POISON_ONCE, POISON_SERVICE_COPIES);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(
	idempotent_call_that_crashes_workers_is_stopped, set_up_again,
	poison_service_tear_down),
    cmocka_unit_test_setup_teardown(
	non_idempotent_call_that_crashes_workers_is_stopped, set_up_once,
	poison_service_tear_down),
    cmocka_unit_test_setup_teardown(
	call_that_crashes_all_workers_at_once_is_stopped, set_up_again,
	poison_service_tear_down),
    cmocka_unit_test_setup_teardown(
	non_idempotent_call_that_crashes_all_workers_at_once_is_stopped,
	set_up_once, poison_service_tear_down),
};

HARNESS_MAIN(tests)
