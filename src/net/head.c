#include <string.h>

#include "net/head.h"

struct jh_head_span {
	size_t name_at, name_len;
	size_t value_at, value_len;
};

struct jh_head *
jh_head_create(void)
{
	struct jh_head *h = g_new0(struct jh_head, 1);

	h->text = g_string_sized_new(512);
	h->fields = g_array_new(FALSE, TRUE, sizeof(struct jh_head_span));
	return h;
}

void
jh_head_destroy(struct jh_head *h)
{
	if (h == NULL)
		return;
	g_string_free(h->text, TRUE);
	g_array_free(h->fields, TRUE);
	g_free(h);
}

void
jh_head_clear(struct jh_head *h)
{
	g_string_truncate(h->text, 0);
	g_array_set_size(h->fields, 0);
	h->target_at = h->target_len = 0;
	h->method = NULL;
	h->status = 0;
	h->keep_alive = false;
	h->until_close = false;
}

static struct jh_str
view(const struct jh_head *h, size_t at, size_t len)
{
	return (struct jh_str){h->text->str + at, len};
}

struct jh_str
jh_head_target(const struct jh_head *h)
{
	return view(h, h->target_at, h->target_len);
}

struct jh_str
jh_head_path(const struct jh_head *h)
{
	struct jh_str s = jh_head_target(h);
	const char *q = memchr(s.ptr, '?', s.len);

	if (q != NULL)
		s.len = (size_t)(q - s.ptr);
	return s;
}

size_t
jh_head_count(const struct jh_head *h)
{
	return h->fields->len;
}

static struct jh_head_span *
span(const struct jh_head *h, size_t i)
{
	return &g_array_index(h->fields, struct jh_head_span, i);
}

struct jh_str
jh_head_name(const struct jh_head *h, size_t i)
{
	return view(h, span(h, i)->name_at, span(h, i)->name_len);
}

struct jh_str
jh_head_value(const struct jh_head *h, size_t i)
{
	return view(h, span(h, i)->value_at, span(h, i)->value_len);
}

struct jh_str
jh_head_get(const struct jh_head *h, const char *name)
{
	size_t i;

	for (i = 0; i < h->fields->len; i++)
		if (jh_str_caseeq(jh_head_name(h, i), name))
			return jh_head_value(h, i);
	return (struct jh_str){NULL, 0};
}

void
jh_head_add_target(struct jh_head *h, const char *p, size_t n)
{
	if (h->target_len == 0)
		h->target_at = h->text->len;
	g_string_append_len(h->text, p, (gssize)n);
	h->target_len += n;
}

void
jh_head_begin_field(struct jh_head *h)
{
	struct jh_head_span s = {h->text->len, 0, h->text->len, 0};

	g_array_append_val(h->fields, s);
}

void
jh_head_add_name(struct jh_head *h, const char *p, size_t n)
{
	g_string_append_len(h->text, p, (gssize)n);
	span(h, h->fields->len - 1)->name_len += n;
}

void
jh_head_add_value(struct jh_head *h, const char *p, size_t n)
{
	struct jh_head_span *s = span(h, h->fields->len - 1);

	if (s->value_len == 0)
		s->value_at = h->text->len;
	g_string_append_len(h->text, p, (gssize)n);
	s->value_len += n;
}

void
jh_head_trim_values(struct jh_head *h)
{
	struct jh_head_span *s;
	const char *value;
	size_t i;

	for (i = 0; i < h->fields->len; i++) {
		s = span(h, i);
		value = h->text->str + s->value_at;
		while (s->value_len > 0 && (value[s->value_len - 1] == ' ' ||
					       value[s->value_len - 1] == '\t'))
			s->value_len--;
	}
}

size_t
jh_head_size(const struct jh_head *h)
{
	return h->text->len + 4 * h->fields->len;
}

bool
jh_str_caseeq(struct jh_str a, const char *b)
{
	return strlen(b) == a.len && g_ascii_strncasecmp(a.ptr, b, a.len) == 0;
}

bool
jh_str_number(struct jh_str s, uint64_t *out)
{
	uint64_t v = 0, digit;
	size_t i;

	if (s.len == 0)
		return false;
	for (i = 0; i < s.len; i++) {
		if (!g_ascii_isdigit(s.ptr[i]))
			return false;
		digit = (uint64_t)(s.ptr[i] - '0');
		if (v > (UINT64_MAX - digit) / 10)
			return false;
		v = v * 10 + digit;
	}
	*out = v;
	return true;
}
