#include <jacinthhill/clock.h>

#include "once/state.h"

/* Returns the call that waits for this operation and ends the operation. */
static struct jh_call *
complete_op(struct jh_ledger *l, uint64_t op)
{
	struct jh_call *c = g_hash_table_lookup(l->by_op, &op);

	if (c == NULL)
		return NULL;
	g_hash_table_remove(l->by_op, &op);
	c->op = 0;
	return c;
}

/* The store or the holder responded: restarts the timeout and the backoff. */
static void
restart_timeout(struct jh_ledger *l, struct jh_call *c, uint64_t now)
{
	c->failures = 0;
	c->retry_deadline = now + l->settings.timeout_usec;
}

static void
on_not_found(struct jh_ledger *l, struct jh_call *c)
{
	if (c->version == 0) {
		jh_step_start(l, c, JH_STEP_CREATE);
		return;
	}
	/* The record was removed, so whether the call ran is unknown. */
	c->foreign_record = true;
	jh_finish_refused(l, c, JH_LEDGER_REASON_BAD_RECORD);
}

static void
on_unknown_result(struct jh_ledger *l, struct jh_call *c, uint64_t now)
{
	/* Reads back at once to learn whether a write took effect. */
	if (c->step != JH_STEP_READ && c->failures++ == 0)
		jh_step_start(l, c, JH_STEP_READ);
	else
		jh_step_retry(l, c, JH_STEP_READ, now,
		    JH_LEDGER_REASON_STORE_UNAVAILABLE);
}

void
jh_ledger_store_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_store_result result, uint64_t version, struct jh_str value)
{
	struct jh_call *c = complete_op(l, op);

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
	/*
	 * A store that returns JH_STORE_NOT_FOUND may still fail every write,
	 * so that result does not restart the timeout.
	 */
	if (result == JH_STORE_OK || result == JH_STORE_CONFLICT)
		restart_timeout(l, c, now);
	switch (result) {
	case JH_STORE_OK:
		if (c->step == JH_STEP_READ)
			jh_step_handle_record(l, c, now, version, value);
		else
			jh_step_send(l, c, now, version);
		break;
	case JH_STORE_CONFLICT:
		jh_step_handle_record(l, c, now, version, value);
		break;
	case JH_STORE_NOT_FOUND:
		on_not_found(l, c);
		break;
	case JH_STORE_UNKNOWN:
		on_unknown_result(l, c, now);
		break;
	default: /* nothing was written */
		jh_step_retry(
		    l, c, c->step, now, JH_LEDGER_REASON_STORE_UNAVAILABLE);
		break;
	}
}

static void
poll_later(struct jh_ledger *l, struct jh_call *c, uint64_t now)
{
	c->step = JH_STEP_QUERY;
	c->due = now + l->settings.poll_usec;
}

void
jh_ledger_peer_result(struct jh_ledger *l, uint64_t now, uint64_t op,
    enum jh_nonce_state state, struct jh_call_response *response)
{
	struct jh_call *c = complete_op(l, op);

	if (c == NULL)
		return;
	if (state != JH_NONCE_NO_RESPONSE)
		restart_timeout(l, c, now);
	switch (state) {
	case JH_NONCE_RUNNING:
		poll_later(l, c, now);
		break;
	case JH_NONCE_ABANDONED:
		jh_step_start(l, c, JH_STEP_REPLACE);
		break;
	case JH_NONCE_DONE:
		jh_finish_done(l, c, response);
		break;
	case JH_NONCE_LOST:
		jh_finish_refused(l, c, JH_LEDGER_REASON_BACKEND_LOST);
		break;
	case JH_NONCE_NO_SUCH_AGENT:
		/* It may have written the outcome before it stopped. */
		c->holder_gone = true;
		jh_step_start(l, c, JH_STEP_READ);
		break;
	case JH_NONCE_NO_RESPONSE:
		jh_step_retry(
		    l, c, JH_STEP_READ, now, JH_LEDGER_REASON_HOLDER_TIMEOUT);
		break;
	}
}

/* Keeps the response for the record if it is within both size limits. */
static void
keep_response(
    struct jh_ledger *l, struct jh_call *c, struct jh_call_response *response)
{
	size_t len = jh_call_response_body(response).len;

	if (len > JH_LEDGER_RESPONSE_MAX ||
	    len > l->settings.unwritten_bytes - l->unwritten)
		return;
	c->response = jh_call_response_ref(response);
	c->response_bytes = len;
	l->unwritten += len;
}

void
jh_ledger_backend_response(struct jh_ledger *l, uint64_t now, uint64_t op,
    struct jh_call_response *response)
{
	struct jh_call *c = complete_op(l, op);

	if (c == NULL)
		return;
	c->failures = 0;
	keep_response(l, c, response);
	jh_call_cache_result(l, c,
	    c->response == NULL ? JH_RESULT_NOT_KEPT : JH_RESULT_DONE,
	    c->response);
	jh_reply_waiters(l, c, JH_LEDGER_DONE, JH_LEDGER_REASON_NONE, response);
	jh_step_start(l, c, JH_STEP_WRITE);
}

void
jh_ledger_backend_failed(
    struct jh_ledger *l, uint64_t now, uint64_t op, bool sent)
{
	struct jh_call *c = complete_op(l, op);

	if (c == NULL)
		return;
	if (!sent) {
		jh_finish_refused(l, c, JH_LEDGER_REASON_BACKEND_UNREACHABLE);
		return;
	}
	c->failures = 0;
	c->response_lost = true;
	jh_call_cache_result(l, c, JH_RESULT_LOST, NULL);
	jh_reply_waiters(
	    l, c, JH_LEDGER_UNKNOWN, JH_LEDGER_REASON_BACKEND_LOST, NULL);
	jh_step_start(l, c, JH_STEP_WRITE);
}
