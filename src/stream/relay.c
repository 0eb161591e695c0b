#include <string.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/relay.h>

#include "stream/sse_parser.h"

struct jh_relay {
	const struct jh_relay_ops *ops;
	void *arg;
	uint64_t position;
	struct jh_sse_parser *parser;
	GString *text;
	enum jh_relay_status status; /* of the bytes being fed */
	bool ended;
};

struct jh_relay *
jh_relay_create(uint64_t position, const struct jh_relay_ops *ops, void *arg)
{
	struct jh_relay *r = g_new0(struct jh_relay, 1);

	r->ops = ops;
	r->arg = arg;
	r->position = position;
	r->parser = jh_sse_parser_create();
	r->text = g_string_new(NULL);
	return r;
}

void
jh_relay_destroy(struct jh_relay *r)
{
	if (r == NULL)
		return;
	jh_sse_parser_destroy(r->parser);
	g_string_free(r->text, TRUE);
	g_free(r);
}

static void
append_text(struct jh_relay *r, struct jh_str payload)
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

static enum jh_relay_status
handle_event(struct jh_relay *r, const struct jh_sse_event *event)
{
	struct jh_str data = jh_sse_event_field(event, "data");

	if (data.ptr == NULL || r->ended)
		return JH_RELAY_OK;
	if (jh_str_eq(data, JH_STR("[DONE]"))) {
		r->ended = true;
		r->ops->end(r->arg);
		return JH_RELAY_OK;
	}
	if (!event->has_id || event->id == 0)
		return JH_RELAY_MALFORMED;
	if (event->id <= r->position)
		return JH_RELAY_OK;
	if (event->id != r->position + 1)
		return JH_RELAY_GAP;
	append_text(r, data);
	r->position = event->id;
	r->ops->token(r->arg, event->id, data);
	return JH_RELAY_OK;
}

static void
on_event(void *arg, const struct jh_sse_event *event)
{
	struct jh_relay *r = arg;

	if (r->status == JH_RELAY_OK)
		r->status = handle_event(r, event);
}

enum jh_relay_status
jh_relay_feed(struct jh_relay *r, struct jh_str bytes)
{
	r->status = JH_RELAY_OK;
	if (!jh_sse_parser_feed(r->parser, bytes, on_event, r) &&
	    r->status == JH_RELAY_OK)
		r->status = JH_RELAY_MALFORMED;
	return r->status;
}

void
jh_relay_restart(struct jh_relay *r)
{
	jh_sse_parser_reset(r->parser);
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
