#include <string.h>

#include <jacinthhill/clock.h>

#include "base/thread.h"
#include "entry/limits_state.h"

/* An unused limit is freed after this time. */
#define IDLE_USEC (60 * JH_USEC_PER_SEC)

struct limit_admission {
	struct limit *limit;
	uint64_t cost;
};

static void
clear_peer(gpointer p)
{
	g_free(((struct peer *)p)->instance);
}

/* Returns the entry daemon that grants this limit; NULL if none is known. */
static struct peer *
find_granter(struct entry_limits *l, const struct limit *t)
{
	uint64_t *ids = g_new(uint64_t, l->peers->len + 1), granter_id;
	struct peer *p, *found = NULL;
	guint i;

	for (i = 0; i < l->peers->len; i++)
		ids[i] = g_array_index(l->peers, struct peer, i).id;
	granter_id = jh_quota_choose_granter(jh_str_from(t->org),
	    jh_str_from(t->class_name), ids, l->peers->len);
	for (i = 0; i < l->peers->len && found == NULL; i++) {
		p = &g_array_index(l->peers, struct peer, i);
		if (p->id == granter_id)
			found = p;
	}
	g_free(ids);
	return found;
}

/* Sets the ids of a granter's holders. Holds l->lock. */
static void
set_members(struct entry_limits *l, struct limit *t)
{
	uint64_t *ids = g_new(uint64_t, l->peers->len + 1);
	size_t n = 0;
	struct peer *p;
	guint i;

	for (i = 0; i < l->peers->len; i++) {
		p = &g_array_index(l->peers, struct peer, i);
		if (p->incarnation != 0)
			ids[n++] = p->incarnation;
	}
	jh_quota_granter_set_members(
	    t->granter, jh_now(), ids, n, l->peers->len - (guint)n);
	g_free(ids);
}

void
limits_update_granter(struct entry_limits *l, struct limit *t)
{
	struct peer *p = find_granter(l, t);
	bool own =
	    p != NULL && strcmp(p->instance, l->entry->settings.instance) == 0;

	if (own && t->granter == NULL)
		t->granter = jh_quota_granter_create(
		    l->entry->incarnation, jh_now(), &t->amount);
	if (!own && t->granter != NULL) {
		jh_quota_granter_destroy(t->granter);
		t->granter = NULL;
	}
	if (t->granter != NULL)
		set_members(l, t);
	g_free(t->granter_instance);
	t->granter_instance = p == NULL || own ? NULL : g_strdup(p->instance);
	jh_quota_holder_set_view(t->holder, jh_now(),
	    p == NULL ? 0 : p->incarnation, MAX(l->peers->len, 1));
}

static struct jh_quota_limit
region_amount(struct entry_limits *l, const struct jh_catalog_entry *rule)
{
	unsigned int regions = entry_workers_count_regions(l->entry->workers);
	unsigned int permille =
	    (unsigned int)(10 * jh_catalog_entry_region_percent(rule,
				    l->entry->settings.region,
				    MAX(regions, 1)));
	struct jh_quota_limit amount;

	amount.amount[JH_QUOTA_RATE] =
	    jh_quota_share((uint64_t)rule->cost_tokens_per_second, permille);
	amount.amount[JH_QUOTA_CONCURRENT] =
	    jh_quota_share((uint64_t)rule->concurrent_requests, permille);
	return amount;
}

/* Holds l->lock. */
static struct limit *
find_limit(struct entry_limits *l, const struct jh_catalog_entry *rule,
    const struct jh_quota_limit *amount)
{
	char *key = g_strdup_printf("%s/%s", rule->owner, rule->class_name);
	struct limit *t = g_hash_table_lookup(l->limits, key);

	if (t == NULL) {
		t = limit_create(rule->owner, rule->class_name,
		    l->entry->incarnation, jh_now(), amount);
		g_hash_table_insert(l->limits, t->key, t);
		limits_update_granter(l, t);
	}
	g_free(key);
	return t;
}

struct limit_admission *
entry_limits_admit(
    struct entry_limits *l, const struct jh_catalog_entry *rule, uint64_t cost)
{
	struct jh_quota_limit amount = region_amount(l, rule);
	struct limit_admission *ticket = NULL;
	struct limit *t;
	uint64_t now;

	pthread_mutex_lock(&l->lock);
	t = find_limit(l, rule, &amount);
	now = jh_now();
	limit_set_amount(t, now, &amount);
	t->idle_deadline = now + IDLE_USEC;
	if (jh_quota_holder_admit(t->holder, now, cost) == JH_QUOTA_OK) {
		t->running++;
		ticket = g_new0(struct limit_admission, 1);
		ticket->limit = t;
		ticket->cost = cost;
	}
	pthread_mutex_unlock(&l->lock);
	return ticket;
}

void
entry_limits_finish(
    struct entry_limits *l, struct limit_admission *t, uint64_t cost)
{
	if (t == NULL)
		return;
	pthread_mutex_lock(&l->lock);
	t->limit->running--;
	jh_quota_holder_finish(
	    t->limit->holder, jh_now(), (int64_t)cost - (int64_t)t->cost);
	pthread_mutex_unlock(&l->lock);
	g_free(t);
}

void
entry_limits_peer_seen(
    struct entry_limits *l, const char *instance, uint64_t incarnation)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = incarnation;
	pthread_mutex_lock(&l->lock);
	g_hash_table_replace(l->incarnations, g_strdup(instance), copy);
	pthread_mutex_unlock(&l->lock);
}

/*
 * Answers a report with a grant; returns false if there is none. Holds l->lock.
 */
static bool
handle_report(struct entry_limits *l, const struct jh_wire_report *w,
    uint64_t holder, struct jh_wire_grant *out)
{
	struct limit *t = g_hash_table_lookup(l->limits, w->key);
	struct jh_quota_report r =
	    limit_report_from_wire(w, holder, l->entry->incarnation);
	struct jh_catalog_entry *rule;
	struct jh_quota_limit amount;
	struct jh_quota_grant g;
	char **name;

	if (t == NULL) {
		name = g_strsplit(w->key, "/", 2);
		rule = g_strv_length(name) == 2
			   ? jh_catalog_find_entry(
				 l->entry->catalog, name[0], name[1])
			   : NULL;
		g_strfreev(name);
		if (rule == NULL)
			return false;
		amount = region_amount(l, rule);
		t = find_limit(l, rule, &amount);
		jh_catalog_entry_unref(rule);
	}
	t->idle_deadline = jh_now() + IDLE_USEC;
	if (t->granter == NULL ||
	    !jh_quota_granter_handle_report(t->granter, jh_now(), &r, &g))
		return false;
	out->key = g_strdup(w->key);
	out->report = g.report;
	out->seq = g.seq;
	out->rate = g.amount[JH_QUOTA_RATE];
	out->concurrent = g.amount[JH_QUOTA_CONCURRENT];
	return true;
}

void
entry_limits_serve(struct entry_limits *l, const struct jh_quota_args *args,
    struct jh_quota_reply *reply)
{
	u_int i, n = args->reports.reports_len;

	entry_limits_peer_seen(l, args->instance, args->incarnation);
	reply->incarnation = l->entry->incarnation;
	reply->grants.grants_val = g_new0(struct jh_wire_grant, n);
	if (args->granter != l->entry->incarnation)
		return;
	pthread_mutex_lock(&l->lock);
	for (i = 0; i < n; i++) {
		if (handle_report(l, &args->reports.reports_val[i],
			args->incarnation,
			&reply->grants.grants_val[reply->grants.grants_len]))
			reply->grants.grants_len++;
	}
	pthread_mutex_unlock(&l->lock);
}

static void *
limits_main(void *arg)
{
	struct entry_limits *l = arg;
	uint64_t next;

	pthread_mutex_lock(&l->lock);
	while (!l->stopping) {
		next = jh_now() + JH_QUOTA_REPORT_USEC;
		pthread_mutex_unlock(&l->lock);
		limits_run_round(l);
		pthread_mutex_lock(&l->lock);
		while (!l->stopping &&
		       jh_cond_wait_until(&l->stop_cond, &l->lock, next))
			;
	}
	pthread_mutex_unlock(&l->lock);
	return NULL;
}

size_t
entry_limits_len(struct entry_limits *l)
{
	size_t n;

	pthread_mutex_lock(&l->lock);
	n = g_hash_table_size(l->limits);
	pthread_mutex_unlock(&l->lock);
	return n;
}

struct entry_limits *
entry_limits_create(struct entry *e)
{
	struct entry_limits *l = g_new0(struct entry_limits, 1);

	l->entry = e;
	pthread_mutex_init(&l->lock, NULL);
	jh_cond_init(&l->stop_cond);
	l->limits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, limit_free);
	l->incarnations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->peers = g_array_new(FALSE, FALSE, sizeof(struct peer));
	g_array_set_clear_func(l->peers, clear_peer);
	l->thread = jh_thread_create("limits", limits_main, l);
	return l;
}

void
entry_limits_destroy(struct entry_limits *l)
{
	pthread_mutex_lock(&l->lock);
	l->stopping = true;
	pthread_cond_signal(&l->stop_cond);
	pthread_mutex_unlock(&l->lock);
	pthread_join(l->thread, NULL);
	g_hash_table_destroy(l->limits);
	g_hash_table_destroy(l->incarnations);
	g_array_free(l->peers, TRUE);
	pthread_mutex_destroy(&l->lock);
	pthread_cond_destroy(&l->stop_cond);
	g_free(l);
}
