#include <string.h>

#include <glib.h>
#include <http_parser.h>

#include "net/head_check.h"
#include "net/parse.h"

struct jh_http_parser {
	http_parser parser;
	http_parser_settings settings;
	const struct jh_http_parser_ops *ops;
	void *arg;
	struct jh_head *head;
	struct jh_head_lines lines;
	GString *buffered; /* bytes after a complete message */
	size_t parsed; /* bytes of these that the messages since have taken */
	size_t head_limit;
	bool in_value; /* the last piece belonged to a field value */
	bool head_done; /* body and trailers follow */
	bool paused;
	bool too_large;
};

static int
check_size(struct jh_http_parser *p)
{
	if (jh_head_size(p->head) <= p->head_limit)
		return 0;
	p->too_large = true;
	return -1;
}

static int
on_begin(http_parser *hp)
{
	struct jh_http_parser *p = hp->data;

	jh_head_clear(p->head);
	p->in_value = true;
	p->head_done = false;
	return 0;
}

static int
on_url(http_parser *hp, const char *at, size_t n)
{
	struct jh_http_parser *p = hp->data;

	jh_head_add_target(p->head, at, n);
	return check_size(p);
}

static int
on_name(http_parser *hp, const char *at, size_t n)
{
	struct jh_http_parser *p = hp->data;

	if (p->head_done)
		return 0; /* trailers are dropped */
	if (p->in_value)
		jh_head_begin_field(p->head);
	p->in_value = false;
	jh_head_add_name(p->head, at, n);
	return check_size(p);
}

static int
on_value(http_parser *hp, const char *at, size_t n)
{
	struct jh_http_parser *p = hp->data;

	if (p->head_done)
		return 0;
	p->in_value = true;
	jh_head_add_value(p->head, at, n);
	return check_size(p);
}

/* Whether the message may be used. */
static bool
is_valid(const struct jh_http_parser *p)
{
	if (p->parser.http_major != 1 || !jh_head_has_valid_coding(p->head))
		return false;
	return p->parser.type == HTTP_RESPONSE ||
	       jh_head_has_valid_target(p->head);
}

static int
on_head(http_parser *hp)
{
	struct jh_http_parser *p = hp->data;

	jh_head_trim_values(p->head);
	if (!is_valid(p))
		return -1;
	p->head_done = true;
	hp->upgrade = 0; /* only HTTP is supported: ignore upgrades */
	if (hp->type == HTTP_REQUEST)
		p->head->method = http_method_str((enum http_method)hp->method);
	else
		p->head->status = hp->status_code;
	/* HTTP/1.0 knows no transfer coding (RFC 9112, 6.1). */
	p->head->keep_alive = http_should_keep_alive(hp) != 0 &&
			      (hp->http_minor != 0 || !(hp->flags & F_CHUNKED));
	p->head->until_close = hp->type == HTTP_RESPONSE &&
			       (hp->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
	p->ops->head(p->arg, p->head);
	return 0;
}

static int
on_body(http_parser *hp, const char *at, size_t n)
{
	struct jh_http_parser *p = hp->data;

	p->ops->body(p->arg, at, n);
	return 0;
}

static int
on_complete(http_parser *hp)
{
	struct jh_http_parser *p = hp->data;

	memset(&p->lines, 0, sizeof(p->lines));
	p->paused = true;
	http_parser_pause(hp, 1);
	p->ops->complete(p->arg);
	return 0;
}

struct jh_http_parser *
jh_http_parser_create(enum jh_parse_type side, size_t head_limit,
    const struct jh_http_parser_ops *ops, void *arg)
{
	struct jh_http_parser *p = g_new0(struct jh_http_parser, 1);

	http_parser_init(&p->parser,
	    side == JH_PARSE_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
	p->parser.data = p;
	http_parser_settings_init(&p->settings);
	p->settings.on_message_begin = on_begin;
	p->settings.on_url = on_url;
	p->settings.on_header_field = on_name;
	p->settings.on_header_value = on_value;
	p->settings.on_headers_complete = on_head;
	p->settings.on_body = on_body;
	p->settings.on_message_complete = on_complete;
	p->ops = ops;
	p->arg = arg;
	p->head = jh_head_create();
	p->buffered = g_string_new(NULL);
	p->head_limit = head_limit;
	return p;
}

void
jh_http_parser_destroy(struct jh_http_parser *p)
{
	if (p == NULL)
		return;
	jh_head_destroy(p->head);
	g_string_free(p->buffered, TRUE);
	g_free(p);
}

/* Parses up to the end of a message; *used: bytes that are done with. */
static enum jh_parse_result
parse(struct jh_http_parser *p, const char *data, size_t n, size_t *used)
{
	*used = n;
	if (!jh_head_lines_check(
		&p->lines, data, n, p->parser.type == HTTP_RESPONSE))
		return JH_PARSE_BAD;
	*used = http_parser_execute(&p->parser, &p->settings, data, n);
	if (HTTP_PARSER_ERRNO(&p->parser) == HPE_PAUSED) {
		http_parser_pause(&p->parser, 0);
		return JH_PARSE_PAUSED;
	}
	if (p->too_large)
		return JH_PARSE_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&p->parser) != HPE_OK || *used != n)
		return JH_PARSE_BAD;
	return JH_PARSE_OK;
}

enum jh_parse_result
jh_http_parser_feed(struct jh_http_parser *p, const char *data, size_t n)
{
	enum jh_parse_result r = JH_PARSE_PAUSED;
	size_t used = 0;

	if (!p->paused)
		r = parse(p, data, n, &used);
	if (r != JH_PARSE_PAUSED)
		return r;
	g_string_erase(p->buffered, 0, (gssize)p->parsed);
	p->parsed = 0;
	g_string_append_len(p->buffered, data + used, (gssize)(n - used));
	return r;
}

/* An idle connection keeps no memory for what it once received at once. */
static void
release_buffered(struct jh_http_parser *p)
{
	g_string_free(p->buffered, TRUE);
	p->buffered = g_string_new(NULL);
	p->parsed = 0;
}

enum jh_parse_result
jh_http_parser_resume(struct jh_http_parser *p)
{
	enum jh_parse_result r;
	size_t used;

	if (!p->paused)
		return JH_PARSE_OK;
	p->paused = false;
	if (jh_http_parser_buffered(p) == 0)
		return JH_PARSE_OK;
	r = parse(
	    p, p->buffered->str + p->parsed, jh_http_parser_buffered(p), &used);
	p->parsed += used;
	if (jh_http_parser_buffered(p) == 0)
		release_buffered(p);
	return r;
}

void
jh_http_parser_eof(struct jh_http_parser *p)
{
	if (!p->paused)
		http_parser_execute(&p->parser, &p->settings, NULL, 0);
}

size_t
jh_http_parser_buffered(const struct jh_http_parser *p)
{
	return p->buffered->len - p->parsed;
}

size_t
jh_http_parser_allocated(const struct jh_http_parser *p)
{
	return p->buffered->allocated_len + p->head->text->allocated_len +
	       p->head->fields->len * g_array_get_element_size(p->head->fields);
}
