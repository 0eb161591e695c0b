#include <string.h>

#include <jacinthhill/clock.h>

#include "once/state.h"

#define RETRY_FIRST_USEC (20 * JH_USEC_PER_MSEC)
#define RETRY_LIMIT_USEC (500 * JH_USEC_PER_MSEC)
/* No caller waits for the outcome to be written, so retry it less often. */
#define WRITE_LIMIT_USEC (5 * JH_USEC_PER_SEC)

static uint64_t
retry_delay(const struct jh_call *c, uint64_t limit)
{
	uint64_t delay = RETRY_FIRST_USEC << MIN(c->failures, 16);

	return MIN(delay, limit);
}

void
jh_step_retry(struct jh_ledger *l, struct jh_call *c, enum jh_step step,
    uint64_t now, enum jh_ledger_reason reason)
{
	uint64_t delay;

	delay = retry_delay(
	    c, step == JH_STEP_WRITE ? WRITE_LIMIT_USEC : RETRY_LIMIT_USEC);
	/*
	 * During a store outage longer than the timeout, each call tries the
	 * store only once; see docs/at-most-once.md.
	 */
	if (step < JH_STEP_RUN &&
	    (now + delay >= c->retry_deadline ||
		(l->failing_since != 0 &&
		    now >= l->failing_since + l->settings.timeout_usec))) {
		jh_finish_refused(l, c, reason);
		return;
	}
	c->step = step;
	c->failures++;
	c->due = now + delay;
}

static void
set_record(struct jh_ledger *l, const struct jh_call *c,
    struct jh_ledger_action *a, enum jh_record_state state)
{
	struct jh_record r = {
	    .state = state,
	    .nonce = {l->settings.incarnation, c->seq},
	    .agent = l->agent,
	    .request_hash = c->request_hash,
	    .response = state == JH_RECORD_DONE ? c->response : NULL,
	};

	a->value = jh_record_encode(&r, &a->value_len);
}

static void
fill_action(
    struct jh_ledger *l, const struct jh_call *c, struct jh_ledger_action *a)
{
	switch (c->step) {
	case JH_STEP_READ:
		a->act = JH_LEDGER_READ;
		break;
	case JH_STEP_CREATE:
		a->act = JH_LEDGER_CREATE;
		set_record(l, c, a, JH_RECORD_STARTED);
		break;
	case JH_STEP_REPLACE:
		a->act = JH_LEDGER_UPDATE;
		set_record(l, c, a, JH_RECORD_STARTED);
		break;
	case JH_STEP_QUERY:
		a->act = JH_LEDGER_QUERY;
		a->agent = g_strdup(c->holder_agent);
		a->nonce = c->holder;
		break;
	case JH_STEP_RUN:
		a->act = JH_LEDGER_SEND;
		a->attempt = g_array_index(c->waiters, struct jh_waiter, 0).id;
		break;
	case JH_STEP_WRITE:
		a->act = JH_LEDGER_UPDATE;
		set_record(l, c, a,
		    c->response_lost ? JH_RECORD_LOST : JH_RECORD_DONE);
		break;
	}
}

void
jh_step_start(struct jh_ledger *l, struct jh_call *c, enum jh_step step)
{
	struct jh_ledger_action *a = g_new0(struct jh_ledger_action, 1);

	c->step = step;
	c->due = JH_NEVER;
	c->op = ++l->last_op;
	g_hash_table_insert(l->by_op, &c->op, c);
	a->op = c->op;
	a->object = g_strdup(c->object);
	a->version = c->version;
	fill_action(l, c, a);
	g_queue_push_tail(&l->actions, a);
}

void
jh_step_send(
    struct jh_ledger *l, struct jh_call *c, uint64_t now, uint64_t version)
{
	struct jh_waiter *w;
	guint i;

	c->version = version;
	for (i = 0; i < c->waiters->len; i++) {
		w = &g_array_index(c->waiters, struct jh_waiter, i);
		if (w->deadline > now) {
			jh_step_start(l, c, JH_STEP_RUN);
			jh_finish_expired(l, c, now);
			return;
		}
	}
	jh_finish_refused(l, c, JH_LEDGER_REASON_DEADLINE);
}

static bool
nonce_eq(struct jh_nonce a, struct jh_nonce b)
{
	return a.incarnation == b.incarnation && a.seq == b.seq;
}

/* The record says that the call was started, by this agent or another. */
static void
examine_started(
    struct jh_ledger *l, struct jh_call *c, uint64_t now, struct jh_record *r)
{
	if (r->nonce.incarnation == l->settings.incarnation) {
		if (r->nonce.seq == c->seq)
			jh_step_send(l, c, now, c->version);
		else if (g_hash_table_contains(l->by_seq, &r->nonce.seq))
			jh_finish_refused(l, c, JH_LEDGER_REASON_BAD_RECORD);
		else
			jh_step_start(l, c, JH_STEP_REPLACE);
		return;
	}
	c->foreign_record = true;
	if (!nonce_eq(c->holder, r->nonce)) {
		c->holder = r->nonce;
		c->holder_gone = false;
	}
	g_free(c->holder_agent);
	c->holder_agent = g_steal_pointer(&r->agent);
	/* An earlier incarnation of this agent has certainly stopped. */
	if (c->holder_gone || strcmp(c->holder_agent, l->agent) == 0)
		jh_finish_refused(l, c, JH_LEDGER_REASON_HOLDER_GONE);
	else
		jh_step_start(l, c, JH_STEP_QUERY);
}

static void
finish_lost(struct jh_ledger *l, struct jh_call *c)
{
	jh_call_cache_result(l, c, JH_RESULT_LOST, NULL);
	jh_reply_waiters(
	    l, c, JH_LEDGER_UNKNOWN, JH_LEDGER_REASON_BACKEND_LOST, NULL);
	jh_call_remove(l, c);
}

void
jh_step_handle_record(struct jh_ledger *l, struct jh_call *c, uint64_t now,
    uint64_t version, struct jh_str value)
{
	struct jh_record r;

	c->version = version;
	if (!jh_record_decode(value, &r, NULL)) {
		c->foreign_record = true;
		jh_finish_refused(l, c, JH_LEDGER_REASON_BAD_RECORD);
		return;
	}
	if (strcmp(r.request_hash, c->request_hash) != 0) {
		jh_reply_waiters(
		    l, c, JH_LEDGER_KEY_REUSED, JH_LEDGER_REASON_NONE, NULL);
		jh_call_remove(l, c);
	} else if (r.state == JH_RECORD_DONE) {
		jh_finish_done(l, c, r.response);
	} else if (r.state == JH_RECORD_LOST) {
		finish_lost(l, c);
	} else {
		examine_started(l, c, now, &r);
	}
	jh_record_clear(&r);
}

static bool
holds_our_outcome(const struct jh_ledger *l, const struct jh_call *c,
    const struct jh_record *r)
{
	return r->state != JH_RECORD_STARTED &&
	       nonce_eq(r->nonce,
		   (struct jh_nonce){l->settings.incarnation, c->seq});
}

static void
report_not_recorded(struct jh_ledger *l, struct jh_call *c)
{
	struct jh_ledger_action *a = g_new0(struct jh_ledger_action, 1);

	a->act = JH_LEDGER_NOT_RECORDED;
	a->object = g_strdup(c->object);
	a->reason = JH_LEDGER_REASON_BAD_RECORD;
	g_queue_push_tail(&l->actions, a);
}

void
jh_step_written(struct jh_ledger *l, struct jh_call *c, uint64_t now,
    enum jh_store_result result, uint64_t version, struct jh_str value)
{
	struct jh_record r = {0};

	switch (result) {
	case JH_STORE_CONFLICT:
		if (!jh_record_decode(value, &r, NULL) ||
		    !holds_our_outcome(l, c, &r))
			report_not_recorded(l, c);
		jh_record_clear(&r);
		break;
	case JH_STORE_NOT_FOUND:
		report_not_recorded(l, c);
		break;
	case JH_STORE_OK:
		break;
	default:
		jh_step_retry(l, c, JH_STEP_WRITE, now,
		    JH_LEDGER_REASON_STORE_UNAVAILABLE);
		return;
	}
	jh_call_remove(l, c);
}
