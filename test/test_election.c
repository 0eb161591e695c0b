#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "member/election.h"

#define MSEC JH_USEC_PER_MSEC
#define LEASE_TIME (1500 * MSEC)
#define MIN_GAP (3000 * MSEC)
#define MAX_TRANSIT (500 * MSEC)
#define STANDBY_INTERVAL (3000 * MSEC)

/* The election's object in the store. */
struct object {
	uint64_t revision; /* 0: absent */
	char holder[16];
	uint64_t term;
	uint64_t era; /* in which it was written */
	uint64_t successor_wait;
	bool released;
};

/* The object from that time on, in the history of the store. */
struct state {
	uint64_t since;
	uint64_t store_revision;
	struct object object;
};

/* A write that is executed late, after its reply was lost. */
struct late_write {
	uint64_t at; /* 0: none */
	char holder[16];
	struct jh_election_action action;
};

/* One process that takes part in the election. */
struct process {
	struct jh_election *election;
	char name[16];
	bool in_call;
	bool lose_reply; /* of the call in progress */
	uint64_t call_ends;
	struct jh_election_action action;
	uint64_t stuck_until; /* frozen or without the store before */
	bool frozen; /* the whole process, not only its calls */
	bool resigned;
};

struct simulation {
	struct object object;
	uint64_t era;
	uint64_t revision; /* of the store */
	GArray *history; /* of struct state */
	struct late_write late[4];
	bool restores; /* the store may come back from an older copy */
	GRand *rand;
	struct process processes[5];
	/* The last action of any process. */
	const struct process *last_actor;
	uint64_t last_action;
	uint64_t last_token;
	unsigned int actions, leader_changes;
	bool always_has_work;
};

static struct jh_election *
create_election(const char *holder)
{
	struct jh_election_spec spec = {
	    .holder = holder,
	    .lease_time = LEASE_TIME,
	    .renew_interval = 500 * MSEC,
	    .poll_interval = 600 * MSEC,
	    .standby_interval = STANDBY_INTERVAL,
	    .min_gap = MIN_GAP,
	    .max_transit = MAX_TRANSIT,
	};

	return jh_election_create(&spec);
}

static void
join(struct simulation *s, struct process *m, int number)
{

	memset(m, 0, sizeof(*m));
	g_snprintf(m->name, sizeof(m->name), "p%d-%u", number,
	    g_rand_int(s->rand) % 10000);
	m->election = create_election(m->name);
}

static void
record_state(struct simulation *s, uint64_t now)
{
	struct state state = {now, s->revision, s->object};

	g_array_append_val(s->history, state);
}

static void
simulation_init(struct simulation *s, unsigned int seed)
{
	size_t i;

	memset(s, 0, sizeof(*s));
	s->rand = g_rand_new_with_seed(seed);
	s->era = 1;
	s->history = g_array_new(FALSE, FALSE, sizeof(struct state));
	record_state(s, 0);
	for (i = 0; i < G_N_ELEMENTS(s->processes); i++)
		join(s, &s->processes[i], (int)i);
}

static void
simulation_clear(struct simulation *s)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(s->processes); i++)
		jh_election_destroy(s->processes[i].election);
	g_rand_free(s->rand);
	g_array_free(s->history, TRUE);
}

/* Applies a write if its condition holds. Objects of others change too. */
static bool
apply_write(
    struct simulation *s, uint64_t now, const struct jh_election_action *a)
{
	bool fits = a->kind == JH_ELECTION_CREATE
			? s->object.revision == 0
			: s->object.revision == a->if_at.revision;

	if (!fits)
		return false;
	s->revision += (uint64_t)g_rand_int_range(s->rand, 1, 3);
	s->object.revision = s->revision;
	g_strlcpy(s->object.holder, a->holder, sizeof(s->object.holder));
	s->object.term = a->term;
	s->object.era = a->era;
	s->object.successor_wait = a->cooldown;
	s->object.released = a->released;
	record_state(s, now);
	return true;
}

/* Has the write executed up to 6 s later, if there is room for it. */
static bool
delay_write(
    struct simulation *s, uint64_t now, const struct jh_election_action *a)
{
	size_t i;

	if (!s->restores || g_rand_boolean(s->rand))
		return false;
	for (i = 0; i < G_N_ELEMENTS(s->late); i++) {
		struct late_write *w = &s->late[i];
		if (w->at != 0)
			continue;
		w->at =
		    now + (uint64_t)g_rand_int_range(s->rand, 100, 6000) * MSEC;
		g_strlcpy(w->holder, a->holder, sizeof(w->holder));
		w->action = *a;
		w->action.holder = w->holder;
		return true;
	}
	return false;
}

static void
execute_late_writes(struct simulation *s, uint64_t now)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(s->late); i++) {
		if (s->late[i].at == 0 || now < s->late[i].at)
			continue;
		s->late[i].at = 0;
		(void)apply_write(s, now, &s->late[i].action);
	}
}

/* The store comes back from a copy of up to 10 s of age. */
static void
restore(struct simulation *s, uint64_t now)
{
	uint64_t age = (uint64_t)g_rand_int_range(s->rand, 100, 10000) * MSEC;
	const struct state *state;

	while (
	    s->history->len > 1 &&
	    g_array_index(s->history, struct state, s->history->len - 1).since +
		    age >
		now)
		g_array_set_size(s->history, s->history->len - 1);
	state = &g_array_index(s->history, struct state, s->history->len - 1);
	s->object = state->object;
	s->revision = state->store_revision;
	s->era++;
}

static void
finish_call(struct simulation *s, struct process *m, uint64_t now)
{
	struct jh_election_reply r = {.result = JH_STORE_OK};
	bool done = true;

	m->in_call = false;
	if (m->action.kind != JH_ELECTION_READ &&
	    !(m->lose_reply && delay_write(s, now, &m->action)))
		done = apply_write(s, now, &m->action);
	if (m->lose_reply) {
		r.result = m->action.kind == JH_ELECTION_READ
			       ? JH_STORE_UNAVAILABLE
			       : JH_STORE_UNKNOWN;
		jh_election_on_reply(m->election, now, &r);
		return;
	}
	r.position = (struct jh_position){s->era, s->object.revision};
	r.written_era = s->object.era;
	r.holder = jh_str_from(s->object.holder);
	r.term = s->object.term;
	r.cooldown = s->object.successor_wait;
	r.released = s->object.released;
	if (s->object.revision == 0)
		r.result = JH_STORE_NOT_FOUND;
	else if (!done)
		r.result = JH_STORE_CONFLICT;
	jh_election_on_reply(m->election, now, &r);
}

static void
act(struct simulation *s, struct process *m, uint64_t now)
{
	uint64_t token = jh_election_token(m->election, now);

	if (token == 0)
		return;
	if (s->last_actor != NULL && s->last_actor != m) {
		assert_true(now - s->last_action >= MIN_GAP);
		assert_true(token > s->last_token);
		s->leader_changes++;
	}
	if (s->last_actor == m)
		assert_true(token >= s->last_token);
	s->last_actor = m;
	s->last_action = now;
	s->last_token = token;
	s->actions++;
	jh_election_acted(m->election, now);
}

static void
step(struct simulation *s, struct process *m, uint64_t now)
{
	if (now < m->stuck_until && m->frozen)
		return;
	/* A peer tells. */
	if (s->restores && g_rand_double(s->rand) < 0.01)
		jh_election_begin_era(m->election, now, s->era);
	if (m->in_call && now >= m->call_ends && now >= m->stuck_until)
		finish_call(s, m, now);
	if (!m->in_call && jh_election_next(m->election, now, &m->action)) {
		m->in_call = true;
		m->lose_reply = g_rand_double(s->rand) < 0.1;
		m->call_ends =
		    now + (uint64_t)g_rand_int_range(s->rand, 4, 300) * MSEC;
	}
	/* There is work to do for 4 s, then none for 4 s. */
	if (s->always_has_work || (now / (4000 * MSEC)) % 2 == 0)
		jh_election_want_to_act(m->election, now);
	act(s, m, now);
}

/* Freezes, cuts off from the store, restarts or stops a random process. */
static void
inject_fault(struct simulation *s, uint64_t now)
{
	int i = g_rand_int_range(s->rand, 0, G_N_ELEMENTS(s->processes));
	struct process *m = &s->processes[i];

	switch (g_rand_int_range(s->rand, 0, s->restores ? 6 : 4)) {
	case 0:
	case 1:
		m->frozen = g_rand_boolean(s->rand);
		m->stuck_until =
		    now + (uint64_t)g_rand_int_range(s->rand, 500, 8000) * MSEC;
		break;
	case 4:
	case 5:
		restore(s, now);
		break;
	case 2:
		if (s->last_actor == m)
			s->last_actor = NULL; /* a new process */
		jh_election_destroy(m->election);
		join(s, m, i);
		break;
	default:
		jh_election_resign(m->election);
		m->resigned = true;
		break;
	}
}

static void
run_simulations(unsigned int seeds, bool restores)
{
	unsigned int actions = 0, leader_changes = 0, seed;

	for (seed = 1; seed <= seeds; seed++) {
		struct simulation s;
		uint64_t now, last_action_seen = 0;
		size_t i;
		simulation_init(&s, seed);
		s.restores = restores;
		for (now = 1; now < 120000 * MSEC; now += 10 * MSEC) {
			for (i = 0; i < G_N_ELEMENTS(s.processes); i++)
				step(&s, &s.processes[i], now);
			execute_late_writes(&s, now);
			if (g_rand_double(s.rand) < 0.003)
				inject_fault(&s, now);
			last_action_seen = s.last_action;
		}
		assert_true(last_action_seen > 0);
		actions += s.actions;
		leader_changes += s.leader_changes;
		simulation_clear(&s);
	}
	assert_true(actions > 10000);
	assert_true(leader_changes > 50);
}

/*
 * Guards against actions of two leaders less than min_gap apart, and against a
 * later leader with a token that is not higher, when processes are frozen, cut
 * off, restarted or stopped and replies are lost.
 */
static void
actions_of_two_leaders_are_apart(void **state)
{
	run_simulations(60, false);
}

/* The same, when the store comes back from older copies. */
static void
actions_are_apart_through_restores(void **state)
{
	run_simulations(1000, true);
}

/* Runs without faults until a process acts; returns it. */
static struct process *
run_until_act(struct simulation *s, uint64_t *now)
{
	uint64_t until = *now + 20000 * MSEC;
	unsigned int before = s->actions;
	size_t i;

	s->always_has_work = true;
	for (; *now < until; *now += 10 * MSEC)
		for (i = 0; i < G_N_ELEMENTS(s->processes); i++) {
			struct process *m = &s->processes[i];
			step(s, m, *now);
			m->lose_reply = false;
			if (s->actions > before)
				return m;
		}
	return NULL;
}

/* Guards against a pause of orders each time that the store comes back. */
static void
leader_goes_on_after_a_restore(void **state)
{
	struct simulation s;
	struct process *first;
	uint64_t now = 1, restored, token;

	simulation_init(&s, 8);
	first = run_until_act(&s, &now);
	assert_non_null(first);
	token = s.last_token;
	now += 300 * MSEC;
	restored = now;
	restore(&s, now);
	while (s.last_token == token) {
		assert_ptr_equal(run_until_act(&s, &now), first);
		now += 10 * MSEC;
	}
	assert_true(now - restored < LEASE_TIME + MIN_GAP + MAX_TRANSIT);
	simulation_clear(&s);
}

/* Guards against a long time without a leader after the leader was killed. */
static void
killed_leader_is_replaced(void **state)
{
	struct simulation s;
	struct process *first, *second;
	uint64_t now = 1, killed;

	simulation_init(&s, 5);
	first = run_until_act(&s, &now);
	assert_non_null(first);
	killed = now;
	first->frozen = true;
	first->stuck_until = UINT64_MAX;
	second = run_until_act(&s, &now);
	assert_non_null(second);
	assert_ptr_not_equal(first, second);
	assert_true(
	    now - killed <= LEASE_TIME + MIN_GAP + MAX_TRANSIT + 2000 * MSEC);
	simulation_clear(&s);
}

/* Guards against a stopped leader whose successor waits for its lease. */
static void
successor_waits_only_for_the_cooldown(void **state)
{
	struct simulation s;
	struct process *first, *second;
	uint64_t now = 1, resigned;

	simulation_init(&s, 6);
	first = run_until_act(&s, &now);
	assert_non_null(first);
	jh_election_resign(first->election);
	resigned = now;
	second = run_until_act(&s, &now);
	assert_non_null(second);
	assert_ptr_not_equal(first, second);
	assert_true(now - resigned <= MIN_GAP + MAX_TRANSIT + 1300 * MSEC);
	assert_false(jh_election_release_pending(first->election));
	simulation_clear(&s);
}

/* Passes the election the reply to its next call. */
static struct jh_election_action
answer_next_call(struct jh_election *e, uint64_t now, uint64_t revision)
{
	struct jh_election_reply r = {.result = JH_STORE_OK,
	    .position = {0, revision},
	    .holder = JH_STR("leader")};
	struct jh_election_action a;

	assert_true(jh_election_next(e, now, &a));
	if (revision == 0)
		r.result = JH_STORE_NOT_FOUND;
	jh_election_on_reply(e, now, &r);
	return a;
}

/*
 * Guards against a leader that acts although its write in progress tells a
 * successor that it does not, as after a pause within its lease.
 */
static void
write_of_an_idle_leader_ends_its_actions(void **state)
{
	struct jh_election *e = create_election("leader");
	struct jh_election_action a;
	uint64_t now = 1000 * MSEC;

	answer_next_call(e, now, 0);
	now += 600 * MSEC;
	answer_next_call(e, now, 1);
	jh_election_want_to_act(e, now);
	a = answer_next_call(e, now, 2);
	assert_int_equal(a.cooldown, MIN_GAP + MAX_TRANSIT);
	assert_int_not_equal(jh_election_token(e, now), 0);
	now += 1200 * MSEC;
	assert_true(jh_election_next(e, now, &a));
	assert_int_equal(a.cooldown, 0);
	jh_election_want_to_act(e, now);
	assert_true(jh_election_is_leader(e, now));
	assert_int_equal(jh_election_token(e, now), 0);
	jh_election_destroy(e);
}

/* Calls to the store that a process makes in 60 s while another one leads. */
static unsigned int
count_follower_calls(bool standby)
{
	struct jh_election *e = create_election("follower");
	struct jh_election_reply r = {.result = JH_STORE_OK,
	    .position = {0, 1},
	    .holder = jh_str_from("leader")};
	struct jh_election_action a;
	unsigned int calls = 0;
	uint64_t now;

	jh_election_set_standby(e, standby);
	for (now = MSEC; now < 60000 * MSEC; now += 20 * MSEC) {
		if (now % (500 * MSEC) < 20 * MSEC)
			r.position.revision++;
		if (!jh_election_next(e, now, &a))
			continue;
		assert_int_equal(a.kind, JH_ELECTION_READ);
		jh_election_on_reply(e, now, &r);
		calls++;
	}
	jh_election_destroy(e);
	return calls;
}

/* Guards against calls to the store that grow with the number of processes. */
static void
standby_makes_few_calls(void **state)
{
	assert_in_range(count_follower_calls(false), 95, 101);
	assert_in_range(count_follower_calls(true), 19, 22);
}

/* Guards against a standby that leaves the deployment without a leader. */
static void
standby_replaces_killed_leader(void **state)
{
	struct simulation s;
	struct process *first, *second;
	uint64_t now = 1, killed;
	size_t i;

	simulation_init(&s, 7);
	first = run_until_act(&s, &now);
	assert_non_null(first);
	for (i = 0; i < G_N_ELEMENTS(s.processes); i++)
		jh_election_set_standby(s.processes[i].election, true);
	killed = now;
	first->frozen = true;
	first->stuck_until = UINT64_MAX;
	second = run_until_act(&s, &now);
	assert_non_null(second);
	assert_ptr_not_equal(first, second);
	assert_true(now - killed <= LEASE_TIME + MIN_GAP + MAX_TRANSIT +
					STANDBY_INTERVAL + 2000 * MSEC);
	simulation_clear(&s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(actions_of_two_leaders_are_apart),
	    cmocka_unit_test(actions_are_apart_through_restores),
	    cmocka_unit_test(leader_goes_on_after_a_restore),
	    cmocka_unit_test(killed_leader_is_replaced),
	    cmocka_unit_test(successor_waits_only_for_the_cooldown),
	    cmocka_unit_test(write_of_an_idle_leader_ends_its_actions),
	    cmocka_unit_test(standby_makes_few_calls),
	    cmocka_unit_test(standby_replaces_killed_leader),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
