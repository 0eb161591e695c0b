#include <stdio.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "agent/engine_poll.h"

/* An engine that does not answer in this time is asked again later. */
#define POLL_TIMEOUT_USEC (500 * JH_USEC_PER_MSEC)

struct poll {
	struct agent *agent;
	GString *body;
	void (*take)(struct agent *a, const json_t *root);
};

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct poll *p = arg;

	g_string_append_len(p->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct poll *p = arg;
	json_t *root;

	if (result == JH_HTTP_OK && jh_http_call_status(call) == 200) {
		root = json_loadb(p->body->str, p->body->len, 0, NULL);
		if (root != NULL)
			p->take(p->agent, root);
		json_decref(root);
	}
	g_string_free(p->body, TRUE);
	g_free(p);
}

static const struct jh_http_call_ops poll_ops = {
    .data = on_data, .done = on_done};

static uint64_t
incarnation_of(const json_t *root)
{
	const char *text =
	    json_string_value(json_object_get(root, "incarnation"));

	return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 16);
}

static void
set_text(char **field, const json_t *value)
{
	if (!json_is_string(value))
		return;
	g_free(*field);
	*field = g_strdup(json_string_value(value));
}

static void
take_load(struct agent *a, const json_t *root)
{
	uint64_t incarnation = incarnation_of(root);
	json_int_t piece;

	piece = json_integer_value(json_object_get(root, "piece_tokens"));
	g_mutex_lock(&a->lock);
	if (incarnation != a->engine.incarnation)
		a->engine.events_from = 0;
	a->engine.incarnation = incarnation;
	set_text(&a->engine.model, json_object_get(root, "model"));
	set_text(&a->engine.weights, json_object_get(root, "weights"));
	a->engine.piece_tokens = piece > 0 ? (uint64_t)piece : 0;
	g_mutex_unlock(&a->lock);
}

static void
start(struct agent *a, const char *path,
    void (*take)(struct agent *a, const json_t *root))
{
	struct poll *p = g_new0(struct poll, 1);
	struct jh_http_call_spec spec = {.peer = a->set.backend,
	    .method = "GET",
	    .path = path,
	    .deadline = jh_now() + POLL_TIMEOUT_USEC,
	    .ops = &poll_ops,
	    .arg = p};
	struct jh_http_call *call;

	p->agent = a;
	p->take = take;
	p->body = g_string_new(NULL);
	call = jh_http_call_start(a->client, &spec);
	if (call == NULL) {
		g_string_free(p->body, TRUE);
		g_free(p);
	}
	jh_http_call_unref(call);
}

void
agent_poll_engine(struct agent *a)
{
	start(a, "/v1/load", take_load);
}
