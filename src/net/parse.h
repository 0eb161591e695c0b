#ifndef NET_PARSE_H
#define NET_PARSE_H

#include <stdbool.h>
#include <stddef.h>

#include "net/head.h"

/* A parser of HTTP/1.1 messages in one direction of a connection. */
struct jh_http_parser;

enum jh_parse_type { JH_PARSE_REQUESTS, JH_PARSE_RESPONSES };

struct jh_http_parser_ops {
	/* The head is complete; it stays valid until the next message. */
	void (*head)(void *arg, const struct jh_head *head);
	void (*body)(void *arg, const char *p, size_t n);
	/* The message is complete. Parsing pauses until
	 * jh_http_parser_resume(). */
	void (*complete)(void *arg);
};

enum jh_parse_result {
	JH_PARSE_OK, /* all bytes were consumed */
	JH_PARSE_PAUSED, /* a message is complete; the rest is buffered */
	JH_PARSE_TOO_LARGE, /* the head exceeds the limit */
	JH_PARSE_BAD /* invalid HTTP/1.1 */
};

struct jh_http_parser *jh_http_parser_create(enum jh_parse_type side,
    size_t head_limit, const struct jh_http_parser_ops *ops, void *arg);
void jh_http_parser_destroy(struct jh_http_parser *p);

/* Parses n bytes; while parsing is paused they are buffered. */
enum jh_parse_result jh_http_parser_feed(
    struct jh_http_parser *p, const char *data, size_t n);
/* Parses the buffered bytes after a complete message. */
enum jh_parse_result jh_http_parser_resume(struct jh_http_parser *p);
/* Tells of the stream's end, which completes a response without a length. */
void jh_http_parser_eof(struct jh_http_parser *p);

/* Bytes allocated for the head and for buffered bytes. */
size_t jh_http_parser_allocated(const struct jh_http_parser *p);
/* Number of buffered bytes. */
size_t jh_http_parser_buffered(const struct jh_http_parser *p);

#endif
