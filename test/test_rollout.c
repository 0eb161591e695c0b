#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/rollout.h>

/*
 * Simulates agents of one model in one region that load weights, and the store,
 * in virtual time. Calls fail before or after they take effect, writes may take
 * effect after their callers have given up, agents pause and crash, clocks
 * differ by up to the margin, and the store has outages.
 */
#define MAX_AGENTS 6
#define CALLS (JH_ROLLOUT_SLOTS + 1)
#define KEYS (JH_ROLLOUT_SLOTS + 1)
#define TICK (100 * JH_USEC_PER_MSEC)
#define LOAD_USEC (400 * JH_USEC_PER_MSEC)
#define START (1000 * JH_USEC_PER_SEC)

/* A rule that the simulation disables, to show that the checks detect it. */
enum disabled_rule {
	RULE_NONE,
	RULE_TOKEN, /* agents act without checking the lease */
	RULE_CONDITION /* the store ignores the condition of a reservation */
};

struct object {
	char key[64];
	uint64_t version; /* 0: absent */
	char value[2048];
};

struct call {
	bool busy;
	uint64_t at;
	struct jh_rollout_action action;
	char key[64];
	char value[2048];
};

struct agent {
	char name[8];
	struct jh_rollout *rollout;
	int64_t clock_offset; /* microseconds */
	uint64_t paused_until;
	struct call calls[CALLS];
	struct call late[CALLS]; /* writes that reach the store late */
	unsigned int weights; /* served */
	/* The load in progress. */
	bool out_of_service;
	bool sent;
	uint64_t next_at; /* end of the drain or of the load */
	char lease[32];
	unsigned int loading_version; /* version that is being loaded */
};

struct simulation {
	uint64_t now;
	GRand *rand;
	enum disabled_rule disabled_rule;
	double faults;
	bool crashes; /* of agents, also while they are out of service */
	uint64_t down_until;
	uint64_t revision;
	struct object objects[KEYS];
	struct agent agents[MAX_AGENTS];
	unsigned int n;
	unsigned int target;
	unsigned int calls;
	unsigned int violations;
};

static uint64_t
local_time(const struct simulation *s, const struct agent *a)
{
	return (uint64_t)((int64_t)s->now + a->clock_offset);
}

static bool
happens(struct simulation *s, double p)
{
	return g_rand_double(s->rand) < p;
}

static uint64_t
some_ticks(struct simulation *s, int max)
{
	return (uint64_t)g_rand_int_range(s->rand, 0, max) * TICK;
}

static struct object *
find(struct simulation *s, const char *key)
{
	struct object *o = s->objects;

	while (o->key[0] != '\0' && strcmp(o->key, key) != 0)
		o++;
	assert_true(o < s->objects + KEYS);
	g_strlcpy(o->key, key, sizeof(o->key));
	return o;
}

static bool
apply(struct simulation *s, const struct call *c)
{
	struct object *o = find(s, c->key);
	bool ignore = s->disabled_rule == RULE_CONDITION && c->key[0] == 'r';

	if (o->version != c->action.if_version && !ignore)
		return false;
	o->version = ++s->revision;
	g_strlcpy(o->value, c->value, sizeof(o->value));
	return true;
}

static void
report(struct simulation *s, struct agent *a, unsigned int i,
    enum jh_lease_result result)
{
	const struct object *o = find(s, a->calls[i].key);

	a->calls[i].busy = false;
	jh_rollout_on_result(a->rollout, local_time(s, a), i, result,
	    o->version, jh_str_from(o->value));
}

static void
report_result(struct simulation *s, struct agent *a, unsigned int i)
{
	struct call *c = &a->calls[i];
	bool applied;

	if (s->now < s->down_until || happens(s, s->faults)) {
		report(s, a, i, JH_LEASE_FAILED);
	} else if (c->action.kind == JH_ROLLOUT_GET) {
		report(s, a, i,
		    find(s, c->key)->version == 0 ? JH_LEASE_NOT_FOUND
						  : JH_LEASE_OK);
	} else if (happens(s, s->faults)) {
		a->late[i] = *c;
		a->late[i].at = s->now + some_ticks(s, 50);
		report(s, a, i, JH_LEASE_UNKNOWN);
	} else {
		applied = apply(s, c);
		if (applied && happens(s, s->faults))
			report(s, a, i, JH_LEASE_UNKNOWN);
		else
			report(
			    s, a, i, applied ? JH_LEASE_OK : JH_LEASE_CONFLICT);
	}
}

/* Counts a load whose lease another agent may hold. */
static void
check_lease(struct simulation *s, const struct agent *a)
{
	char *key = g_strconcat("leases/", a->lease, NULL);
	char *holder = g_strdup_printf("\"%s\"", a->name);

	if (strstr(find(s, key)->value, holder) == NULL)
		s->violations++;
	g_free(key);
	g_free(holder);
}

static bool
may_act(const struct simulation *s, const struct agent *a)
{
	return s->disabled_rule == RULE_TOKEN ||
	       jh_rollout_token(a->rollout, local_time(s, a)) != 0;
}

static void
end_load(struct simulation *s, struct agent *a, bool loaded)
{
	a->out_of_service = false;
	a->sent = false;
	if (loaded)
		a->weights = a->loading_version;
	jh_rollout_on_loaded(a->rollout, local_time(s, a), loaded);
}

static void
continue_load(struct simulation *s, struct agent *a)
{
	if (!a->out_of_service)
		return;
	if (!a->sent && !may_act(s, a)) {
		end_load(s, a, false);
	} else if (s->now >= a->next_at && !a->sent) {
		check_lease(s, a);
		a->sent = true;
		a->next_at = s->now + LOAD_USEC;
	} else if (s->now >= a->next_at) {
		end_load(s, a, !happens(s, s->faults));
	}
}

static void
carry_out(
    struct simulation *s, struct agent *a, const struct jh_rollout_action *act)
{
	struct call *c;

	if (act->kind == JH_ROLLOUT_LOAD) {
		a->out_of_service = may_act(s, a);
		a->next_at = s->now + some_ticks(s, 30);
		a->loading_version = s->target;
		g_strlcpy(a->lease, act->lease, sizeof(a->lease));
		if (!a->out_of_service)
			end_load(s, a, false);
		return;
	}
	s->calls++;
	c = &a->calls[act->call];
	assert_false(c->busy);
	c->busy = true;
	c->action = *act;
	c->at = s->now + TICK;
	g_strlcpy(c->key, act->key, sizeof(c->key));
	g_strlcpy(c->value, act->value.ptr == NULL ? "" : act->value.ptr,
	    sizeof(c->value));
}

static void
step(struct simulation *s, struct agent *a)
{
	struct jh_rollout_action act;
	char weights[16];
	unsigned int i;

	for (i = 0; i < CALLS; i++) {
		if (a->late[i].busy && s->now >= a->late[i].at) {
			a->late[i].busy = false;
			apply(s, &a->late[i]);
		}
	}
	if (s->now < a->paused_until)
		return;
	for (i = 0; i < CALLS; i++) {
		if (a->calls[i].busy && s->now >= a->calls[i].at)
			report_result(s, a, i);
	}
	snprintf(weights, sizeof(weights), "v%u", s->target);
	jh_rollout_set_target(a->rollout, local_time(s, a), "small",
	    a->weights == s->target ? NULL : weights);
	continue_load(s, a);
	/* A pause may happen between any two steps. */
	if (happens(s, s->faults / 50))
		a->paused_until = s->now + some_ticks(s, 600);
	else if (jh_rollout_next(a->rollout, local_time(s, a), &act))
		carry_out(s, a, &act);
}

static void
agent_start(struct simulation *s, unsigned int i)
{
	struct agent *a = &s->agents[i];
	const char *others[MAX_AGENTS];
	struct jh_rollout_spec spec = {.instance = a->name,
	    .incarnation = g_rand_int(s->rand),
	    .region = "mtl",
	    .rand = s->rand};
	unsigned int k, n = 0;

	snprintf(a->name, sizeof(a->name), "w%u", i);
	a->rollout = jh_rollout_create(&spec);
	for (k = 0; k < s->n; k++) {
		if (k != i)
			others[n++] = s->agents[k].name;
	}
	jh_rollout_set_workers(a->rollout, others, n, s->n);
}

static void
agent_crash(struct simulation *s, unsigned int i)
{
	struct agent *a = &s->agents[i];
	int64_t offset = a->clock_offset;
	unsigned int weights = a->sent ? a->loading_version : a->weights;

	jh_rollout_destroy(a->rollout);
	memset(a, 0, sizeof(*a));
	a->clock_offset = offset;
	a->weights = weights;
	agent_start(s, i);
}

/* Most crashes happen while an agent has something to release. */
static double
crash_rate(const struct simulation *s, unsigned int i)
{
	const char *state = jh_rollout_state_name(s->agents[i].rollout);

	if (strcmp(state, "idle") == 0 || strcmp(state, "waiting") == 0)
		return s->faults / 2000;
	return s->faults / 20;
}

static void
tick(struct simulation *s)
{
	unsigned int i, in_service = 0, loading = 0;

	s->now += TICK;
	if (happens(s, s->faults / 500))
		s->down_until = s->now + some_ticks(s, 900);
	for (i = 0; i < s->n; i++) {
		step(s, &s->agents[i]);
		in_service += !s->agents[i].out_of_service;
		loading += s->agents[i].sent && s->now < s->agents[i].next_at;
		if (s->crashes && happens(s, crash_rate(s, i)))
			agent_crash(s, i);
	}
	if (in_service == 0 || loading > JH_ROLLOUT_SLOTS)
		s->violations++;
}

static struct simulation *
simulation_create(
    uint32_t seed, unsigned int n, enum disabled_rule disabled_rule)
{
	struct simulation *s = g_new0(struct simulation, 1);
	unsigned int i;

	s->now = START;
	s->rand = g_rand_new_with_seed(seed);
	s->faults = 0.1;
	s->disabled_rule = disabled_rule;
	s->n = n;
	for (i = 0; i < n; i++)
		snprintf(
		    s->agents[i].name, sizeof(s->agents[i].name), "w%u", i);
	for (i = 0; i < n; i++) {
		agent_start(s, i);
		s->agents[i].clock_offset =
		    g_rand_int_range(s->rand, -(gint32)JH_LEASE_MARGIN_USEC / 2,
			(gint32)JH_LEASE_MARGIN_USEC / 2);
	}
	return s;
}

static void
simulation_destroy(struct simulation *s)
{
	unsigned int i;

	for (i = 0; i < s->n; i++)
		jh_rollout_destroy(s->agents[i].rollout);
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

static unsigned int
count_outdated(const struct simulation *s)
{
	unsigned int i, n = 0;

	for (i = 0; i < s->n; i++)
		n += s->agents[i].weights != s->target;
	return n;
}

/* Runs ten rollouts with faults; returns how many agents loaded in time. */
static unsigned int
run_rollouts(struct simulation *s)
{
	unsigned int done = 0;

	while (s->target < 10) {
		s->target++;
		run(s, 120 * JH_USEC_PER_SEC);
		done += s->n - count_outdated(s);
	}
	return done;
}

/*
 * Guards against three loads at once, a region without a worker in service, a
 * load by an agent whose lease expired during a pause, and a rollout that never
 * ends.
 */
static void
rollouts_are_safe_and_end(void **state)
{
	unsigned int done = 0;
	struct simulation *s;
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		s = simulation_create(
		    seed, 2 + seed % (MAX_AGENTS - 1), RULE_NONE);
		s->crashes = seed % 2 == 0;
		done += run_rollouts(s);
		s->faults = 0;
		/* A crashed agent's reservation lasts for 15 min. */
		run(s, 1200 * JH_USEC_PER_SEC);
		if (s->violations > 0 || count_outdated(s) > 0)
			fail_msg("seed %u: %u violations, %u agents behind",
			    seed, s->violations, count_outdated(s));
		/* Without crashes every reservation is removed. */
		if (!s->crashes)
			assert_string_equal(find(s, "rollout/mtl/small")->value,
			    "{\"out\":[]}");
		simulation_destroy(s);
	}
	/* Otherwise the runs would not test loads under faults. */
	assert_true(done > 0);
}

static unsigned int
violations_with(enum disabled_rule disabled_rule, unsigned int n)
{
	unsigned int total = 0;
	struct simulation *s;
	uint32_t seed;

	for (seed = 1; seed <= 30; seed++) {
		s = simulation_create(seed, n, disabled_rule);
		run_rollouts(s);
		total += s->violations;
		simulation_destroy(s);
	}
	return total;
}

/* Guards against checks above that detect nothing. */
static void
rules_are_needed(void **state)
{
	assert_true(violations_with(RULE_TOKEN, MAX_AGENTS) > 0);
	assert_true(violations_with(RULE_CONDITION, 2) > 0);
	assert_int_equal(violations_with(RULE_NONE, 2), 0);
}

/* Guards against a crashed agent that blocks the region's last worker. */
static void
reservation_of_a_crashed_agent_expires(void **state)
{
	struct simulation *s = simulation_create(1, 2, RULE_NONE);
	unsigned int first;

	s->faults = 0;
	s->target = 1;
	while (!s->agents[0].sent && !s->agents[1].sent)
		tick(s);
	first = s->agents[1].sent;
	agent_crash(s, first);
	run(s, 800 * JH_USEC_PER_SEC);
	assert_int_equal(count_outdated(s), 1);
	run(s, 120 * JH_USEC_PER_SEC);
	assert_int_equal(count_outdated(s), 0);
	simulation_destroy(s);
}

/* Guards against a worker taken out of service while the store is down. */
static void
nothing_is_taken_out_without_the_store(void **state)
{
	struct simulation *s = simulation_create(1, 4, RULE_NONE);
	unsigned int i;

	s->faults = 0;
	s->down_until = s->now + 300 * JH_USEC_PER_SEC;
	s->target = 1;
	while (s->now < s->down_until) {
		tick(s);
		for (i = 0; i < s->n; i++)
			assert_false(s->agents[i].out_of_service);
	}
	run(s, 60 * JH_USEC_PER_SEC);
	assert_int_equal(count_outdated(s), 0);
	simulation_destroy(s);
}

/* Guards against an only worker taken out of service, and needless calls. */
static void
single_worker_stays(void **state)
{
	struct simulation *s = simulation_create(1, 1, RULE_NONE);

	s->faults = 0;
	s->target = 1;
	run(s, 60 * JH_USEC_PER_SEC);
	assert_int_equal(count_outdated(s), 1);
	assert_int_equal(s->calls, 0);
	simulation_destroy(s);
}

/* Guards against store traffic that grows with the number of agents. */
static void
attempts_are_spread(void **state)
{
	struct simulation *s = simulation_create(1, 4, RULE_NONE);
	static const char *const others[] = {"x"};
	unsigned int i;

	s->faults = 0;
	s->target = 1;
	/* Each of 6,400 agents makes an attempt every 128 s: 50 a second. */
	for (i = 0; i < s->n; i++)
		jh_rollout_set_workers(s->agents[i].rollout, others, 1, 6400);
	run(s, 60 * JH_USEC_PER_SEC);
	assert_int_equal(s->calls, 0);
	run(s, 1200 * JH_USEC_PER_SEC);
	assert_int_equal(count_outdated(s), 0);
	simulation_destroy(s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(rollouts_are_safe_and_end),
	    cmocka_unit_test(rules_are_needed),
	    cmocka_unit_test(reservation_of_a_crashed_agent_expires),
	    cmocka_unit_test(nothing_is_taken_out_without_the_store),
	    cmocka_unit_test(single_worker_stays),
	    cmocka_unit_test(attempts_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
