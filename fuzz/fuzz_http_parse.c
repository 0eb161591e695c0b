#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "net/parse.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define HEAD_LIMIT 2048

/* Bits of the first byte: the side, and the length of the pieces. */
#define SIDE_BIT 1U
#define PIECE_SHIFT 1U

static void
on_head(void *arg, const struct jh_head *head)
{
	struct jh_str s = jh_head_target(head);
	GString *seen = arg;
	size_t i;

	g_string_append_printf(seen, "<%u %d ", head->status, head->keep_alive);
	g_string_append_len(seen, s.ptr, (gssize)s.len);
	for (i = 0; i < jh_head_count(head); i++) {
		s = jh_head_name(head, i);
		if (s.len == 0)
			abort();
		g_string_append_len(seen, s.ptr, (gssize)s.len);
		g_string_append_c(seen, '=');
		s = jh_head_value(head, i);
		g_string_append_len(seen, s.ptr, (gssize)s.len);
		g_string_append_c(seen, ';');
	}
}

static void
on_body(void *arg, const char *p, size_t n)
{
	g_string_append_len(arg, p, (gssize)n);
}

static void
on_complete(void *arg)
{
	g_string_append_c(arg, '>');
}

static const struct jh_http_parser_ops ops = {on_head, on_body, on_complete};

static bool
is_rejected(enum jh_parse_result r)
{
	return r == JH_PARSE_BAD || r == JH_PARSE_TOO_LARGE;
}

/* Returns what was parsed; the last character tells whether it was rejected. */
static GString *
parse(enum jh_parse_type side, const char *data, size_t size, size_t piece)
{
	GString *seen = g_string_new(NULL);
	struct jh_http_parser *p =
	    jh_http_parser_create(side, HEAD_LIMIT, &ops, seen);
	enum jh_parse_result r = JH_PARSE_OK;
	size_t at;

	for (at = 0; at < size && !is_rejected(r); at += piece) {
		r = jh_http_parser_feed(p, data + at, MIN(piece, size - at));
		while (r == JH_PARSE_PAUSED)
			r = jh_http_parser_resume(p);
	}
	if (!is_rejected(r))
		jh_http_parser_eof(p);
	g_string_append_c(seen, is_rejected(r) ? '!' : '.');
	jh_http_parser_destroy(p);
	return seen;
}

/*
 * The input is what a client, or a worker, sends on a connection. What is read
 * does not depend on the pieces in which it arrives.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data + 1;
	enum jh_parse_type side;
	GString *whole, *pieces;
	size_t piece;

	if (size < 2)
		return 0;
	side =
	    (data[0] & SIDE_BIT) == 0 ? JH_PARSE_REQUESTS : JH_PARSE_RESPONSES;
	piece = 1 + (data[0] >> PIECE_SHIFT);
	whole = parse(side, text, size - 1, size - 1);
	pieces = parse(side, text, size - 1, piece);
	if (!g_string_equal(whole, pieces)) {
		fprintf(stderr, "whole:  %s\npieces: %s\n", whole->str,
		    pieces->str);
		abort();
	}
	g_string_free(whole, TRUE);
	g_string_free(pieces, TRUE);
	return 0;
}
