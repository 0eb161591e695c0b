#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "feed/crash_log.h"

/* Requests that an engine runs at once, and crashes of such engines. */
#define BATCH 16
#define CRASHES 160

#define REPORTER 7

static const struct jh_fingerprint poison = {1, 0};

/* Crashes in which no request is found to be the cause. */
static void
add_suspects(struct crash_log *l, uint64_t first_seq)
{
	struct jh_fingerprint batch[BATCH];
	uint64_t seq;
	size_t i;

	for (seq = first_seq; seq < first_seq + CRASHES; seq++) {
		for (i = 0; i < BATCH; i++)
			batch[i] = (struct jh_fingerprint){2 + seq, i};
		crash_log_crashed(l, REPORTER, seq, batch, BATCH);
	}
}

static void
send_to(struct crash_log *from, struct crash_log *to)
{
	struct jh_wire_crash *list;
	u_int n;

	crash_log_export(from, &n, &list);
	assert_true(n <= JH_MAX_CRASHES);
	crash_log_merge(to, list, n);
	g_free(list);
}

/* Guards against a quarantine that peers do not learn of beside suspects. */
static void
quarantine_is_exported(void **state)
{
	struct crash_log *a = crash_log_create(), *b = crash_log_create();
	uint64_t seq;

	add_suspects(a, 1);
	for (seq = 1001; seq <= 1003; seq++)
		crash_log_crashed(a, REPORTER, seq, &poison, 1);
	assert_int_equal(crash_log_state(a, poison), JH_SUSPECT_QUARANTINED);
	send_to(a, b);
	assert_int_equal(crash_log_state(b, poison), JH_SUSPECT_QUARANTINED);
	crash_log_destroy(a);
	crash_log_destroy(b);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(quarantine_is_exported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
