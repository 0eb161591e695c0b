#include <string.h>

#include <microhttpd.h>

#include "state.h"

#define PAGE_ITEMS 1000
#define PAGE_BYTES (2 * 1024 * 1024) /* of the values in a reply */

/* A list or watch reply under construction. */
struct page {
	char **prefixes;
	json_t *items;
	uint64_t limit;
	size_t bytes;
	uint64_t last; /* version of the last item */
	bool more; /* items were left out */
};

void
fake_serve_get(struct fake_store *s, struct jh_http_req *req)
{
	const char *key = fake_req_key(req);
	const struct fake_object *o;

	if (key == NULL) {
		fake_reply_text(req, MHD_HTTP_BAD_REQUEST, "bad key");
		return;
	}
	o = fake_table_get(s->table, key);
	fake_add_number(req, "Revision", fake_table_revision(s->table));
	if (o == NULL) {
		fake_reply_text(req, MHD_HTTP_NOT_FOUND, "");
		return;
	}
	fake_add_number(req, "Version", o->version);
	jh_http_req_reply(
	    req, MHD_HTTP_OK, "application/octet-stream", o->value, o->len);
}

static bool
has_prefix(char **prefixes, const char *key)
{
	for (; *prefixes != NULL; prefixes++) {
		if (g_str_has_prefix(key, *prefixes))
			return true;
	}
	return false;
}

static bool
add_item(void *arg, const struct fake_object *o)
{
	struct page *p = arg;
	json_t *item;

	if (!has_prefix(p->prefixes, o->key))
		return true;
	if (json_array_size(p->items) >= p->limit || p->bytes > PAGE_BYTES) {
		p->more = true;
		return false;
	}
	item = json_pack(
	    "{s:s, s:I}", "key", o->key, "version", (json_int_t)o->version);
	if (o->value == NULL)
		json_object_set_new(item, "deleted", json_true());
	else
		json_object_set_new(
		    item, "value", json_stringn(o->value, o->len));
	json_array_append_new(p->items, item);
	p->bytes += o->len;
	p->last = o->version;
	return true;
}

static void
page_init(struct page *p, const struct jh_http_req *req)
{
	const char *prefix = jh_http_req_query(req, "prefix");

	memset(p, 0, sizeof(*p));
	/* An empty prefix matches all keys, but g_strsplit() drops it. */
	if (prefix == NULL || prefix[0] == '\0') {
		p->prefixes = g_new0(char *, 2);
		p->prefixes[0] = g_strdup("");
	} else {
		p->prefixes = g_strsplit(prefix, ",", -1);
	}
	p->items = json_array();
	p->limit = fake_req_number(req, "limit", PAGE_ITEMS, PAGE_ITEMS);
}

void
fake_serve_list(struct fake_store *s, struct jh_http_req *req)
{
	const char *after = jh_http_req_query(req, "after");
	struct page p;
	struct fake_walk w = {add_item, &p};

	page_init(&p, req);
	fake_table_list(s->table, after == NULL ? "" : after, &w);
	fake_add_number(req, "Revision", fake_table_revision(s->table));
	jh_http_req_add_header(req, "More", p.more ? "true" : "false");
	fake_reply_json(req, MHD_HTTP_OK, p.items); /* releases the items */
	g_strfreev(p.prefixes);
}

bool
fake_serve_watch(struct fake_store *s, struct jh_http_req *req, bool last)
{
	uint64_t from = fake_req_number(req, "from", G_MAXUINT64, 0);
	struct page p;
	struct fake_walk w = {add_item, &p};
	uint64_t revision;
	bool reaches, answered = true;

	page_init(&p, req);
	reaches = fake_table_changes(s->table, from, &w);
	revision = p.more ? p.last : fake_table_revision(s->table);
	if (!reaches)
		fake_reply_text(req, MHD_HTTP_GONE, "revision is too old");
	else if (json_array_size(p.items) > 0 || last)
		fake_reply_json(req, MHD_HTTP_OK,
		    json_pack("{s:I, s:O}", "revision", (json_int_t)revision,
			"changes", p.items));
	else
		answered = false;
	json_decref(p.items);
	g_strfreev(p.prefixes);
	return answered;
}
