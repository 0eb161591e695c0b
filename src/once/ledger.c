#include <string.h>

#include <jacinthhill/clock.h>

#include "base/auth.h"
#include "once/state.h"

static void
free_call(gpointer p)
{
	jh_call_free(p);
}

struct jh_ledger *
jh_ledger_create(const struct jh_ledger_settings *s)
{
	struct jh_ledger *l = g_new0(struct jh_ledger, 1);

	g_assert(s->incarnation != 0 && s->agent.len > 0);
	l->settings = *s;
	l->agent = jh_str_dup(s->agent);
	l->by_object =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_call);
	l->by_op = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->by_seq = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->by_attempt =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	l->results =
	    jh_result_cache_create(s->max_cached_results, s->cached_bytes);
	g_queue_init(&l->actions);
	return l;
}

void
jh_ledger_destroy(struct jh_ledger *l)
{
	struct jh_ledger_action *a;

	if (l == NULL)
		return;
	while ((a = jh_ledger_next(l)) != NULL)
		jh_ledger_action_free(a);
	g_hash_table_destroy(l->by_op);
	g_hash_table_destroy(l->by_seq);
	g_hash_table_destroy(l->by_attempt);
	g_hash_table_destroy(l->by_object);
	jh_result_cache_destroy(l->results);
	g_free(l->agent);
	g_free(l);
}

struct jh_ledger_action *
jh_ledger_next(struct jh_ledger *l)
{
	return g_queue_pop_head(&l->actions);
}

void
jh_ledger_action_free(struct jh_ledger_action *a)
{
	if (a == NULL)
		return;
	g_free(a->object);
	g_free(a->value);
	g_free(a->agent);
	jh_call_response_unref(a->response);
	g_free(a);
}

char *
jh_ledger_object(struct jh_str org, struct jh_str key)
{
	char hex[JH_AUTH_HASH_HEX_LEN + 1];

	jh_auth_hash_hex(key, hex);
	return g_strdup_printf("calls/%.*s/%s", (int)org.len, org.ptr, hex);
}

static bool
same_request(const char *request_hash, const struct jh_attempt *a)
{
	return jh_str_eq(jh_str_from(request_hash), a->request_hash);
}

static void
add_waiter(struct jh_ledger *l, struct jh_call *c, const struct jh_attempt *a)
{
	struct jh_waiter w = {a->id, a->deadline, a->first};
	gint64 *id = g_new(gint64, 1);

	memcpy(id, &a->id, sizeof(*id));
	g_array_append_val(c->waiters, w);
	g_hash_table_insert(l->by_attempt, id, c);
}

static void
refuse_attempt(struct jh_ledger *l, const struct jh_attempt *a,
    enum jh_ledger_reason reason)
{
	jh_reply(l, a->id, a->first ? JH_LEDGER_NOT_RUN : JH_LEDGER_UNKNOWN,
	    reason, NULL);
}

static bool
attempts_full(const struct jh_ledger *l)
{
	return g_hash_table_size(l->by_attempt) >= l->settings.max_attempts;
}

/* Handles an attempt whose key has a call in progress at this agent. */
static void
join_call(struct jh_ledger *l, struct jh_call *c, const struct jh_attempt *a)
{
	if (!same_request(c->request_hash, a)) {
		/*
		 * Before JH_STEP_RUN the record may turn out to be that of the
		 * caller's own request.
		 */
		jh_reply_reused(l, a->id, c->step >= JH_STEP_RUN || a->first);
		return;
	}
	/* The call may still run, so a refusal cannot say "not run". */
	if (c->step != JH_STEP_WRITE && attempts_full(l))
		jh_reply(
		    l, a->id, JH_LEDGER_UNKNOWN, JH_LEDGER_REASON_FULL, NULL);
	else if (c->step != JH_STEP_WRITE)
		add_waiter(l, c, a);
	else if (c->response_lost)
		jh_reply(l, a->id, JH_LEDGER_UNKNOWN,
		    JH_LEDGER_REASON_BACKEND_LOST, NULL);
	else
		jh_reply(l, a->id,
		    c->response == NULL ? JH_LEDGER_NOT_KEPT : JH_LEDGER_DONE,
		    JH_LEDGER_REASON_NONE, c->response);
}

static void
begin_call(
    struct jh_ledger *l, uint64_t now, const struct jh_attempt *a, char *object)
{
	struct jh_call *c;

	if (attempts_full(l) ||
	    g_hash_table_size(l->by_object) >= l->settings.max_calls) {
		refuse_attempt(l, a, JH_LEDGER_REASON_FULL);
		return;
	}
	c = jh_call_create(object, a->request_hash);
	c->seq = ++l->last_seq;
	c->retry_deadline = now + l->settings.timeout_usec;
	g_hash_table_insert(l->by_object, c->object, c);
	g_hash_table_insert(l->by_seq, &c->seq, c);
	add_waiter(l, c, a);
	/* A retry most likely finds a record, and a read is cheaper. */
	jh_step_start(l, c, a->first ? JH_STEP_CREATE : JH_STEP_READ);
}

void
jh_ledger_attempt(struct jh_ledger *l, uint64_t now, const struct jh_attempt *a)
{
	char *object = jh_ledger_object(a->org, a->key);
	struct jh_call *c = g_hash_table_lookup(l->by_object, object);
	const struct jh_cached_result *e =
	    jh_result_cache_get(l->results, object);

	if (c != NULL)
		join_call(l, c, a);
	else if (e != NULL && !same_request(e->request_hash, a))
		jh_reply_reused(l, a->id, true);
	else if (e != NULL)
		jh_reply_cached(l, a->id, e);
	else if (a->deadline <= now)
		refuse_attempt(l, a, JH_LEDGER_REASON_DEADLINE);
	else
		begin_call(l, now, a, object);
	g_free(object);
}

void
jh_ledger_attempt_cancel(struct jh_ledger *l, uint64_t now, uint64_t id)
{
	struct jh_call *c = g_hash_table_lookup(l->by_attempt, &id);
	guint i;

	if (c == NULL)
		return;
	g_hash_table_remove(l->by_attempt, &id);
	for (i = 0; i < c->waiters->len; i++) {
		if (g_array_index(c->waiters, struct jh_waiter, i).id == id)
			break;
	}
	g_array_remove_index(c->waiters, i);
	if (c->waiters->len == 0 && c->step < JH_STEP_RUN)
		jh_call_remove(l, c);
}

enum jh_nonce_state
jh_ledger_nonce_state(struct jh_ledger *l, struct jh_nonce nonce,
    struct jh_call_response **response)
{
	struct jh_call *c;

	*response = NULL;
	if (nonce.incarnation != l->settings.incarnation)
		return JH_NONCE_NO_SUCH_AGENT;
	c = g_hash_table_lookup(l->by_seq, &nonce.seq);
	if (c == NULL)
		return JH_NONCE_ABANDONED;
	if (c->step < JH_STEP_WRITE)
		return JH_NONCE_RUNNING;
	if (c->response_lost)
		return JH_NONCE_LOST;
	*response = jh_call_response_ref(c->response);
	return JH_NONCE_DONE;
}

static void
tick_call(struct jh_ledger *l, struct jh_call *c, uint64_t now)
{
	if (jh_finish_expired(l, c, now))
		return;
	if (c->op == 0 && c->due <= now)
		jh_step_start(l, c, c->step);
}

void
jh_ledger_tick(struct jh_ledger *l, uint64_t now)
{
	GList *calls = g_hash_table_get_values(l->by_object);
	GList *i;

	for (i = calls; i != NULL; i = i->next)
		tick_call(l, i->data, now);
	g_list_free(calls);
}

uint64_t
jh_ledger_due(const struct jh_ledger *l)
{
	uint64_t due = JH_NEVER;
	struct jh_call *c;
	GHashTableIter it;
	guint i;

	g_hash_table_iter_init(&it, l->by_object);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c)) {
		due = MIN(due, c->due);
		for (i = 0; i < c->waiters->len; i++)
			due = MIN(
			    due, g_array_index(c->waiters, struct jh_waiter, i)
				     .deadline);
	}
	return due;
}

size_t
jh_ledger_calls(const struct jh_ledger *l)
{
	return g_hash_table_size(l->by_object);
}
