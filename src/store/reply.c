#include <string.h>

#include "store/reply.h"

const char *
jh_store_result_name(enum jh_store_result result)
{
	static const char *const names[] = {"ok", "not found", "conflict",
	    "unavailable", "unknown", "throttled", "expired", "invalid"};

	return names[result];
}

static enum jh_store_result
result_of_status(enum store_op op, unsigned int status)
{
	switch (status) {
	case 200:
		return JH_STORE_OK;
	case 404:
		return JH_STORE_NOT_FOUND;
	case 409:
		return JH_STORE_CONFLICT;
	case 410:
		return JH_STORE_EXPIRED;
	case 429:
		return JH_STORE_THROTTLED;
	case 503:
		return JH_STORE_UNAVAILABLE;
	default:
		if (status >= 400 && status < 500)
			return JH_STORE_INVALID;
		/* Other server errors leave open whether a write was done. */
		return op == STORE_WRITE ? JH_STORE_UNKNOWN
					 : JH_STORE_UNAVAILABLE;
	}
}

static enum jh_store_result
result_of_call(
    enum store_op op, enum jh_http_result result, unsigned int status)
{
	if (result == JH_HTTP_OK)
		return result_of_status(op, status);
	if (result == JH_HTTP_NOT_SENT || op != STORE_WRITE)
		return JH_STORE_UNAVAILABLE;
	return JH_STORE_UNKNOWN;
}

static bool
parse_header_number(struct jh_http_call *call, const char *name, uint64_t *out)
{
	const char *text = jh_http_call_header(call, name);
	guint64 n;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &n, NULL))
		return false;
	*out = n;
	return true;
}

static bool
add_item(GArray *items, json_t *o)
{
	struct jh_store_item i = {0};
	json_t *value = json_object_get(o, "value");
	json_t *version = json_object_get(o, "version");

	i.key = json_string_value(json_object_get(o, "key"));
	i.deleted = json_is_true(json_object_get(o, "deleted"));
	if (i.key == NULL || !json_is_integer(version) ||
	    (!i.deleted && !json_is_string(value)))
		return false;
	i.version = (uint64_t)json_integer_value(version);
	i.value.ptr = i.deleted ? "" : json_string_value(value);
	i.value.len = i.deleted ? 0 : json_string_length(value);
	g_array_append_val(items, i);
	return true;
}

static bool
parse_items(struct store_parsed *p, json_t *array)
{
	json_t *o;
	size_t i;

	if (!json_is_array(array))
		return false;
	p->items = g_array_new(FALSE, FALSE, sizeof(struct jh_store_item));
	json_array_foreach(array, i, o)
	{
		if (!add_item(p->items, o))
			return false;
	}
	p->reply.items = (const struct jh_store_item *)p->items->data;
	p->reply.n_items = p->items->len;
	return true;
}

static bool
parse_list(struct store_parsed *p, struct jh_http_call *call)
{
	const char *more = jh_http_call_header(call, "More");

	p->reply.more = more != NULL && strcmp(more, "true") == 0;
	return parse_header_number(call, "Revision", &p->reply.revision) &&
	       parse_items(p, p->json);
}

static bool
parse_watch(struct store_parsed *p)
{
	json_t *revision = json_object_get(p->json, "revision");

	if (!json_is_integer(revision))
		return false;
	p->reply.revision = (uint64_t)json_integer_value(revision);
	return parse_items(p, json_object_get(p->json, "changes"));
}

static bool
parse_content(struct store_parsed *p, enum store_op op,
    struct jh_http_call *call, const GString *body)
{
	struct jh_store_reply *r = &p->reply;

	if (op == STORE_LIST || op == STORE_WATCH) {
		if (r->result != JH_STORE_OK)
			return true;
		p->json = json_loadb(body->str, body->len, 0, NULL);
		return op == STORE_LIST ? parse_list(p, call) : parse_watch(p);
	}
	if (op == STORE_GET)
		parse_header_number(call, "Revision", &r->revision);
	if (r->result == JH_STORE_CONFLICT || op == STORE_GET)
		r->value = (struct jh_str){body->str, body->len};
	if (r->result == JH_STORE_OK || r->result == JH_STORE_CONFLICT)
		return parse_header_number(call, "Version", &r->version);
	return true;
}

void
store_parse(struct store_parsed *p, enum store_op op,
    enum jh_http_result result, struct jh_http_call *call, const GString *body)
{
	memset(p, 0, sizeof(*p));
	p->reply.value = JH_STR("");
	p->reply.result = result_of_call(op, result, jh_http_call_status(call));
	if (result != JH_HTTP_OK || parse_content(p, op, call, body))
		return;
	store_parsed_clear(p);
	p->reply.value = JH_STR("");
	p->reply.result =
	    op == STORE_WRITE ? JH_STORE_UNKNOWN : JH_STORE_UNAVAILABLE;
	p->reply.unusable = op == STORE_LIST || op == STORE_WATCH;
}

void
store_parsed_clear(struct store_parsed *p)
{
	json_decref(p->json);
	if (p->items != NULL)
		g_array_free(p->items, TRUE);
	memset(p, 0, sizeof(*p));
}
