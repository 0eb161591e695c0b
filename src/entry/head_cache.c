#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "entry/head_cache.h"

/* Bytes; a shorter content is parsed faster than its head is cached. */
#define MIN_CONTENT_LEN 16384

/* Limits of the cache. */
#define MAX_HEADS 64
#define MAX_BYTES (16 << 20)

/* Size of the table of contents seen once; a power of two. */
#define SEEN_SLOTS 256

struct entry_head_cache {
	pthread_mutex_t lock; /* guards all below */
	GPtrArray *list; /* of struct entry_head, most recently used first */
	size_t bytes;
	uint64_t seen[SEEN_SLOTS]; /* keys of contents seen */
};

void
entry_head_unref(struct entry_head *head)
{
	if (head == NULL || !g_atomic_int_dec_and_test(&head->refs))
		return;
	g_bytes_unref(head->raw);
	g_free(head->org);
	g_free(head->content);
	g_free(head->hash);
	g_free(head);
}

static void
unref_item(gpointer p)
{
	entry_head_unref(p);
}

struct entry_head_cache *
entry_head_cache_create(void)
{
	struct entry_head_cache *h = g_new0(struct entry_head_cache, 1);

	pthread_mutex_init(&h->lock, NULL);
	h->list = g_ptr_array_new_with_free_func(unref_item);
	return h;
}

void
entry_head_cache_destroy(struct entry_head_cache *h)
{
	g_ptr_array_free(h->list, TRUE);
	pthread_mutex_destroy(&h->lock);
	g_free(h);
}

static struct jh_str
raw_bytes(const struct entry_head *head)
{
	struct jh_str s;
	gsize len;

	s.ptr = g_bytes_get_data(head->raw, &len);
	s.len = len;
	return s;
}

struct jh_str
entry_head_content(const struct entry_head *head)
{
	if (head->content != NULL)
		return (struct jh_str){head->content, head->content_len};
	return (struct jh_str){
	    raw_bytes(head).ptr + head->content_start, head->content_len};
}

static size_t
head_bytes(const struct entry_head *head)
{
	return g_bytes_get_size(head->raw) +
	       (head->content == NULL ? 0 : head->content_len);
}

static bool
is_head_of(const struct entry_head *head, const char *org, struct jh_str body)
{
	struct jh_str raw = raw_bytes(head);

	return (head->org == NULL || strcmp(head->org, org) == 0) &&
	       raw.len <= body.len && memcmp(raw.ptr, body.ptr, raw.len) == 0;
}

/* Holds h->lock. */
static struct entry_head *
find_locked(struct entry_head_cache *h, const char *org, struct jh_str body)
{
	struct entry_head *head;
	guint i;

	for (i = 0; i < h->list->len; i++) {
		head = h->list->pdata[i];
		if (!is_head_of(head, org, body))
			continue;
		memmove(
		    h->list->pdata + 1, h->list->pdata, i * sizeof(gpointer));
		h->list->pdata[0] = head;
		return head;
	}
	return NULL;
}

struct entry_head *
entry_head_cache_find(
    struct entry_head_cache *h, const char *org, struct jh_str body)
{
	struct entry_head *head;

	pthread_mutex_lock(&h->lock);
	head = find_locked(h, org, body);
	if (head != NULL)
		g_atomic_int_inc(&head->refs);
	pthread_mutex_unlock(&h->lock);
	return head;
}

json_t *
entry_head_parse(const struct entry_head *head, struct jh_str body)
{
	struct jh_str raw = raw_bytes(head);
	GString *s =
	    g_string_sized_new(body.len - raw.len + head->content_start + 1);
	json_t *root;

	g_string_append_len(s, raw.ptr, (gssize)head->content_start);
	g_string_append_c(s, '"');
	g_string_append_len(
	    s, body.ptr + raw.len, (gssize)(body.len - raw.len));
	root = json_loadb(s->str, s->len, JSON_REJECT_DUPLICATES, NULL);
	g_string_free(s, TRUE);
	return root;
}

static json_t *
first_message(const json_t *root)
{
	return json_array_get(json_object_get(root, "messages"), 0);
}

/*
 * Finds the content in the body by encoding it as JSON again. Common encoders
 * differ only in whether they escape non-ASCII characters and '/'.
 */
static const char *
find_content(struct jh_str body, const json_t *content, size_t *len)
{
	static const size_t flags[] = {0, JSON_ENSURE_ASCII, JSON_ESCAPE_SLASH,
	    JSON_ENSURE_ASCII | JSON_ESCAPE_SLASH};
	const char *found = NULL;
	char *text;
	size_t i;

	for (i = 0; found == NULL && i < G_N_ELEMENTS(flags); i++) {
		text = json_dumps(content, JSON_ENCODE_ANY | flags[i]);
		*len = strlen(text);
		found = memmem(body.ptr, body.len, text, *len);
		free(text);
	}
	return found;
}

/*
 * Whether the bytes found are the first message's content and nothing else:
 * without them the body must parse to the same request with an empty content.
 */
static bool
is_valid_head(
    const struct entry_head *head, struct jh_str body, const json_t *root)
{
	json_t *rest = entry_head_parse(head, body), *msg, *content;
	bool ok;

	msg = first_message(rest);
	content = json_object_get(msg, "content");
	ok = json_is_string(content) && json_string_length(content) == 0;
	if (ok)
		json_object_set(msg, "content",
		    json_object_get(first_message(root), "content"));
	ok = ok && json_equal(rest, root);
	json_decref(rest);
	return ok;
}

static struct entry_head *
head_create(
    const char *org, struct jh_str body, const json_t *root, const char *hash)
{
	const json_t *content = json_object_get(first_message(root), "content");
	struct entry_head *head;
	const char *found;
	size_t len;

	found = find_content(body, content, &len);
	if (found == NULL)
		return NULL;
	head = g_new0(struct entry_head, 1);
	head->refs = 1;
	head->org = g_strdup(org);
	head->content_start = (size_t)(found - body.ptr) + 1;
	head->raw = g_bytes_new(body.ptr, head->content_start - 1 + len);
	head->content_len = json_string_length(content);
	if (head->content_len != len - 2)
		head->content =
		    g_memdup2(json_string_value(content), head->content_len);
	head->hash = g_strdup(hash);
	if (!is_valid_head(head, body, root)) {
		entry_head_unref(head);
		return NULL;
	}
	return head;
}

/* Holds h->lock. */
static void
insert_locked(struct entry_head_cache *h, struct entry_head *head)
{
	struct entry_head *last;

	g_ptr_array_insert(h->list, 0, head);
	h->bytes += head_bytes(head);
	while (h->list->len > MAX_HEADS ||
	       (h->bytes > MAX_BYTES && h->list->len > 1)) {
		last = h->list->pdata[h->list->len - 1];
		h->bytes -= head_bytes(last);
		g_ptr_array_remove_index(h->list, h->list->len - 1);
	}
}

/* Caching a head costs several parses, so a content is only noted at first. */
static bool
seen_before(struct entry_head_cache *h, const char *org, const char *hash)
{
	uint64_t key = XXH3_64bits(hash, strlen(hash));
	bool found;

	if (org != NULL)
		key = XXH3_64bits_withSeed(org, strlen(org), key);
	pthread_mutex_lock(&h->lock);
	found = h->seen[key % SEEN_SLOTS] == key;
	h->seen[key % SEEN_SLOTS] = key;
	pthread_mutex_unlock(&h->lock);
	return found;
}

void
entry_head_cache_add(struct entry_head_cache *h, const char *org,
    struct jh_str body, const json_t *root, const char *hash)
{
	const json_t *content = json_object_get(first_message(root), "content");
	struct entry_head *head;

	if (json_string_length(content) < MIN_CONTENT_LEN ||
	    !seen_before(h, org, hash))
		return;
	head = head_create(org, body, root, hash);
	if (head == NULL)
		return;
	pthread_mutex_lock(&h->lock);
	insert_locked(h, head);
	pthread_mutex_unlock(&h->lock);
}
