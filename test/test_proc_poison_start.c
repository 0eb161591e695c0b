#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "proc_poison_fixture.h"

static int
setup(void **state)
{
	*state = proc_poison_create("1");
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

/* Guards against crashes that do not count because the call was so short. */
static void
test_short_idempotent_call(void **state)
{
	proc_poison_check(*state, "look");
}

static void
test_short_non_idempotent_call(void **state)
{
	proc_poison_check(*state, "pay");
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(
	test_short_idempotent_call, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_short_non_idempotent_call, setup, teardown),
};

HARNESS_MAIN(tests)
