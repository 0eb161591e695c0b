#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "base/thread.h"
#include "config/settings.h"
#include "http/server.h"

#define BODY_LIMIT (16 << 20)

/*
 * A fake plain service whose calls have side effects. It counts the runs of
 * each body, so that a test detects a call that ran twice.
 */
struct service {
	pthread_mutex_t lock;
	GHashTable *runs; /* body -> count */
	uint64_t total;
	int64_t delay_ms;
	bool break_next; /* run the next call, then abort its connection */
	bool hang; /* run calls, but send no responses until it is unset */
	GPtrArray *pending; /* of struct service_call, while hang is set */
};

static gchar *listen_text, *crash_text;
static gint64 delay_ms = 20;

static const GOptionEntry options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "address", "A:P"},
    {"delay-ms", 0, 0, G_OPTION_ARG_INT64, &delay_ms, "duration of a call",
	"N"},
    {"crash-on", 0, 0, G_OPTION_ARG_STRING, &crash_text,
	"the process ends without a response to calls with this text in their "
	"bodies",
	"TEXT"},
    {NULL, 0, 0, 0, NULL, NULL, NULL}};

static void
reply_json(struct jh_http_req *req, unsigned int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT | JSON_PRESERVE_ORDER);

	jh_http_req_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

/* Counts a run of the body; returns its runs so far. Caller holds s->lock. */
static unsigned int
count_run(struct service *s, struct jh_str body)
{
	char *key = jh_str_dup(body);
	gpointer old = g_hash_table_lookup(s->runs, key);
	unsigned int n = GPOINTER_TO_UINT(old) + 1;

	g_hash_table_replace(s->runs, key, GUINT_TO_POINTER(n));
	s->total++;
	return n;
}

/* A call that has run and waits for its response. */
struct service_call {
	struct service *service;
	struct jh_http_req *req;
	unsigned int run;
	bool abort; /* the connection, instead of a response */
	bool crash; /* the process, instead of a response */
};

static void
send_response(struct service_call *d)
{
	char receipt[64];

	if (d->crash)
		_exit(1);
	if (d->abort) {
		jh_http_req_abort(d->req);
	} else {
		snprintf(receipt, sizeof(receipt), "run-%u", d->run);
		reply_json(d->req, 200,
		    json_pack(
			"{s:s, s:s}", "status", "done", "receipt", receipt));
	}
	jh_http_req_unref(d->req);
	g_free(d);
}

static void *
respond_after_delay(void *arg)
{
	struct service_call *d = arg;

	g_usleep((gulong)d->service->delay_ms * 1000);
	send_response(d);
	return NULL;
}

static void
run_call(struct service *s, struct jh_http_req *req)
{
	struct jh_str body = jh_http_req_body(req);
	struct service_call *d = g_new0(struct service_call, 1);
	bool pending;

	d->service = s;
	d->req = req;
	d->crash = crash_text != NULL && memmem(body.ptr, body.len, crash_text,
					     strlen(crash_text)) != NULL;
	pthread_mutex_lock(&s->lock);
	d->run = count_run(s, body);
	d->abort = s->break_next;
	s->break_next = false;
	pending = s->hang;
	if (pending)
		g_ptr_array_add(s->pending, d);
	pthread_mutex_unlock(&s->lock);
	if (!pending)
		pthread_detach(
		    jh_thread_create("call", respond_after_delay, d));
}

static void
send_pending(struct service *s)
{
	guint i;

	for (i = 0; i < s->pending->len; i++)
		send_response(s->pending->pdata[i]);
	g_ptr_array_set_size(s->pending, 0);
}

static void
set_control(struct service *s, struct jh_http_req *req)
{
	struct jh_str body = jh_http_req_body(req);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL), *v;

	pthread_mutex_lock(&s->lock);
	s->break_next = json_is_true(json_object_get(root, "break_next"));
	v = json_object_get(root, "hang");
	s->hang = json_is_true(v);
	if (!s->hang)
		send_pending(s);
	v = json_object_get(root, "delay_ms");
	if (json_is_integer(v))
		s->delay_ms = json_integer_value(v);
	pthread_mutex_unlock(&s->lock);
	json_decref(root);
	reply_json(req, 200, json_pack("{s:b}", "ok", 1));
}

static void
show_control(struct service *s, struct jh_http_req *req)
{
	json_t *twice = json_array();
	GHashTableIter it;
	gpointer key, count;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->runs);
	while (g_hash_table_iter_next(&it, &key, &count)) {
		if (GPOINTER_TO_UINT(count) > 1)
			json_array_append_new(twice, json_string(key));
	}
	reply_json(req, 200,
	    json_pack("{s:I, s:i, s:o}", "total", (json_int_t)s->total,
		"distinct", (int)g_hash_table_size(s->runs), "repeated",
		twice));
	pthread_mutex_unlock(&s->lock);
}

static void
on_request(void *arg, struct jh_http_req *req)
{
	struct service *s = arg;
	const char *path = jh_http_req_path(req);
	bool post = strcmp(jh_http_req_method(req), "POST") == 0;

	if (strcmp(path, "/control") != 0) {
		run_call(s, req);
		return;
	}
	if (post)
		set_control(s, req);
	else
		show_control(s, req);
	jh_http_req_unref(req);
}

static const struct jh_http_server_ops server_ops = {.request = on_request};

int
main(int argc, char **argv)
{
	struct jh_http_server_spec spec = {.body_limit = BODY_LIMIT,
	    .buffer_limit = 1 << 20,
	    .max_conns = 4096,
	    .threads = 1,
	    .ops = &server_ops};
	GOptionContext *ctx =
	    g_option_context_new("- fake plain service for tests");
	struct service s = {0};
	struct jh_http_server *server;
	GError *err = NULL;
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err) ||
	    listen_text == NULL ||
	    !jh_address_parse(listen_text, &spec.listen)) {
		fprintf(stderr, "fake-service: --listen A.B.C.D:PORT\n");
		g_option_context_free(ctx);
		g_clear_error(&err);
		return 2;
	}
	g_option_context_free(ctx);
	pthread_mutex_init(&s.lock, NULL);
	s.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s.pending = g_ptr_array_new();
	s.delay_ms = delay_ms;
	spec.arg = &s;
	server = jh_http_server_create(&spec, &err);
	if (server == NULL) {
		fprintf(stderr, "fake-service: %s\n", err->message);
		g_error_free(err);
		return 1;
	}
	sigwait(&set, &sig);
	jh_http_server_destroy(server);
	return 0;
}
