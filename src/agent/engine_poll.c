#include <pthread.h>
#include <stdio.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "agent/engine_poll.h"
#include "base/event.h"
#include "agent/order.h"

/* Blocks of the engine's cache that the agent keeps track of. */
#define CACHE_VIEW_BLOCKS 65536

/* An engine that does not reply within this time is polled again later. */
#define POLL_TIMEOUT_USEC (500 * JH_USEC_PER_MSEC)

struct poll {
	struct agent *agent;
	GString *body;
	uint64_t sent_at;
	void (*handle)(struct poll *p, const json_t *root);
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
			p->handle(p, root);
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

/*
 * Clears the view after a change of weights: no request matches blocks of
 * former weights. The caller holds a->lock.
 */
static void
clear_cache_view(struct agent *a)
{
	if (a->cache == NULL)
		return;
	jh_cacheview_set_incarnation(a->cache, ~a->engine.incarnation);
	jh_cacheview_set_incarnation(a->cache, a->engine.incarnation);
}

static void
handle_load(struct poll *p, const json_t *root)
{
	json_t *weights = json_object_get(root, "weights");
	struct agent *a = p->agent;
	uint64_t incarnation = incarnation_of(root);
	json_int_t block_tokens;

	block_tokens =
	    json_integer_value(json_object_get(root, "piece_tokens"));
	pthread_mutex_lock(&a->lock);
	if (incarnation != a->engine.incarnation) {
		a->engine.last_event_seq = 0;
		jh_event(JH_EV_ENGINE_RESTARTED, G_LOG_LEVEL_INFO,
		    "the engine's incarnation is now %016llx",
		    (unsigned long long)incarnation);
	}
	a->engine.incarnation = incarnation;
	if (a->cache == NULL && block_tokens > 0)
		a->cache = jh_cacheview_create(
		    CACHE_VIEW_BLOCKS, (uint32_t)block_tokens);
	if (a->cache != NULL)
		jh_cacheview_set_incarnation(a->cache, incarnation);
	set_text(&a->engine.model, json_object_get(root, "model"));
	if (g_strcmp0(a->engine.weights, json_string_value(weights)) != 0)
		clear_cache_view(a);
	set_text(&a->engine.weights, weights);
	a->engine.block_tokens = block_tokens > 0 ? (uint64_t)block_tokens : 0;
	agent_order_on_engine_state(a, p->sent_at);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Applies one event, [sequence, "stored" or "removed", hash]. The caller holds
 * a->lock.
 */
static void
apply_event(struct agent *a, uint64_t incarnation, const json_t *event)
{
	json_int_t seq = json_integer_value(json_array_get(event, 0));
	const char *kind = json_string_value(json_array_get(event, 1));
	uint64_t hash = (uint64_t)json_integer_value(json_array_get(event, 2));
	struct jh_cache_event ev = {.incarnation = incarnation,
	    .seq = (uint64_t)seq,
	    .change = g_strcmp0(kind, "stored") == 0 ? JH_CACHE_STORED
						     : JH_CACHE_REMOVED,
	    .blocks = &hash,
	    .n = 1};

	if (seq <= 0 || kind == NULL)
		return;
	if (jh_cacheview_apply(a->cache, &ev) == JH_CACHEVIEW_GAP)
		jh_counters_add(a->counters, AGENT_EVENT_GAPS, 1);
	a->engine.last_event_seq = ev.seq;
}

static void
handle_events(struct poll *p, const json_t *root)
{
	struct agent *a = p->agent;
	uint64_t incarnation = incarnation_of(root);
	json_t *event;
	size_t i;

	pthread_mutex_lock(&a->lock);
	if (a->cache != NULL && incarnation == a->engine.incarnation) {
		json_array_foreach(json_object_get(root, "events"), i, event)
		    apply_event(a, incarnation, event);
	}
	pthread_mutex_unlock(&a->lock);
}

static void
start_poll(struct agent *a, const char *path,
    void (*handle)(struct poll *p, const json_t *root))
{
	struct poll *p = g_new0(struct poll, 1);
	struct jh_http_call_spec spec = {.peer = a->settings.backend,
	    .method = "GET",
	    .path = path,
	    .deadline = jh_now() + POLL_TIMEOUT_USEC,
	    .ops = &poll_ops,
	    .arg = p};
	struct jh_http_call *call;

	p->agent = a;
	p->handle = handle;
	p->sent_at = jh_now();
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
	char path[64];
	uint64_t from;

	start_poll(a, "/v1/load", handle_load);
	pthread_mutex_lock(&a->lock);
	from = a->engine.last_event_seq;
	pthread_mutex_unlock(&a->lock);
	snprintf(path, sizeof(path), "/v1/cache_events?from=%llu",
	    (unsigned long long)from);
	start_poll(a, path, handle_events);
}
