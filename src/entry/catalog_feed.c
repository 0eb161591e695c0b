#include <jacinthhill/clock.h>

#include "entry/catalog_feed.h"
#include "store/store.h"

#define MAX_STORE_CALLS 8
#define PAGE_LEN 500
#define CALL_TIMEOUT_USEC (2 * JH_USEC_PER_SEC)
#define WATCH_WAIT_MS 5000
#define WATCH_TIMEOUT_USEC (7 * JH_USEC_PER_SEC)
#define RETRY_USEC (500 * JH_USEC_PER_MSEC)

struct entry_feed {
	struct entry *entry;
	struct jh_store *store;
	GMutex lock; /* guards all below */
	bool busy;
	uint64_t next_try;
	bool listed;
	GPtrArray *pages; /* of struct jh_catalog_item, owned copies */
	uint64_t list_revision;
};

static void
free_item(void *p)
{
	struct jh_catalog_item *item = p;

	g_free((char *)item->key);
	g_free((char *)item->json);
	g_free(item);
}

static void
keep_page(struct entry_feed *f, const struct jh_store_reply *reply)
{
	struct jh_catalog_item *item;
	size_t i;

	if (f->pages->len == 0)
		f->list_revision = reply->revision;
	for (i = 0; i < reply->n_items; i++) {
		item = g_new0(struct jh_catalog_item, 1);
		item->key = g_strdup(reply->items[i].key);
		item->version = reply->items[i].version;
		item->json = jh_str_dup(reply->items[i].value);
		g_ptr_array_add(f->pages, item);
	}
}

static void
finish_list(struct entry_feed *f)
{
	struct jh_catalog_item *all =
	    g_new0(struct jh_catalog_item, f->pages->len);
	guint i;

	for (i = 0; i < f->pages->len; i++)
		all[i] = *(struct jh_catalog_item *)f->pages->pdata[i];
	jh_catalog_replace(
	    f->entry->catalog, all, f->pages->len, f->list_revision);
	g_free(all);
	g_ptr_array_set_size(f->pages, 0);
	f->listed = true;
}

static void
on_listed(void *arg, const struct jh_store_reply *reply)
{
	struct entry_feed *f = arg;

	g_mutex_lock(&f->lock);
	f->busy = false;
	f->next_try = 0;
	if (reply->result != JH_STORE_OK) {
		g_ptr_array_set_size(f->pages, 0);
		f->next_try = jh_now() + RETRY_USEC;
	} else {
		keep_page(f, reply);
		if (!reply->more)
			finish_list(f);
	}
	g_mutex_unlock(&f->lock);
}

static void
on_watched(void *arg, const struct jh_store_reply *reply)
{
	struct entry_feed *f = arg;
	const struct jh_store_item *item;
	char *json;
	size_t i;

	for (i = 0; reply->result == JH_STORE_OK && i < reply->n_items; i++) {
		item = &reply->items[i];
		json = item->deleted ? NULL : jh_str_dup(item->value);
		jh_catalog_merge(
		    f->entry->catalog, item->key, item->version, json);
		g_free(json);
	}
	if (reply->result == JH_STORE_OK)
		jh_catalog_advance(f->entry->catalog, reply->revision);
	g_mutex_lock(&f->lock);
	f->busy = false;
	f->next_try = reply->result == JH_STORE_OK ? 0 : jh_now() + RETRY_USEC;
	if (reply->result == JH_STORE_EXPIRED)
		f->listed = false;
	g_mutex_unlock(&f->lock);
}

static bool
start(struct entry_feed *f)
{
	const char *after = "";

	if (f->listed)
		return jh_store_watch(f->store, JH_RECORD_PREFIXES,
		    jh_catalog_revision(f->entry->catalog), WATCH_WAIT_MS,
		    jh_now() + WATCH_TIMEOUT_USEC,
		    (struct jh_store_done){on_watched, f});
	if (f->pages->len > 0)
		after = ((struct jh_catalog_item *)
			     f->pages->pdata[f->pages->len - 1])
			    ->key;
	return jh_store_list(f->store, JH_RECORD_PREFIXES, after, PAGE_LEN,
	    jh_now() + CALL_TIMEOUT_USEC, (struct jh_store_done){on_listed, f});
}

void
entry_feed_tick(struct entry_feed *f)
{
	g_mutex_lock(&f->lock);
	if (!f->busy && jh_now() >= f->next_try)
		f->busy = start(f);
	g_mutex_unlock(&f->lock);
}

struct entry_feed *
entry_feed_create(struct entry *e)
{
	struct entry_feed *f = g_new0(struct entry_feed, 1);

	f->entry = e;
	f->pages = g_ptr_array_new_with_free_func(free_item);
	g_mutex_init(&f->lock);
	f->store = jh_store_create(&e->set.store, MAX_STORE_CALLS);
	return f;
}

void
entry_feed_destroy(struct entry_feed *f)
{
	jh_store_destroy(f->store);
	g_ptr_array_free(f->pages, TRUE);
	g_mutex_clear(&f->lock);
	g_free(f);
}
