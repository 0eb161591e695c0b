#include <glib.h>

#include "once/result_cache.h"

struct jh_result_cache {
	size_t max;
	size_t max_bytes;
	size_t bytes;
	GQueue order; /* of struct jh_cached_result, oldest first */
	GHashTable *by_object; /* object to its link in order */
};

struct jh_result_cache *
jh_result_cache_create(size_t max, size_t max_bytes)
{
	struct jh_result_cache *r = g_new0(struct jh_result_cache, 1);

	r->max = max;
	r->max_bytes = max_bytes;
	g_queue_init(&r->order);
	r->by_object = g_hash_table_new(g_str_hash, g_str_equal);

	return r;
}

static size_t
entry_bytes(const struct jh_cached_result *e)
{
	return e->response == NULL ? 0 : jh_call_response_body(e->response).len;
}

static void
evict(struct jh_result_cache *r, GList *link)
{
	struct jh_cached_result *e = link->data;

	r->bytes -= entry_bytes(e);
	g_hash_table_remove(r->by_object, e->object);

	g_queue_delete_link(&r->order, link);
	g_free(e->object);
	g_free(e->request_hash);
	jh_call_response_unref(e->response);
	g_free(e);
}

void
jh_result_cache_destroy(struct jh_result_cache *r)
{
	if (r == NULL)
		return;
	while (r->order.head != NULL)
		evict(r, r->order.head);
	g_hash_table_destroy(r->by_object);

	g_free(r);
}

void
jh_result_cache_put(struct jh_result_cache *r, const struct jh_cached_result *e)
{
	struct jh_cached_result *copy;

	jh_result_cache_remove(r, e->object);
	if (r->max == 0 || entry_bytes(e) > r->max_bytes)
		return;
	copy = g_new0(struct jh_cached_result, 1);
	copy->object = g_strdup(e->object);
	copy->request_hash = g_strdup(e->request_hash);
	copy->result = e->result;

	copy->response = jh_call_response_ref(e->response);
	r->bytes += entry_bytes(copy);
	g_queue_push_tail(&r->order, copy);
	g_hash_table_insert(r->by_object, copy->object, r->order.tail);

	while (r->order.length > r->max || r->bytes > r->max_bytes)
		evict(r, r->order.head);
}

const struct jh_cached_result *
jh_result_cache_get(struct jh_result_cache *r, const char *object)
{
	GList *link = g_hash_table_lookup(r->by_object, object);

	return link == NULL ? NULL : link->data;
}

void
jh_result_cache_remove(struct jh_result_cache *r, const char *object)
{
	GList *link = g_hash_table_lookup(r->by_object, object);

	if (link != NULL)
		evict(r, link);
}
