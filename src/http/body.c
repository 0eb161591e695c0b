#include "http/body.h"

struct jh_body {
	int refs; /* atomic */
	GBytes *head; /* NULL: empty */
	GBytes *tail;
};

static struct jh_str
view(GBytes *bytes)
{
	struct jh_str s = {"", 0};
	gsize len;

	if (bytes == NULL || g_bytes_get_size(bytes) == 0)
		return s;
	s.ptr = g_bytes_get_data(bytes, &len);
	s.len = len;
	return s;
}

struct jh_body *
jh_body_create(GBytes *head, GBytes *tail)
{
	struct jh_body *b = g_new0(struct jh_body, 1);

	b->refs = 1;
	b->head = head == NULL ? NULL : g_bytes_ref(head);
	b->tail = g_bytes_ref(tail);
	return b;
}

struct jh_body *
jh_body_ref(struct jh_body *b)
{
	g_atomic_int_inc(&b->refs);
	return b;
}

void
jh_body_unref(struct jh_body *b)
{
	if (b == NULL || !g_atomic_int_dec_and_test(&b->refs))
		return;
	if (b->head != NULL)
		g_bytes_unref(b->head);
	g_bytes_unref(b->tail);
	g_free(b);
}

struct jh_str
jh_body_head(const struct jh_body *b)
{
	return view(b->head);
}

struct jh_str
jh_body_tail(const struct jh_body *b)
{
	return view(b->tail);
}

size_t
jh_body_len(const struct jh_body *b)
{
	return jh_body_head(b).len + jh_body_tail(b).len;
}

GString *
jh_body_join(const struct jh_body *b)
{
	struct jh_str head = jh_body_head(b), tail = jh_body_tail(b);
	GString *s = g_string_sized_new(head.len + tail.len);

	g_string_append_len(s, head.ptr, (gssize)head.len);
	g_string_append_len(s, tail.ptr, (gssize)tail.len);
	return s;
}
