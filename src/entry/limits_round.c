#include <pthread.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "entry/limits_state.h"
#include "rpc/server.h"

/* After this timeout a granter gets its next report in the next round. */
#define REPORT_TIMEOUT_USEC (300 * JH_USEC_PER_MSEC)

/* The reports of one round to one granter. */
struct batch {
	struct peer peer;
	struct jh_quota_args args;
	GArray *reports; /* of struct jh_wire_report */
};

/* Finds or adds the batch for the limit's granter; NULL if it is no peer. */
static struct batch *
find_batch(struct entry_limits *l, GPtrArray *batches, const struct limit *t)
{
	struct batch *b;
	struct peer *p;
	guint i;

	for (i = 0; i < batches->len; i++) {
		b = batches->pdata[i];
		if (strcmp(b->peer.instance, t->granter_instance) == 0)
			return b;
	}
	for (i = 0; i < l->peers->len; i++) {
		p = &g_array_index(l->peers, struct peer, i);
		if (strcmp(p->instance, t->granter_instance) != 0)
			continue;
		b = g_new0(struct batch, 1);
		b->peer = *p;
		b->peer.instance = g_strdup(p->instance);
		b->reports =
		    g_array_new(FALSE, TRUE, sizeof(struct jh_wire_report));
		g_ptr_array_add(batches, b);
		return b;
	}
	return NULL;
}

/* Reports to a granter in this daemon, without a message. Holds l->lock. */
static void
report_locally(struct limit *t)
{
	struct jh_quota_report r;
	struct jh_quota_grant g;

	if (jh_quota_holder_make_report(t->holder, jh_now(), &r) &&
	    jh_quota_granter_handle_report(t->granter, jh_now(), &r, &g))
		jh_quota_holder_apply_grant(t->holder, jh_now(), &g);
}

/* Holds l->lock. */
static void
add_report(struct entry_limits *l, GPtrArray *batches, struct limit *t)
{
	struct jh_wire_report wire = {0};
	struct jh_quota_report r;
	struct batch *b;

	if (t->granter != NULL) {
		report_locally(t);
		return;
	}
	/* An empty batch is sent too, to learn the granter's incarnation. */
	b = t->granter_instance == NULL ? NULL : find_batch(l, batches, t);
	if (b == NULL || !jh_quota_holder_make_report(t->holder, jh_now(), &r))
		return;
	limit_report_to_wire(&r, t->key, &wire);
	g_array_append_val(b->reports, wire);
}

/* Holds l->lock. */
static uint64_t
incarnation_of(struct entry_limits *l, const char *instance)
{
	const uint64_t *found;

	if (strcmp(instance, l->entry->settings.instance) == 0)
		return l->entry->incarnation;
	found = g_hash_table_lookup(l->incarnations, instance);
	return found == NULL ? 0 : *found;
}

static void
add_peer(void *arg, const struct jh_member *m)
{
	struct entry_limits *l = arg;
	struct peer p;

	if (strcmp(m->instance.region, l->entry->settings.region) != 0 ||
	    m->instance.leaving)
		return;
	p.instance = g_strdup(m->instance.id);
	p.id = entry_worker_id(m->instance.id);
	p.incarnation = incarnation_of(l, m->instance.id);
	p.rpc_address = m->instance.rpc_address;
	g_array_append_val(l->peers, p);
}

static void
refresh_peers(struct entry_limits *l)
{
	struct entry_workers *w = l->entry->workers;

	g_array_set_size(l->peers, 0);
	entry_workers_each(w, JH_ROLE_ENTRY, add_peer, l);
}

static GPtrArray *
make_batches(struct entry_limits *l)
{
	GPtrArray *batches = g_ptr_array_new();
	struct limit *t;
	GHashTableIter it;
	gpointer value;

	pthread_mutex_lock(&l->lock);
	refresh_peers(l);
	g_hash_table_iter_init(&it, l->limits);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		if (t->running == 0 && jh_now() >= t->idle_deadline) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		limits_update_granter(l, t);
		add_report(l, batches, t);
	}
	pthread_mutex_unlock(&l->lock);
	return batches;
}

/* Applies a grant to its limit. Holds l->lock. */
static void
apply_grant(
    struct entry_limits *l, const struct jh_wire_grant *w, uint64_t granter)
{
	struct limit *t = g_hash_table_lookup(l->limits, w->key);
	struct jh_quota_grant g = {.holder = l->entry->incarnation,
	    .granter = granter,
	    .report = w->report,
	    .seq = w->seq};

	if (t == NULL)
		return;
	g.amount[JH_QUOTA_RATE] = w->rate;
	g.amount[JH_QUOTA_CONCURRENT] = w->concurrent;
	jh_quota_holder_apply_grant(t->holder, jh_now(), &g);
}

static void
send_batch(struct entry_limits *l, struct batch *b)
{
	struct jh_quota_reply reply = {0};
	u_int i;

	b->args.instance = l->entry->settings.instance;
	b->args.incarnation = l->entry->incarnation;
	b->args.granter = b->peer.incarnation;
	b->args.reports.reports_len = b->reports->len;
	b->args.reports.reports_val =
	    (struct jh_wire_report *)(void *)b->reports->data;
	if (!jh_rpc_call(&b->peer.rpc_address, &l->entry->settings.secret,
		JH_QUOTA, &b->args, &reply, jh_now() + REPORT_TIMEOUT_USEC,
		NULL))
		return;
	entry_limits_peer_seen(l, b->peer.instance, reply.incarnation);
	pthread_mutex_lock(&l->lock);
	for (i = 0; i < reply.grants.grants_len; i++)
		apply_grant(l, &reply.grants.grants_val[i], reply.incarnation);
	pthread_mutex_unlock(&l->lock);
	jh_rpc_reply_clear(JH_QUOTA, &reply);
}

static void
free_batch(struct batch *b)
{
	guint i;

	for (i = 0; i < b->reports->len; i++)
		g_free(g_array_index(b->reports, struct jh_wire_report, i).key);
	g_array_free(b->reports, TRUE);
	g_free(b->peer.instance);
	g_free(b);
}

void
limits_run_round(struct entry_limits *l)
{
	GPtrArray *batches = make_batches(l);
	guint i;

	for (i = 0; i < batches->len; i++) {
		send_batch(l, batches->pdata[i]);
		free_batch(batches->pdata[i]);
	}
	g_ptr_array_free(batches, TRUE);
}
