#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/ledger.h>

#include "agent/agent.h"
#include "base/event.h"
#include "agent/once.h"
#include "agent/order.h"
#include "agent/rollout.h"
#include "agent/rpc.h"
#include "rpc/dump.h"

static void
handle_drain(void *arg, const void *args, void *reply)
{
	const struct jh_drain_args *d = args;
	struct jh_status_reply *r = reply;
	struct agent *a = arg;

	if (d->incarnation != a->incarnation) {
		r->code = 1;
		r->message = g_strdup("another incarnation is running");
		return;
	}
	g_atomic_int_set(&a->leaving, 1);
	jh_event(JH_EV_DRAINING, G_LOG_LEVEL_INFO, "%s drains by order",
	    a->settings.instance);
	r->message = g_strdup("draining");
}

static void
add_integer(void *arg, const char *name, uint64_t value)
{
	json_object_set_new(arg, name, json_integer((json_int_t)value));
}

static json_t *
dump_state(struct agent *a)
{
	char incarnation[17], engine[17];
	json_t *queue = json_object();
	/* The rollout's lock is never taken while a->lock is held. */
	json_t *rollout =
	    a->rollout == NULL ? NULL : agent_rollout_dump(a->rollout);
	uint64_t age = jh_feed_age(a->feed);
	json_t *root;

	snprintf(incarnation, sizeof(incarnation), "%016llx",
	    (unsigned long long)a->incarnation);
	pthread_mutex_lock(&a->lock);
	jh_queue_visit(a->queue, add_integer, queue);
	snprintf(engine, sizeof(engine), "%016llx",
	    (unsigned long long)a->engine.incarnation);
	root = json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:{s:I, s:I}, s:i, "
			 "s:o, s:{s:s, s:s*, "
			 "s:s*}, s:o, s:o*, s:o}",
	    "instance", a->settings.instance, "role", "agent", "incarnation",
	    incarnation, "availability_zone", a->settings.zone, "leaving",
	    g_atomic_int_get(&a->leaving), "catalogue_revision",
	    (json_int_t)jh_catalog_revision(a->catalog), "catalogue",
	    "revision", (json_int_t)jh_catalog_revision(a->catalog),
	    "confirmed_age_ms",
	    age == JH_SYNC_AGE_UNKNOWN ? (json_int_t)-1
				       : (json_int_t)(age / JH_USEC_PER_MSEC),
	    "jobs", (int)g_hash_table_size(a->jobs), "queue", queue, "engine",
	    "incarnation", engine, "model", a->engine.model, "weights",
	    a->engine.weights, "order", agent_order_dump(a), "rollout", rollout,
	    "counters", jh_dump_counters(a->counters));
	pthread_mutex_unlock(&a->lock);
	return root;
}

static void
handle_dump(void *arg, const void *args, void *reply)
{
	jh_dump_reply(dump_state(arg), args, reply);
}

static void
handle_sync(void *arg, const void *args, void *reply)
{
	const struct jh_sync_args *s = args;
	struct jh_sync_reply *r = reply;
	struct agent *a = arg;

	crash_log_merge(
	    a->crashes, s->crashes.crashes_val, s->crashes.crashes_len);
	jh_feed_serve(a->feed, args, reply);
	crash_log_export(
	    a->crashes, &r->crashes.crashes_len, &r->crashes.crashes_val);
}

static void
handle_nonce(void *arg, const void *args, void *reply)
{
	struct jh_nonce_reply *r = reply;
	struct agent *a = arg;

	if (a->once != NULL) {
		agent_once_handle_query(a->once, args, r);
		return;
	}
	r->state = JH_NONCE_NO_SUCH_AGENT;
	r->type = g_strdup("");
}

const struct jh_rpc_handler agent_rpc_handlers[] = {{JH_SYNC, handle_sync},
    {JH_NONCE, handle_nonce}, {JH_ORDER, agent_order_handle},
    {JH_DRAIN, handle_drain}, {JH_DUMP, handle_dump}, {0, NULL}};
