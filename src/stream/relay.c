#include <string.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/relay.h>

/* Longest event accepted from an engine, in bytes. */
#define MAX_EVENT_LEN 65536

struct jh_relay {
	const struct jh_relay_ops *ops;
	void *arg;
	uint64_t position;
	GString *partial;
	GString *text;
	bool ended;
};

struct event {
	struct jh_str id;
	struct jh_str data;
};

struct jh_relay *
jh_relay_create(uint64_t position, const struct jh_relay_ops *ops, void *arg)
{
	struct jh_relay *r = g_new0(struct jh_relay, 1);

	r->ops = ops;
	r->arg = arg;
	r->position = position;
	r->partial = g_string_new(NULL);
	r->text = g_string_new(NULL);
	return r;
}

void
jh_relay_destroy(struct jh_relay *r)
{
	if (r == NULL)
		return;
	g_string_free(r->partial, TRUE);
	g_string_free(r->text, TRUE);
	g_free(r);
}

/* Views the value of a "name: value" line if it has that name. */
static bool
field_value(struct jh_str line, const char *name, struct jh_str *out)
{
	size_t len = strlen(name);

	if (line.len <= len || memcmp(line.ptr, name, len) != 0 ||
	    line.ptr[len] != ':')
		return false;
	line.ptr += len + 1;
	line.len -= len + 1;
	if (line.len > 0 && line.ptr[0] == ' ') {
		line.ptr++;
		line.len--;
	}
	*out = line;
	return true;
}

static struct event
split_event(struct jh_str block)
{
	struct event ev = {0};
	struct jh_str line;
	const char *nl;

	while (block.len > 0) {
		nl = memchr(block.ptr, '\n', block.len);
		line.ptr = block.ptr;
		line.len = nl == NULL ? block.len : (size_t)(nl - block.ptr);
		block.ptr += MIN(line.len + 1, block.len);
		block.len -= MIN(line.len + 1, block.len);
		if (line.len > 0 && line.ptr[line.len - 1] == '\r')
			line.len--;
		if (!field_value(line, "id", &ev.id))
			field_value(line, "data", &ev.data);
	}
	return ev;
}

static void
keep_text(struct jh_relay *r, struct jh_str payload)
{
	json_t *root = json_loadb(payload.ptr, payload.len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	json_t *delta = json_object_get(choice, "delta");
	json_t *content = json_object_get(delta, "content");

	if (json_is_string(content))
		g_string_append_len(r->text, json_string_value(content),
		    (gssize)json_string_length(content));
	json_decref(root);
}

static bool
parse_position(struct jh_str id, uint64_t *out)
{
	char digits[24];
	guint64 value;

	if (id.len == 0 || id.len >= sizeof(digits))
		return false;
	memcpy(digits, id.ptr, id.len);
	digits[id.len] = '\0';
	if (!g_ascii_string_to_unsigned(
		digits, 10, 1, G_MAXUINT64, &value, NULL))
		return false;
	*out = value;
	return true;
}

static enum jh_relay_status
take_event(struct jh_relay *r, struct jh_str block)
{
	struct event ev = split_event(block);
	uint64_t position;

	if (ev.data.ptr == NULL || r->ended)
		return JH_RELAY_OK;
	if (jh_str_eq(ev.data, JH_STR("[DONE]"))) {
		r->ended = true;
		r->ops->end(r->arg);
		return JH_RELAY_OK;
	}
	if (!parse_position(ev.id, &position))
		return JH_RELAY_MALFORMED;
	if (position <= r->position)
		return JH_RELAY_OK;
	if (position != r->position + 1)
		return JH_RELAY_GAP;
	keep_text(r, ev.data);
	r->position = position;
	r->ops->token(r->arg, position, ev.data);
	return JH_RELAY_OK;
}

/* Length of the first whole event with its blank line, or 0. */
static size_t
event_len(const GString *s, size_t from)
{
	const char *p = s->str + from, *end = s->str + s->len, *nl;

	for (; (nl = memchr(p, '\n', (size_t)(end - p))) != NULL; p = nl + 1) {
		if (nl + 1 < end && nl[1] == '\n')
			return (size_t)(nl + 2 - (s->str + from));
		if (nl + 2 < end && nl[1] == '\r' && nl[2] == '\n')
			return (size_t)(nl + 3 - (s->str + from));
	}
	return 0;
}

enum jh_relay_status
jh_relay_feed(struct jh_relay *r, struct jh_str bytes)
{
	enum jh_relay_status st = JH_RELAY_OK;
	size_t from = 0, len;

	g_string_append_len(r->partial, bytes.ptr, (gssize)bytes.len);
	while (st == JH_RELAY_OK && (len = event_len(r->partial, from)) > 0) {
		st =
		    take_event(r, (struct jh_str){r->partial->str + from, len});
		from += len;
	}
	g_string_erase(r->partial, 0, (gssize)from);
	if (st == JH_RELAY_OK && r->partial->len > MAX_EVENT_LEN)
		st = JH_RELAY_MALFORMED;
	return st;
}

void
jh_relay_restart(struct jh_relay *r)
{
	g_string_truncate(r->partial, 0);
}

uint64_t
jh_relay_position(const struct jh_relay *r)
{
	return r->position;
}

struct jh_str
jh_relay_text(const struct jh_relay *r)
{
	return (struct jh_str){r->text->str, r->text->len};
}

bool
jh_relay_ended(const struct jh_relay *r)
{
	return r->ended;
}
