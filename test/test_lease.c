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
 * Contenders for one lease around one store object in virtual time. Calls
 * break before or after they take effect, writes may take effect after their
 * caller gave up, holders pause, and clocks differ by up to the margin.
 */
#define HOLDERS 4
#define TICK (100 * JH_USEC_PER_MSEC)
#define TERM (10 * JH_USEC_PER_SEC)
#define START (1000 * JH_USEC_PER_SEC)

/* A write on its way to the store. */
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
	uint64_t answer_at;
	struct late_write late;
	uint64_t order_token; /* order decided before a pause, 0: none */
};

struct world {
	uint64_t now;
	GRand *rand;
	uint64_t version;
	char value[256];
	uint64_t revision;
	double faults; /* probability of each kind per call */
	struct holder h[HOLDERS];
	struct jh_fence *fence;
	unsigned int held_ticks;
	unsigned int refused;
};

static uint64_t
local_time(const struct world *w, const struct holder *h)
{
	return (uint64_t)((int64_t)w->now + h->clock_offset);
}

static bool
apply(struct world *w, uint64_t if_version, const char *value)
{
	if (w->version != if_version)
		return false;
	w->version = ++w->revision;
	g_strlcpy(w->value, value, sizeof(w->value));
	return true;
}

static void
report(struct world *w, struct holder *h, enum jh_lease_result result)
{
	h->busy = false;
	jh_lease_on_result(h->lease, local_time(w, h), result, w->version,
	    jh_str_from(w->value));
}

static bool
happens(struct world *w, double p)
{
	return g_rand_double(w->rand) < p;
}

/* Loses the write for now; it may take effect up to 5 s later. */
static void
delay_write(struct world *w, struct holder *h)
{
	h->late.pending = true;
	h->late.at = w->now + (uint64_t)g_rand_int_range(w->rand, 0, 50) * TICK;
	h->late.if_version = h->action.if_version;
	g_strlcpy(h->late.value, h->value, sizeof(h->late.value));
}

static void
answer(struct world *w, struct holder *h)
{
	bool applied;

	if (happens(w, w->faults)) {
		report(w, h, JH_LEASE_FAILED);
	} else if (h->action.kind == JH_LEASE_READ) {
		report(
		    w, h, w->version == 0 ? JH_LEASE_NOT_FOUND : JH_LEASE_OK);
	} else if (happens(w, w->faults)) {
		delay_write(w, h);
		report(w, h, JH_LEASE_UNKNOWN);
	} else {
		applied = apply(w, h->action.if_version, h->value);
		if (applied && happens(w, w->faults))
			report(w, h, JH_LEASE_UNKNOWN);
		else
			report(w, h, applied ? JH_LEASE_OK : JH_LEASE_CONFLICT);
	}
}

static void
step(struct world *w, struct holder *h)
{
	if (h->late.pending && w->now >= h->late.at) {
		h->late.pending = false;
		apply(w, h->late.if_version, h->late.value);
	}
	if (w->now < h->paused_until)
		return;
	if (h->busy && w->now >= h->answer_at)
		answer(w, h);
	if (h->busy || !jh_lease_next(h->lease, local_time(w, h), &h->action))
		return;
	h->busy = true;
	h->answer_at = w->now + TICK;
	g_strlcpy(h->value,
	    h->action.value.ptr == NULL ? "" : h->action.value.ptr,
	    sizeof(h->value));
}

/* Sends orders as a duty's holder does; some are held up by a pause. */
static void
act(struct world *w, struct holder *h)
{
	uint64_t token = jh_lease_token(h->lease, local_time(w, h));
	uint64_t highest = jh_fence_highest(w->fence, "duty");

	if (w->now < h->paused_until)
		return;
	if (h->order_token != 0) {
		/* Decided before the pause: only the fence can tell. */
		if (!jh_fence_admit(w->fence, "duty", h->order_token))
			w->refused++;
		else
			assert_true(h->order_token >= highest);
		h->order_token = 0;
	}
	if (token == 0)
		return;
	if (happens(w, w->faults / 10)) {
		h->order_token = token;
		h->paused_until =
		    w->now + (uint64_t)g_rand_int_range(w->rand, 1, 300) * TICK;
	} else {
		jh_fence_admit(w->fence, "duty", token);
	}
}

static void
tick(struct world *w)
{
	unsigned int i, holding = 0;
	struct holder *h;

	w->now += TICK;
	for (i = 0; i < HOLDERS; i++)
		step(w, &w->h[i]);
	for (i = 0; i < HOLDERS; i++) {
		h = &w->h[i];
		holding += jh_lease_token(h->lease, local_time(w, h)) != 0;
		act(w, h);
	}
	if (holding > 1)
		fail_msg("%u holders at once", holding);
	w->held_ticks += holding;
}

static struct world *
world_create(uint32_t seed, double faults)
{
	struct world *w = g_new0(struct world, 1);
	char name[8];
	struct jh_lease_spec spec = {
	    .name = "duty", .holder = name, .term_usec = TERM};
	unsigned int i;

	w->now = START;
	w->rand = g_rand_new_with_seed(seed);
	w->faults = faults;
	w->fence = jh_fence_create(1);
	spec.rand = w->rand;
	for (i = 0; i < HOLDERS; i++) {
		snprintf(name, sizeof(name), "h%u", i);
		spec.incarnation = i + 1;
		w->h[i].lease = jh_lease_create(&spec);
		w->h[i].clock_offset =
		    g_rand_int_range(w->rand, -(gint32)JH_LEASE_MARGIN_USEC / 2,
			(gint32)JH_LEASE_MARGIN_USEC / 2);
		jh_lease_want(w->h[i].lease, true);
	}
	return w;
}

static void
world_destroy(struct world *w)
{
	unsigned int i;

	for (i = 0; i < HOLDERS; i++)
		jh_lease_destroy(w->h[i].lease);
	jh_fence_destroy(w->fence);
	g_rand_free(w->rand);
	g_free(w);
}

static void
run(struct world *w, uint64_t usec)
{
	uint64_t end = w->now + usec;

	while (w->now < end)
		tick(w);
}

/* Guards against two holders at once, and against a lease nobody gets. */
static void
one_holder_at_a_time(void **state)
{
	unsigned int refused = 0;
	struct world *w;
	uint32_t seed;

	for (seed = 1; seed <= 30; seed++) {
		w = world_create(seed, 0.1);
		run(w, 600 * JH_USEC_PER_SEC);
		assert_true(w->held_ticks > 0);
		refused += w->refused;
		/* Pauses end, and some contender holds it again. */
		w->faults = 0;
		run(w, 60 * JH_USEC_PER_SEC);
		w->held_ticks = 0;
		run(w, 10 * JH_USEC_PER_SEC);
		assert_int_equal(w->held_ticks, 10 * JH_USEC_PER_SEC / TICK);
		world_destroy(w);
	}
	/* Without this the run would not exercise the fence. */
	assert_true(refused > 0);
}

/* Guards against a holder that works on after it was told to stop. */
static void
release_passes_the_lease_on(void **state)
{
	struct world *w = world_create(1, 0);
	struct holder *first = NULL;
	unsigned int i;

	run(w, 5 * JH_USEC_PER_SEC);
	for (i = 0; i < HOLDERS; i++) {
		if (jh_lease_safe_until(w->h[i].lease) != 0)
			first = &w->h[i];
	}
	assert_non_null(first);
	jh_lease_want(first->lease, false);
	assert_int_equal(jh_lease_token(first->lease, local_time(w, first)), 0);
	run(w, JH_USEC_PER_SEC);
	assert_true(jh_lease_is_idle(first->lease));
	w->held_ticks = 0;
	/* The others look again within one term. */
	run(w, TERM + JH_USEC_PER_SEC);
	assert_true(w->held_ticks > 0);
	assert_int_equal(jh_lease_safe_until(first->lease), 0);
	world_destroy(w);
}

/* Guards against acting up to the very deadline on a slow clock. */
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

/* Guards against a holder that does not know its own write again. */
static void
lost_answers_are_settled(void **state)
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
	/* Not there yet: the same write again, which meets the lost one. */
	start_read(l, now = jh_lease_wake(l));
	jh_lease_on_result(l, now, JH_LEASE_NOT_FOUND, 0, JH_STR(""));
	g_free(start_write(l, now, 0));
	jh_lease_on_result(l, now, JH_LEASE_CONFLICT, 5, jh_str_from(first));
	assert_int_equal(jh_lease_token(l, now), 5);
	assert_int_equal(
	    jh_lease_safe_until(l), START + TERM - JH_LEASE_MARGIN_USEC);
	/* A renewal whose answer is lost is found by reading. */
	value = start_write(l, now = jh_lease_wake(l), 5);
	jh_lease_on_result(l, now, JH_LEASE_UNKNOWN, 0, JH_STR(""));
	assert_int_equal(jh_lease_token(l, now), 5);
	start_read(l, now = jh_lease_wake(l));
	jh_lease_on_result(l, now, JH_LEASE_OK, 9, jh_str_from(value));
	assert_int_equal(jh_lease_token(l, now), 9);
	g_free(value);
	/* Another write there ends it at once, whatever the deadline. */
	value = start_write(l, now = jh_lease_wake(l), 9);
	jh_lease_on_result(l, now, JH_LEASE_CONFLICT, 10, jh_str_from(first));
	assert_int_equal(jh_lease_token(l, now), 0);
	g_free(value);
	g_free(first);
	jh_lease_destroy(l);
	g_rand_free(rand);
}

/* Guards against orders of a former holder, and against a growing fence. */
static void
fence_refuses_lower_tokens(void **state)
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
	    cmocka_unit_test(release_passes_the_lease_on),
	    cmocka_unit_test(token_ends_a_margin_before_the_deadline),
	    cmocka_unit_test(lost_answers_are_settled),
	    cmocka_unit_test(fence_refuses_lower_tokens),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
