#ifndef ENTRY_HEADS_H
#define ENTRY_HEADS_H

#include <jansson.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * Heads of request bodies that came before: the bytes up to and including the
 * closing quote of the first message's content. A body with the same head is
 * parsed without that content and shares the head's memory.
 */
struct entry_heads;

/* One head; reference counted. */
struct entry_head {
	int refs; /* atomic */
	char *org; /* NULL: usable for all organisations */
	GBytes *raw;
	size_t cut; /* position of the content's first byte in raw */
	char *content; /* decoded; NULL when it equals the raw bytes */
	size_t content_len;
	char *hash; /* BLAKE2b of the content, hexadecimal */
};

struct entry_heads *entry_heads_create(void);
void entry_heads_destroy(struct entry_heads *h);

/* A reference to the head that the body starts with, or NULL. */
struct entry_head *entry_heads_find(
    struct entry_heads *h, const char *org, struct jh_str body);
/*
 * Keeps the head of a body that was parsed in full, if its content is long and
 * came before. org is NULL when the catalogue publishes the content to all.
 */
void entry_heads_learn(struct entry_heads *h, const char *org,
    struct jh_str body, const json_t *root, const char *hash);

void entry_head_unref(struct entry_head *head);
/* The content of the first message. */
struct jh_str entry_head_content(const struct entry_head *head);
/* Parses a body that starts with the head; the content becomes empty. */
json_t *entry_head_parse(const struct entry_head *head, struct jh_str body);

#endif
