#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "once_state.h"

#define STEPS 400
#define HEAL_STEPS 4000
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
	jh_call_answer_unref(e->answer);
	g_free(e);
}

static void
start_agent(struct world *w, int i)
{
	char name[2] = {(char)('a' + i), '\0'};
	struct jh_ledger_settings s = {JH_LEDGER_DEFAULTS, .agent = {name, 1},
	    .incarnation = ++w->last_incarnation};

	w->incarnation[i] = w->last_incarnation;
	w->ledger[i] = jh_ledger_create(&s);
}

static void
crash_agent(struct world *w, int i)
{
	jh_ledger_destroy(w->ledger[i]);
	w->ledger[i] = NULL;
	w->seen->crashes++;
}

static int
key_of(struct world *w, const char *object)
{
	char *name;
	bool same;
	int i;

	for (i = 0; i < w->n_keys; i++) {
		name = jh_ledger_object(
		    JH_STR("org"), jh_str_from(w->keys[i].name));
		same = strcmp(name, object) == 0;
		g_free(name);
		if (same)
			return i;
	}
	return -1;
}

static void
heard_reply(struct world *w, const struct jh_ledger_action *a, struct key *k)
{
	if (a->outcome == JH_LEDGER_NOT_RUN) {
		once_check(
		    w, k->sends[0] == 0, "not run was said of a key that ran");
		if (!k->first)
			w->seen->unproven++;
	} else {
		k->all_unrun = false;
	}
	once_check(w, a->outcome != JH_LEDGER_KEY_REUSED || k->other != 0,
	    "a key used for one request only was called reused");
	k->waiting = 0;
}

static void
check_answer(struct world *w, const struct jh_ledger_action *a, struct key *k)
{
	char want[32];

	/* The caller of the other request must not see this answer. */
	snprintf(want, sizeof(want), "%s/%s", k->name,
	    a->attempt == k->other ? "other" : k->hash);
	once_check(w,
	    jh_str_eq(jh_call_answer_body(a->answer), jh_str_from(want)),
	    "an attempt was given the answer to another request");
}

static void
take_reply(struct world *w, const struct jh_ledger_action *a)
{
	int i;

	w->seen->outcome[a->outcome]++;
	once_check(w,
	    g_hash_table_add(w->replied, GSIZE_TO_POINTER(a->attempt)),
	    "an attempt was replied to twice");
	/* Attempt ids carry the number of their key. */
	i = (int)(a->attempt % KEYS);
	if (a->outcome == JH_LEDGER_DONE)
		check_answer(w, a, &w->keys[i]);
	if (a->outcome == JH_LEDGER_KEY_REUSED && a->ran == JH_LEDGER_RAN_NOT)
		once_check(w,
		    strcmp(w->keys[i].executed_hash,
			a->attempt == w->keys[i].other ? "other"
						       : w->keys[i].hash) != 0,
		    "a reused key's request had run");
	if (a->attempt == w->keys[i].waiting)
		heard_reply(w, a, &w->keys[i]);
}

static void
drain(struct world *w, int i)
{
	struct jh_ledger_action *a;
	struct event *e;

	while ((a = jh_ledger_next(w->ledger[i])) != NULL) {
		once_check(
		    w, a->act != JH_LEDGER_GIVE_UP, "a record was given up");
		if (a->act >= JH_LEDGER_REPLY) {
			if (a->act == JH_LEDGER_REPLY)
				take_reply(w, a);
			jh_ledger_action_free(a);
			continue;
		}
		e = g_new0(struct event, 1);
		e->act = a;
		e->agent = i;
		e->incarnation = w->incarnation[i];
		e->key = key_of(w, a->object);
		if (a->act == JH_LEDGER_SEND) {
			w->keys[e->key]
			    .sends[a->attempt == w->keys[e->key].other]++;
			once_check(w,
			    !g_hash_table_contains(
				w->replied, GSIZE_TO_POINTER(a->attempt)),
			    "a call was sent for an attempt refused before");
		}
		g_ptr_array_add(w->events, e);
	}
}

/* Hands an answer to the agent that waits for it, if that still lives. */
static void
deliver(struct world *w, struct event *e)
{
	struct jh_ledger *l = w->ledger[e->agent];
	uint64_t op = e->act->op;

	if (l == NULL || w->incarnation[e->agent] != e->incarnation)
		return;
	if (e->act->act == JH_LEDGER_ASK)
		jh_ledger_peer_result(l, w->now, op, e->state, e->answer);
	else if (e->act->act != JH_LEDGER_SEND)
		jh_ledger_store_result(l, w->now, op, e->result, e->version,
		    e->value == NULL
			? JH_STR("")
			: (struct jh_str){e->value->str, e->value->len});
	else if (e->answer != NULL)
		jh_ledger_server_answer(l, w->now, op, e->answer);
	else
		jh_ledger_server_broke(l, w->now, op, e->sent);
	drain(w, e->agent);
}

/* Tells the agent that no answer came; a write may still land later. */
static bool
lose(struct world *w, struct event *e)
{
	struct jh_ledger *l = w->ledger[e->agent];

	if (l != NULL && w->incarnation[e->agent] == e->incarnation) {
		if (e->act->act == JH_LEDGER_ASK)
			jh_ledger_peer_result(
			    l, w->now, e->act->op, JH_NONCE_NO_ANSWER, NULL);
		else
			jh_ledger_store_result(l, w->now, e->act->op,
			    JH_STORE_UNKNOWN, 0, JH_STR(""));
		drain(w, e->agent);
	}
	if (e->applied || once_chance(w, 50))
		return true;
	w->seen->late_writes +=
	    e->act->act == JH_LEDGER_CREATE || e->act->act == JH_LEDGER_UPDATE;
	return false; /* applied and answered later; nobody waits for it */
}

static void
step_event(struct world *w)
{
	guint i;
	struct event *e;
	bool store;

	if (w->events->len == 0)
		return;
	i = (guint)g_rand_int_range(w->rand, 0, (gint32)w->events->len);
	e = g_ptr_array_steal_index_fast(w->events, i);
	store = e->act->act <= JH_LEDGER_UPDATE;
	if (!w->healed && e->act->act != JH_LEDGER_SEND && once_chance(w, 15)) {
		if (lose(w, e))
			free_event(e);
		else
			g_ptr_array_add(w->events, e);
		return;
	}
	if (!e->applied && store && w->outage) {
		e->result = JH_STORE_UNAVAILABLE;
	} else if (!e->applied) {
		if (store)
			once_apply_store(w, e);
		else if (e->act->act == JH_LEDGER_ASK)
			once_apply_ask(w, e);
		else
			once_apply_send(w, e);
		e->applied = true;
		if (once_chance(w, 50)) { /* the answer takes its time */
			g_ptr_array_add(w->events, e);
			return;
		}
	}
	deliver(w, e);
	free_event(e);
}

static void
send_attempt(struct world *w, int n, int agent, bool other)
{
	struct key *k = &w->keys[n];
	struct jh_attempt a = {.org = JH_STR("org"),
	    .key = jh_str_from(k->name),
	    .request_hash = jh_str_from(other ? "other" : k->hash),
	    .deadline = w->now + DEADLINE_USEC};

	w->last_attempt += KEYS;
	a.id = w->last_attempt + (uint64_t)n;
	if (other) {
		k->other = a.id;
	} else {
		a.first = k->attempts == 0 ||
			  (k->all_unrun && once_chance(w, 50)) ||
			  w->mutant == ONCE_CALLER_CLAIMS_FIRST;
		k->first = a.first;
		k->attempts++;
		k->waiting = a.id;
	}
	jh_ledger_attempt(w->ledger[agent], w->now, &a);
	drain(w, agent);
}

static void
step_caller(struct world *w)
{
	int n = g_rand_int_range(w->rand, 0, w->n_keys);
	int agent = g_rand_int_range(w->rand, 0, w->agents);
	struct key *k = &w->keys[n];

	if (k->waiting != 0 && once_chance(w, 70))
		return;
	if (k->waiting != 0) { /* gives up; the agent may not notice */
		k->all_unrun = false;
		if (w->ledger[agent] != NULL && once_chance(w, 30))
			jh_ledger_attempt_left(
			    w->ledger[agent], w->now, k->waiting);
		k->waiting = 0;
		return;
	}
	if (w->ledger[agent] == NULL || k->attempts >= MAX_ATTEMPTS)
		return;
	if (n == 0 && k->other == 0 && k->attempts > 0 && once_chance(w, 50))
		send_attempt(w, n, agent, true);
	else
		send_attempt(w, n, agent, false);
}

static void
step_time(struct world *w)
{
	int i;

	w->now += (uint64_t)g_rand_int_range(
	    w->rand, 1, once_chance(w, 20) ? 1000000 : 60000);
	for (i = 0; i < w->agents; i++) {
		if (w->ledger[i] == NULL)
			continue;
		jh_ledger_tick(w->ledger[i], w->now);
		drain(w, i);
	}
}

static void
step_fault(struct world *w)
{
	int i = g_rand_int_range(w->rand, 0, w->agents);

	if (once_chance(w, 20))
		w->outage = !w->outage;
	else if (w->ledger[i] == NULL)
		start_agent(w, i);
	else if (once_chance(w, 25))
		crash_agent(w, i);
}

static void
step(struct world *w)
{
	int r = g_rand_int_range(w->rand, 0, 100);

	if (r < w->fault_percent)
		step_fault(w);
	else if (r < 60)
		step_event(w);
	else if (r < 80)
		step_caller(w);
	else
		step_time(w);
}

/* After the faults end, every call must come to an end by itself. */
static void
heal(struct world *w)
{
	size_t left = 0;
	int i;

	w->healed = true;
	w->outage = false;
	for (i = 0; i < HEAL_STEPS && w->fault == NULL; i++) {
		if (w->events->len > 0)
			step_event(w);
		else
			step_time(w);
	}
	for (i = 0; i < w->agents; i++)
		left +=
		    w->ledger[i] == NULL ? 0 : jh_ledger_calls(w->ledger[i]);
	once_check(w, left == 0, "a call never ended");
}

const char *
once_world_run(uint64_t seed, enum once_mutant mutant, struct once_seen *seen)
{
	struct world w = {.rand = g_rand_new_with_seed((guint32)seed),
	    .mutant = mutant,
	    .seen = seen,
	    .now = 1};
	int i;

	w.agents = g_rand_int_range(w.rand, 2, AGENTS + 1);
	w.n_keys = g_rand_int_range(w.rand, 1, KEYS + 1);
	w.fault_percent = g_rand_int_range(w.rand, 0, 10);
	w.store =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	w.events = g_ptr_array_new_with_free_func(free_event);
	w.replied = g_hash_table_new(NULL, NULL);
	for (i = 0; i < w.agents; i++)
		start_agent(&w, i);
	for (i = 0; i < KEYS; i++) {
		snprintf(w.keys[i].name, sizeof(w.keys[i].name), "k%d", i);
		snprintf(w.keys[i].hash, sizeof(w.keys[i].hash), "h%d", i);
		w.keys[i].all_unrun = true;
	}
	for (i = 0; i < STEPS && w.fault == NULL; i++)
		step(&w);
	heal(&w);
	for (i = 0; i < w.agents; i++)
		jh_ledger_destroy(w.ledger[i]);
	g_hash_table_destroy(w.store);
	g_ptr_array_free(w.events, TRUE);
	g_hash_table_destroy(w.replied);
	g_rand_free(w.rand);
	return w.fault;
}
