#include <jacinthhill/clock.h>

#include "once/state.h"

/* The call that waits for this operation. */
static struct jh_call *
take_op(struct jh_ledger *l, uint64_t op)
{
	struct jh_call *c = g_hash_table_lookup(l->by_op, &op);

	if (c == NULL)
		return NULL;
	g_hash_table_remove(l->by_op, &op);
	c->op = 0;
	return c;
}

/* The store or the holder answered: its patience starts anew. */
static void
heard(struct jh_ledger *l, struct jh_call *c, uint64_t now)
{
	c->tries = 0;
	c->give_up = now + l->set.patience_usec;
}

static void
on_absent(struct jh_ledger *l, struct jh_call *c)
{
	if (c->version == 0) {
		jh_step_start(l, c, JH_STEP_CREATE);
		return;
	}
	/* A removed record no longer tells whether the call ran. */
	c->foreign = true;
	jh_finish_refused(l, c, JH_LEDGER_REASON_RECORD);
}

static void
on_no_answer(struct jh_ledger *l, struct jh_call *c, uint64_t now)
{
	/* A lost answer to a write is settled by reading back at once. */
	if (c->step != JH_STEP_READ && c->tries++ == 0)
		jh_step_start(l, c, JH_STEP_READ);
	else
		jh_step_later(l, c, JH_STEP_READ, now, JH_LEDGER_REASON_STORE);
}

void
jh_ledger_store_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_store_result result, uint64_t version, struct jh_str value)
{
	struct jh_call *c = take_op(l, op);

	if (c == NULL)
		return;
	if (result < JH_STORE_UNAVAILABLE)
		l->failing_since = 0;
	else if (l->failing_since == 0)
		l->failing_since = now;
	if (c->step == JH_STEP_WRITE) {
		jh_step_written(l, c, now, result, version, value);
		return;
	}
	/* A store that finds nothing may yet lose every write. */
	if (result == JH_STORE_OK || result == JH_STORE_CONFLICT)
		heard(l, c, now);
	switch (result) {
	case JH_STORE_OK:
		if (c->step == JH_STEP_READ)
			jh_step_examine(l, c, now, version, value);
		else
			jh_step_confirmed(l, c, now, version);
		break;
	case JH_STORE_CONFLICT:
		jh_step_examine(l, c, now, version, value);
		break;
	case JH_STORE_NOT_FOUND:
		on_absent(l, c);
		break;
	case JH_STORE_UNKNOWN:
		on_no_answer(l, c, now);
		break;
	default: /* nothing was written */
		jh_step_later(l, c, c->step, now, JH_LEDGER_REASON_STORE);
		break;
	}
}

static void
poll_again(struct jh_ledger *l, struct jh_call *c, uint64_t now)
{
	c->step = JH_STEP_ASK;
	c->due = now + l->set.poll_usec;
}

void
jh_ledger_peer_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_nonce_state state, struct jh_call_answer *answer)
{
	struct jh_call *c = take_op(l, op);

	if (c == NULL)
		return;
	if (state != JH_NONCE_NO_ANSWER)
		heard(l, c, now);
	switch (state) {
	case JH_NONCE_RUNNING:
		poll_again(l, c, now);
		break;
	case JH_NONCE_ABANDONED:
		jh_step_start(l, c, JH_STEP_REPLACE);
		break;
	case JH_NONCE_DONE:
		jh_finish_done(l, c, answer);
		break;
	case JH_NONCE_LOST:
		jh_finish_refused(l, c, JH_LEDGER_REASON_SERVER_BROKE);
		break;
	case JH_NONCE_NO_SUCH_AGENT:
		/* It may have written the outcome before it went. */
		c->holder_gone = true;
		jh_step_start(l, c, JH_STEP_READ);
		break;
	case JH_NONCE_NO_ANSWER:
		jh_step_later(
		    l, c, JH_STEP_READ, now, JH_LEDGER_REASON_HOLDER_SILENT);
		break;
	}
}

/* Keeps the answer for the record if it fits. */
static void
keep(struct jh_ledger *l, struct jh_call *c, struct jh_call_answer *answer)
{
	size_t len = jh_call_answer_body(answer).len;

	if (len > JH_LEDGER_ANSWER_MAX ||
	    len > l->set.unwritten_bytes - l->unwritten)
		return;
	c->answer = jh_call_answer_ref(answer);
	c->answer_bytes = len;
	l->unwritten += len;
}

void
jh_ledger_server_answer(struct jh_ledger *l, uint64_t now, uint64_t op,
    struct jh_call_answer *answer)
{
	struct jh_call *c = take_op(l, op);

	if (c == NULL)
		return;
	c->tries = 0;
	keep(l, c, answer);
	jh_remember(l, c,
	    c->answer == NULL ? JH_RESULT_NOT_KEPT : JH_RESULT_DONE, c->answer);
	jh_finish_waiters(l, c, JH_LEDGER_DONE, JH_LEDGER_REASON_NONE, answer);
	jh_step_start(l, c, JH_STEP_WRITE);
}

void
jh_ledger_server_broke(
    struct jh_ledger *l, uint64_t now, uint64_t op, bool sent)
{
	struct jh_call *c = take_op(l, op);

	if (c == NULL)
		return;
	if (!sent) {
		jh_finish_unused(l, c, JH_LEDGER_REASON_SERVER_UNREACHABLE);
		return;
	}
	c->tries = 0;
	c->lost = true;
	jh_remember(l, c, JH_RESULT_LOST, NULL);
	jh_finish_waiters(
	    l, c, JH_LEDGER_UNKNOWN, JH_LEDGER_REASON_SERVER_BROKE, NULL);
	jh_step_start(l, c, JH_STEP_WRITE);
}
