#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "base/thread.h"
#include "harness.h"
#include "net/head_check.h"

/* Must be longer than any request of a test takes. */
#define CALL_TIMEOUT_MS 60000L

struct call {
	pthread_t thread;
	bool joined;
	CURL *easy;
	struct curl_slist *headers;
	struct jh_head_lines lines; /* of the response's head */
	char *url;
	char *body;
	int disconnect; /* atomic */
	int ended; /* atomic */

	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t cond;
	bool paused;
	GString *response;
	size_t parsed; /* bytes of the response that are split into events */
	GPtrArray *events; /* of struct event */
	CURLcode result;
};

static void
event_free(gpointer p)
{
	struct event *ev = p;

	g_free(ev->id);
	g_free(ev->data);
	g_free(ev);
}

static void
add_event(struct call *c, const char *text, size_t len)
{
	struct event *ev = g_new0(struct event, 1);
	char *block = g_strndup(text, len);
	char **lines = g_strsplit(block, "\n", -1), **l;

	for (l = lines; *l != NULL; l++) {
		if (g_str_has_prefix(*l, "id: "))
			ev->id = g_strdup(*l + 4);
		else if (g_str_has_prefix(*l, "data: "))
			ev->data = g_strdup(*l + 6);
	}
	g_strfreev(lines);
	g_free(block);
	g_ptr_array_add(c->events, ev);
}

/* Caller holds c->lock. */
static void
split_events(struct call *c)
{
	const char *from, *end;

	for (;;) {
		from = c->response->str + c->parsed;
		end = strstr(from, "\n\n");
		if (end == NULL)
			return;
		add_event(c, from, (size_t)(end - from));
		c->parsed += (size_t)(end + 2 - from);
	}
}

/* The response ends as incomplete with a line that libcurl alone takes. */
static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;

	if (!jh_head_lines_check(&c->lines, data, size * n, true))
		return 0;
	if (c->lines.ended && call_status(c) < 200)
		memset(&c->lines, 0, sizeof(c->lines));
	return size * n;
}

static size_t
on_data(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;

	pthread_mutex_lock(&c->lock);
	while (c->paused && !g_atomic_int_get(&c->disconnect))
		pthread_cond_wait(&c->cond, &c->lock);
	g_string_append_len(c->response, data, (gssize)(size * n));
	split_events(c);
	pthread_mutex_unlock(&c->lock);
	return g_atomic_int_get(&c->disconnect) ? 0 : size * n;
}

static int
on_progress(void *arg, curl_off_t a, curl_off_t b, curl_off_t d, curl_off_t e)
{
	struct call *c = arg;

	return g_atomic_int_get(&c->disconnect);
}

static void *
call_main(void *arg)
{
	struct call *c = arg;
	CURLcode result = curl_easy_perform(c->easy);

	pthread_mutex_lock(&c->lock);
	c->result = result;
	pthread_mutex_unlock(&c->lock);
	g_atomic_int_set(&c->ended, 1);
	return NULL;
}

static void
set_headers(struct call *c, const struct call_spec *spec)
{
	size_t i;
	char *line;

	for (i = 0; i < G_N_ELEMENTS(spec->headers); i++) {
		if (spec->headers[i] != NULL)
			c->headers =
			    curl_slist_append(c->headers, spec->headers[i]);
	}
	if (spec->key != NULL) {
		line = g_strdup_printf("Authorization: Bearer %s", spec->key);
		c->headers = curl_slist_append(c->headers, line);
		g_free(line);
	}
	c->headers = curl_slist_append(c->headers, "Expect:");
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
}

struct call *
call_start(const struct call_spec *spec)
{
	struct call *c = g_new0(struct call, 1);

	c->easy = curl_easy_init();
	c->url =
	    g_strdup_printf("http://127.0.0.1:%u%s", spec->port, spec->path);
	c->body = g_strdup(spec->body);
	c->paused = spec->paused;
	c->response = g_string_new(NULL);
	c->events = g_ptr_array_new_with_free_func(event_free);
	pthread_mutex_init(&c->lock, NULL);
	jh_cond_init(&c->cond);
	curl_easy_setopt(c->easy, CURLOPT_URL, c->url);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	if (c->body != NULL)
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->body);
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST,
	    spec->method == NULL ? "POST" : spec->method);
	curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(c->easy, CURLOPT_XFERINFODATA, c);
	curl_easy_setopt(c->easy, CURLOPT_NOPROGRESS, 0L);
	set_headers(c, spec);
	c->thread = jh_thread_create("call", call_main, c);
	return c;
}

void
call_join(struct call *c)
{
	if (!c->joined)
		pthread_join(c->thread, NULL);
	c->joined = true;
}

struct call *
call_run(const struct call_spec *spec)
{
	struct call *c = call_start(spec);

	call_join(c);
	return c;
}

void
call_free(struct call *c)
{
	if (c == NULL)
		return;
	call_resume(c);
	call_join(c);
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	g_ptr_array_free(c->events, TRUE);
	g_string_free(c->response, TRUE);
	pthread_mutex_destroy(&c->lock);
	pthread_cond_destroy(&c->cond);
	g_free(c->url);
	g_free(c->body);
	g_free(c);
}

const char *
call_error(const struct call *c)
{
	return curl_easy_strerror(c->result);
}

bool
call_ended(struct call *c)
{
	return g_atomic_int_get(&c->ended) != 0;
}

static void
set_paused(struct call *c, bool paused)
{
	pthread_mutex_lock(&c->lock);
	c->paused = paused;
	pthread_cond_signal(&c->cond);
	pthread_mutex_unlock(&c->lock);
}

void
call_pause(struct call *c)
{
	set_paused(c, true);
}

void
call_resume(struct call *c)
{
	set_paused(c, false);
}

void
call_disconnect(struct call *c)
{
	g_atomic_int_set(&c->disconnect, 1);
	call_resume(c);
	call_join(c);
	/* curl closes the connection with the handle, not with the transfer. */
	curl_easy_cleanup(c->easy);
	c->easy = NULL;
}

guint
call_event_count(struct call *c)
{
	guint n;

	pthread_mutex_lock(&c->lock);
	n = c->events->len;
	pthread_mutex_unlock(&c->lock);
	return n;
}

unsigned int
call_status(const struct call *c)
{
	long status = 0;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	return (unsigned int)status;
}

const char *
call_header(const struct call *c, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(c->easy, name, 0, CURLH_HEADER, -1, &h) !=
	    CURLHE_OK)
		return NULL;
	return h->value;
}

const char *
call_body(const struct call *c)
{
	return c->response->str;
}

bool
call_complete(const struct call *c)
{
	return c->result == CURLE_OK;
}

const GPtrArray *
call_events(const struct call *c)
{
	return c->events;
}

char *
call_last_id(struct call *c)
{
	const struct event *ev;
	char *id = NULL;
	guint i;

	pthread_mutex_lock(&c->lock);
	for (i = c->events->len; i > 0 && id == NULL; i--) {
		ev = c->events->pdata[i - 1];
		id = g_strdup(ev->id);
	}
	pthread_mutex_unlock(&c->lock);
	return id;
}
