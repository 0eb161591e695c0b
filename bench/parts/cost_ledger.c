#include <stdio.h>

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/ledger.h>

#include "cost.h"

#define RESPONSE_LEN 1024 /* bytes of a usual response */

struct calls {
	struct jh_ledger *ledger;
	uint64_t now;
	uint64_t next;
	uint64_t completed; /* calls */
	uint64_t actions;
	uint64_t store_calls;
	uint64_t written; /* bytes, to the store */
	char body[RESPONSE_LEN];
};

static void
run_action(struct calls *c, const struct jh_ledger_action *a)
{
	struct jh_call_response *response;

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
		response =
		    jh_call_response_create(200, JH_STR("application/json"),
			(struct jh_str){c->body, sizeof(c->body)});
		jh_ledger_backend_response(c->ledger, c->now, a->op, response);
		jh_call_response_unref(response);
		break;
	default:
		break;
	}
}

static void
start_call(struct calls *c)
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
run_call(void *arg, uint64_t i)
{
	struct jh_ledger_action *a;
	struct calls *c = arg;

	c->now += JH_USEC_PER_SEC / 10;
	c->completed++;
	start_call(c);
	while ((a = jh_ledger_next(c->ledger)) != NULL) {
		run_action(c, a);
		jh_ledger_action_free(a);
	}
	jh_ledger_tick(c->ledger, c->now);
}

/* Adds n calls that wait until the store has written their outcome. */
static void
add_waiting(struct calls *c, unsigned int n)
{
	struct jh_ledger_action *a;
	unsigned int i;

	for (i = 0; i < n; i++) {
		start_call(c);
		while ((a = jh_ledger_next(c->ledger)) != NULL) {
			if (a->act != JH_LEDGER_UPDATE)
				run_action(c, a);
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
	double per_call;

	s.max_calls = waiting + 10;
	c.ledger = jh_ledger_create(&s);
	add_waiting(&c, waiting);
	cost_print("ledger", waiting, "waiting calls, heap", (struct cost){0},
	    (double)(cost_heap() - before));
	c.actions = c.store_calls = c.written = 0;
	cost_print("ledger", waiting, "call of 1 KB answer",
	    cost_measure(COST_THREAD, run_call, &c, 500), -1);
	per_call = 1.0 / (double)c.completed;
	cost_print("ledger", waiting, "  actions a call", (struct cost){0},
	    (double)c.actions * per_call);
	cost_print("ledger", waiting, "  store calls a call", (struct cost){0},
	    (double)c.store_calls * per_call);
	cost_print("ledger", waiting, "  bytes written a call",
	    (struct cost){0}, (double)c.written * per_call);
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
