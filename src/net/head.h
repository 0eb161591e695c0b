#ifndef NET_HEAD_H
#define NET_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include <jacinthhill/str.h>

/* The start line and the header fields of one HTTP/1.1 message. */
struct jh_head {
	GString *text; /* start-line parts, names and values, back to back */
	GArray *fields; /* struct jh_head_span, see head.c */
	size_t target_at, target_len;
	const char *method; /* requests; static */
	unsigned int status; /* answers */
	bool keep_alive; /* the connection may serve another message */
};

struct jh_head *jh_head_create(void);
void jh_head_destroy(struct jh_head *h);
void jh_head_clear(struct jh_head *h);

/* Path and query as they were sent. */
struct jh_str jh_head_target(const struct jh_head *h);
/* The path alone. */
struct jh_str jh_head_path(const struct jh_head *h);

size_t jh_head_count(const struct jh_head *h);
struct jh_str jh_head_name(const struct jh_head *h, size_t i);
struct jh_str jh_head_value(const struct jh_head *h, size_t i);
/* The first field of that name, or an empty string with a NULL pointer. */
struct jh_str jh_head_get(const struct jh_head *h, const char *name);

/* For the parser: parts arrive in pieces. */
void jh_head_add_target(struct jh_head *h, const char *p, size_t n);
void jh_head_begin_field(struct jh_head *h);
void jh_head_add_name(struct jh_head *h, const char *p, size_t n);
void jh_head_add_value(struct jh_head *h, const char *p, size_t n);
/* Bytes held, for the limit on a head's size. */
size_t jh_head_size(const struct jh_head *h);

/* Whether two ASCII strings are equal but for case. */
bool jh_str_caseeq(struct jh_str a, const char *b);
/*
 * Reads a whole decimal number of at most 15 digits. Returns false, and
 * leaves *out, when the string is anything else.
 */
bool jh_str_number(struct jh_str s, unsigned long long *out);

#endif
