#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/suspects.h>

#include "gateway/crash_message.h"

/* Tests of parts of requests that crash engines, in virtual time. */

#define SEC JH_USEC_PER_SEC
#define MAX_CRASHES 512

/* Part numbers: P crashes engines, F and G are first parts, X and Y others. */
enum { P = 1, F, G, X, Y, W1, W2, W3, W4, N_NAMED };

struct request {
	struct jh_fingerprint part[4];
	size_t n;
};

static struct jh_suspects *
new_table(void)
{
	struct jh_suspects_settings s = {JH_SUSPECTS_DEFAULTS};

	return jh_suspects_create(&s);
}

static struct request
make(uint64_t a, uint64_t b, uint64_t c)
{
	return (struct request){
	    {jh_fingerprint_of_part(a), jh_fingerprint_of_part(b),
		jh_fingerprint_of_part(c)},
	    3};
}

static void
crash(struct jh_suspects *s, uint64_t now, uint64_t engine, struct request r)
{
	jh_suspects_parts_crashed(s, now, now, engine, 1, r.part, r.n);
}

static unsigned int
crashes(const struct jh_suspects *s, uint64_t now, struct request r)
{
	return jh_suspects_parts_crashes(s, now, r.part, r.n, NULL);
}

static bool
is_refused(const struct jh_suspects *s, uint64_t now, struct request r)
{
	return crashes(s, now, r) >= JH_SUSPECT_QUARANTINE_CRASHES;
}

static void
copy_all(struct jh_suspects *to, const struct jh_suspects *from, uint64_t now)
{
	struct jh_crash c[MAX_CRASHES];
	size_t n = jh_suspects_export_latest(from, now, 0, 0, c, MAX_CRASHES);

	jh_suspects_merge(to, now, c, n);
}

/* Guards against a part that crashes one engine after the other. */
static void
third_crash_quarantines_a_part(void **state)
{
	struct jh_suspects *s = new_table();
	uint64_t deadline;

	crash(s, 1 * SEC, 1, make(F, P, W1));
	crash(s, 2 * SEC, 2, make(F, P, W2));
	assert_false(is_refused(s, 2 * SEC, make(F, P, W3)));
	crash(s, 3 * SEC, 3, make(G, P, W3));
	assert_true(is_refused(s, 3 * SEC, make(X, P, W4)));
	assert_int_equal(jh_suspects_parts_quarantined(s, 3 * SEC), 1);
	jh_suspects_parts_crashes(
	    s, 3 * SEC, make(X, P, W4).part, 3, &deadline);
	assert_int_equal(deadline, 603 * SEC);
	assert_false(is_refused(s, 603 * SEC, make(X, P, W4)));
	jh_suspects_destroy(s);
}

/* Guards against refusing requests that share other parts with the cause. */
static void
parts_beside_the_cause_are_served(void **state)
{
	struct jh_suspects *s = new_table();

	/* F and P are in the same crashes: a request with F alone may run. */
	crash(s, 1 * SEC, 1, make(F, P, W1));
	crash(s, 2 * SEC, 2, make(F, P, W2));
	crash(s, 3 * SEC, 3, make(F, P, W3));
	assert_false(is_refused(s, 3 * SEC, make(F, X, W4)));
	assert_true(is_refused(s, 3 * SEC, make(F, P, W4)));
	/* Two crashes without F leave P as the only cause. */
	crash(s, 4 * SEC, 4, make(G, P, W4));
	crash(s, 5 * SEC, 5, make(X, P, W4));
	assert_true(is_refused(s, 5 * SEC, make(Y, P, W1)));
	assert_false(is_refused(s, 5 * SEC, make(F, X, Y)));
	assert_false(is_refused(s, 5 * SEC, make(G, X, Y)));
	jh_suspects_destroy(s);
}

/* Guards against suspecting the parts of a request that crashes by itself. */
static void
parts_of_a_poison_request_are_served(void **state)
{
	struct jh_suspects *s = new_table();
	unsigned int i;

	for (i = 1; i <= 3; i++)
		crash(s, i * SEC, i, make(F, X, W1));
	assert_true(is_refused(s, 3 * SEC, make(F, X, W1)));
	assert_false(is_refused(s, 3 * SEC, make(F, X, W2)));
	jh_suspects_destroy(s);
}

/* Guards against keeping a part quarantined that has been shown to be sound. */
static void
output_clears_a_part(void **state)
{
	struct jh_suspects *s = new_table(), *other = new_table();
	struct request sound = make(F, X, W4);
	unsigned int i;

	for (i = 1; i <= 3; i++)
		crash(s, i * SEC, i, make(F, F, F));
	copy_all(other, s, 3 * SEC);
	assert_true(is_refused(other, 3 * SEC, sound));
	jh_suspects_parts_succeeded(s, 4 * SEC, sound.part, sound.n);
	assert_int_equal(crashes(s, 4 * SEC, sound), 0);
	/* The other process learns it, and an old copy does not undo it. */
	copy_all(other, s, 4 * SEC);
	assert_int_equal(crashes(other, 4 * SEC, sound), 0);
	crash(s, 5 * SEC, 3, make(F, F, F));
	assert_int_equal(crashes(s, 5 * SEC, sound), 0);
	crash(s, 5 * SEC, 4, make(F, F, F));
	assert_int_equal(crashes(s, 5 * SEC, sound), 1);
	jh_suspects_destroy(other);
	jh_suspects_destroy(s);
}

/* Guards against suspecting a sound part by a few crashes without output. */
static void
part_that_has_had_output_needs_five_crashes(void **state)
{
	struct jh_suspects *s = new_table(), *other = new_table();
	struct request r = make(F, X, W1);
	unsigned int i;

	jh_suspects_parts_succeeded(s, SEC, r.part, 2);
	for (i = 2; i <= 5; i++) {
		crash(s, i * SEC, i, make(F, X, W1 + i));
		assert_in_range(crashes(s, i * SEC, r), 0, 2);
	}
	/* A process that has not seen the output learns of it. */
	copy_all(other, s, 5 * SEC);
	assert_int_equal(crashes(other, 5 * SEC, r), 2);
	crash(s, 6 * SEC, 6, make(F, X, W2));
	assert_true(is_refused(s, 6 * SEC, r));
	copy_all(other, s, 6 * SEC);
	assert_true(is_refused(other, 6 * SEC, r));
	/* What has not had output in the hold time is refused by its third. */
	for (i = 0; i < 3; i++)
		crash(s, (700 + i) * SEC, 10 + i, make(G, G, W1 + i));
	assert_true(is_refused(s, 702 * SEC, make(G, Y, Y)));
	jh_suspects_destroy(other);
	jh_suspects_destroy(s);
}

/* Guards against refusing what two new causes share, one of them in doubt. */
static void
part_with_output_that_two_new_causes_share_is_served(void **state)
{
	struct jh_suspects *s = new_table();
	struct request r = make(F, F, F);
	unsigned int i;

	jh_suspects_parts_succeeded(s, SEC, r.part, r.n);
	for (i = 0; i < 5; i++)
		crash(
		    s, (2 + i) * SEC, i, make(F, i % 2 == 0 ? X : Y, 1000 + i));
	assert_false(is_refused(s, 7 * SEC, make(F, G, W1)));
	assert_true(is_refused(s, 7 * SEC, make(F, X, W1)));
	/* A part that turns into a cause does not go on beside many others. */
	for (i = 0; i < 4; i++)
		crash(s, (8 + i) * SEC, 8 + i,
		    make(F, i % 2 == 0 ? W2 : W3, 2000 + i));
	assert_true(is_refused(s, 12 * SEC, make(F, G, W1)));
	jh_suspects_destroy(s);
}

/* Guards against taking a crash that was none for a part's output. */
static void
voided_crash_is_no_output(void **state)
{
	struct jh_suspects *s = new_table();
	unsigned int i;

	crash(s, SEC, 1, make(F, P, W1));
	jh_suspects_crash_voided(s, 1, 1);
	for (i = 2; i <= 4; i++)
		crash(s, i * SEC, i, make(F, P, W1 + i));
	assert_true(is_refused(s, 4 * SEC, make(F, P, W1)));
	jh_suspects_destroy(s);
}

/* Guards against output that gossip does not tell of. */
static void
crash_message_tells_of_output(void **state)
{
	struct jh_suspects *s = new_table(), *other = new_table();
	struct request r = make(F, X, W1);
	unsigned char message[1440];
	unsigned int i;
	size_t n;

	jh_suspects_parts_succeeded(s, SEC, r.part, r.n);
	for (i = 2; i <= 4; i++)
		crash(s, i * SEC, i, r);
	n = jh_crash_message_write(s, 4 * SEC, 0, 0, message, sizeof(message));
	assert_true(jh_crash_message_read(other, 4 * SEC, message, n));
	assert_int_equal(crashes(other, 4 * SEC, r), 1);
	jh_suspects_destroy(other);
	jh_suspects_destroy(s);
}

/* Guards against counting each of several crashes that a pause hides. */
static void
crash_message_tells_of_a_pause(void **state)
{
	struct jh_suspects *s = new_table(), *other = new_table();
	struct request r = make(F, X, W1);
	unsigned char message[1440];
	unsigned int i;
	size_t n;

	/* Three that may have been at one moment, then one 3 s later. */
	for (i = 1; i <= 3; i++)
		jh_suspects_parts_crashed(
		    s, SEC + i * 300000, SEC, i, 1, r.part, r.n);
	crash(s, 4 * SEC, 4, r);
	n = jh_crash_message_write(s, 4 * SEC, 0, 0, message, sizeof(message));
	assert_true(jh_crash_message_read(other, 4 * SEC, message, n));
	assert_int_equal(crashes(other, 4 * SEC, r), 2);
	jh_suspects_destroy(other);
	jh_suspects_destroy(s);
}

/* Guards against suspecting what runs when several engines lose power. */
static void
crashes_at_one_moment_count_once(void **state)
{
	struct jh_suspects *s = new_table();
	unsigned int i;

	for (i = 1; i <= 6; i++)
		crash(s, SEC + i * 10000, i, make(F, X, W1));
	assert_int_equal(crashes(s, 2 * SEC, make(F, X, W1)), 1);
	jh_suspects_destroy(s);
}

/* Guards against counting one crash for each process that reports it. */
static void
reports_of_one_crash_count_once(void **state)
{
	struct jh_suspects *a = new_table(), *b = new_table();

	crash(a, 1 * SEC, 1, make(F, P, W1));
	crash(b, 1 * SEC + 200000, 1, make(G, P, W2));
	copy_all(a, b, 2 * SEC);
	crash(a, 3 * SEC, 2, make(Y, P, W3));
	assert_int_equal(crashes(a, 3 * SEC, make(X, P, W4)), 2);
	jh_suspects_destroy(a);
	jh_suspects_destroy(b);
}

/* Guards against a quarantine that no longer fits into a message. */
static void
quarantined_parts_are_exported_first(void **state)
{
	struct jh_suspects *s = new_table(), *other = new_table();
	struct jh_crash c[16];
	uint64_t i;
	size_t n;

	for (i = 1; i <= 3; i++)
		crash(s, i * SEC, i, make(F, P, W1 + i));
	for (i = 0; i < 100; i++)
		crash(s, 5 * SEC, 9, make(1000 + i, 2000 + i, 3000 + i));
	n = jh_suspects_export_latest(s, 5 * SEC, 0, 0, c, G_N_ELEMENTS(c));
	jh_suspects_merge(other, 5 * SEC, c, n);
	assert_true(is_refused(other, 5 * SEC, make(F, P, Y)));
	jh_suspects_destroy(other);
	jh_suspects_destroy(s);
}

/*
 * A fleet: processes that exchange their tables with a delay and losses, and
 * engines on which requests wait, begin and run.
 */
#define PROCESSES 6
#define ENGINES 9
#define STEP_USEC 10000ULL
#define STEPS 4000 /* 40 s */
#define EXCHANGE_STEPS 20
#define RESTART_STEPS 250
#define MAX_RUNNING 4096

/* The users' time for a process to count as connected, in steps. */
#define CONTACT_STEPS 400

struct job {
	struct request r;
	bool poison, used;
	unsigned int process, engine, attempts;
	unsigned int begins, outputs; /* steps */
};

struct fleet {
	GRand *rand;
	struct jh_suspects *table[PROCESSES];
	unsigned int down_until[ENGINES], starts[ENGINES];
	struct job job[MAX_RUNNING];
	uint64_t next; /* fingerprint of the next request */
	bool poison_first; /* the part is the first of the prompt */
	unsigned int crashes, fifth; /* step of the fifth crash; 0: none yet */
	unsigned int late; /* poison that reached engines too late */
	unsigned int sound, refused; /* sound requests, and refused ones */
};

static uint64_t
time_at(unsigned int step)
{
	return SEC + step * STEP_USEC;
}

static void
start_job(struct fleet *f, unsigned int step, struct job j)
{
	unsigned int limit = j.attempts > 0 ? JH_SUSPECT_NO_RETRY_CRASHES
					    : JH_SUSPECT_QUARANTINE_CRASHES;
	size_t i;

	if (crashes(f->table[j.process], time_at(step), j.r) >= limit) {
		f->refused += !j.poison && j.attempts == 0;
		return;
	}
	j.engine = (unsigned int)g_rand_int_range(f->rand, 0, ENGINES);
	if (f->down_until[j.engine] > step || ++j.attempts > 2)
		return;
	if (j.poison && f->fifth != 0 && step > f->fifth + CONTACT_STEPS)
		f->late++;
	j.begins = step + (unsigned int)g_rand_int_range(f->rand, 1, 60);
	j.outputs = j.begins + (unsigned int)g_rand_int_range(f->rand, 1, 5);
	j.used = true;
	for (i = 0; i < MAX_RUNNING; i++) {
		if (!f->job[i].used) {
			f->job[i] = j;
			return;
		}
	}
	fail_msg("too many jobs");
}

static void
add_request(struct fleet *f, unsigned int step, bool poison)
{
	struct job j = {.poison = poison};
	uint64_t first = 100 + (uint64_t)g_rand_int_range(f->rand, 0, 12);
	uint64_t second = 200 + (uint64_t)g_rand_int_range(f->rand, 0, 300);

	if (poison && f->poison_first)
		first = P;
	else if (poison)
		second = P;
	j.r = make(first, second, ++f->next);
	j.process = (unsigned int)g_rand_int_range(f->rand, 0, PROCESSES);
	f->sound += !poison;
	start_job(f, step, j);
}

static void
crash_engine(struct fleet *f, unsigned int step, unsigned int engine)
{
	struct job broken[MAX_RUNNING];
	size_t n = 0, i;

	f->down_until[engine] = step + RESTART_STEPS;
	f->starts[engine]++;
	for (i = 0; i < MAX_RUNNING; i++) {
		struct job *j = &f->job[i];
		if (!j->used || j->engine != engine)
			continue;
		if (j->begins <= step)
			jh_suspects_parts_crashed(f->table[j->process],
			    time_at(step), time_at(step), engine,
			    f->starts[engine], j->r.part, j->r.n);
		broken[n++] = *j;
		j->used = false;
	}
	for (i = 0; i < n; i++)
		start_job(f, step, broken[i]);
}

static void
run_jobs(struct fleet *f, unsigned int step)
{
	size_t i;

	for (i = 0; i < MAX_RUNNING; i++) {
		struct job *j = &f->job[i];
		if (!j->used)
			continue;
		if (j->poison && j->begins <= step) {
			if (++f->crashes == 5)
				f->fifth = step;
			crash_engine(f, step, j->engine);
		} else if (j->outputs <= step) {
			jh_suspects_parts_succeeded(f->table[j->process],
			    time_at(step), j->r.part, j->r.n);
			j->used = false;
		}
	}
}

static void
exchange(struct fleet *f, unsigned int step)
{
	unsigned int from, to;

	for (from = 0; from < PROCESSES; from++) {
		struct jh_crash c[32];
		size_t n = jh_suspects_export_latest(
		    f->table[from], time_at(step), 0, step, c, G_N_ELEMENTS(c));
		for (to = 0; to < PROCESSES; to++) {
			if (to != from && g_rand_double(f->rand) < 0.8)
				jh_suspects_merge(
				    f->table[to], time_at(step) + 5000, c, n);
		}
	}
}

static struct fleet *
new_fleet(guint32 seed)
{
	struct fleet *f = g_new0(struct fleet, 1);
	size_t i;

	f->rand = g_rand_new_with_seed(seed);
	f->next = 10000;
	for (i = 0; i < PROCESSES; i++)
		f->table[i] = new_table();
	return f;
}

static void
free_fleet(struct fleet *f)
{
	size_t i;

	for (i = 0; i < PROCESSES; i++)
		jh_suspects_destroy(f->table[i]);
	g_rand_free(f->rand);
	g_free(f);
}

/*
 * Guards against reaching engines with a part that crashes them, at processes
 * that learn of the crashes from each other, and against refusing sound
 * requests that share its other parts.
 */
static void
fleet_stops_a_part_and_serves_the_others(void **state)
{
	guint32 seed;
	unsigned int step;

	for (seed = 1; seed <= 20; seed++) {
		struct fleet *f = new_fleet(seed);
		f->poison_first = seed % 2 == 0;
		for (step = 0; step < STEPS; step++) {
			if (g_rand_double(f->rand) < 0.7)
				add_request(f, step, false);
			if (g_rand_double(f->rand) < 0.04)
				add_request(f, step, true);
			run_jobs(f, step);
			if (step % EXCHANGE_STEPS == 0)
				exchange(f, step);
		}
		if (f->crashes < 3 || f->late > 3 || f->refused > 0)
			fail_msg("seed %u: %u crashes, %u late, %u of %u sound "
				 "requests refused",
			    seed, f->crashes, f->late, f->refused, f->sound);
		free_fleet(f);
	}
}

/* Guards against suspecting sound requests when all engines lose power. */
static void
fleet_serves_all_after_power_failures(void **state)
{
	guint32 seed;
	unsigned int step, i;

	for (seed = 1; seed <= 20; seed++) {
		struct fleet *f = new_fleet(seed);
		for (step = 0; step < STEPS; step++) {
			if (g_rand_double(f->rand) < 0.7)
				add_request(f, step, false);
			for (i = 0; i < ENGINES && step % 500 == 499; i++)
				crash_engine(f, step, i);
			run_jobs(f, step);
			if (step % EXCHANGE_STEPS == 0)
				exchange(f, step);
		}
		if (f->refused > 0)
			fail_msg("seed %u: %u of %u sound requests refused",
			    seed, f->refused, f->sound);
		free_fleet(f);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(third_crash_quarantines_a_part),
	    cmocka_unit_test(parts_beside_the_cause_are_served),
	    cmocka_unit_test(parts_of_a_poison_request_are_served),
	    cmocka_unit_test(output_clears_a_part),
	    cmocka_unit_test(part_that_has_had_output_needs_five_crashes),
	    cmocka_unit_test(
		part_with_output_that_two_new_causes_share_is_served),
	    cmocka_unit_test(voided_crash_is_no_output),
	    cmocka_unit_test(crash_message_tells_of_output),
	    cmocka_unit_test(crash_message_tells_of_a_pause),
	    cmocka_unit_test(crashes_at_one_moment_count_once),
	    cmocka_unit_test(reports_of_one_crash_count_once),
	    cmocka_unit_test(quarantined_parts_are_exported_first),
	    cmocka_unit_test(fleet_stops_a_part_and_serves_the_others),
	    cmocka_unit_test(fleet_serves_all_after_power_failures),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
