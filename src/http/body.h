#ifndef HTTP_BODY_H
#define HTTP_BODY_H

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * An immutable, reference-counted request body. It consists of a head, which
 * several bodies may share and which may be empty, and a tail.
 */
struct jh_body;

/* Adds a reference to head, which may be NULL, and to tail. */
struct jh_body *jh_body_create(GBytes *head, GBytes *tail);
struct jh_body *jh_body_ref(struct jh_body *b);
void jh_body_unref(struct jh_body *b);

size_t jh_body_len(const struct jh_body *b);
struct jh_str jh_body_head(const struct jh_body *b);
struct jh_str jh_body_tail(const struct jh_body *b);
/* Returns a copy of head and tail; free it with g_string_free(). */
GString *jh_body_join(const struct jh_body *b);

#endif
