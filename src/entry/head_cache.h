#ifndef ENTRY_HEAD_CACHE_H
#define ENTRY_HEAD_CACHE_H

#include <jansson.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * Cache of the heads of request bodies, which are the bytes up to and including
 * the closing quote of the first message's content. A body with a cached head
 * is parsed without that content and shares the head's memory. Thread-safe.
 */
struct entry_head_cache;

/* A cached head; immutable and reference counted. */
struct entry_head {
	int refs; /* atomic */
	char *org; /* NULL: shared by all organisations */
	GBytes *raw;
	size_t content_start; /* position of the content's first byte in raw */
	char *content; /* decoded; NULL when it equals the raw bytes */
	size_t content_len;
	char *hash; /* BLAKE2b of the content, hexadecimal */
};

struct entry_head_cache *entry_head_cache_create(void);
void entry_head_cache_destroy(struct entry_head_cache *h);

/*
 * Returns a reference to the cached head that the body starts with, among those
 * of the organisation and the shared ones, or NULL.
 */
struct entry_head *entry_head_cache_find(
    struct entry_head_cache *h, const char *org, struct jh_str body);
/*
 * Caches the head of a body that was parsed in full, if its first content is
 * long and was seen before. org is NULL if the catalogue shares the content
 * with all organisations. root is the parsed body, hash that of the content.
 */
void entry_head_cache_add(struct entry_head_cache *h, const char *org,
    struct jh_str body, const json_t *root, const char *hash);

void entry_head_unref(struct entry_head *head);
/* Returns the decoded content of the first message, owned by the head. */
struct jh_str entry_head_content(const struct entry_head *head);
/*
 * Parses a body that starts with the head; the first content is left empty.
 * Returns NULL if the body is not valid JSON.
 */
json_t *entry_head_parse(const struct entry_head *head, struct jh_str body);

#endif
