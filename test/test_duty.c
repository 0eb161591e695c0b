#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "member/duty.h"

#define MSEC JH_USEC_PER_MSEC
#define HOLD (1500 * MSEC)
#define APART (3000 * MSEC)
#define TRANSIT (500 * MSEC)

/* The one object of the store. */
struct object {
	uint64_t version; /* 0: absent */
	char holder[16];
	uint64_t term;
	uint64_t rest;
	bool released;
};

/* One process that competes for the duty. */
struct member {
	struct jh_duty *duty;
	char name[16];
	bool in_call;
	bool lose_answer; /* of the call in progress */
	uint64_t call_ends;
	struct jh_duty_action action;
	uint64_t stuck_until; /* frozen, or cut off from the store */
	bool frozen;
	bool resigned;
};

struct world {
	struct object object;
	uint64_t revision;
	GRand *rand;
	struct member members[5];
	/* The last act of all. */
	const struct member *last_actor;
	uint64_t last_act;
	uint64_t last_token;
	unsigned int acts, changes;
	bool always_work;
};

static void
join(struct world *w, struct member *m, int number)
{
	struct jh_duty_spec spec = {
	    .holder = m->name,
	    .hold = HOLD,
	    .renew = 500 * MSEC,
	    .look = 600 * MSEC,
	    .apart = APART,
	    .transit = TRANSIT,
	};

	memset(m, 0, sizeof(*m));
	g_snprintf(m->name, sizeof(m->name), "p%d-%u", number,
	    g_rand_int(w->rand) % 10000);
	m->duty = jh_duty_create(&spec);
}

static void
world_init(struct world *w, unsigned int seed)
{
	size_t i;

	memset(w, 0, sizeof(*w));
	w->rand = g_rand_new_with_seed(seed);
	for (i = 0; i < G_N_ELEMENTS(w->members); i++)
		join(w, &w->members[i], (int)i);
}

static void
world_clear(struct world *w)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(w->members); i++)
		jh_duty_destroy(w->members[i].duty);
	g_rand_free(w->rand);
}

/* Carries a write out, if its condition holds. */
static bool
apply(struct world *w, const struct jh_duty_action *a)
{
	bool fits = a->kind == JH_DUTY_CREATE
			? w->object.version == 0
			: w->object.version == a->if_version;

	if (!fits)
		return false;
	w->object.version = ++w->revision;
	g_strlcpy(w->object.holder, a->holder, sizeof(w->object.holder));
	w->object.term = a->term;
	w->object.rest = a->rest;
	w->object.released = a->released;
	return true;
}

static void
finish_call(struct world *w, struct member *m, uint64_t now)
{
	struct jh_duty_reply r = {.result = JH_STORE_OK};
	bool done = true;

	m->in_call = false;
	if (m->action.kind != JH_DUTY_READ)
		done = apply(w, &m->action);
	if (m->lose_answer) {
		r.result = m->action.kind == JH_DUTY_READ ? JH_STORE_UNAVAILABLE
							  : JH_STORE_UNKNOWN;
		jh_duty_on_reply(m->duty, now, &r);
		return;
	}
	r.version = w->object.version;
	r.holder = jh_str_from(w->object.holder);
	r.term = w->object.term;
	r.rest = w->object.rest;
	r.released = w->object.released;
	if (w->object.version == 0)
		r.result = JH_STORE_NOT_FOUND;
	else if (!done)
		r.result = JH_STORE_CONFLICT;
	jh_duty_on_reply(m->duty, now, &r);
}

static void
act(struct world *w, struct member *m, uint64_t now)
{
	uint64_t token = jh_duty_token(m->duty, now);

	if (token == 0)
		return;
	if (w->last_actor != NULL && w->last_actor != m) {
		assert_true(now - w->last_act >= APART);
		assert_true(token > w->last_token);
		w->changes++;
	}
	if (w->last_actor == m)
		assert_true(token >= w->last_token);
	w->last_actor = m;
	w->last_act = now;
	w->last_token = token;
	w->acts++;
	jh_duty_acted(m->duty, now);
}

static void
step(struct world *w, struct member *m, uint64_t now)
{
	if (now < m->stuck_until && m->frozen)
		return;
	if (m->in_call && now >= m->call_ends && now >= m->stuck_until)
		finish_call(w, m, now);
	if (!m->in_call && jh_duty_next(m->duty, now, &m->action)) {
		m->in_call = true;
		m->lose_answer = g_rand_double(w->rand) < 0.1;
		m->call_ends =
		    now + (uint64_t)g_rand_int_range(w->rand, 4, 300) * MSEC;
	}
	/* Work comes and goes. */
	if (w->always_work || (now / (4000 * MSEC)) % 2 == 0)
		jh_duty_want_to_act(m->duty, now);
	act(w, m, now);
}

/* Freezes, cuts off, kills or stops a random process. */
static void
disturb(struct world *w, uint64_t now)
{
	int i = g_rand_int_range(w->rand, 0, G_N_ELEMENTS(w->members));
	struct member *m = &w->members[i];

	switch (g_rand_int_range(w->rand, 0, 4)) {
	case 0:
	case 1:
		m->frozen = g_rand_boolean(w->rand);
		m->stuck_until =
		    now + (uint64_t)g_rand_int_range(w->rand, 500, 8000) * MSEC;
		break;
	case 2:
		if (w->last_actor == m)
			w->last_actor = NULL; /* judged by its last act */
		jh_duty_destroy(m->duty);
		join(w, m, i);
		break;
	default:
		jh_duty_resign(m->duty);
		m->resigned = true;
		break;
	}
}

/*
 * Guards against two holders that act within the forbidden time, or under the
 * wrong tokens, whatever is frozen, cut off, killed, stopped or not answered.
 */
static void
acts_of_two_holders_lie_apart(void **state)
{
	unsigned int acts = 0, changes = 0, seed;

	for (seed = 1; seed <= 60; seed++) {
		struct world w;
		uint64_t now, last_actor_act = 0;
		size_t i;
		world_init(&w, seed);
		for (now = 1; now < 120000 * MSEC; now += 10 * MSEC) {
			for (i = 0; i < G_N_ELEMENTS(w.members); i++)
				step(&w, &w.members[i], now);
			if (g_rand_double(w.rand) < 0.003)
				disturb(&w, now);
			last_actor_act = w.last_act;
		}
		assert_true(last_actor_act > 0);
		acts += w.acts;
		changes += w.changes;
		world_clear(&w);
	}
	assert_true(acts > 10000);
	assert_true(changes > 50);
}

/* Runs without disturbance until the first holder may act. */
static struct member *
run_until_act(struct world *w, uint64_t *now)
{
	uint64_t until = *now + 20000 * MSEC;
	unsigned int before = w->acts;
	size_t i;

	w->always_work = true;
	for (; *now < until; *now += 10 * MSEC)
		for (i = 0; i < G_N_ELEMENTS(w->members); i++) {
			struct member *m = &w->members[i];
			step(w, m, *now);
			m->lose_answer = false;
			if (w->acts > before)
				return m;
		}
	return NULL;
}

/* Guards against a duty that nobody performs for long after a kill. */
static void
killed_holder_is_replaced(void **state)
{
	struct world w;
	struct member *first, *second;
	uint64_t now = 1, killed;

	world_init(&w, 5);
	first = run_until_act(&w, &now);
	assert_non_null(first);
	killed = now;
	first->frozen = true;
	first->stuck_until = UINT64_MAX;
	second = run_until_act(&w, &now);
	assert_non_null(second);
	assert_ptr_not_equal(first, second);
	assert_true(now - killed <= HOLD + APART + TRANSIT + 2000 * MSEC);
	world_clear(&w);
}

/* Guards against a stopped holder that keeps others waiting for its tenure. */
static void
released_duty_waits_only_for_the_rest(void **state)
{
	struct world w;
	struct member *first, *second;
	uint64_t now = 1, resigned;

	world_init(&w, 6);
	first = run_until_act(&w, &now);
	assert_non_null(first);
	jh_duty_resign(first->duty);
	resigned = now;
	second = run_until_act(&w, &now);
	assert_non_null(second);
	assert_ptr_not_equal(first, second);
	assert_true(now - resigned <= APART + TRANSIT + 1300 * MSEC);
	assert_false(jh_duty_bound(first->duty));
	world_clear(&w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(acts_of_two_holders_lie_apart),
	    cmocka_unit_test(killed_holder_is_replaced),
	    cmocka_unit_test(released_duty_waits_only_for_the_rest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
