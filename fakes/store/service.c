#include <string.h>

#include <microhttpd.h>

#include <jacinthhill/clock.h>

#include "base/thread.h"
#include "state.h"

#define BODY_LIMIT FAKE_VALUE_LIMIT
#define BUFFER_LIMIT (16 * 1024 * 1024) /* bytes; a reply is a single write */
#define MAX_CONNS 2048
#define SERVER_THREADS 2
#define DEFAULT_SLOW_MS 2000
#define MAX_WAIT_MS 60000 /* of a watch */
#define OBJECTS "/v1/objects/"

void
fake_reply_text(struct jh_http_req *req, unsigned int status, const char *text)
{
	jh_http_req_reply(req, status, "text/plain", text, strlen(text));
}

void
fake_reply_json(struct jh_http_req *req, unsigned int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	jh_http_req_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(o);
}

void
fake_add_number(struct jh_http_req *req, const char *name, uint64_t n)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, n);
	jh_http_req_add_header(req, name, text);
}

const char *
fake_req_key(const struct jh_http_req *req)
{
	const char *path = jh_http_req_path(req);

	if (!g_str_has_prefix(path, OBJECTS) || path[strlen(OBJECTS)] == '\0')
		return NULL;
	return path + strlen(OBJECTS);
}

uint64_t
fake_req_number(const struct jh_http_req *req, const char *name, uint64_t max,
    uint64_t fallback)
{
	const char *text = jh_http_req_query(req, name);
	guint64 n = fallback;

	if (text != NULL)
		g_ascii_string_to_unsigned(text, 10, 0, max, &n, NULL);
	return n;
}

static void
defer(struct fake_store *s, struct jh_http_req *req, uint64_t due, bool watch)
{
	struct fake_deferred *p = g_new(struct fake_deferred, 1);

	p->req = req;
	p->due = due;
	p->watch = watch;
	g_ptr_array_add(s->deferred, p);
	pthread_cond_signal(&s->wake);
}

/* Responds to the watches for which a write has made a change. */
static void
notify_watches(struct fake_store *s)
{
	struct fake_deferred *p;
	guint i = 0;

	while (i < s->deferred->len) {
		p = s->deferred->pdata[i];
		if (!p->watch || !fake_serve_watch(s, p->req, false)) {
			i++;
			continue;
		}
		jh_http_req_unref(p->req);
		g_ptr_array_remove_index_fast(s->deferred, i);
	}
}

static bool
is_write(const struct jh_http_req *req)
{
	const char *method = jh_http_req_method(req);

	return strcmp(method, "PUT") == 0 || strcmp(method, "DELETE") == 0;
}

static bool
within_rate(struct fake_store *s, const struct jh_http_req *req)
{
	if (is_write(req)) {
		s->n_writes++;
		if (fake_bucket_take(&s->writes, jh_now()))
			return true;
	} else {
		s->n_reads++;
		if (fake_bucket_take(&s->reads, jh_now()))
			return true;
	}
	s->n_throttled++;
	return false;
}

/* Returns true if the request was deferred as a watch. */
static bool
serve_read(struct fake_store *s, struct jh_http_req *req)
{
	const char *path = jh_http_req_path(req);
	uint64_t wait_ms;

	if (strcmp(path, "/v1/list") == 0) {
		fake_serve_list(s, req);
	} else if (strcmp(path, "/v1/watch") == 0) {
		s->n_watches++;
		wait_ms = fake_req_number(req, "wait_ms", MAX_WAIT_MS, 0);
		if (fake_serve_watch(s, req, wait_ms == 0))
			return false;
		defer(s, req, jh_now() + wait_ms * JH_USEC_PER_MSEC, true);
		return true;
	} else {
		fake_serve_get(s, req);
	}
	return false;
}

void
fake_serve(struct fake_store *s, struct jh_http_req *req)
{
	if (!within_rate(s, req)) {
		fake_reply_text(
		    req, MHD_HTTP_TOO_MANY_REQUESTS, "rate limit exceeded");
	} else if (is_write(req)) {
		fake_serve_write(s, req);
		notify_watches(s);
	} else if (serve_read(s, req)) {
		return;
	}
	jh_http_req_unref(req);
}

static void
on_control(struct fake_store *s, struct jh_http_req *req)
{
	struct jh_str body = jh_http_req_body(req);
	json_t *o;

	if (strcmp(jh_http_req_method(req), "POST") == 0) {
		o = json_loadb(body.ptr, body.len, 0, NULL);
		if (o == NULL || !fake_store_control(s, o))
			fake_reply_text(
			    req, MHD_HTTP_BAD_REQUEST, "bad control request");
		json_decref(o);
	}
	fake_reply_json(req, MHD_HTTP_OK, fake_store_state(s));
	jh_http_req_unref(req);
}

static void
on_request(void *arg, struct jh_http_req *req)
{
	struct fake_store *s = arg;

	if (strcmp(jh_http_req_path(req), "/control") == 0) {
		on_control(s, req);
		return;
	}
	pthread_mutex_lock(&s->lock);
	switch (s->mode) {
	case FAKE_UP:
		fake_serve(s, req);
		break;
	case FAKE_DOWN:
		fake_reply_text(req, MHD_HTTP_SERVICE_UNAVAILABLE, "down");
		jh_http_req_unref(req);
		break;
	case FAKE_SLOW:
		defer(s, req, jh_now() + s->slow_usec, false);
		break;
	case FAKE_HANG:
		defer(s, req, JH_NEVER, false);
		break;
	}
	pthread_mutex_unlock(&s->lock);
}

/*
 * Completes a deferred request that is due, or aborts it if the mode or a stop
 * demands it. Returns false if the request stays deferred.
 */
static bool
finish_deferred(struct fake_store *s, struct fake_deferred *p, uint64_t now)
{
	bool aborted = s->stopping || s->mode == FAKE_DOWN ||
		       (s->mode != FAKE_HANG && p->due == JH_NEVER);

	if (!aborted && (p->due > now || s->mode == FAKE_HANG))
		return false;
	if (aborted)
		jh_http_req_abort(p->req);
	else if (p->watch)
		fake_serve_watch(s, p->req, true);
	else
		fake_serve(s, jh_http_req_ref(p->req));
	jh_http_req_unref(p->req);
	return true;
}

/* Returns the time of the next run, one second ahead at most. */
static uint64_t
run_due(struct fake_store *s)
{
	uint64_t next = jh_now() + JH_USEC_PER_SEC;
	struct fake_deferred *p;
	guint i;

	for (i = 0; i < s->deferred->len;) {
		p = s->deferred->pdata[i];
		if (finish_deferred(s, p, jh_now())) {
			g_ptr_array_remove_index_fast(s->deferred, i);
			continue;
		}
		next = MIN(next, p->due);
		i++;
	}
	return next;
}

static void *
timer_main(void *arg)
{
	struct fake_store *s = arg;
	struct timespec until;
	uint64_t next;

	pthread_mutex_lock(&s->lock);
	while (!s->stopping) {
		next = run_due(s);
		until.tv_sec = (time_t)(next / JH_USEC_PER_SEC);
		until.tv_nsec = (long)(next % JH_USEC_PER_SEC) * 1000;
		pthread_cond_timedwait(&s->wake, &s->lock, &until);
	}
	run_due(s);
	pthread_mutex_unlock(&s->lock);
	return NULL;
}

/* Uses the monotonic clock, as jh_now() does. */
static void
init_wake(struct fake_store *s)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&s->wake, &attr);
	pthread_condattr_destroy(&attr);
}

struct fake_store *
fake_store_create(const struct fake_store_options *options, GError **err)
{
	static const struct jh_http_server_ops ops = {on_request};
	struct fake_store *s = g_new0(struct fake_store, 1);
	struct jh_http_server_spec spec = {.listen = options->listen,
	    .body_limit = BODY_LIMIT,
	    .buffer_limit = BUFFER_LIMIT,
	    .max_conns = MAX_CONNS,
	    .threads = SERVER_THREADS,
	    .ops = &ops,
	    .arg = s};

	pthread_mutex_init(&s->lock, NULL);
	init_wake(s);
	s->table = fake_table_create(options->history);
	s->writes.rate = options->writes_per_second;
	s->reads.rate = options->reads_per_second;
	s->slow_usec = DEFAULT_SLOW_MS * JH_USEC_PER_MSEC;
	s->rand = g_rand_new_with_seed(1);
	s->deferred = g_ptr_array_new_with_free_func(g_free);
	s->http = jh_http_server_create(&spec, err);
	if (s->http == NULL) {
		fake_store_destroy(s);
		return NULL;
	}
	s->timer = jh_thread_create("fake-store", timer_main, s);
	return s;
}

void
fake_store_destroy(struct fake_store *s)
{
	/* The timer thread exists only if the server was created. */
	if (s->http != NULL) {
		pthread_mutex_lock(&s->lock);
		s->stopping = true;
		pthread_cond_signal(&s->wake);
		pthread_mutex_unlock(&s->lock);
		pthread_join(s->timer, NULL);
	}
	if (s->http != NULL)
		jh_http_server_destroy(s->http);
	g_ptr_array_free(s->deferred, TRUE);
	g_rand_free(s->rand);
	fake_table_destroy(s->table);
	pthread_cond_destroy(&s->wake);
	pthread_mutex_destroy(&s->lock);
	g_free(s);
}

unsigned int
fake_store_port(const struct fake_store *s)
{
	return jh_http_server_port(s->http);
}
