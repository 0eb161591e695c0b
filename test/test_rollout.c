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
 * Agents of one model in one region that load weights, around a store in
 * virtual time. Calls break before or after they take effect, writes may take
 * effect after their caller gave up, agents pause and crash, clocks differ by
 * up to the margin, and the store has outages.
 */
#define MAX_AGENTS 6
#define CALLS (JH_ROLLOUT_SLOTS + 1)
#define KEYS (JH_ROLLOUT_SLOTS + 1)
#define TICK (100 * JH_USEC_PER_MSEC)
#define LOAD_USEC (400 * JH_USEC_PER_MSEC)
#define START (1000 * JH_USEC_PER_SEC)

/* A rule that the world leaves out, to show that the checks notice. */
enum cut {
	CUT_NOTHING,
	CUT_TOKEN, /* agents act without asking whether the lease lasts */
	CUT_CONDITION /* the store ignores the condition of a reservation */
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
	struct call late[CALLS]; /* busy: given up, not yet at the store */
	unsigned int weights; /* served */
	/* Of the load in progress. */
	bool out;
	bool sent;
	uint64_t next_at; /* drained, or loaded */
	char duty[32];
	unsigned int loads; /* that it is to have loaded */
};

struct world {
	uint64_t now;
	GRand *rand;
	enum cut cut;
	double faults;
	bool crashes; /* of agents, also while they are out */
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
local_time(const struct world *w, const struct agent *a)
{
	return (uint64_t)((int64_t)w->now + a->clock_offset);
}

static bool
happens(struct world *w, double p)
{
	return g_rand_double(w->rand) < p;
}

static uint64_t
some_ticks(struct world *w, int most)
{
	return (uint64_t)g_rand_int_range(w->rand, 0, most) * TICK;
}

static struct object *
find(struct world *w, const char *key)
{
	struct object *o = w->objects;

	while (o->key[0] != '\0' && strcmp(o->key, key) != 0)
		o++;
	assert_true(o < w->objects + KEYS);
	g_strlcpy(o->key, key, sizeof(o->key));
	return o;
}

static bool
apply(struct world *w, const struct call *c)
{
	struct object *o = find(w, c->key);
	bool ignore = w->cut == CUT_CONDITION && c->key[0] == 'r';

	if (o->version != c->action.if_version && !ignore)
		return false;
	o->version = ++w->revision;
	g_strlcpy(o->value, c->value, sizeof(o->value));
	return true;
}

static void
report(struct world *w, struct agent *a, unsigned int i,
    enum jh_lease_result result)
{
	const struct object *o = find(w, a->calls[i].key);

	a->calls[i].busy = false;
	jh_rollout_on_result(a->rollout, local_time(w, a), i, result,
	    o->version, jh_str_from(o->value));
}

static void
answer(struct world *w, struct agent *a, unsigned int i)
{
	struct call *c = &a->calls[i];
	bool applied;

	if (w->now < w->down_until || happens(w, w->faults)) {
		report(w, a, i, JH_LEASE_FAILED);
	} else if (c->action.kind == JH_ROLLOUT_GET) {
		report(w, a, i,
		    find(w, c->key)->version == 0 ? JH_LEASE_NOT_FOUND
						  : JH_LEASE_OK);
	} else if (happens(w, w->faults)) {
		a->late[i] = *c;
		a->late[i].at = w->now + some_ticks(w, 50);
		report(w, a, i, JH_LEASE_UNKNOWN);
	} else {
		applied = apply(w, c);
		if (applied && happens(w, w->faults))
			report(w, a, i, JH_LEASE_UNKNOWN);
		else
			report(
			    w, a, i, applied ? JH_LEASE_OK : JH_LEASE_CONFLICT);
	}
}

/* Counts a load whose lease somebody else may have taken over. */
static void
check_lease(struct world *w, const struct agent *a)
{
	char *key = g_strconcat("leases/", a->duty, NULL);
	char *holder = g_strdup_printf("\"%s\"", a->name);

	if (strstr(find(w, key)->value, holder) == NULL)
		w->violations++;
	g_free(key);
	g_free(holder);
}

static bool
may_act(const struct world *w, const struct agent *a)
{
	return w->cut == CUT_TOKEN ||
	       jh_rollout_token(a->rollout, local_time(w, a)) != 0;
}

static void
end_load(struct world *w, struct agent *a, bool loaded)
{
	a->out = false;
	a->sent = false;
	if (loaded)
		a->weights = a->loads;
	jh_rollout_on_loaded(a->rollout, local_time(w, a), loaded);
}

static void
carry_load(struct world *w, struct agent *a)
{
	if (!a->out)
		return;
	if (!a->sent && !may_act(w, a)) {
		end_load(w, a, false);
	} else if (w->now >= a->next_at && !a->sent) {
		check_lease(w, a);
		a->sent = true;
		a->next_at = w->now + LOAD_USEC;
	} else if (w->now >= a->next_at) {
		end_load(w, a, !happens(w, w->faults));
	}
}

static void
carry_out(struct world *w, struct agent *a, const struct jh_rollout_action *act)
{
	struct call *c;

	if (act->kind == JH_ROLLOUT_LOAD) {
		a->out = may_act(w, a);
		a->next_at = w->now + some_ticks(w, 30);
		a->loads = w->target;
		g_strlcpy(a->duty, act->duty, sizeof(a->duty));
		if (!a->out)
			end_load(w, a, false);
		return;
	}
	w->calls++;
	c = &a->calls[act->call];
	assert_false(c->busy);
	c->busy = true;
	c->action = *act;
	c->at = w->now + TICK;
	g_strlcpy(c->key, act->key, sizeof(c->key));
	g_strlcpy(c->value, act->value.ptr == NULL ? "" : act->value.ptr,
	    sizeof(c->value));
}

static void
step(struct world *w, struct agent *a)
{
	struct jh_rollout_action act;
	char weights[16];
	unsigned int i;

	for (i = 0; i < CALLS; i++) {
		if (a->late[i].busy && w->now >= a->late[i].at) {
			a->late[i].busy = false;
			apply(w, &a->late[i]);
		}
	}
	if (w->now < a->paused_until)
		return;
	for (i = 0; i < CALLS; i++) {
		if (a->calls[i].busy && w->now >= a->calls[i].at)
			answer(w, a, i);
	}
	snprintf(weights, sizeof(weights), "v%u", w->target);
	jh_rollout_set_target(a->rollout, local_time(w, a), "small",
	    a->weights == w->target ? NULL : weights);
	carry_load(w, a);
	/* A pause may come between any two steps. */
	if (happens(w, w->faults / 50))
		a->paused_until = w->now + some_ticks(w, 600);
	else if (jh_rollout_next(a->rollout, local_time(w, a), &act))
		carry_out(w, a, &act);
}

static void
agent_start(struct world *w, unsigned int i)
{
	struct agent *a = &w->agents[i];
	const char *others[MAX_AGENTS];
	struct jh_rollout_spec spec = {.instance = a->name,
	    .incarnation = g_rand_int(w->rand),
	    .region = "mtl",
	    .rand = w->rand};
	unsigned int k, n = 0;

	snprintf(a->name, sizeof(a->name), "w%u", i);
	a->rollout = jh_rollout_create(&spec);
	for (k = 0; k < w->n; k++) {
		if (k != i)
			others[n++] = w->agents[k].name;
	}
	jh_rollout_set_workers(a->rollout, others, n, w->n);
}

static void
agent_crash(struct world *w, unsigned int i)
{
	struct agent *a = &w->agents[i];
	int64_t offset = a->clock_offset;
	unsigned int weights = a->sent ? a->loads : a->weights;

	jh_rollout_destroy(a->rollout);
	memset(a, 0, sizeof(*a));
	a->clock_offset = offset;
	a->weights = weights;
	agent_start(w, i);
}

/* Most crashes come while something is to be taken back. */
static double
crash_rate(const struct world *w, unsigned int i)
{
	const char *state = jh_rollout_state_name(w->agents[i].rollout);

	if (strcmp(state, "idle") == 0 || strcmp(state, "waiting") == 0)
		return w->faults / 2000;
	return w->faults / 20;
}

static void
tick(struct world *w)
{
	unsigned int i, in_service = 0, loading = 0;

	w->now += TICK;
	if (happens(w, w->faults / 500))
		w->down_until = w->now + some_ticks(w, 900);
	for (i = 0; i < w->n; i++) {
		step(w, &w->agents[i]);
		in_service += !w->agents[i].out;
		loading += w->agents[i].sent && w->now < w->agents[i].next_at;
		if (w->crashes && happens(w, crash_rate(w, i)))
			agent_crash(w, i);
	}
	if (in_service == 0 || loading > JH_ROLLOUT_SLOTS)
		w->violations++;
}

static struct world *
world_create(uint32_t seed, unsigned int n, enum cut cut)
{
	struct world *w = g_new0(struct world, 1);
	unsigned int i;

	w->now = START;
	w->rand = g_rand_new_with_seed(seed);
	w->faults = 0.1;
	w->cut = cut;
	w->n = n;
	for (i = 0; i < n; i++)
		snprintf(
		    w->agents[i].name, sizeof(w->agents[i].name), "w%u", i);
	for (i = 0; i < n; i++) {
		agent_start(w, i);
		w->agents[i].clock_offset =
		    g_rand_int_range(w->rand, -(gint32)JH_LEASE_MARGIN_USEC / 2,
			(gint32)JH_LEASE_MARGIN_USEC / 2);
	}
	return w;
}

static void
world_destroy(struct world *w)
{
	unsigned int i;

	for (i = 0; i < w->n; i++)
		jh_rollout_destroy(w->agents[i].rollout);
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

static unsigned int
behind(const struct world *w)
{
	unsigned int i, n = 0;

	for (i = 0; i < w->n; i++)
		n += w->agents[i].weights != w->target;
	return n;
}

/* Ten rollouts with faults; returns how many agents loaded in time. */
static unsigned int
run_rollouts(struct world *w)
{
	unsigned int done = 0;

	while (w->target < 10) {
		w->target++;
		run(w, 120 * JH_USEC_PER_SEC);
		done += w->n - behind(w);
	}
	return done;
}

/*
 * Guards against three loads at once, a region without a worker, a load by a
 * holder that was paused past its lease, and a rollout that never ends.
 */
static void
bounded_and_live(void **state)
{
	unsigned int done = 0;
	struct world *w;
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		w = world_create(
		    seed, 2 + seed % (MAX_AGENTS - 1), CUT_NOTHING);
		w->crashes = seed % 2 == 0;
		done += run_rollouts(w);
		w->faults = 0;
		/* A crashed agent's reservation lasts for 15 min. */
		run(w, 1200 * JH_USEC_PER_SEC);
		if (w->violations > 0 || behind(w) > 0)
			fail_msg("seed %u: %u violations, %u agents behind",
			    seed, w->violations, behind(w));
		/* Without crashes every reservation is taken back. */
		if (!w->crashes)
			assert_string_equal(find(w, "rollout/mtl/small")->value,
			    "{\"out\":[]}");
		world_destroy(w);
	}
	/* Without this the runs would not exercise loads under faults. */
	assert_true(done > 0);
}

static unsigned int
violations_with(enum cut cut, unsigned int n)
{
	unsigned int total = 0;
	struct world *w;
	uint32_t seed;

	for (seed = 1; seed <= 30; seed++) {
		w = world_create(seed, n, cut);
		run_rollouts(w);
		total += w->violations;
		world_destroy(w);
	}
	return total;
}

/* Guards against checks above that would notice nothing. */
static void
rules_are_needed(void **state)
{
	assert_true(violations_with(CUT_TOKEN, MAX_AGENTS) > 0);
	assert_true(violations_with(CUT_CONDITION, 2) > 0);
	assert_int_equal(violations_with(CUT_NOTHING, 2), 0);
}

/* Guards against a crashed agent that blocks the region's last worker. */
static void
reservation_of_a_crashed_agent_ends(void **state)
{
	struct world *w = world_create(1, 2, CUT_NOTHING);
	unsigned int first;

	w->faults = 0;
	w->target = 1;
	while (!w->agents[0].sent && !w->agents[1].sent)
		tick(w);
	first = w->agents[1].sent;
	agent_crash(w, first);
	run(w, 800 * JH_USEC_PER_SEC);
	assert_int_equal(behind(w), 1);
	run(w, 120 * JH_USEC_PER_SEC);
	assert_int_equal(behind(w), 0);
	world_destroy(w);
}

/* Guards against taking a worker out while the store is down. */
static void
nothing_is_taken_out_without_the_store(void **state)
{
	struct world *w = world_create(1, 4, CUT_NOTHING);
	unsigned int i;

	w->faults = 0;
	w->down_until = w->now + 300 * JH_USEC_PER_SEC;
	w->target = 1;
	while (w->now < w->down_until) {
		tick(w);
		for (i = 0; i < w->n; i++)
			assert_false(w->agents[i].out);
	}
	run(w, 60 * JH_USEC_PER_SEC);
	assert_int_equal(behind(w), 0);
	world_destroy(w);
}

/* Guards against a single worker that is taken out, and against idle calls. */
static void
single_worker_stays(void **state)
{
	struct world *w = world_create(1, 1, CUT_NOTHING);

	w->faults = 0;
	w->target = 1;
	run(w, 60 * JH_USEC_PER_SEC);
	assert_int_equal(behind(w), 1);
	assert_int_equal(w->calls, 0);
	world_destroy(w);
}

/* Guards against store traffic that grows with the fleet. */
static void
looks_are_spread(void **state)
{
	struct world *w = world_create(1, 4, CUT_NOTHING);
	static const char *const others[] = {"x"};
	unsigned int i;

	w->faults = 0;
	w->target = 1;
	/* Each of 6,400 agents looks about every 128 s: 50 a second. */
	for (i = 0; i < w->n; i++)
		jh_rollout_set_workers(w->agents[i].rollout, others, 1, 6400);
	run(w, 60 * JH_USEC_PER_SEC);
	assert_int_equal(w->calls, 0);
	run(w, 1200 * JH_USEC_PER_SEC);
	assert_int_equal(behind(w), 0);
	world_destroy(w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(bounded_and_live),
	    cmocka_unit_test(rules_are_needed),
	    cmocka_unit_test(reservation_of_a_crashed_agent_ends),
	    cmocka_unit_test(nothing_is_taken_out_without_the_store),
	    cmocka_unit_test(single_worker_stays),
	    cmocka_unit_test(looks_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
