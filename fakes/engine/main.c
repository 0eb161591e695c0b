#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "config/settings.h"

#include "prompt.h"

#define BODY_LIMIT (16 << 20)
#define EVENTS_PER_REPLY 4096

/* Time for the head of a reply to leave before a crash. */
#define CRASH_DELAY_USEC (50 * JH_USEC_PER_MSEC)

/*
 * A fake model engine: it serves chat completions, cache events, its load and
 * orders to load weights. See docs/engine-protocol.md.
 */
struct engine {
	struct batch *batch;
	struct cache *cache;
	pthread_mutex_t cache_lock;
	struct batch_config cfg;
	char incarnation[17];
	char *model;
	char *weights;
	uint64_t fencing; /* highest token seen */
	bool check_fencing; /* refuse orders with lower tokens */
	char *crash_marker; /* exit on a body that contains this */
	GRand *rand;
	double gap_rate; /* share of event replies that omit events */
	int requests; /* atomic: chat requests received */
};

static gchar *listen_text, *model_name, *weights_name, *crash_text;
static gint64 max_batch = 16, prefill_rate = 40000, chunk = 8000;
static gint64 step_usec = 15000, per_seq_usec = 300, block_tokens = 2000;
static gint64 capacity = 2000, time_scale = 100, event_lag_ms = 200, seed = 1;
static gint64 load_ms;
static gdouble gap_rate;
static gboolean ignore_fencing, crash_begun;

static const GOptionEntry options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "address", "A:P"},
    {"model", 0, 0, G_OPTION_ARG_STRING, &model_name, "model served", "NAME"},
    {"weights", 0, 0, G_OPTION_ARG_STRING, &weights_name, "version", "V"},
    {"max-batch", 0, 0, G_OPTION_ARG_INT64, &max_batch, "sequences", "N"},
    {"prefill-rate", 0, 0, G_OPTION_ARG_INT64, &prefill_rate, "tokens/s", "N"},
    {"prefill-chunk", 0, 0, G_OPTION_ARG_INT64, &chunk, "tokens", "N"},
    {"step-usec", 0, 0, G_OPTION_ARG_INT64, &step_usec, "decode step", "N"},
    {"per-seq-usec", 0, 0, G_OPTION_ARG_INT64, &per_seq_usec,
	"decode step, each sequence", "N"},
    {"piece-tokens", 0, 0, G_OPTION_ARG_INT64, &block_tokens, "tokens", "N"},
    {"capacity", 0, 0, G_OPTION_ARG_INT64, &capacity, "cache pieces", "N"},
    {"time-scale", 0, 0, G_OPTION_ARG_INT64, &time_scale, "percent", "N"},
    {"event-lag-ms", 0, 0, G_OPTION_ARG_INT64, &event_lag_ms, "lag", "N"},
    {"event-gap-rate", 0, 0, G_OPTION_ARG_DOUBLE, &gap_rate, "0 to 1", "R"},
    {"crash-on", 0, 0, G_OPTION_ARG_STRING, &crash_text,
	"exit when a body contains this", "TEXT"},
    {"crash-begun", 0, 0, G_OPTION_ARG_NONE, &crash_begun,
	"send the head of the reply first", NULL},
    {"load-ms", 0, 0, G_OPTION_ARG_INT64, &load_ms,
	"time of a load, in which nothing is answered", "N"},
    {"ignore-fencing", 0, 0, G_OPTION_ARG_NONE, &ignore_fencing,
	"accept orders with old fencing tokens", NULL},
    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "for the event gaps", "N"},
    {NULL, 0, 0, 0, NULL, NULL, NULL}};

static void
reply_json(struct jh_http_req *req, unsigned int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	jh_http_req_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static void
reply_error(struct jh_http_req *req, unsigned int status, const char *message)
{
	reply_json(req, status, json_pack("{s:s}", "error", message));
}

static void
on_client_closed(void *arg)
{
	struct sequence *seq = arg;

	g_atomic_int_set(&seq->cancelled, 1);
}

static void
on_released(void *arg)
{
	sequence_free(arg);
}

static const struct jh_http_req_ops completion_ops = {
    .closed = on_client_closed, .released = on_released};

static uint64_t
header_number(const struct jh_http_req *req, const char *name)
{
	const char *text = jh_http_req_header(req, name);

	return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

static void *
exit_later(void *arg)
{
	g_usleep(CRASH_DELAY_USEC);
	_exit(99);
	return NULL;
}

/* The process exits while it holds the request. */
static void
crash(struct jh_http_req *req)
{
	pthread_t thread;

	if (!crash_begun)
		_exit(99);
	jh_http_req_add_header(req, "Content-Type", "text/event-stream");
	jh_http_req_begin(req, 200);
	if (pthread_create(&thread, NULL, exit_later, NULL) != 0)
		_exit(99);
	pthread_detach(thread);
}

/* Returns true if the request has been taken over. */
static bool
serve_completion(struct engine *e, struct jh_http_req *req)
{
	struct jh_str body = jh_http_req_body(req);
	const char *salt = jh_http_req_header(req, "X-Cache-Salt");
	const char *id = jh_http_req_header(req, "X-Request-Id");
	struct prompt_salts salts = {.private_salt = salt == NULL ? "" : salt,
	    .shared_salt = jh_http_req_header(req, "X-Shared-Salt"),
	    .shared_messages = header_number(req, "X-Shared-Messages")};
	const char *errmsg = NULL;
	struct sequence *seq;

	g_atomic_int_inc(&e->requests);
	if (e->crash_marker != NULL &&
	    g_strstr_len(body.ptr, (gssize)body.len, e->crash_marker) != NULL) {
		crash(req);
		return true;
	}
	seq = prompt_parse(body, &salts, e->cfg.block_tokens, &errmsg);
	if (seq == NULL) {
		reply_error(req, 400, errmsg);
		return false;
	}
	if (g_strcmp0(seq->model, e->model) != 0) {
		sequence_free(seq);
		reply_error(req, 404, "this engine serves another model");
		return false;
	}
	seq->id = g_strdup(id == NULL ? "none" : id);
	seq->priority = (int)header_number(req, "X-Priority");
	seq->req = req;
	jh_http_req_set_callbacks(req, &completion_ops, seq);
	batch_submit(e->batch, seq);
	return true;
}

static void
serve_events(struct engine *e, struct jh_http_req *req)
{
	const char *from = jh_http_req_query(req, "from");
	GArray *evs = g_array_new(FALSE, FALSE, sizeof(struct cache_event));
	json_t *list = json_array();
	struct cache_event *ev;
	guint i, skip = 0;

	pthread_mutex_lock(&e->cache_lock);
	cache_events(e->cache,
	    from == NULL ? 0 : g_ascii_strtoull(from, NULL, 10), jh_now(),
	    EVENTS_PER_REPLY, evs);
	if (evs->len > 1 && g_rand_double(e->rand) < e->gap_rate)
		skip = evs->len / 2;
	pthread_mutex_unlock(&e->cache_lock);
	for (i = skip; i < evs->len; i++) {
		ev = &g_array_index(evs, struct cache_event, i);
		json_array_append_new(
		    list, json_pack("[I, s, I]", (json_int_t)ev->sequence,
			      ev->change == CACHE_STORED ? "stored" : "removed",
			      (json_int_t)ev->hash));
	}
	g_array_free(evs, TRUE);
	reply_json(req, 200,
	    json_pack(
		"{s:s, s:o}", "incarnation", e->incarnation, "events", list));
}

static void
serve_load(struct engine *e, struct jh_http_req *req)
{
	unsigned int running, waiting;

	batch_counts(e->batch, &running, &waiting);
	reply_json(req, 200,
	    json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:I}", "incarnation",
		e->incarnation, "model", e->model, "weights", e->weights,
		"running", (int)running, "waiting", (int)waiting, "max_batch",
		(int)e->cfg.max_batch, "piece_tokens",
		(json_int_t)e->cfg.block_tokens));
}

static void
serve_order(struct engine *e, struct jh_http_req *req)
{
	struct jh_str body = jh_http_req_body(req);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	const char *weights;
	uint64_t number;

	number = (uint64_t)json_integer_value(json_object_get(root, "fencing"));
	weights = json_string_value(json_object_get(root, "weights"));
	if (e->check_fencing && number < e->fencing) {
		reply_error(req, 409, "the fencing token is old");
	} else if (weights == NULL) {
		reply_error(req, 400, "weights is missing");
	} else {
		g_usleep((gulong)load_ms * JH_USEC_PER_MSEC);
		e->fencing = MAX(e->fencing, number);
		g_free(e->weights);
		e->weights = g_strdup(weights);
		pthread_mutex_lock(&e->cache_lock);
		cache_clear(e->cache);
		pthread_mutex_unlock(&e->cache_lock);
		reply_json(req, 200, json_pack("{s:s}", "weights", weights));
	}
	json_decref(root);
}

static void
serve_control(struct engine *e, struct jh_http_req *req)
{
	struct jh_str body = jh_http_req_body(req);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	const char *action;

	action = json_string_value(json_object_get(root, "action"));
	if (g_strcmp0(action, "crash") == 0)
		_exit(99);
	if (g_strcmp0(action, "stall") == 0)
		batch_stall(e->batch, true);
	else if (g_strcmp0(action, "continue") == 0)
		batch_stall(e->batch, false);
	reply_json(req, 200,
	    json_pack("{s:b, s:i}", "ok", 1, "requests",
		g_atomic_int_get(&e->requests)));
	json_decref(root);
}

static void
serve_cancel(struct engine *e, struct jh_http_req *req, const char *id)
{
	if (batch_cancel(e->batch, id))
		reply_json(req, 200, json_pack("{s:b}", "cancelled", 1));
	else
		reply_error(req, 404, "no such request");
}

static void
on_request(void *arg, struct jh_http_req *req)
{
	static const char cancel_prefix[] = "/v1/requests/";
	struct engine *e = arg;
	const char *path = jh_http_req_path(req);

	jh_http_req_add_header(req, "X-Engine-Incarnation", e->incarnation);
	if (strcmp(path, "/v1/chat/completions") == 0) {
		if (serve_completion(e, req))
			return;
	} else if (strcmp(path, "/v1/cache_events") == 0) {
		serve_events(e, req);
	} else if (strcmp(path, "/v1/load") == 0) {
		serve_load(e, req);
	} else if (strcmp(path, "/v1/orders") == 0) {
		serve_order(e, req);
	} else if (strcmp(path, "/control") == 0) {
		serve_control(e, req);
	} else if (g_str_has_prefix(path, cancel_prefix)) {
		serve_cancel(e, req, path + sizeof(cancel_prefix) - 1);
	} else {
		reply_error(req, 404, "no such path");
	}
	jh_http_req_unref(req);
}

static const struct jh_http_server_ops server_ops = {.request = on_request};

static bool
parse_options(int argc, char **argv, struct sockaddr_in *address)
{
	GOptionContext *ctx =
	    g_option_context_new("- fake model engine for tests");
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, options, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	g_option_context_free(ctx);
	if (!ok) {
		fprintf(stderr, "fake-engine: %s\n", err->message);
		g_error_free(err);
		return false;
	}
	if (listen_text == NULL || !jh_address_parse(listen_text, address)) {
		fprintf(stderr, "fake-engine: --listen A.B.C.D:PORT\n");
		return false;
	}
	return true;
}

static void
engine_init(struct engine *e)
{
	struct batch_config cfg = {.max_batch = max_batch,
	    .prefill_per_sec = prefill_rate,
	    .prefill_chunk = chunk,
	    .step_usec = step_usec,
	    .step_per_seq_usec = per_seq_usec,
	    .block_tokens = block_tokens,
	    .time_scale_percent = time_scale};

	e->cfg = cfg;
	pthread_mutex_init(&e->cache_lock, NULL);
	e->cache = cache_create(
	    (size_t)capacity, (uint64_t)event_lag_ms * JH_USEC_PER_MSEC);
	e->batch = batch_create(&cfg, e->cache, &e->cache_lock);
	snprintf(e->incarnation, sizeof(e->incarnation), "%08x%08x",
	    g_random_int(), g_random_int());
	e->model = g_strdup(model_name == NULL ? "small" : model_name);
	e->weights = g_strdup(weights_name == NULL ? "v1" : weights_name);
	e->check_fencing = !ignore_fencing;
	e->crash_marker = crash_text;
	e->gap_rate = gap_rate;
	e->rand = g_rand_new_with_seed((guint32)seed);
}

int
main(int argc, char **argv)
{
	struct jh_http_server_spec spec = {.body_limit = BODY_LIMIT,
	    .buffer_limit = 1 << 20,
	    .max_conns = 4096,
	    .threads = 1,
	    .ops = &server_ops};
	struct engine e = {0};
	struct jh_http_server *server;
	GError *err = NULL;
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (!parse_options(argc, argv, &spec.listen))
		return 2;
	engine_init(&e);
	spec.arg = &e;
	server = jh_http_server_create(&spec, &err);
	if (server == NULL) {
		fprintf(stderr, "fake-engine: %s\n", err->message);
		return 1;
	}
	sigwait(&set, &sig);
	batch_destroy(e.batch);
	jh_http_server_destroy(server);
	cache_destroy(e.cache);
	return 0;
}
