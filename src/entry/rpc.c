#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "base/event.h"
#include "entry/entry.h"
#include "entry/limits.h"
#include "entry/refusal_log.h"
#include "entry/rpc.h"
#include "rpc/dump.h"

static void
handle_drain(void *arg, const void *args, void *reply)
{
	const struct jh_drain_args *d = args;
	struct jh_status_reply *r = reply;
	struct entry *e = arg;

	if (d->incarnation != e->incarnation) {
		r->code = 1;
		r->message = g_strdup("another incarnation is running");
		return;
	}
	g_atomic_int_set(&e->leaving, 1);
	jh_event(JH_EV_DRAINING, G_LOG_LEVEL_INFO,
	    "%s is draining by order of the operator", e->settings.instance);
	r->message = g_strdup("draining");
}

static void
add_member(void *arg, const struct jh_member *m)
{
	json_array_append_new(arg,
	    json_pack("{s:s, s:s, s:s, s:b, s:i}", "instance", m->instance.id,
		"role", m->instance.role == JH_ROLE_ENTRY ? "entry" : "agent",
		"region", m->instance.region, "leaving", m->instance.leaving,
		"failures", (int)m->failures));
}

static void
handle_quota(void *arg, const void *args, void *reply)
{
	struct entry *e = arg;

	entry_limits_serve(e->limits, args, reply);
}

static void
handle_sync(void *arg, const void *args, void *reply)
{
	const struct jh_sync_args *s = args;
	struct jh_sync_reply *r = reply;
	struct entry *e = arg;

	if (entry_workers_is_entry(e->workers, s->instance)) {
		refusal_log_peer_seen(e->refusals, s->instance, s->incarnation);
		entry_limits_peer_seen(e->limits, s->instance, s->incarnation);
	}
	crash_log_merge(
	    e->crashes, s->crashes.crashes_val, s->crashes.crashes_len);
	jh_feed_serve(e->feed, args, reply);
	crash_log_export(
	    e->crashes, &r->crashes.crashes_len, &r->crashes.crashes_val);
}

static json_t *
dump_state(struct entry *e)
{
	struct jh_catalog_stats st;
	json_t *workers = json_array();
	char incarnation[17];
	uint64_t age = jh_feed_age(e->feed);
	unsigned int jobs;

	entry_workers_each(e->workers, JH_ROLE_ENTRY, add_member, workers);
	entry_workers_each(e->workers, JH_ROLE_AGENT, add_member, workers);
	jh_catalog_stats(e->catalog, &st);
	snprintf(incarnation, sizeof(incarnation), "%016llx",
	    (unsigned long long)e->incarnation);
	pthread_mutex_lock(&e->lock);
	jobs = g_hash_table_size(e->jobs);
	pthread_mutex_unlock(&e->lock);
	return json_pack("{s:s, s:s, s:s, s:s, s:b, s:i, "
			 "s:{s:I, s:I, s:b, s:i, s:i, s:i, s:i}, s:o, s:o}",
	    "instance", e->settings.instance, "role", "entry", "incarnation",
	    incarnation, "availability_zone", e->settings.zone, "leaving",
	    g_atomic_int_get(&e->leaving), "jobs", (int)jobs, "catalogue",
	    "revision", (json_int_t)jh_catalog_revision(e->catalog),
	    "confirmed_age_ms",
	    age == JH_SYNC_AGE_UNKNOWN ? (json_int_t)-1
				       : (json_int_t)(age / JH_USEC_PER_MSEC),
	    "watcher", jh_feed_is_watcher(e->feed), "entries", (int)st.entries,
	    "organisations", (int)st.orgs, "models", (int)st.models, "invalid",
	    (int)st.invalid, "members", workers, "counters",
	    jh_dump_counters(e->counters));
}

static void
handle_dump(void *arg, const void *args, void *reply)
{
	jh_dump_reply(dump_state(arg), args, reply);
}

const struct jh_rpc_handler entry_rpc_handlers[] = {{JH_SYNC, handle_sync},
    {JH_QUOTA, handle_quota}, {JH_DRAIN, handle_drain}, {JH_DUMP, handle_dump},
    {0, NULL}};
