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
		crash_log_crashed(l, REPORTER, seq, batch, BATCH, 0);
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
		crash_log_crashed(a, REPORTER, seq, &poison, 1, 0);
	assert_int_equal(crash_log_state(a, poison), JH_SUSPECT_QUARANTINED);
	send_to(a, b);
	assert_int_equal(crash_log_state(b, poison), JH_SUSPECT_QUARANTINED);
	crash_log_destroy(a);
	crash_log_destroy(b);
}

/* Guards against output of a part that other daemons do not learn of. */
static void
output_of_a_part_is_exported(void **state)
{
	struct crash_log *a = crash_log_create(), *b = crash_log_create();
	struct jh_fingerprint sound = jh_fingerprint_of_part(1);
	struct jh_fingerprint cause = jh_fingerprint_of_part(2);
	uint64_t seq;

	crash_log_parts_succeeded(a, &sound, 1);
	for (seq = 1; seq <= JH_SUSPECT_QUARANTINE_CRASHES; seq++) {
		crash_log_parts_crashed(a, REPORTER, seq, &sound, 1);
		crash_log_parts_crashed(a, REPORTER, 10 + seq, &cause, 1);
		g_usleep(JH_SUSPECT_CRASH_GAP_USEC);
	}
	send_to(a, b);
	assert_false(crash_log_refuses_parts(b, &sound, 1));
	assert_true(crash_log_refuses_parts(b, &cause, 1));
	crash_log_destroy(a);
	crash_log_destroy(b);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(quarantine_is_exported),
	    cmocka_unit_test(output_of_a_part_is_exported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
