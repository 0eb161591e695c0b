#include <jacinthhill/clock.h>

#include "feed/store_reader.h"

#define MAX_STORE_CALLS 4
#define PAGE_LEN 500

struct store_reader {
	struct jh_store *store;
	struct jh_catalog *catalog;
	const struct store_reader_ops *ops;
	void *arg;
	/* Of the list in progress; used by one thread at a time. */
	GArray *items; /* of struct jh_catalog_item, which own their strings */
	uint64_t revision;
	uint64_t deadline;
};

static void
clear_item(gpointer p)
{
	struct jh_catalog_item *item = p;

	g_free((char *)item->key);
	g_free((char *)item->json);
}

static void
append_page(struct store_reader *r, const struct jh_store_reply *reply)
{
	struct jh_catalog_item item;
	size_t i;

	if (r->items->len == 0)
		r->revision = reply->revision;
	for (i = 0; i < reply->n_items; i++) {
		item.key = g_strdup(reply->items[i].key);
		item.version = reply->items[i].version;
		item.json = jh_str_dup(reply->items[i].value);
		g_array_append_val(r->items, item);
	}
}

static enum jh_sync_result
failure_of(const struct jh_store_reply *reply)
{
	return reply->unusable ? JH_SYNC_UNUSABLE : JH_SYNC_FAILED;
}

static void request_page(struct store_reader *r);

static void
on_page(void *arg, const struct jh_store_reply *reply)
{
	struct store_reader *r = arg;

	if (reply->result != JH_STORE_OK) {
		bool too_long = r->items->len > 0 && jh_now() >= r->deadline;
		r->ops->done(
		    r->arg, too_long ? JH_SYNC_UNUSABLE : failure_of(reply));
		return;
	}
	append_page(r, reply);
	if (reply->more) {
		request_page(r);
		return;
	}
	jh_catalog_replace(r->catalog,
	    (const struct jh_catalog_item *)(const void *)r->items->data,
	    r->items->len, r->revision);
	r->ops->done(r->arg, JH_SYNC_OK);
}

static void
request_page(struct store_reader *r)
{
	const char *after = "";

	if (r->items->len > 0)
		after = g_array_index(
		    r->items, struct jh_catalog_item, r->items->len - 1)
			    .key;
	if (!jh_store_list(r->store, JH_RECORD_PREFIXES, after, PAGE_LEN,
		r->deadline, (struct jh_store_callback){on_page, r}))
		r->ops->done(r->arg, JH_SYNC_FAILED);
}

void
store_reader_list(struct store_reader *r, uint64_t deadline)
{
	g_array_set_size(r->items, 0);
	r->deadline = deadline;
	request_page(r);
}

static enum jh_sync_result
apply_changes(struct store_reader *r, const struct jh_store_reply *reply)
{
	const struct jh_store_item *item;
	char *json;
	size_t i;

	if (reply->result == JH_STORE_EXPIRED)
		return JH_SYNC_EXPIRED;
	if (reply->result != JH_STORE_OK)
		return failure_of(reply);
	for (i = 0; i < reply->n_items; i++) {
		item = &reply->items[i];
		json = item->deleted ? NULL : jh_str_dup(item->value);
		jh_catalog_merge(r->catalog, item->key, item->version, json);
		g_free(json);
	}
	jh_catalog_advance(r->catalog, reply->revision);
	return reply->n_items == 0 ? JH_SYNC_UNCHANGED : JH_SYNC_OK;
}

static void
on_watched(void *arg, const struct jh_store_reply *reply)
{
	struct store_reader *r = arg;

	r->ops->done(r->arg, apply_changes(r, reply));
}

void
store_reader_watch(struct store_reader *r, uint64_t from, unsigned int wait_ms,
    uint64_t deadline)
{
	if (!jh_store_watch(r->store, JH_RECORD_PREFIXES, from, wait_ms,
		deadline, (struct jh_store_callback){on_watched, r}))
		r->ops->done(r->arg, JH_SYNC_FAILED);
}

struct store_reader *
store_reader_create(const struct sockaddr_in *store, struct jh_catalog *catalog,
    const struct store_reader_ops *ops, void *arg)
{
	struct store_reader *r = g_new0(struct store_reader, 1);

	r->catalog = catalog;
	r->ops = ops;
	r->arg = arg;
	r->items = g_array_new(FALSE, FALSE, sizeof(struct jh_catalog_item));
	g_array_set_clear_func(r->items, clear_item);
	r->store = jh_store_create(store, MAX_STORE_CALLS);
	return r;
}

void
store_reader_destroy(struct store_reader *r)
{
	if (r == NULL)
		return;
	jh_store_destroy(r->store);
	g_array_free(r->items, TRUE);
	g_free(r);
}
