#include <stdio.h>

#include <jacinthhill/ledger.h>

#include "once_sim.h"

enum kind {
	ATTEMPT,
	CRASH,
	STORE_RESULT,
	BACKEND_RESPONSE,
	TICK,
};

struct event {
	uint64_t at;
	uint64_t order; /* sequence number, the order at equal times */
	enum kind kind;
	unsigned int call;
	uint64_t incarnation;
	uint64_t op;
	enum jh_store_result result;
	uint64_t version;
	char *value;
	bool sent, has_response; /* of a call to the backend server */
};

struct object {
	uint64_t version;
	char *value;
};

struct attempt {
	unsigned int call;
	uint64_t at;
};

struct sim {
	struct once_result *r;
	GRand *rand;
	GSequence *events;
	uint64_t order;
	uint64_t now;
	struct jh_ledger *ledger;
	uint64_t incarnation;
	uint64_t tick_at; /* of the next tick scheduled */
	GHashTable *store;
	GArray *attempts; /* of struct attempt; the id is the index + 1 */
	bool *waiting; /* by call: the agent has an attempt in progress */
};

static gint
compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct event *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

static struct event *
schedule(struct sim *s, uint64_t at, enum kind kind, unsigned int call)
{
	struct event *e = g_new0(struct event, 1);

	e->at = at;
	e->order = ++s->order;
	e->kind = kind;
	e->call = call;
	e->incarnation = s->incarnation;
	g_sequence_insert_sorted(s->events, e, compare, NULL);
	return e;
}

static bool
permille(struct sim *s, int n)
{
	return g_rand_int_range(s->rand, 0, 1000) < n;
}

static void
start_agent(struct sim *s)
{
	struct jh_ledger_settings settings = {JH_LEDGER_DEFAULTS,
	    .agent = JH_STR("agent"), .incarnation = ++s->incarnation};

	s->ledger = jh_ledger_create(&settings);
}

static void
free_object(gpointer p)
{
	struct object *o = p;

	g_free(o->value);
	g_free(o);
}

static void
write_object(struct sim *s, struct object *o, struct jh_ledger_action *a)
{
	if (o == NULL) {
		o = g_new0(struct object, 1);
		g_hash_table_insert(s->store, g_strdup(a->object), o);
	}
	o->version++;
	g_free(o->value);
	o->value = g_strdup(a->value);
}

static void
run_on_store(struct sim *s, struct jh_ledger_action *a)
{
	struct object *o = g_hash_table_lookup(s->store, a->object);
	enum jh_store_result result = JH_STORE_OK;
	uint64_t at = s->now + ONCE_STORE_USEC;
	struct event *e;

	if (once_in_outage(s->now))
		s->r->outage_ops++;
	else if (a->act == JH_LEDGER_READ)
		s->r->reads++;
	else
		s->r->writes++;
	if (once_in_outage(s->now)) {
		result = JH_STORE_UNAVAILABLE;
	} else if (a->act != JH_LEDGER_CREATE && o == NULL) {
		result = JH_STORE_NOT_FOUND;
	} else if (a->act != JH_LEDGER_READ) {
		if (a->act == JH_LEDGER_CREATE ? o != NULL
					       : o->version != a->version)
			result = JH_STORE_CONFLICT;
		else
			write_object(s, o, a);
		o = g_hash_table_lookup(s->store, a->object);
		if (permille(s, ONCE_LOST_PERMILLE)) {
			result = JH_STORE_UNKNOWN;
			at = s->now + ONCE_STORE_TIMEOUT_USEC;
		}
	}
	e = schedule(s, at, STORE_RESULT, 0);
	e->op = a->op;
	e->result = result;
	if (o != NULL && result <= JH_STORE_CONFLICT) {
		e->version = o->version;
		e->value = g_strdup(o->value);
	}
}

static void
send_to_backend(struct sim *s, struct jh_ledger_action *a)
{
	unsigned int call =
	    g_array_index(s->attempts, struct attempt, a->attempt - 1).call;
	struct event *e =
	    schedule(s, s->now + ONCE_BACKEND_USEC, BACKEND_RESPONSE, call);

	e->op = a->op;
	if (permille(s, ONCE_CONN_LOST_PERMILLE))
		return;
	s->r->calls[call].executed++;
	e->sent = true;
	e->has_response = !permille(s, ONCE_CONN_LOST_PERMILLE);
}

/* Ends the attempt for its client, which may retry. */
static void
end_attempt(struct sim *s, unsigned int i, enum jh_ledger_outcome outcome)
{
	struct once_call *c = &s->r->calls[i];

	s->waiting[i] = false;
	c->responded |= outcome == JH_LEDGER_DONE;
	c->may_have_run |= outcome != JH_LEDGER_NOT_RUN;
	if (!c->responded && c->attempts < ONCE_ATTEMPTS)
		schedule(s, s->now + ONCE_RETRY_USEC, ATTEMPT, i);
}

static void
reply_to_client(struct sim *s, struct jh_ledger_action *a)
{
	struct attempt *t =
	    &g_array_index(s->attempts, struct attempt, a->attempt - 1);
	bool outage = once_in_outage(t->at);
	uint64_t added_usec = s->now - t->at - ONCE_BACKEND_USEC;

	if (a->outcome == JH_LEDGER_NOT_RUN) {
		s->r->not_run++;
		s->r->outage_not_run += outage;
	} else if (a->outcome == JH_LEDGER_UNKNOWN) {
		s->r->unknown++;
		s->r->outage_unknown += outage;
	} else if (s->r->calls[t->call].attempts == 1) {
		g_array_append_val(s->r->added_usec, added_usec);
	}
	end_attempt(s, t->call, a->outcome);
}

static void
run_actions(struct sim *s)
{
	struct jh_ledger_action *a;
	uint64_t due;

	while ((a = jh_ledger_next(s->ledger)) != NULL) {
		if (a->act <= JH_LEDGER_UPDATE)
			run_on_store(s, a);
		else if (a->act == JH_LEDGER_SEND)
			send_to_backend(s, a);
		else if (a->act == JH_LEDGER_REPLY)
			reply_to_client(s, a);
		jh_ledger_action_free(a);
	}
	due = MAX(jh_ledger_due(s->ledger), s->now + 1);
	if (due == JH_NEVER || (s->tick_at > s->now && s->tick_at <= due))
		return;
	s->tick_at = due;
	schedule(s, due, TICK, 0);
}

static void
on_attempt(struct sim *s, unsigned int i)
{
	struct once_call *c = &s->r->calls[i];
	struct attempt t = {i, s->now};
	struct jh_attempt a = {.org = JH_STR("org"),
	    .request_hash = JH_STR("hash"),
	    .first = !c->may_have_run,
	    .deadline = s->now + ONCE_DEADLINE_USEC};
	char key[16];

	snprintf(key, sizeof(key), "%u", i);
	a.key = jh_str_from(key);
	g_array_append_val(s->attempts, t);
	a.id = s->attempts->len;
	if (c->attempts++ == 0)
		c->first_attempt_at = s->now;
	s->waiting[i] = true;
	jh_ledger_attempt(s->ledger, s->now, &a);
}

/* Connections of clients break, so the outcome of their calls is unknown. */
static void
on_crash(struct sim *s)
{
	unsigned int i;

	jh_ledger_destroy(s->ledger);
	start_agent(s);
	for (i = 0; i < ONCE_CALLS; i++) {
		if (!s->waiting[i])
			continue;
		s->r->unknown++;
		s->r->outage_unknown += once_in_outage(s->now);
		end_attempt(s, i, JH_LEDGER_UNKNOWN);
	}
}

static void
on_backend_response(struct sim *s, const struct event *e)
{
	struct jh_call_response *response;

	if (!e->has_response) {
		jh_ledger_backend_failed(s->ledger, s->now, e->op, e->sent);
		return;
	}
	response = jh_call_response_create(200, JH_STR(""), JH_STR("ok"));
	jh_ledger_backend_response(s->ledger, s->now, e->op, response);
	jh_call_response_unref(response);
}

static void
handle(struct sim *s, const struct event *e)
{
	s->now = e->at;
	if (e->kind == CRASH)
		on_crash(s);
	else if (e->kind == ATTEMPT)
		on_attempt(s, e->call);
	else if (e->kind == TICK)
		jh_ledger_tick(s->ledger, s->now);
	else if (e->incarnation != s->incarnation)
		return;
	else if (e->kind == STORE_RESULT)
		jh_ledger_store_result(s->ledger, s->now, e->op, e->result,
		    e->version, jh_str_from(e->value));
	else
		on_backend_response(s, e);
	run_actions(s);
}

void
once_sim_ledger(struct once_result *r, GRand *rand)
{
	struct sim s = {.r = r, .rand = rand};
	GSequenceIter *it;
	struct event *e;
	unsigned int i;
	uint64_t t;

	s.events = g_sequence_new(NULL);
	s.store =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	s.attempts = g_array_new(FALSE, FALSE, sizeof(struct attempt));
	s.waiting = g_new0(bool, ONCE_CALLS);
	start_agent(&s);
	for (i = 0; i < ONCE_CALLS; i++)
		schedule(&s, once_arrival(i), ATTEMPT, i);
	for (t = ONCE_CRASH_USEC; t < ONCE_RUN_USEC; t += ONCE_CRASH_USEC)
		schedule(&s, t, CRASH, 0);
	while (g_sequence_get_length(s.events) > 0) {
		it = g_sequence_get_begin_iter(s.events);
		e = g_sequence_get(it);
		g_sequence_remove(it);
		handle(&s, e);
		g_free(e->value);
		g_free(e);
	}
	jh_ledger_destroy(s.ledger);
	g_sequence_free(s.events);
	g_hash_table_destroy(s.store);
	g_array_free(s.attempts, TRUE);
	g_free(s.waiting);
}
