#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "net/parse.h"
#include "platform/http_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define HEAD_LIMIT 16384

/* Fields that only the router may set. */
static const char *const own_fields[] = {"X-Jacinthhill-Tenant",
    "X-Jacinthhill-Cache-Salt", "X-Jacinthhill-Expected-Instance"};

struct reader {
	enum jh_parse_type side;
	GString *out; /* the head that is passed on */
	unsigned int heads, completes;
};

static void
on_nothing(void *arg, const char *p, size_t n)
{
}

static void
on_complete(void *arg)
{
	struct reader *r = arg;

	r->completes++;
}

/* Passes a client's head on to a worker. */
static void
pass_request(struct reader *r, const struct jh_head *head)
{
	static const struct jh_worker_request request = {
	    .worker = "w1", .org = "t1", .salt = "s1"};
	struct jh_client_request read;
	const char *reason;

	if (!plat_http_codec.read_client_request(head, &read, &reason))
		return;
	plat_http_codec.write_worker_request(r->out, head, &request, 0);
	r->heads++;
}

/* Passes a worker's head on to the client. */
static void
pass_response(struct reader *r, const struct jh_head *head)
{
	static const struct jh_client_request request = {.id = {"a1", 2}};
	struct jh_worker_response read = {0};

	plat_http_codec.read_worker_response(head, &request, &read);
	g_string_append(r->out, "HTTP/1.1 200 OK\r\n");
	plat_http_codec.write_response_fields(r->out, head);
	g_string_append(r->out, "Content-Length: 0\r\n\r\n");
	r->heads++;
}

/* http-parser takes a field whose name begins so for the coding itself. */
static bool
has_longer_name(const struct jh_head *head, const char *name)
{
	struct jh_str s;
	size_t i;

	for (i = 0; i < jh_head_count(head); i++) {
		s = jh_head_name(head, i);
		if (s.len > strlen(name) &&
		    g_ascii_strncasecmp(s.ptr, name, strlen(name)) == 0)
			return true;
	}
	return false;
}

static void
on_head(void *arg, const struct jh_head *head)
{
	struct reader *r = arg;

	if (r->heads > 0 || has_longer_name(head, "Transfer-Encoding"))
		return;
	if (r->side == JH_PARSE_REQUESTS)
		pass_request(r, head);
	else
		pass_response(r, head);
}

static unsigned int
count_fields(const struct jh_head *head, const char *name)
{
	unsigned int n = 0;
	size_t i;

	for (i = 0; i < jh_head_count(head); i++)
		if (jh_str_caseeq(jh_head_name(head, i), name))
			n++;
	return n;
}

/* The router's own fields are there once, whatever the client sent. */
static void
check_head(void *arg, const struct jh_head *head)
{
	struct reader *r = arg;
	size_t i;

	r->heads++;
	for (i = 0;
	     r->side == JH_PARSE_REQUESTS && i < G_N_ELEMENTS(own_fields); i++)
		if (count_fields(head, own_fields[i]) > 1)
			abort();
	if (count_fields(head, "Content-Length") > 1 ||
	    count_fields(head, "Transfer-Encoding") > 0)
		abort();
}

static const struct jh_http_parser_ops read_ops = {
    on_head, on_nothing, on_complete};
static const struct jh_http_parser_ops check_ops = {
    check_head, on_nothing, on_complete};

/*
 * The input is the head of a client's request or of a worker's response. What
 * is passed on of it is one head, which ends where the router ends it.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct reader r = {.out = g_string_new(NULL)}, check = {0};
	enum jh_parse_result result;
	struct jh_http_parser *p;

	if (size < 1) {
		g_string_free(r.out, TRUE);
		return 0;
	}
	r.side = check.side =
	    data[0] % 2 == 0 ? JH_PARSE_REQUESTS : JH_PARSE_RESPONSES;
	p = jh_http_parser_create(r.side, HEAD_LIMIT, &read_ops, &r);
	result = jh_http_parser_feed(p, (const char *)data + 1, size - 1);
	jh_http_parser_destroy(p);
	/* A request is passed on when it is complete, a response at once. */
	if (r.heads > 0 &&
	    (r.side == JH_PARSE_RESPONSES || result == JH_PARSE_PAUSED)) {
		p = jh_http_parser_create(
		    check.side, 2 * HEAD_LIMIT, &check_ops, &check);
		if (jh_http_parser_feed(p, r.out->str, r.out->len) !=
			JH_PARSE_PAUSED ||
		    check.heads != 1 || check.completes != 1 ||
		    jh_http_parser_buffered(p) != 0) {
			fprintf(stderr, "passed on: %s\n", r.out->str);
			abort();
		}
		jh_http_parser_destroy(p);
	}
	g_string_free(r.out, TRUE);
	return 0;
}
