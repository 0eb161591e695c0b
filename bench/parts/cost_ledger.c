#include <stdio.h>

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/ledger.h>

#include "cost.h"

#define ANSWER_LEN 1024 /* bytes of an ordinary answer */

struct calls {
	struct jh_ledger *ledger;
	uint64_t now;
	uint64_t next;
	uint64_t made; /* calls that are through */
	uint64_t actions;
	uint64_t store_calls;
	uint64_t written; /* bytes */
	char body[ANSWER_LEN];
};

static void
carry_out(struct calls *c, const struct jh_ledger_action *a)
{
	struct jh_call_response *answer;

	c->actions++;
	switch (a->act) {
	case JH_LEDGER_CREATE:
	case JH_LEDGER_UPDATE:
	case JH_LEDGER_READ:
		c->store_calls++;
		c->written += a->value_len;
		jh_ledger_store_result(c->ledger, c->now, a->op, JH_STORE_OK,
		    a->act == JH_LEDGER_CREATE ? 1 : 2, JH_STR(""));
		break;
	case JH_LEDGER_SEND:
		answer =
		    jh_call_response_create(200, JH_STR("application/json"),
			(struct jh_str){c->body, sizeof(c->body)});
		jh_ledger_backend_response(c->ledger, c->now, a->op, answer);
		jh_call_response_unref(answer);
		break;
	default:
		break;
	}
}

static void
begin(struct calls *c)
{
	char key[40], hash[40];
	struct jh_attempt a = {.id = ++c->next,
	    .org = JH_STR("org-00012"),
	    .request_hash = JH_STR("0123456789abcdef0123456789abcdef"),
	    .first = true,
	    .deadline = c->now + 10 * JH_USEC_PER_SEC};

	snprintf(key, sizeof(key), "payment-%" G_GUINT64_FORMAT, c->next);
	snprintf(hash, sizeof(hash), "%032" G_GINT64_MODIFIER "x", c->next);
	a.key = jh_str_from(key);
	a.request_hash = jh_str_from(hash);
	jh_ledger_attempt(c->ledger, c->now, &a);
}

static void
call(void *arg, uint64_t i)
{
	struct jh_ledger_action *a;
	struct calls *c = arg;

	c->now += JH_USEC_PER_SEC / 10;
	c->made++;
	begin(c);
	while ((a = jh_ledger_next(c->ledger)) != NULL) {
		carry_out(c, a);
		jh_ledger_action_free(a);
	}
	jh_ledger_tick(c->ledger, c->now);
}

/* Calls that wait for the store with an outcome that is not yet written. */
static void
hold(struct calls *c, unsigned int n)
{
	struct jh_ledger_action *a;
	unsigned int i;

	for (i = 0; i < n; i++) {
		begin(c);
		while ((a = jh_ledger_next(c->ledger)) != NULL) {
			if (a->act != JH_LEDGER_UPDATE)
				carry_out(c, a);
			jh_ledger_action_free(a);
		}
	}
}

static void
measure(unsigned int waiting)
{
	struct jh_ledger_settings s = {JH_LEDGER_DEFAULTS,
	    .agent = JH_STR("10.0.0.1:8001"), .incarnation = 7};
	struct calls c = {.now = JH_USEC_PER_SEC};
	size_t before = cost_heap();
	double per;

	s.max_calls = waiting + 10;
	c.ledger = jh_ledger_create(&s);
	hold(&c, waiting);
	cost_print("ledger", waiting, "waiting calls, heap", (struct cost){0},
	    (double)(cost_heap() - before));
	c.actions = c.store_calls = c.written = 0;
	cost_print("ledger", waiting, "call of 1 KB answer",
	    cost_measure(COST_THREAD, call, &c, 500), -1);
	per = 1.0 / (double)c.made;
	cost_print("ledger", waiting, "  actions a call", (struct cost){0},
	    (double)c.actions * per);
	cost_print("ledger", waiting, "  store calls a call", (struct cost){0},
	    (double)c.store_calls * per);
	cost_print("ledger", waiting, "  bytes written a call",
	    (struct cost){0}, (double)c.written * per);
	jh_ledger_destroy(c.ledger);
}

void
cost_ledger(uint64_t seed)
{
	static const unsigned int waiting[] = {0, 100, 1000};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(waiting); i++)
		measure(waiting[i]);
}
