#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/fence.h>
#include <jacinthhill/lease.h>

/*
 * Simulates processes that compete for one lease in virtual time. Calls to the
 * store fail before or after they take effect, writes may take effect after
 * their callers have given up, processes pause, and clocks differ by up to the
 * margin.
 */
#define PROCESSES 4
#define TICK (100 * JH_USEC_PER_MSEC)
#define TERM (10 * JH_USEC_PER_SEC)
#define START (1000 * JH_USEC_PER_SEC)

/* A write that has not reached the store yet. */
struct late_write {
	bool pending;
	uint64_t at;
	uint64_t if_version;
	char value[256];
};

struct holder {
	struct jh_lease *lease;
	int64_t clock_offset; /* microseconds */
	uint64_t paused_until;
	bool busy;
	struct jh_lease_action action;
	char value[256];
	uint64_t result_at;
	struct late_write late;
	uint64_t order_token; /* of an order that a pause delays; 0: none */
};

struct simulation {
	uint64_t now;
	GRand *rand;
	uint64_t version;
	char value[256];
	uint64_t revision;
	double faults; /* probability of each kind of fault per call */
	struct holder h[PROCESSES];
	struct jh_fence *fence;
	unsigned int held_ticks;
	unsigned int rejected;
};

static uint64_t
local_time(const struct simulation *s, const struct holder *h)
{
	return (uint64_t)((int64_t)s->now + h->clock_offset);
}

static bool
apply(struct simulation *s, uint64_t if_version, const char *value)
{
	if (s->version != if_version)
		return false;
	s->version = ++s->revision;
	g_strlcpy(s->value, value, sizeof(s->value));
	return true;
}

static void
report(struct simulation *s, struct holder *h, enum jh_lease_result result)
{
	h->busy = false;
	jh_lease_on_result(h->lease, local_time(s, h), result, s->version,
	    jh_str_from(s->value));
}

static bool
happens(struct simulation *s, double p)
{
	return g_rand_double(s->rand) < p;
}

/* Delays the write, which may take effect up to 5 s later. */
static void
delay_write(struct simulation *s, struct holder *h)
{
	h->late.pending = true;
	h->late.at = s->now + (uint64_t)g_rand_int_range(s->rand, 0, 50) * TICK;
	h->late.if_version = h->action.if_version;
	g_strlcpy(h->late.value, h->value, sizeof(h->late.value));
}

static void
report_result(struct simulation *s, struct holder *h)
{
	bool applied;

	if (happens(s, s->faults)) {
		report(s, h, JH_LEASE_FAILED);
	} else if (h->action.kind == JH_LEASE_READ) {
		report(
		    s, h, s->version == 0 ? JH_LEASE_NOT_FOUND : JH_LEASE_OK);
	} else if (happens(s, s->faults)) {
		delay_write(s, h);
		report(s, h, JH_LEASE_UNKNOWN);
	} else {
		applied = apply(s, h->action.if_version, h->value);
		if (applied && happens(s, s->faults))
			report(s, h, JH_LEASE_UNKNOWN);
		else
			report(s, h, applied ? JH_LEASE_OK : JH_LEASE_CONFLICT);
	}
}

static void
step(struct simulation *s, struct holder *h)
{
	if (h->late.pending && s->now >= h->late.at) {
		h->late.pending = false;
		apply(s, h->late.if_version, h->late.value);
	}
	if (s->now < h->paused_until)
		return;
	if (h->busy && s->now >= h->result_at)
		report_result(s, h);
	if (h->busy || !jh_lease_next(h->lease, local_time(s, h), &h->action))
		return;
	h->busy = true;
	h->result_at = s->now + TICK;
	g_strlcpy(h->value,
	    h->action.value.ptr == NULL ? "" : h->action.value.ptr,
	    sizeof(h->value));
}

/* Sends the orders of a holder; a pause delays some of them. */
static void
act(struct simulation *s, struct holder *h)
{
	uint64_t token = jh_lease_token(h->lease, local_time(s, h));
	uint64_t highest = jh_fence_highest(s->fence, "duty");

	if (s->now < h->paused_until)
		return;
	if (h->order_token != 0) {
		/* Only the fence can reject an order from before a pause. */
		if (!jh_fence_admit(s->fence, "duty", h->order_token))
			s->rejected++;
		else
			assert_true(h->order_token >= highest);
		h->order_token = 0;
	}
	if (token == 0)
		return;
	if (happens(s, s->faults / 10)) {
		h->order_token = token;
		h->paused_until =
		    s->now + (uint64_t)g_rand_int_range(s->rand, 1, 300) * TICK;
	} else {
		jh_fence_admit(s->fence, "duty", token);
	}
}

static void
tick(struct simulation *s)
{
	unsigned int i, holding = 0;
	struct holder *h;

	s->now += TICK;
	for (i = 0; i < PROCESSES; i++)
		step(s, &s->h[i]);
	for (i = 0; i < PROCESSES; i++) {
		h = &s->h[i];
		holding += jh_lease_token(h->lease, local_time(s, h)) != 0;
		act(s, h);
	}
	if (holding > 1)
		fail_msg("%u holders at once", holding);
	s->held_ticks += holding;
}

static struct simulation *
simulation_create(uint32_t seed, double faults)
{
	struct simulation *s = g_new0(struct simulation, 1);
	char name[8];
	struct jh_lease_spec spec = {
	    .name = "duty", .holder = name, .term_usec = TERM};
	unsigned int i;

	s->now = START;
	s->rand = g_rand_new_with_seed(seed);
	s->faults = faults;
	s->fence = jh_fence_create(1);
	spec.rand = s->rand;
	for (i = 0; i < PROCESSES; i++) {
		snprintf(name, sizeof(name), "h%u", i);
		spec.incarnation = i + 1;
		s->h[i].lease = jh_lease_create(&spec);
		s->h[i].clock_offset =
		    g_rand_int_range(s->rand, -(gint32)JH_LEASE_MARGIN_USEC / 2,
			(gint32)JH_LEASE_MARGIN_USEC / 2);
		jh_lease_want(s->h[i].lease, true);
	}
	return s;
}

static void
simulation_destroy(struct simulation *s)
{
	unsigned int i;

	for (i = 0; i < PROCESSES; i++)
		jh_lease_destroy(s->h[i].lease);
	jh_fence_destroy(s->fence);
	g_rand_free(s->rand);
	g_free(s);
}

static void
run(struct simulation *s, uint64_t usec)
{
	uint64_t end = s->now + usec;

	while (s->now < end)
		tick(s);
}

/* Guards against two holders at once, and against a lease without a holder. */
static void
one_holder_at_a_time(void **state)
{
	unsigned int rejected = 0;
	struct simulation *s;
	uint32_t seed;

	for (seed = 1; seed <= 30; seed++) {
		s = simulation_create(seed, 0.1);
		run(s, 600 * JH_USEC_PER_SEC);
		assert_true(s->held_ticks > 0);
		rejected += s->rejected;
		/* Without further faults one process holds the lease again. */
		s->faults = 0;
		run(s, 60 * JH_USEC_PER_SEC);
		s->held_ticks = 0;
		run(s, 10 * JH_USEC_PER_SEC);
		assert_int_equal(s->held_ticks, 10 * JH_USEC_PER_SEC / TICK);
		simulation_destroy(s);
	}
	/* Otherwise the runs would not test the fence. */
	assert_true(rejected > 0);
}

/* Guards against a holder that still acts after jh_lease_want(l, false). */
static void
released_lease_is_taken_over(void **state)
{
	struct simulation *s = simulation_create(1, 0);
	struct holder *first = NULL;
	unsigned int i;

	run(s, 5 * JH_USEC_PER_SEC);
	for (i = 0; i < PROCESSES; i++) {
		if (jh_lease_safe_until(s->h[i].lease) != 0)
			first = &s->h[i];
	}
	assert_non_null(first);
	jh_lease_want(first->lease, false);
	assert_int_equal(jh_lease_token(first->lease, local_time(s, first)), 0);
	run(s, JH_USEC_PER_SEC);
	assert_true(jh_lease_is_idle(first->lease));
	s->held_ticks = 0;
	/* The others read the object again within one term. */
	run(s, TERM + JH_USEC_PER_SEC);
	assert_true(s->held_ticks > 0);
	assert_int_equal(jh_lease_safe_until(first->lease), 0);
	simulation_destroy(s);
}

/* Guards against a holder with a slow clock that acts after the deadline. */
static void
token_ends_a_margin_before_the_deadline(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct jh_lease_spec spec = {"duty", "h", 1, TERM, rand};
	struct jh_lease *l = jh_lease_create(&spec);
	struct jh_lease_action a;
	uint64_t end = START + TERM - JH_LEASE_MARGIN_USEC;

	jh_lease_want(l, true);
	assert_true(jh_lease_next(l, START, &a));
	assert_false(jh_lease_next(l, START, &a));
	jh_lease_on_result(l, START, JH_LEASE_NOT_FOUND, 0, JH_STR(""));
	assert_true(jh_lease_next(l, START, &a));
	assert_int_equal(a.kind, JH_LEASE_WRITE);
	assert_int_equal(a.if_version, 0);
	jh_lease_on_result(l, START + 1, JH_LEASE_OK, 77, JH_STR(""));
	assert_int_equal(jh_lease_token(l, START + 1), 77);
	assert_int_equal(jh_lease_token(l, end - 1), 77);
	assert_int_equal(jh_lease_token(l, end), 0);
	jh_lease_destroy(l);
	g_rand_free(rand);
}

/* Starts the next call, which must be a write, and returns its value. */
static char *
start_write(struct jh_lease *l, uint64_t now, uint64_t if_version)
{
	struct jh_lease_action a;

	assert_true(jh_lease_next(l, now, &a));
	assert_int_equal(a.kind, JH_LEASE_WRITE);
	assert_int_equal(a.if_version, if_version);
	return jh_str_dup(a.value);
}

static void
start_read(struct jh_lease *l, uint64_t now)
{
	struct jh_lease_action a;

	assert_true(jh_lease_next(l, now, &a));
	assert_int_equal(a.kind, JH_LEASE_READ);
}

/* Guards against a holder that does not recognise its own write. */
static void
lost_replies_are_resolved(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct jh_lease_spec spec = {"duty", "h", 1, TERM, rand};
	struct jh_lease *l = jh_lease_create(&spec);
	uint64_t now = START;
	char *first, *value;

	jh_lease_want(l, true);
	start_read(l, now);
	jh_lease_on_result(l, now, JH_LEASE_NOT_FOUND, 0, JH_STR(""));
	first = start_write(l, now, 0);
	jh_lease_on_result(l, now, JH_LEASE_UNKNOWN, 0, JH_STR(""));
	/* The first write is late: its repetition conflicts with it. */
	start_read(l, now = jh_lease_wake(l));
	jh_lease_on_result(l, now, JH_LEASE_NOT_FOUND, 0, JH_STR(""));
	g_free(start_write(l, now, 0));
	jh_lease_on_result(l, now, JH_LEASE_CONFLICT, 5, jh_str_from(first));
	assert_int_equal(jh_lease_token(l, now), 5);
	assert_int_equal(
	    jh_lease_safe_until(l), START + TERM - JH_LEASE_MARGIN_USEC);
	/* A renewal whose reply was lost is found by reading. */
	value = start_write(l, now = jh_lease_wake(l), 5);
	jh_lease_on_result(l, now, JH_LEASE_UNKNOWN, 0, JH_STR(""));
	assert_int_equal(jh_lease_token(l, now), 5);
	start_read(l, now = jh_lease_wake(l));
	jh_lease_on_result(l, now, JH_LEASE_OK, 9, jh_str_from(value));
	assert_int_equal(jh_lease_token(l, now), 9);
	g_free(value);
	/* A different write ends the lease before its deadline. */
	value = start_write(l, now = jh_lease_wake(l), 9);
	jh_lease_on_result(l, now, JH_LEASE_CONFLICT, 10, jh_str_from(first));
	assert_int_equal(jh_lease_token(l, now), 0);
	g_free(value);
	g_free(first);
	jh_lease_destroy(l);
	g_rand_free(rand);
}

/* Guards against orders of a former holder, and against an unbounded fence. */
static void
fence_rejects_lower_tokens(void **state)
{
	struct jh_fence *f = jh_fence_create(2);

	assert_true(jh_fence_admit(f, "a", 5));
	assert_true(jh_fence_admit(f, "a", 5));
	assert_false(jh_fence_admit(f, "a", 4));
	assert_true(jh_fence_admit(f, "b", 1));
	assert_false(jh_fence_admit(f, "c", 9));
	assert_false(jh_fence_admit(f, "b", 0));
	assert_int_equal(jh_fence_highest(f, "a"), 5);
	jh_fence_destroy(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(one_holder_at_a_time),
	    cmocka_unit_test(released_lease_is_taken_over),
	    cmocka_unit_test(token_ends_a_margin_before_the_deadline),
	    cmocka_unit_test(lost_replies_are_resolved),
	    cmocka_unit_test(fence_rejects_lower_tokens),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
