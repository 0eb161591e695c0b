#include <string.h>

#include <glib.h>

#include "stream/sse_parser.h"

/* Digits of the largest event id, UINT64_MAX. */
#define MAX_ID_LEN 20

struct jh_sse_parser {
	GString *partial;
};

struct jh_sse_parser *
jh_sse_parser_create(void)
{
	struct jh_sse_parser *e = g_new0(struct jh_sse_parser, 1);

	e->partial = g_string_new(NULL);
	return e;
}

void
jh_sse_parser_destroy(struct jh_sse_parser *e)
{
	if (e == NULL)
		return;
	g_string_free(e->partial, TRUE);
	g_free(e);
}

struct jh_str
jh_sse_event_field(const struct jh_sse_event *event, const char *name)
{
	struct jh_str rest = event->bytes;
	size_t len = strlen(name);

	while (rest.len > 0) {
		const char *nl = memchr(rest.ptr, '\n', rest.len);
		size_t n = nl != NULL ? (size_t)(nl - rest.ptr) : rest.len;
		struct jh_str line = {rest.ptr, n};
		rest.ptr += MIN(n + 1, rest.len);
		rest.len -= MIN(n + 1, rest.len);
		if (line.len > 0 && line.ptr[line.len - 1] == '\r')
			line.len--;
		if (line.len <= len || line.ptr[len] != ':' ||
		    memcmp(line.ptr, name, len) != 0)
			continue;
		line.ptr += len + 1;
		line.len -= len + 1;
		while (line.len > 0 && line.ptr[0] == ' ') {
			line.ptr++;
			line.len--;
		}
		return line;
	}
	return (struct jh_str){NULL, 0};
}

/* Length of the first complete event in the text from offset at, or 0. */
static size_t
event_len(const GString *text, size_t at)
{
	const char *p = text->str + at, *end = text->str + text->len;
	const char *nl;

	for (nl = memchr(p, '\n', (size_t)(end - p)); nl != NULL;
	     nl = memchr(nl + 1, '\n', (size_t)(end - nl - 1))) {
		const char *next = nl + 1;
		if (next < end && *next == '\r')
			next++;
		if (next < end && *next == '\n')
			return (size_t)(next + 1 - p);
	}
	return 0;
}

static bool
parse_id(struct jh_sse_event *b)
{
	struct jh_str id = jh_sse_event_field(b, "id");
	char digits[MAX_ID_LEN + 1];
	guint64 n;

	b->has_id = id.ptr != NULL;
	if (!b->has_id)
		return true;
	if (id.len > MAX_ID_LEN)
		return false;
	memcpy(digits, id.ptr, id.len);
	digits[id.len] = '\0';
	if (!g_ascii_string_to_unsigned(digits, 10, 0, G_MAXUINT64, &n, NULL))
		return false;
	b->id = n;
	return true;
}

bool
jh_sse_parser_feed(struct jh_sse_parser *e, struct jh_str bytes,
    void (*fn)(void *arg, const struct jh_sse_event *event), void *arg)
{
	size_t at = 0, n;
	bool ok = true;

	g_string_append_len(e->partial, bytes.ptr, (gssize)bytes.len);
	while (ok && (n = event_len(e->partial, at)) > 0) {
		struct jh_sse_event b = {{e->partial->str + at, n}, false, 0};
		ok = parse_id(&b);
		if (ok)
			fn(arg, &b);
		at += n;
	}
	g_string_erase(e->partial, 0, (gssize)at);
	return ok && e->partial->len <= JH_SSE_EVENT_MAX_LEN;
}

void
jh_sse_parser_reset(struct jh_sse_parser *e)
{
	g_string_truncate(e->partial, 0);
}

bool
jh_sse_parser_has_partial(const struct jh_sse_parser *e)
{
	return e->partial->len > 0;
}
