#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "harness.h"

#define BLOCK_TOKENS "16"

static int
setup(void **state)
{
	static const struct fixture_spec spec = {.entries = 1,
	    .engines = 2,
	    .engine_args = {"--piece-tokens", BLOCK_TOKENS}};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

static json_int_t
counter(struct fixture *w, const char *name)
{
	json_int_t sum = 0;
	unsigned int i;

	for (i = 0; i < w->agents; i++)
		sum += daemon_counter(w->rpc_port[i], name);
	return sum;
}

/*
 * Guards against agents that do not know what their engine has cached: they
 * refuse first requests, and entry daemons place requests without that
 * knowledge. This happens if the body is taken from the request before its
 * cache blocks are computed.
 */
static void
test_agents_expect_hits(void **state)
{
	struct fixture *w = *state;
	char *question = g_strnfill(2000, 'q');

	chat_ok(w, 0, question);
	while (counter(w, "expected_cached_tokens") == 0)
		chat_ok(w, 0, question);
	assert_true(counter(w, "cached_tokens") > 0);
	assert_true(counter(w, "expected_cached_tokens") <=
		    counter(w, "prompt_tokens"));
	g_free(question);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_agents_expect_hits, setup, teardown),
};

HARNESS_MAIN(tests)
