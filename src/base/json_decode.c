#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <yajl/yajl_parse.h>

#include "base/json_decode.h"

struct decoder {
	json_t *root;
	/* The containers that are open, and the name of each one's member. */
	json_t *open[JH_JSON_MAX_DEPTH];
	char *name[JH_JSON_MAX_DEPTH];
	unsigned int depth;
	unsigned int skipped; /* open containers below the deepest one */
};

/* Takes over the reference. */
static void
add(struct decoder *d, json_t *value)
{
	json_t *parent = d->depth > 0 ? d->open[d->depth - 1] : NULL;

	if (parent == NULL) {
		json_decref(d->root);
		d->root = value;
	} else if (json_is_array(parent)) {
		json_array_append_new(parent, value);
	} else if (d->name[d->depth - 1] != NULL) {
		json_object_set_new(parent, d->name[d->depth - 1], value);
	} else {
		json_decref(value);
	}
}

static json_t *
or_null(json_t *value)
{
	return value != NULL ? value : json_null();
}

static int
on_null(void *arg)
{
	struct decoder *d = arg;

	if (d->skipped == 0)
		add(d, json_null());
	return 1;
}

static int
on_boolean(void *arg, int value)
{
	struct decoder *d = arg;

	if (d->skipped == 0)
		add(d, json_boolean(value != 0));
	return 1;
}

static json_t *
make_number(const char *text)
{
	char *end;
	double real;
	long long n;

	errno = 0;
	n = strtoll(text, &end, 10);
	if (*end == '\0')
		return errno == 0 ? json_integer(n) : NULL;
	real = g_ascii_strtod(text, NULL);
	return isfinite(real) ? json_real(real) : NULL;
}

static int
on_number(void *arg, const char *p, size_t n)
{
	struct decoder *d = arg;
	char *text;

	if (d->skipped > 0)
		return 1;
	text = g_strndup(p, n);
	add(d, or_null(make_number(text)));
	g_free(text);
	return 1;
}

static int
on_string(void *arg, const unsigned char *p, size_t n)
{
	struct decoder *d = arg;

	if (d->skipped > 0)
		return 1;
	add(d, memchr(p, '\0', n) != NULL
		   ? json_null()
		   : or_null(json_stringn((const char *)p, n)));
	return 1;
}

static int
begin(struct decoder *d, json_t *container)
{
	if (d->skipped > 0 || d->depth == JH_JSON_MAX_DEPTH) {
		if (d->skipped++ == 0)
			add(d, json_null());
		json_decref(container);
		return 1;
	}
	add(d, json_incref(container));
	/* Without a name, it is part of nothing and only kept until its end. */
	d->open[d->depth++] = container;
	return 1;
}

static int
on_end(void *arg)
{
	struct decoder *d = arg;

	if (d->skipped > 0) {
		d->skipped--;
		return 1;
	}
	d->depth--;
	json_decref(d->open[d->depth]);
	g_clear_pointer(&d->name[d->depth], g_free);
	return 1;
}

static int
on_object(void *arg)
{
	return begin(arg, json_object());
}

static int
on_array(void *arg)
{
	return begin(arg, json_array());
}

static int
on_name(void *arg, const unsigned char *p, size_t n)
{
	struct decoder *d = arg;
	char **name;

	if (d->skipped > 0)
		return 1;
	name = &d->name[d->depth - 1];
	g_free(*name);
	*name = g_utf8_validate((const char *)p, (gssize)n, NULL)
		    ? g_strndup((const char *)p, n)
		    : NULL;
	return 1;
}

static const yajl_callbacks callbacks = {.yajl_null = on_null,
    .yajl_boolean = on_boolean,
    .yajl_number = on_number,
    .yajl_string = on_string,
    .yajl_start_map = on_object,
    .yajl_map_key = on_name,
    .yajl_end_map = on_end,
    .yajl_start_array = on_array,
    .yajl_end_array = on_end};

json_t *
jh_json_decode(struct jh_str text)
{
	struct decoder d = {.root = NULL};
	yajl_handle h = yajl_alloc(&callbacks, NULL, &d);
	yajl_status status;

	/* Invalid strings cost themselves, not the text. */
	yajl_config(h, yajl_dont_validate_strings, 1);
	status = yajl_parse(h, (const unsigned char *)text.ptr, text.len);
	if (status == yajl_status_ok)
		status = yajl_complete_parse(h);
	yajl_free(h);
	while (d.depth > 0) {
		d.skipped = 0;
		on_end(&d);
	}
	if (status == yajl_status_ok)
		return d.root;
	json_decref(d.root);
	return NULL;
}
