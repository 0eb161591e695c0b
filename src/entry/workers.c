#include <string.h>

#include <xxhash.h>

#include <jacinthhill/clock.h>

#include "entry/entry.h"

struct entry_workers {
	struct entry *entry;
	GMutex lock; /* guards all below */
	GPtrArray *rows; /* of struct worker_row */
	GHashTable *by_id; /* &id -> row; keys owned */
	GHashTable *placers; /* model -> struct jh_placer */
};

uint64_t
entry_worker_id(const char *instance)
{
	return XXH3_64bits(instance, strlen(instance));
}

uint32_t
entry_workers_region(const char *region)
{
	return (uint32_t)XXH3_64bits(region, strlen(region));
}

void
worker_row_free(void *row)
{
	struct worker_row *r = row;

	g_free(r->instance);
	g_free(r->zone);
	g_free(r->region);
	g_strfreev(r->models);
	g_free(r->service);
	g_free(r);
}

struct entry_workers *
entry_workers_create(struct entry *e)
{
	struct entry_workers *w = g_new0(struct entry_workers, 1);

	w->entry = e;
	g_mutex_init(&w->lock);
	w->rows = g_ptr_array_new_with_free_func(worker_row_free);
	w->by_id =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	w->placers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)jh_placer_destroy);
	return w;
}

void
entry_workers_destroy(struct entry_workers *w)
{
	g_hash_table_destroy(w->placers);
	g_hash_table_destroy(w->by_id);
	g_ptr_array_free(w->rows, TRUE);
	g_mutex_clear(&w->lock);
	g_free(w);
}

static bool
serves_model(const struct worker_row *r, const char *model)
{
	return !r->entry && r->service == NULL &&
	       g_strv_contains((const gchar *const *)r->models, model);
}

/* Gives a placer the workers of its model. Holds w->lock. */
static void
fill_placer(struct entry_workers *w, const char *model, struct jh_placer *p)
{
	GArray *list =
	    g_array_new(FALSE, FALSE, sizeof(struct jh_place_worker));
	const struct entry_settings *set = &w->entry->set;
	const struct worker_row *r;
	struct jh_place_worker pw;
	uint32_t entries = 0;
	guint i;

	for (i = 0; i < w->rows->len; i++) {
		r = w->rows->pdata[i];
		if (r->entry && strcmp(r->region, set->region) == 0)
			entries++;
		if (!serves_model(r, model))
			continue;
		pw =
		    (struct jh_place_worker){.id = entry_worker_id(r->instance),
			.region = entry_workers_region(r->region),
			.prefill_rate = (uint32_t)set->prefill_rate,
			.decode_rate = (uint32_t)set->decode_rate,
			.leaving = r->leaving};
		g_array_append_val(list, pw);
	}
	jh_placer_set_entries(p, MAX(entries, 1));
	jh_placer_set_workers(p, jh_now(),
	    (const struct jh_place_worker *)(const void *)list->data,
	    list->len);
	g_array_free(list, TRUE);
}

/* Holds w->lock. */
static struct jh_placer *
find_placer(struct entry_workers *w, const char *model)
{
	struct jh_placer *p = g_hash_table_lookup(w->placers, model);

	if (p != NULL)
		return p;
	p = jh_placer_create(
	    jh_place_policy_find(w->entry->set.policy), w->entry->incarnation);
	fill_placer(w, model, p);
	g_hash_table_insert(w->placers, g_strdup(model), p);
	return p;
}

void
entry_workers_set(struct entry_workers *w, GPtrArray *rows)
{
	GHashTableIter it;
	gpointer model, placer;
	struct worker_row *r;
	uint64_t *id;
	guint i;

	g_mutex_lock(&w->lock);
	g_hash_table_remove_all(w->by_id);
	g_ptr_array_free(w->rows, TRUE);
	w->rows = rows;
	for (i = 0; i < rows->len; i++) {
		r = rows->pdata[i];
		id = g_new(uint64_t, 1);
		*id = entry_worker_id(r->instance);
		g_hash_table_replace(w->by_id, id, r);
	}
	g_hash_table_iter_init(&it, w->placers);
	while (g_hash_table_iter_next(&it, &model, &placer))
		fill_placer(w, model, placer);
	g_mutex_unlock(&w->lock);
}

size_t
entry_workers_choose(struct entry_workers *w, const char *model,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	size_t n;

	g_mutex_lock(&w->lock);
	n = jh_placer_choose(find_placer(w, model), jh_now(), r, out, max);
	g_mutex_unlock(&w->lock);
	return n;
}

void
entry_workers_learn(struct entry_workers *w, const char *model, uint64_t worker,
    const struct jh_place_answer *a)
{
	g_mutex_lock(&w->lock);
	jh_placer_learn(find_placer(w, model), jh_now(), worker, a);
	g_mutex_unlock(&w->lock);
}

uint32_t
entry_workers_width(
    struct entry_workers *w, const char *model, const struct jh_prefix *p)
{
	uint32_t width;

	g_mutex_lock(&w->lock);
	width = jh_placer_width(find_placer(w, model), jh_now(), p);
	g_mutex_unlock(&w->lock);
	return width;
}

/* Holds w->lock. */
static struct worker_address
address_of(const struct entry_workers *w, const struct worker_row *r)
{
	struct worker_address a = {.id = entry_worker_id(r->instance),
	    .address = r->address,
	    .same_region = strcmp(r->region, w->entry->set.region) == 0};

	g_strlcpy(a.instance, r->instance, sizeof(a.instance));
	return a;
}

bool
entry_workers_find(
    struct entry_workers *w, uint64_t id, struct worker_address *out)
{
	const struct worker_row *r;

	g_mutex_lock(&w->lock);
	r = g_hash_table_lookup(w->by_id, &id);
	if (r != NULL)
		*out = address_of(w, r);
	g_mutex_unlock(&w->lock);
	return r != NULL;
}

struct ranked {
	struct worker_address to;
	uint64_t score;
};

static gint
by_rank(gconstpointer a, gconstpointer b)
{
	const struct ranked *x = a, *y = b;

	if (x->to.same_region != y->to.same_region)
		return x->to.same_region ? -1 : 1;
	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->to.id < y->to.id ? -1 : 1;
}

GArray *
entry_workers_of_service(
    struct entry_workers *w, const char *service, struct jh_str key)
{
	GArray *ranked = g_array_new(FALSE, FALSE, sizeof(struct ranked));
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct worker_address));
	const struct worker_row *r;
	struct ranked item;
	guint i;

	g_mutex_lock(&w->lock);
	for (i = 0; i < w->rows->len; i++) {
		r = w->rows->pdata[i];
		if (r->entry || r->leaving ||
		    g_strcmp0(r->service, service) != 0)
			continue;
		item.to = address_of(w, r);
		item.score = XXH3_64bits_withSeed(key.ptr, key.len, item.to.id);
		g_array_append_val(ranked, item);
	}
	g_mutex_unlock(&w->lock);
	g_array_sort(ranked, by_rank);
	for (i = 0; i < ranked->len; i++)
		g_array_append_val(
		    out, g_array_index(ranked, struct ranked, i).to);
	g_array_free(ranked, TRUE);
	return out;
}

void
entry_workers_each(struct entry_workers *w,
    void (*fn)(void *arg, const struct worker_row *row, uint64_t id), void *arg)
{
	const struct worker_row *r;
	guint i;

	g_mutex_lock(&w->lock);
	for (i = 0; i < w->rows->len; i++) {
		r = w->rows->pdata[i];
		fn(arg, r, entry_worker_id(r->instance));
	}
	g_mutex_unlock(&w->lock);
}
