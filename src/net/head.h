#ifndef NET_HEAD_H
#define NET_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

/* The start line and header fields of an HTTP/1.1 message. */
struct jh_head {
	GString *text; /* target, names and values, concatenated */
	GArray *fields; /* struct jh_head_span, see head.c */
	size_t target_at, target_len;
	const char *method; /* of a request; a static string */
	unsigned int status; /* of a response */
	bool keep_alive; /* the connection may serve another message */
	bool until_close; /* a response that ends with its connection */
};

struct jh_head *jh_head_create(void);
void jh_head_destroy(struct jh_head *h);
void jh_head_clear(struct jh_head *h);

/* The request target, path and query, as received. */
struct jh_str jh_head_target(const struct jh_head *h);
/* The target's path, without the query. */
struct jh_str jh_head_path(const struct jh_head *h);

size_t jh_head_count(const struct jh_head *h);
struct jh_str jh_head_name(const struct jh_head *h, size_t i);
struct jh_str jh_head_value(const struct jh_head *h, size_t i);
/* Value of the first field with this name, or {NULL, 0}. */
struct jh_str jh_head_get(const struct jh_head *h, const char *name);

/* For the parser: names and values may arrive in several pieces. */
void jh_head_add_target(struct jh_head *h, const char *p, size_t n);
void jh_head_begin_field(struct jh_head *h);
void jh_head_add_name(struct jh_head *h, const char *p, size_t n);
void jh_head_add_value(struct jh_head *h, const char *p, size_t n);
/* Removes space and tabs at the end of values (RFC 9110, 5.5). */
void jh_head_trim_values(struct jh_head *h);
/* Size in bytes, to be compared with the limit on a head. */
size_t jh_head_size(const struct jh_head *h);

/* Compares ASCII strings, ignoring case. */
bool jh_str_caseeq(struct jh_str a, const char *b);
/*
 * Parses a decimal number without sign. Returns false and leaves *out unchanged
 * if the string holds anything else, or more than a uint64_t can.
 */
bool jh_str_number(struct jh_str s, uint64_t *out);

#endif
