#ifndef NET_PARSE_H
#define NET_PARSE_H

#include <stdbool.h>
#include <stddef.h>

#include "net/head.h"

/* Parses the HTTP/1.1 messages of one direction of a connection. */
struct jh_parse;

enum jh_parse_side { JH_PARSE_REQUESTS, JH_PARSE_ANSWERS };

struct jh_parse_ops {
	/* The head is complete; it stays valid until the next message. */
	void (*head)(void *arg, const struct jh_head *head);
	void (*body)(void *arg, const char *p, size_t n);
	/* The message is complete. Parsing pauses until jh_parse_resume(). */
	void (*complete)(void *arg);
};

enum jh_parse_result {
	JH_PARSE_OK, /* all bytes were taken */
	JH_PARSE_PAUSED, /* a message is complete; the rest is kept */
	JH_PARSE_TOO_LARGE, /* the head is over the limit */
	JH_PARSE_BAD /* not HTTP/1.1 */
};

struct jh_parse *jh_parse_create(enum jh_parse_side side, size_t head_limit,
    const struct jh_parse_ops *ops, void *arg);
void jh_parse_destroy(struct jh_parse *p);

/* Bytes that arrive while parsing is paused are kept. */
enum jh_parse_result jh_parse_feed(
    struct jh_parse *p, const char *data, size_t n);
/* Goes on with kept bytes after a complete message. */
enum jh_parse_result jh_parse_resume(struct jh_parse *p);
/* The peer closed: completes an answer that ends with its connection. */
void jh_parse_eof(struct jh_parse *p);

/* Bytes kept while paused. */
size_t jh_parse_kept(const struct jh_parse *p);

#endif
