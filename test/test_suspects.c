#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/suspects.h>

#define HOLD (600 * JH_USEC_PER_SEC)
#define MAX_CRASHES 512

static const struct jh_fingerprint P = {1, 1}, Q = {2, 2}, R = {3, 3};

static struct jh_suspects *
new_table(size_t max)
{
	struct jh_suspects_settings s = {JH_SUSPECTS_DEFAULTS};

	s.max_entries = max;
	return jh_suspects_create(&s);
}

static void
crash(struct jh_suspects *s, uint64_t now, uint64_t seq,
    struct jh_fingerprint a, struct jh_fingerprint b)
{
	struct jh_fingerprint batch[] = {a, b};

	jh_suspects_crashed(s, now, 7, seq, batch, 2, 0);
}

/* Exports all crashes of one table and merges them into another. */
static void
copy_all(struct jh_suspects *to, struct jh_suspects *from, uint64_t sent,
    uint64_t received)
{
	struct jh_crash c[MAX_CRASHES];
	uint64_t next;
	size_t n;

	n = jh_suspects_export(from, sent, 0, c, MAX_CRASHES, &next);
	jh_suspects_merge(to, received, c, n);
}

static int
compare_crashes(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(struct jh_crash));
}

static bool
same_content(struct jh_suspects *a, struct jh_suspects *b, uint64_t now)
{
	struct jh_crash x[MAX_CRASHES], y[MAX_CRASHES];
	size_t n, m;
	uint64_t next;

	/* Padding is compared too. */
	memset(x, 0, sizeof(x));
	memset(y, 0, sizeof(y));
	n = jh_suspects_export(a, now, 0, x, MAX_CRASHES, &next);
	m = jh_suspects_export(b, now, 0, y, MAX_CRASHES, &next);
	qsort(x, n, sizeof(x[0]), compare_crashes);
	qsort(y, m, sizeof(y[0]), compare_crashes);
	return n == m && memcmp(x, y, n * sizeof(x[0])) == 0;
}

#define assert_state(s, now, p, want) \
	assert_int_equal(jh_suspects_state((s), (now), (p), NULL), (want))

/*
 * Guards against two suspects in one batch, where a crash does not show which
 * of them caused it.
 */
static void
suspects_run_apart(void **state)
{
	struct jh_suspects *s = new_table(16);

	crash(s, 1, 1, P, Q);
	assert_int_equal(jh_suspects_may_run(s, 2, P, &Q, 1), JH_SUSPECT_WAIT);
	assert_int_equal(jh_suspects_may_run(s, 2, P, &R, 1), JH_SUSPECT_RUN);
	assert_int_equal(jh_suspects_may_run(s, 2, R, &P, 1), JH_SUSPECT_RUN);
	jh_suspects_succeeded(s, 3, Q);
	assert_int_equal(jh_suspects_may_run(s, 4, P, &Q, 1), JH_SUSPECT_RUN);
	jh_suspects_destroy(s);
}

/*
 * Guards against a request that keeps crashing engines, and against the
 * quarantine of a harmless one that ran beside it.
 */
static void
quarantines_only_suspect(void **state)
{
	struct jh_suspects *s = new_table(16);
	uint64_t deadline;

	crash(s, 1, 1, P, Q);
	crash(s, 10, 2, P, R);
	assert_state(s, 11, P, JH_SUSPECT_QUARANTINED);
	assert_state(s, 11, Q, JH_SUSPECT_SUSPECT);
	assert_state(s, 11, R, JH_SUSPECT_SUSPECT);
	assert_int_equal(
	    jh_suspects_may_run(s, 11, P, NULL, 0), JH_SUSPECT_REFUSE);
	/* Success of an earlier run elsewhere does not end the quarantine. */
	jh_suspects_succeeded(s, 12, P);
	jh_suspects_state(s, 12, P, &deadline);
	assert_true(deadline == 10 + HOLD);
	assert_state(s, deadline - 1, P, JH_SUSPECT_QUARANTINED);
	assert_state(s, deadline, P, JH_SUSPECT_NONE);
	jh_suspects_destroy(s);
}

/*
 * Guards against two poison requests that always crash together, so that
 * neither is ever the only suspect.
 */
static void
third_crash_quarantines(void **state)
{
	struct jh_suspects *s = new_table(16);

	crash(s, 1, 1, P, Q);
	crash(s, 2, 2, P, Q);
	assert_state(s, 3, P, JH_SUSPECT_SUSPECT);
	crash(s, HOLD, 3, P, Q);
	assert_state(s, 2 * HOLD - 1, P, JH_SUSPECT_QUARANTINED);
	jh_suspects_hint(s, 3, R, 3);
	assert_state(s, 4, R, JH_SUSPECT_QUARANTINED);
	jh_suspects_destroy(s);
}

/*
 * Guards against a crash that counts several times because it is reported or
 * exchanged repeatedly, and against a suspect that never expires because peers
 * send it back and forth.
 */
static void
repeated_reports_count_once(void **state)
{
	struct jh_suspects *t[3] = {
	    new_table(16), new_table(16), new_table(16)};
	uint64_t now = 1, delay = 2 * JH_USEC_PER_SEC;
	int i;

	crash(t[0], now, 1, P, Q);
	crash(t[0], now, 1, P, Q);
	for (; now < HOLD + 300 * JH_USEC_PER_SEC; now += JH_USEC_PER_SEC) {
		for (i = 0; i < 3; i++) {
			copy_all(t[(i + 1) % 3], t[i], now, now + delay);
			assert_int_not_equal(
			    jh_suspects_state(t[i], now, P, NULL),
			    JH_SUSPECT_QUARANTINED);
			jh_suspects_expire(t[i], now);
		}
	}
	for (i = 0; i < 3; i++) {
		assert_int_equal(jh_suspects_len(t[i]), 0);
		jh_suspects_destroy(t[i]);
	}
}

/*
 * Guards against the quarantine of a stream that has gone on after each crash,
 * also by reports that arrive late, and against a quarantine that ends because
 * another run of the request goes on.
 */
static void
progress_clears_earlier_crashes(void **state)
{
	struct jh_suspects *s = new_table(16);
	uint64_t seq;

	jh_suspects_progressed(s, 1, P);
	for (seq = 1; seq <= 9; seq++) {
		crash(s, seq, seq, P, R);
		assert_state(s, seq, P, JH_SUSPECT_SUSPECT);
		jh_suspects_progressed(s, seq, P);
		assert_state(s, seq, P, JH_SUSPECT_NONE);
		jh_suspects_succeeded(s, seq, R);
	}
	for (seq = 10; seq <= 12; seq++)
		crash(s, seq, seq, P, Q);
	assert_state(s, 13, P, JH_SUSPECT_QUARANTINED);
	jh_suspects_progressed(s, 13, P);
	assert_state(s, 13, P, JH_SUSPECT_NONE);
	assert_state(s, 13, Q, JH_SUSPECT_QUARANTINED);
	/* Without progress the second crash quarantines it. */
	crash(s, 14, 14, P, R);
	crash(s, 15, 15, P, P);
	assert_state(s, 16, P, JH_SUSPECT_QUARANTINED);
	jh_suspects_progressed(s, 16, P);
	assert_state(s, 16, P, JH_SUSPECT_QUARANTINED);
	jh_suspects_hint(s, 16, R, JH_SUSPECT_QUARANTINE_CRASHES);
	jh_suspects_progressed(s, 16, R);
	assert_state(s, 16, R, JH_SUSPECT_QUARANTINED);
	jh_suspects_destroy(s);
}

/*
 * Guards against the quarantine of a stream because a request that crashes
 * engines before any output came beside it, and against one that crashes
 * engines within its output and is never found beside such requests.
 */
static void
requests_without_output_are_suspected_first(void **state)
{
	struct jh_fingerprint second[] = {R, P}, third[] = {{4, 4}, P};
	struct jh_suspects *s = new_table(16);

	crash(s, 1, 1, P, Q);
	/* P had output before the first crash; the others never. */
	jh_suspects_crashed(s, 2, 7, 2, second, 2, 1);
	assert_state(s, 2, P, JH_SUSPECT_SUSPECT);
	assert_state(s, 2, R, JH_SUSPECT_SUSPECT);
	/* Its third crash without progress. */
	jh_suspects_crashed(s, 3, 7, 3, third, 2, 1);
	assert_state(s, 3, P, JH_SUSPECT_QUARANTINED);
	assert_state(s, 3, third[0], JH_SUSPECT_SUSPECT);
	jh_suspects_destroy(s);
}

/* Guards against a crash without such requests that shows nothing. */
static void
only_suspect_with_output_is_quarantined(void **state)
{
	struct jh_fingerprint batch[] = {P, Q};
	struct jh_suspects *s = new_table(16);

	jh_suspects_crashed(s, 1, 7, 1, &P, 1, 1);
	assert_state(s, 1, P, JH_SUSPECT_SUSPECT);
	jh_suspects_crashed(s, 2, 7, 2, batch, 2, 2);
	assert_state(s, 2, P, JH_SUSPECT_QUARANTINED);
	assert_state(s, 2, Q, JH_SUSPECT_SUSPECT);
	jh_suspects_destroy(s);
}

static void
random_events(GRand *rand, struct jh_suspects *s, uint64_t reporter)
{
	struct jh_fingerprint batch[3];
	int i, j, event;

	for (i = 0; i < 12; i++) {
		for (j = 0; j < 3; j++)
			batch[j] = (struct jh_fingerprint){
			    0, (uint64_t)g_rand_int_range(rand, 0, 8)};
		event = g_rand_int_range(rand, 0, 4);
		if (event == 0)
			jh_suspects_succeeded(s, 100, batch[0]);
		else if (event == 1)
			jh_suspects_progressed(s, 100, batch[0]);
		else
			jh_suspects_crashed(s, 100 + (uint64_t)i, reporter,
			    (uint64_t)i, batch, 3,
			    (size_t)g_rand_int_range(rand, 0, 4));
	}
}

/* Guards against tables that do not converge after the same exchanges. */
static void
merge_is_commutative_and_idempotent(void **state)
{
	static const int orders[][3] = {{0, 1, 2}, {2, 1, 0}, {1, 2, 0}};
	struct jh_suspects *from[3], *to[3];
	GRand *rand = g_rand_new_with_seed(3);
	int round, i, j;

	for (round = 0; round < 500; round++) {
		for (i = 0; i < 3; i++) {
			from[i] = new_table(64);
			to[i] = new_table(64);
			random_events(rand, from[i], (uint64_t)i);
		}
		for (i = 0; i < 3; i++) {
			for (j = 0; j < 3; j++)
				copy_all(to[i], from[orders[i][j]], 200, 200);
			copy_all(to[i], from[0], 200, 200);
			copy_all(to[i], to[0], 200, 200);
		}
		assert_true(same_content(to[0], to[1], 200));
		assert_true(same_content(to[0], to[2], 200));
		for (i = 0; i < 3; i++) {
			jh_suspects_destroy(from[i]);
			jh_suspects_destroy(to[i]);
		}
	}
	g_rand_free(rand);
}

/* Guards against an export that omits or repeats changes. */
static void
exports_only_changes(void **state)
{
	struct jh_suspects *s = new_table(16), *peer = new_table(16);
	struct jh_crash c[JH_SUSPECT_MAX_CRASHES];
	uint64_t rev = 0;
	size_t n, total = 0;

	crash(s, 1, 1, P, Q);
	crash(s, 2, 2, P, R);
	while (
	    (n = jh_suspects_export(s, 3, rev, c, G_N_ELEMENTS(c), &rev)) > 0) {
		jh_suspects_merge(peer, 3, c, n);
		total += n;
	}
	assert_int_equal(total, 4);
	assert_true(same_content(s, peer, 3));
	/* A merge that changes nothing is not exported again. */
	copy_all(s, peer, 3, 3);
	assert_int_equal(
	    jh_suspects_export(s, 3, rev, c, G_N_ELEMENTS(c), &rev), 0);
	jh_suspects_succeeded(s, 4, Q);
	assert_int_equal(
	    jh_suspects_export(s, 4, rev, c, G_N_ELEMENTS(c), &rev), 1);
	assert_true(c[0].cleared);
	jh_suspects_destroy(s);
	jh_suspects_destroy(peer);
}

/*
 * Guards against unbounded memory, and against many suspects that cause a
 * quarantined request to be evicted.
 */
static void
table_is_bounded(void **state)
{
	struct jh_suspects *s = new_table(8);
	uint64_t i;

	crash(s, 1, 1, P, Q);
	crash(s, 2, 2, P, R);
	for (i = 10; i < 100; i++)
		crash(s, i, i, (struct jh_fingerprint){i, 0},
		    (struct jh_fingerprint){i, 1});
	assert_int_equal(jh_suspects_len(s), 8);
	assert_state(s, 100, P, JH_SUSPECT_QUARANTINED);
	jh_suspects_destroy(s);
}

/* Guards against equal fingerprints of two organisations' requests. */
static void
fingerprint_covers_organisation(void **state)
{
	struct jh_fingerprint a = jh_fingerprint_of(JH_STR("ab"), JH_STR("c"));
	struct jh_fingerprint b = jh_fingerprint_of(JH_STR("a"), JH_STR("bc"));
	struct jh_fingerprint c = jh_fingerprint_of(JH_STR("ab"), JH_STR("c"));

	assert_true(a.high == c.high && a.low == c.low);
	assert_true(a.high != b.high || a.low != b.low);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(suspects_run_apart),
	    cmocka_unit_test(quarantines_only_suspect),
	    cmocka_unit_test(third_crash_quarantines),
	    cmocka_unit_test(progress_clears_earlier_crashes),
	    cmocka_unit_test(requests_without_output_are_suspected_first),
	    cmocka_unit_test(only_suspect_with_output_is_quarantined),
	    cmocka_unit_test(repeated_reports_count_once),
	    cmocka_unit_test(merge_is_commutative_and_idempotent),
	    cmocka_unit_test(exports_only_changes),
	    cmocka_unit_test(table_is_bounded),
	    cmocka_unit_test(fingerprint_covers_organisation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
