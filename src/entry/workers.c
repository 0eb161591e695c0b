#include <pthread.h>
#include <string.h>

#include <xxhash.h>

#include <jacinthhill/clock.h>

#include "entry/entry.h"

struct entry_workers {
	struct entry *entry;
	pthread_mutex_t lock; /* guards all below */
	struct jh_members *members;
	uint64_t generation; /* of members, as passed to the placers */
	GHashTable *names; /* &id -> instance name; both owned */
	GHashTable *placers; /* model -> struct jh_placer */
	unsigned int entry_regions; /* number of regions with entry daemons */
};

uint64_t
entry_worker_id(const char *instance)
{
	return XXH3_64bits(instance, strlen(instance));
}

uint32_t
entry_region_id(const char *region)
{
	return (uint32_t)XXH3_64bits(region, strlen(region));
}

struct entry_workers *
entry_workers_create(struct entry *e)
{
	struct entry_workers *w = g_new0(struct entry_workers, 1);

	w->entry = e;
	pthread_mutex_init(&w->lock, NULL);
	w->members = jh_members_create();
	w->entry_regions = 1;
	w->names =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	w->placers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)jh_placer_destroy);
	return w;
}

void
entry_workers_destroy(struct entry_workers *w)
{
	g_hash_table_destroy(w->placers);
	g_hash_table_destroy(w->names);
	jh_members_destroy(w->members);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}

struct placer_list {
	const struct entry_settings *settings;
	GArray *workers; /* of struct jh_place_worker */
};

static void
add_worker(void *arg, const struct jh_member *m)
{
	struct placer_list *l = arg;
	struct jh_place_worker w = {.id = entry_worker_id(m->instance.id),
	    .region = entry_region_id(m->instance.region),
	    .prefill_rate = (uint32_t)l->settings->prefill_rate,
	    .decode_rate = (uint32_t)l->settings->decode_rate,
	    .leaving = m->instance.leaving};

	g_array_append_val(l->workers, w);
}

/* Sets the workers of a placer to those of its model. Holds w->lock. */
static void
fill_placer(struct entry_workers *w, const char *model, struct jh_placer *p)
{
	const struct entry_settings *settings = &w->entry->settings;
	struct jh_member_filter workers = {
	    .role = JH_ROLE_AGENT, .model = model};
	struct jh_member_filter entries = {
	    .role = JH_ROLE_ENTRY, .region = settings->region};
	struct placer_list l = {settings,
	    g_array_new(FALSE, FALSE, sizeof(struct jh_place_worker))};
	size_t n;

	jh_members_each(w->members, &workers, add_worker, &l);
	n = jh_members_count_usable(w->members, &entries, jh_now());
	jh_placer_set_entry_daemons(p, (uint32_t)MAX(n, 1));
	jh_placer_set_workers(p, jh_now(),
	    (const struct jh_place_worker *)(const void *)l.workers->data,
	    l.workers->len);
	g_array_free(l.workers, TRUE);
}

/* Holds w->lock. */
static struct jh_placer *
find_placer(struct entry_workers *w, const char *model)
{
	struct jh_placer *p = g_hash_table_lookup(w->placers, model);

	if (p != NULL)
		return p;
	p = jh_placer_create(jh_place_policy_find(w->entry->settings.policy),
	    w->entry->incarnation);
	fill_placer(w, model, p);
	g_hash_table_insert(w->placers, g_strdup(model), p);
	return p;
}

/* Updates the placers if the members have changed. Holds w->lock. */
static void
refresh_placers(struct entry_workers *w)
{
	GHashTableIter it;
	gpointer model, placer;

	if (jh_members_generation(w->members) == w->generation)
		return;
	w->generation = jh_members_generation(w->members);
	g_hash_table_iter_init(&it, w->placers);
	while (g_hash_table_iter_next(&it, &model, &placer))
		fill_placer(w, model, placer);
}

struct region_list {
	const char *own;
	GArray *regions; /* of uint32_t, each once */
};

static void
add_region(void *arg, const struct jh_member *m)
{
	struct region_list *l = arg;
	uint32_t region = entry_region_id(m->instance.region);
	guint i;

	if (m->instance.leaving || strcmp(m->instance.region, l->own) == 0)
		return;
	for (i = 0; i < l->regions->len; i++) {
		if (g_array_index(l->regions, uint32_t, i) == region)
			return;
	}
	g_array_append_val(l->regions, region);
}

/* Holds w->lock. */
static void
update_region_count(struct entry_workers *w)
{
	struct jh_member_filter filter = {.role = JH_ROLE_ENTRY};
	struct region_list l = {
	    "", g_array_new(FALSE, FALSE, sizeof(uint32_t))};

	jh_members_each(w->members, &filter, add_region, &l);
	w->entry_regions = MAX(l.regions->len, 1);
	g_array_free(l.regions, TRUE);
}

void
entry_workers_set(
    struct entry_workers *w, const struct jh_instance *const *list, size_t n)
{
	uint64_t *id;
	size_t i;

	pthread_mutex_lock(&w->lock);
	jh_members_set_list(w->members, list, n);
	g_hash_table_remove_all(w->names);
	for (i = 0; i < n; i++) {
		id = g_new(uint64_t, 1);
		*id = entry_worker_id(list[i]->id);
		g_hash_table_replace(w->names, id, g_strdup(list[i]->id));
	}
	update_region_count(w);
	refresh_placers(w);
	pthread_mutex_unlock(&w->lock);
}

size_t
entry_workers_choose(struct entry_workers *w, const char *model,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	size_t n;

	pthread_mutex_lock(&w->lock);
	n = jh_placer_choose(find_placer(w, model), jh_now(), r, out, max);
	pthread_mutex_unlock(&w->lock);
	return n;
}

void
entry_workers_learn(struct entry_workers *w, const char *model, uint64_t worker,
    const struct jh_place_response *a)
{
	pthread_mutex_lock(&w->lock);
	jh_placer_learn(find_placer(w, model), jh_now(), worker, a);
	pthread_mutex_unlock(&w->lock);
}

uint32_t
entry_workers_width(
    struct entry_workers *w, const char *model, const struct jh_prefix *p)
{
	uint32_t width;

	pthread_mutex_lock(&w->lock);
	width = jh_placer_width(find_placer(w, model), jh_now(), p);
	pthread_mutex_unlock(&w->lock);
	return width;
}

void
entry_workers_heard(struct entry_workers *w, const char *instance, bool leaving)
{
	const struct jh_member *m;

	pthread_mutex_lock(&w->lock);
	m = jh_members_find(w->members, instance);
	if (m != NULL)
		jh_members_replied(
		    w->members, instance, m->instance.incarnation, leaving);
	refresh_placers(w);
	pthread_mutex_unlock(&w->lock);
}

void
entry_workers_failed(struct entry_workers *w, const char *instance)
{
	pthread_mutex_lock(&w->lock);
	jh_members_failed(w->members, instance, 0, jh_now());
	pthread_mutex_unlock(&w->lock);
}

/* Holds w->lock. */
static struct worker_address
address_of(const struct entry_workers *w, const struct jh_instance *i)
{
	struct worker_address a = {.id = entry_worker_id(i->id),
	    .address = i->address,
	    .rpc_address = i->rpc_address,
	    .same_region = strcmp(i->region, w->entry->settings.region) == 0};

	g_strlcpy(a.instance, i->id, sizeof(a.instance));
	return a;
}

uint32_t
entry_workers_other_region(
    struct entry_workers *w, const char *model, uint64_t random)
{
	struct jh_member_filter filter = {
	    .role = JH_ROLE_AGENT, .model = model};
	struct region_list l = {w->entry->settings.region,
	    g_array_new(FALSE, FALSE, sizeof(uint32_t))};
	uint32_t region = 0;

	pthread_mutex_lock(&w->lock);
	jh_members_each(w->members, &filter, add_region, &l);
	pthread_mutex_unlock(&w->lock);
	if (l.regions->len > 0)
		region = g_array_index(
		    l.regions, uint32_t, (guint)(random % l.regions->len));
	g_array_free(l.regions, TRUE);
	return region;
}

unsigned int
entry_workers_count_regions(struct entry_workers *w)
{
	unsigned int n;

	pthread_mutex_lock(&w->lock);
	n = w->entry_regions;
	pthread_mutex_unlock(&w->lock);
	return n;
}

bool
entry_workers_is_entry(struct entry_workers *w, const char *instance)
{
	const struct jh_member *m;
	bool entry;

	pthread_mutex_lock(&w->lock);
	m = jh_members_find(w->members, instance);
	entry = m != NULL && m->instance.role == JH_ROLE_ENTRY;
	pthread_mutex_unlock(&w->lock);
	return entry;
}

bool
entry_workers_find(
    struct entry_workers *w, uint64_t id, struct worker_address *out)
{
	const struct jh_member *m = NULL;
	const char *name;

	pthread_mutex_lock(&w->lock);
	name = g_hash_table_lookup(w->names, &id);
	if (name != NULL)
		m = jh_members_find(w->members, name);
	if (m != NULL)
		*out = address_of(w, &m->instance);
	pthread_mutex_unlock(&w->lock);
	return m != NULL;
}

struct ranked {
	struct worker_address to;
	bool usable;
	uint64_t score;
};

struct ranking {
	const struct entry_workers *workers;
	struct jh_str key;
	GArray *list; /* of struct ranked */
};

static gint
compare_ranked(gconstpointer a, gconstpointer b)
{
	const struct ranked *x = a, *y = b;

	if (x->usable != y->usable)
		return x->usable ? -1 : 1;
	if (x->to.same_region != y->to.same_region)
		return x->to.same_region ? -1 : 1;
	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->to.id < y->to.id ? -1 : 1;
}

static void
add_ranked(void *arg, const struct jh_member *m)
{
	struct ranking *r = arg;
	struct ranked item = {.to = address_of(r->workers, &m->instance),
	    .usable = jh_member_usable(m, jh_now())};

	if (m->instance.leaving)
		return;
	item.score = XXH3_64bits_withSeed(r->key.ptr, r->key.len, item.to.id);
	g_array_append_val(r->list, item);
}

GArray *
entry_workers_of_service(
    struct entry_workers *w, const char *service, struct jh_str key)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct worker_address));
	struct jh_member_filter filter = {
	    .role = JH_ROLE_AGENT, .service = service};
	struct ranking r = {
	    w, key, g_array_new(FALSE, FALSE, sizeof(struct ranked))};
	guint i;

	pthread_mutex_lock(&w->lock);
	jh_members_each(w->members, &filter, add_ranked, &r);
	pthread_mutex_unlock(&w->lock);
	g_array_sort(r.list, compare_ranked);
	for (i = 0; i < r.list->len; i++)
		g_array_append_val(
		    out, g_array_index(r.list, struct ranked, i).to);
	g_array_free(r.list, TRUE);
	return out;
}

void
entry_workers_each(struct entry_workers *w, enum jh_role role,
    void (*fn)(void *arg, const struct jh_member *member), void *arg)
{
	struct jh_member_filter filter = {.role = role};

	pthread_mutex_lock(&w->lock);
	jh_members_each(w->members, &filter, fn, arg);
	pthread_mutex_unlock(&w->lock);
}
