#include "once/state.h"

static enum jh_ledger_ran
ran_from_outcome(enum jh_ledger_outcome outcome)
{
	switch (outcome) {
	case JH_LEDGER_DONE:
	case JH_LEDGER_NOT_KEPT:
		return JH_LEDGER_RAN_YES;
	case JH_LEDGER_NOT_RUN:
	case JH_LEDGER_KEY_REUSED:
		return JH_LEDGER_RAN_NO;
	case JH_LEDGER_UNKNOWN:
		break;
	}
	return JH_LEDGER_RAN_UNKNOWN;
}

void
jh_reply(struct jh_ledger *l, uint64_t attempt, enum jh_ledger_outcome outcome,
    enum jh_ledger_reason reason, struct jh_call_response *response)
{
	struct jh_ledger_action *a = g_new0(struct jh_ledger_action, 1);

	a->act = JH_LEDGER_REPLY;
	a->attempt = attempt;
	a->outcome = outcome;
	a->reason = reason;
	a->ran = ran_from_outcome(outcome);
	a->response = jh_call_response_ref(response);
	g_queue_push_tail(&l->actions, a);
}

void
jh_reply_reused(struct jh_ledger *l, uint64_t attempt, bool not_run)
{
	struct jh_ledger_action *a;

	jh_reply(l, attempt, JH_LEDGER_KEY_REUSED, JH_LEDGER_REASON_NONE, NULL);
	a = g_queue_peek_tail(&l->actions);
	if (!not_run)
		a->ran = JH_LEDGER_RAN_UNKNOWN;
}

void
jh_reply_cached(
    struct jh_ledger *l, uint64_t attempt, const struct jh_cached_result *e)
{
	switch (e->result) {
	case JH_RESULT_DONE:
		jh_reply(l, attempt, JH_LEDGER_DONE, JH_LEDGER_REASON_NONE,
		    e->response);
		break;
	case JH_RESULT_NOT_KEPT:
		jh_reply(l, attempt, JH_LEDGER_NOT_KEPT, JH_LEDGER_REASON_NONE,
		    NULL);
		break;
	default:
		jh_reply(l, attempt, JH_LEDGER_UNKNOWN,
		    JH_LEDGER_REASON_BACKEND_LOST, NULL);
		break;
	}
}

void
jh_reply_waiters(struct jh_ledger *l, struct jh_call *c,
    enum jh_ledger_outcome outcome, enum jh_ledger_reason reason,
    struct jh_call_response *response)
{
	struct jh_waiter *w;
	guint i;

	for (i = 0; i < c->waiters->len; i++) {
		w = &g_array_index(c->waiters, struct jh_waiter, i);
		jh_reply(l, w->id, outcome, reason, response);
		g_hash_table_remove(l->by_attempt, &w->id);
	}
	g_array_set_size(c->waiters, 0);
}

void
jh_call_cache_result(struct jh_ledger *l, struct jh_call *c,
    enum jh_result result, struct jh_call_response *response)
{
	struct jh_cached_result e = {
	    .object = c->object,
	    .request_hash = c->request_hash,
	    .result = result,

	    .response = response,
	};

	jh_result_cache_put(l->results, &e);
}

void
jh_call_remove(struct jh_ledger *l, struct jh_call *c)
{
	guint i;

	for (i = 0; i < c->waiters->len; i++)
		g_hash_table_remove(l->by_attempt,
		    &g_array_index(c->waiters, struct jh_waiter, i).id);
	l->unwritten -= c->response_bytes;
	g_hash_table_remove(l->by_op, &c->op);
	g_hash_table_remove(l->by_seq, &c->seq);
	g_hash_table_remove(l->by_object, c->object);
}

void
jh_finish_done(
    struct jh_ledger *l, struct jh_call *c, struct jh_call_response *response)
{
	bool kept = response != NULL;

	jh_call_cache_result(
	    l, c, kept ? JH_RESULT_DONE : JH_RESULT_NOT_KEPT, response);
	jh_reply_waiters(l, c, kept ? JH_LEDGER_DONE : JH_LEDGER_NOT_KEPT,
	    JH_LEDGER_REASON_NONE, response);
	jh_call_remove(l, c);
}

/*
 * An earlier attempt with the key may still wait at another agent, which runs
 * the call once it learns that this agent's nonce is abandoned. The record
 * cannot rule this out, so the reply says "not run" only if the caller has
 * stated that there was no such attempt and no foreign record was seen.
 * model/once.pml has counterexamples to weaker rules.
 */
static enum jh_ledger_outcome
refusal_outcome(const struct jh_call *c, bool first)
{
	return first && !c->foreign_record ? JH_LEDGER_NOT_RUN
					   : JH_LEDGER_UNKNOWN;
}

void
jh_finish_refused(
    struct jh_ledger *l, struct jh_call *c, enum jh_ledger_reason reason)
{
	struct jh_waiter *w;
	guint i;

	for (i = 0; i < c->waiters->len; i++) {
		w = &g_array_index(c->waiters, struct jh_waiter, i);
		jh_reply(l, w->id, refusal_outcome(c, w->first), reason, NULL);
	}
	jh_call_remove(l, c);
}

/*
 * Refuses one waiter. An unsent call whose only waiter this is gets removed;
 * returns true in that case.
 */
static bool
expire_waiter(struct jh_ledger *l, struct jh_call *c, guint i)
{
	struct jh_waiter w = g_array_index(c->waiters, struct jh_waiter, i);

	if (c->step < JH_STEP_RUN && c->waiters->len == 1) {
		jh_finish_refused(l, c, JH_LEDGER_REASON_DEADLINE);
		return true;
	}
	/* The call has perhaps run, or may still run for another waiter. */
	jh_reply(l, w.id, JH_LEDGER_UNKNOWN, JH_LEDGER_REASON_DEADLINE, NULL);
	g_hash_table_remove(l->by_attempt, &w.id);
	g_array_remove_index(c->waiters, i);
	return false;
}

bool
jh_finish_expired(struct jh_ledger *l, struct jh_call *c, uint64_t now)
{
	guint i = c->waiters->len;

	while (i-- > 0) {
		if (g_array_index(c->waiters, struct jh_waiter, i).deadline >
		    now)
			continue;
		if (expire_waiter(l, c, i))
			return true;
	}
	return false;
}
