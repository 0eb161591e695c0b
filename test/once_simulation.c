#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "once_state.h"

#define STEPS 400
#define RECOVERY_STEPS 4000
#define MAX_ATTEMPTS 6
#define DEADLINE_USEC (4 * JH_USEC_PER_SEC)

static void
free_object(gpointer p)
{
	struct object *o = p;

	g_string_free(o->value, TRUE);
	g_free(o);
}

static void
free_event(gpointer p)
{
	struct event *e = p;

	jh_ledger_action_free(e->act);
	if (e->value != NULL)
		g_string_free(e->value, TRUE);
	jh_call_response_unref(e->response);
	g_free(e);
}

static void
start_agent(struct simulation *sim, int i)
{
	char name[2] = {(char)('a' + i), '\0'};
	struct jh_ledger_settings s = {JH_LEDGER_DEFAULTS, .agent = {name, 1},
	    .incarnation = ++sim->last_incarnation};

	sim->incarnation[i] = sim->last_incarnation;
	sim->ledger[i] = jh_ledger_create(&s);
}

static void
crash_agent(struct simulation *sim, int i)
{
	jh_ledger_destroy(sim->ledger[i]);
	sim->ledger[i] = NULL;
	sim->coverage->crashes++;
}

static int
find_key(struct simulation *sim, const char *object)
{
	char *name;
	bool same;
	int i;

	for (i = 0; i < sim->n_keys; i++) {
		name = jh_ledger_object(
		    JH_STR("org"), jh_str_from(sim->keys[i].name));
		same = strcmp(name, object) == 0;
		g_free(name);
		if (same)
			return i;
	}
	return -1;
}

static void
check_awaited_reply(
    struct simulation *sim, const struct jh_ledger_action *a, struct key *k)
{
	if (a->outcome == JH_LEDGER_NOT_RUN) {
		once_check(sim, k->sends[0] == 0,
		    "a key was reported as not run though its call was sent");
		once_check(sim, k->first,
		    "a call was reported as not run though an earlier attempt "
		    "may run");
	} else {
		k->all_not_run = false;
	}
	once_check(sim, a->outcome != JH_LEDGER_KEY_REUSED || k->other != 0,
	    "a key of one request only was reported as reused");
	k->waiting = 0;
}

static void
check_response(
    struct simulation *sim, const struct jh_ledger_action *a, struct key *k)
{
	char want[32];

	/* A caller with another request must not get this response. */
	snprintf(want, sizeof(want), "%s/%s", k->name,
	    a->attempt == k->other ? "other" : k->hash);
	once_check(sim,
	    jh_str_eq(jh_call_response_body(a->response), jh_str_from(want)),
	    "an attempt was given the answer to another request");
}

static void
handle_reply(struct simulation *sim, const struct jh_ledger_action *a)
{
	int i;

	sim->coverage->outcome[a->outcome]++;
	once_check(sim,
	    g_hash_table_add(sim->replied, GSIZE_TO_POINTER(a->attempt)),
	    "an attempt was replied to twice");
	/* The id of an attempt modulo KEYS is the index of its key. */
	i = (int)(a->attempt % KEYS);
	if (a->outcome == JH_LEDGER_DONE)
		check_response(sim, a, &sim->keys[i]);
	if (a->outcome == JH_LEDGER_KEY_REUSED && a->ran == JH_LEDGER_RAN_NO)
		once_check(sim,
		    strcmp(sim->keys[i].executed_hash,
			a->attempt == sim->keys[i].other
			    ? "other"
			    : sim->keys[i].hash) != 0,
		    "a request was reported as not run under a reused key "
		    "though it ran");
	if (a->attempt == sim->keys[i].waiting)
		check_awaited_reply(sim, a, &sim->keys[i]);
}

static void
take_actions(struct simulation *sim, int i)
{
	struct jh_ledger_action *a;
	struct event *e;

	while ((a = jh_ledger_next(sim->ledger[i])) != NULL) {
		once_check(sim, a->act != JH_LEDGER_NOT_RECORDED,
		    "an outcome could not be written to its record");
		if (a->act >= JH_LEDGER_REPLY) {
			if (a->act == JH_LEDGER_REPLY)
				handle_reply(sim, a);
			jh_ledger_action_free(a);
			continue;
		}
		e = g_new0(struct event, 1);
		e->act = a;
		e->agent = i;
		e->incarnation = sim->incarnation[i];
		e->key = find_key(sim, a->object);
		if (a->act == JH_LEDGER_SEND) {
			sim->keys[e->key]
			    .sends[a->attempt == sim->keys[e->key].other]++;
			once_check(sim,
			    !g_hash_table_contains(
				sim->replied, GSIZE_TO_POINTER(a->attempt)),
			    "a call was sent for an attempt refused before");
		}
		g_ptr_array_add(sim->events, e);
	}
}

/* Delivers a result to the agent that waits for it, if it still runs. */
static void
deliver(struct simulation *sim, struct event *e)
{
	struct jh_ledger *l = sim->ledger[e->agent];
	uint64_t op = e->act->op;

	if (l == NULL || sim->incarnation[e->agent] != e->incarnation)
		return;
	if (e->act->act == JH_LEDGER_QUERY)
		jh_ledger_peer_result(l, sim->now, op, e->state, e->response);
	else if (e->act->act != JH_LEDGER_SEND)
		jh_ledger_store_result(l, sim->now, op, e->result, e->version,
		    e->value == NULL
			? JH_STR("")
			: (struct jh_str){e->value->str, e->value->len});
	else if (e->response != NULL)
		jh_ledger_backend_response(l, sim->now, op, e->response);
	else
		jh_ledger_backend_failed(l, sim->now, op, e->sent);
	take_actions(sim, e->agent);
}

/*
 * Reports to the agent that there was no response. A write may still take
 * effect later. Returns true if the event is finished.
 */
static bool
lose_result(struct simulation *sim, struct event *e)
{
	struct jh_ledger *l = sim->ledger[e->agent];

	if (l != NULL && sim->incarnation[e->agent] == e->incarnation) {
		if (e->act->act == JH_LEDGER_QUERY)
			jh_ledger_peer_result(l, sim->now, e->act->op,
			    JH_NONCE_NO_RESPONSE, NULL);
		else
			jh_ledger_store_result(l, sim->now, e->act->op,
			    JH_STORE_UNKNOWN, 0, JH_STR(""));
		take_actions(sim, e->agent);
	}
	if (e->applied || once_chance(sim, 50))
		return true;
	sim->coverage->late_writes +=
	    e->act->act == JH_LEDGER_CREATE || e->act->act == JH_LEDGER_UPDATE;
	return false; /* carried out later; the result is ignored */
}

static void
step_event(struct simulation *sim)
{
	guint i;
	struct event *e;
	bool store;

	if (sim->events->len == 0)
		return;
	i = (guint)g_rand_int_range(sim->rand, 0, (gint32)sim->events->len);
	e = g_ptr_array_steal_index_fast(sim->events, i);
	store = e->act->act <= JH_LEDGER_UPDATE;
	if (!sim->faults_stopped && e->act->act != JH_LEDGER_SEND &&
	    once_chance(sim, 15)) {
		if (lose_result(sim, e))
			free_event(e);
		else
			g_ptr_array_add(sim->events, e);
		return;
	}
	if (!e->applied && store && sim->outage) {
		e->result = JH_STORE_UNAVAILABLE;
	} else if (!e->applied) {
		if (store)
			once_apply_store(sim, e);
		else if (e->act->act == JH_LEDGER_QUERY)
			once_apply_query(sim, e);
		else
			once_apply_send(sim, e);
		e->applied = true;
		if (once_chance(sim, 50)) { /* the result is delayed */
			g_ptr_array_add(sim->events, e);
			return;
		}
	}
	deliver(sim, e);
	free_event(e);
}

static void
send_attempt(struct simulation *sim, int n, int agent, bool other)
{
	struct key *k = &sim->keys[n];
	struct jh_attempt a = {.org = JH_STR("org"),
	    .key = jh_str_from(k->name),
	    .request_hash = jh_str_from(other ? "other" : k->hash),
	    .deadline = sim->now + DEADLINE_USEC};

	sim->last_attempt += KEYS;
	a.id = sim->last_attempt + (uint64_t)n;
	if (other) {
		k->other = a.id;
	} else {
		a.first = k->attempts == 0 ||
			  (k->all_not_run && once_chance(sim, 50)) ||
			  sim->mutant == ONCE_CALLER_CLAIMS_FIRST;
		k->first = a.first;
		k->attempts++;
		k->waiting = a.id;
	}
	jh_ledger_attempt(sim->ledger[agent], sim->now, &a);
	take_actions(sim, agent);
}

static void
step_caller(struct simulation *sim)
{
	int n = g_rand_int_range(sim->rand, 0, sim->n_keys);
	int agent = g_rand_int_range(sim->rand, 0, sim->agents);
	struct key *k = &sim->keys[n];

	if (k->waiting != 0 && once_chance(sim, 70))
		return;
	if (k->waiting != 0) { /* disconnects; the agent may not notice */
		k->all_not_run = false;
		if (sim->ledger[agent] != NULL && once_chance(sim, 30))
			jh_ledger_attempt_cancel(
			    sim->ledger[agent], sim->now, k->waiting);
		k->waiting = 0;
		return;
	}
	if (sim->ledger[agent] == NULL || k->attempts >= MAX_ATTEMPTS)
		return;
	if (n == 0 && k->other == 0 && k->attempts > 0 && once_chance(sim, 50))
		send_attempt(sim, n, agent, true);
	else
		send_attempt(sim, n, agent, false);
}

static void
step_time(struct simulation *sim)
{
	int i;

	sim->now += (uint64_t)g_rand_int_range(
	    sim->rand, 1, once_chance(sim, 20) ? 1000000 : 60000);
	for (i = 0; i < sim->agents; i++) {
		if (sim->ledger[i] == NULL)
			continue;
		jh_ledger_tick(sim->ledger[i], sim->now);
		take_actions(sim, i);
	}
}

static void
step_fault(struct simulation *sim)
{
	int i = g_rand_int_range(sim->rand, 0, sim->agents);

	if (once_chance(sim, 20))
		sim->outage = !sim->outage;
	else if (sim->ledger[i] == NULL)
		start_agent(sim, i);
	else if (once_chance(sim, 25))
		crash_agent(sim, i);
}

static void
step(struct simulation *sim)
{
	int r = g_rand_int_range(sim->rand, 0, 100);

	if (r < sim->fault_percent)
		step_fault(sim);
	else if (r < 60)
		step_event(sim);
	else if (r < 80)
		step_caller(sim);
	else
		step_time(sim);
}

/* Stops all faults. Every call must then end without further requests. */
static void
recover(struct simulation *sim)
{
	size_t unfinished = 0;
	int i;

	sim->faults_stopped = true;
	sim->outage = false;
	for (i = 0; i < RECOVERY_STEPS && sim->violation == NULL; i++) {
		if (sim->events->len > 0)
			step_event(sim);
		else
			step_time(sim);
	}
	for (i = 0; i < sim->agents; i++)
		unfinished += sim->ledger[i] == NULL
				  ? 0
				  : jh_ledger_calls(sim->ledger[i]);
	once_check(sim, unfinished == 0, "a call never ended");
}

const char *
once_simulation_run(
    uint64_t seed, enum once_mutant mutant, struct once_coverage *coverage)
{
	struct simulation sim = {.rand = g_rand_new_with_seed((guint32)seed),
	    .mutant = mutant,
	    .coverage = coverage,
	    .now = 1};
	int i;

	sim.agents = g_rand_int_range(sim.rand, 2, AGENTS + 1);
	sim.n_keys = g_rand_int_range(sim.rand, 1, KEYS + 1);
	sim.fault_percent = g_rand_int_range(sim.rand, 0, 10);
	sim.store =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	sim.events = g_ptr_array_new_with_free_func(free_event);
	sim.replied = g_hash_table_new(NULL, NULL);
	for (i = 0; i < sim.agents; i++)
		start_agent(&sim, i);
	for (i = 0; i < KEYS; i++) {
		snprintf(sim.keys[i].name, sizeof(sim.keys[i].name), "k%d", i);
		snprintf(sim.keys[i].hash, sizeof(sim.keys[i].hash), "h%d", i);
		sim.keys[i].all_not_run = true;
	}
	for (i = 0; i < STEPS && sim.violation == NULL; i++)
		step(&sim);
	recover(&sim);
	for (i = 0; i < sim.agents; i++)
		jh_ledger_destroy(sim.ledger[i]);
	g_hash_table_destroy(sim.store);
	g_ptr_array_free(sim.events, TRUE);
	g_hash_table_destroy(sim.replied);
	g_rand_free(sim.rand);
	return sim.violation;
}
