#include <string.h>

#include <curl/curl.h>

#include <jacinthhill/clock.h>

#include "base/ring.h"
#include "base/thread.h"
#include "config/settings.h"
#include "http/client.h"
#include "http/loop.h"
#include "net/head_check.h"

/* Time limit for opening a TCP connection. */
#define CONNECT_TIMEOUT_MS 1000L

/*
 * Sizes of libcurl's buffers, in bytes. Each call holds both until its reply
 * ends; with the defaults of 16 and 64 KB, they take half of a stream's memory.
 */
#define READ_BUFFER_LEN 4096L
#define UPLOAD_BUFFER_LEN 16384L

/*
 * Time to read a reply that is there at the deadline: the thread may not have
 * run for a while. libcurl's own limit would discard it.
 */
#define OVERDUE_READ_USEC (20 * JH_USEC_PER_MSEC)

/* Commands (start, resume, cancel) that may be queued per call. */
#define COMMANDS_PER_CALL 4

enum command_kind { CMD_START, CMD_RESUME, CMD_CANCEL };

struct command {
	enum command_kind kind;
	struct jh_http_call *call;
};

struct jh_http_client {
	CURLM *multi;
	struct jh_http_loop *loop;
	pthread_t thread;
	struct jh_ring *commands;
	unsigned int max_calls;
	int n_calls; /* atomic: calls whose done() has not run */
	int stopping; /* atomic */
	/* Client thread only. */
	GHashTable *running; /* set of calls */
	GSequence *ends; /* those with a deadline, by ends_at */
};

struct jh_http_call {
	int refs; /* atomic */
	struct jh_http_client *client;
	CURL *easy;
	struct curl_slist *headers;
	struct jh_body *body;
	size_t body_sent; /* bytes that libcurl has read */
	struct jh_head_lines lines; /* of the reply's head */
	struct jh_http_call_ops ops;
	void *arg;
	uint64_t deadline;
	uint64_t ends_at; /* the deadline, or later once it is overdue */
	GSequenceIter *end; /* its place in ends; NULL: none */
	int resume_queued; /* atomic: at most one is queued */
	int cancel_queued; /* atomic: at most one ever */
	bool connected; /* the peer may have received the request */
	bool began;
	bool paused;
	bool cancelled;
};

static void
call_ref(struct jh_http_call *call)
{
	g_atomic_int_inc(&call->refs);
}

void
jh_http_call_unref(struct jh_http_call *call)
{
	if (call == NULL || !g_atomic_int_dec_and_test(&call->refs))
		return;
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	jh_body_unref(call->body);
	g_free(call);
}

unsigned int
jh_http_call_status(const struct jh_http_call *call)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	return (unsigned int)status;
}

const char *
jh_http_call_header(struct jh_http_call *call, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &h) !=
	    CURLHE_OK)
		return NULL;
	return h->value;
}

static void
notify_begun(struct jh_http_call *call)
{
	if (call->began)
		return;
	call->began = true;
	if (call->ops.begun != NULL)
		call->ops.begun(call->arg, call);
}

/* Gets a line of the head, or of trailers; libcurl takes more than is valid. */
static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct jh_http_call *call = arg;
	size_t len = size * n;

	if (!jh_head_lines_check(&call->lines, data, len, true))
		return 0;
	if (!call->lines.ended)
		return len;
	if (jh_http_call_status(call) >= 200)
		notify_begun(call);
	else /* informational: another head follows */
		memset(&call->lines, 0, sizeof(call->lines));
	return len;
}

static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
	struct jh_http_call *call = arg;
	struct jh_str bytes = {data, size * n};

	if (call->cancelled)
		return bytes.len;
	if (!call->ops.data(call->arg, call, bytes)) {
		call->paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	return bytes.len;
}

/* libcurl calls this when it is connected, before it writes the request. */
static int
on_connected(
    void *arg, char *peer_ip, char *local_ip, int peer_port, int local_port)
{
	struct jh_http_call *call = arg;

	if (jh_now() >= call->deadline)
		return CURL_PREREQFUNC_ABORT;
	call->connected = true;
	return CURL_PREREQFUNC_OK;
}

/*
 * Whether the peer ended the connection to end its reply, and had not taken the
 * whole request: it has stopped halfway.
 */
static bool
ends_before_request(struct jh_http_call *call)
{
	curl_off_t len = 0, sent = 0;

	curl_easy_getinfo(call->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &len);
	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return len < 0 &&
	       jh_http_call_header(call, "Transfer-Encoding") == NULL &&
	       sent < (curl_off_t)jh_body_len(call->body);
}

/*
 * A failed connect alone does not show that the peer has seen nothing: libcurl
 * retries a request by itself when a reused connection turns out to be closed.
 * A reply that ends within its head is complete to libcurl.
 */
static enum jh_http_result
classify(struct jh_http_call *call, CURLcode code)
{
	if (call->cancelled)
		return JH_HTTP_CANCELLED;
	if (code == CURLE_OK)
		return call->began && !ends_before_request(call)
			   ? JH_HTTP_OK
			   : JH_HTTP_CONNECTION_LOST;
	if (!call->connected)
		return JH_HTTP_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return JH_HTTP_TIMED_OUT;
	return JH_HTTP_CONNECTION_LOST;
}

static void
finish(struct jh_http_client *c, struct jh_http_call *call, CURLcode code)
{
	enum jh_http_result result = classify(call, code);

	g_hash_table_remove(c->running, call);
	if (call->end != NULL)
		g_sequence_remove(call->end);
	call->end = NULL;
	curl_multi_remove_handle(c->multi, call->easy);
	call->ops.done(call->arg, call, result);
	g_atomic_int_add(&c->n_calls, -1);
	jh_http_call_unref(call);
}

static gint
compare_ends(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct jh_http_call *x = a, *y = b;

	return (x->ends_at > y->ends_at) - (x->ends_at < y->ends_at);
}

static void
set_end(struct jh_http_client *c, struct jh_http_call *call, uint64_t at)
{
	call->ends_at = at;
	if (call->end == NULL)
		call->end =
		    g_sequence_insert_sorted(c->ends, call, compare_ends, NULL);
	else
		g_sequence_sort_changed(call->end, compare_ends, NULL);
}

/* Returns the call that ends first, or NULL. */
static struct jh_http_call *
first_to_end(const struct jh_http_client *c)
{
	GSequenceIter *first = g_sequence_get_begin_iter(c->ends);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static void
start(struct jh_http_client *c, struct jh_http_call *call)
{
	if (call->deadline <= jh_now()) {
		finish(c, call, CURLE_OPERATION_TIMEDOUT);
		return;
	}
	if (call->deadline != JH_NEVER)
		set_end(c, call, call->deadline);
	g_hash_table_add(c->running, call);
	curl_multi_add_handle(c->multi, call->easy);
}

/* Ends the calls whose replies have not arrived in time. */
static void
end_overdue(struct jh_http_client *c)
{
	struct jh_http_call *call;
	uint64_t now = jh_now();

	while ((call = first_to_end(c)) != NULL && call->ends_at <= now) {
		if (call->ends_at == call->deadline)
			set_end(c, call, now + OVERDUE_READ_USEC);
		else
			finish(c, call, CURLE_OPERATION_TIMEDOUT);
	}
}

static uint64_t
next_end(const struct jh_http_client *c)
{
	const struct jh_http_call *call = first_to_end(c);

	return call != NULL ? call->ends_at : JH_NEVER;
}

static void
unpause(struct jh_http_call *call)
{
	g_atomic_int_set(&call->resume_queued, 0);
	if (!call->paused)
		return;
	call->paused = false;
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
}

static void
run_command(struct jh_http_client *c, struct command *cmd)
{
	struct jh_http_call *call = cmd->call;

	if (cmd->kind == CMD_START) {
		/* The running set takes over the command's reference. */
		start(c, call);
	} else {
		if (g_hash_table_contains(c->running, call)) {
			if (cmd->kind == CMD_CANCEL) {
				call->cancelled = true;
				finish(c, call, CURLE_OK);
			} else {
				unpause(call);
			}
		}
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): own reference */
		jh_http_call_unref(call);
	}
	g_free(cmd);
}

static void
finish_completed(struct jh_http_client *c)
{
	struct jh_http_call *call;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
		finish(c, call, msg->data.result);
	}
}

static void
run_commands(struct jh_http_client *c)
{
	struct command *cmd;

	while ((cmd = jh_ring_pop(c->commands)) != NULL)
		run_command(c, cmd);
}

static void
cancel_all(struct jh_http_client *c)
{
	GHashTableIter it;
	gpointer key;

	run_commands(c);
	for (;;) {
		g_hash_table_iter_init(&it, c->running);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		((struct jh_http_call *)key)->cancelled = true;
		finish(c, key, CURLE_OK);
		run_commands(c);
	}
}

static void *
client_main(void *arg)
{
	struct jh_http_client *c = arg;

	while (!g_atomic_int_get(&c->stopping)) {
		run_commands(c);
		jh_http_loop_run(c->loop, next_end(c));
		finish_completed(c);
		end_overdue(c);
	}
	cancel_all(c);
	return NULL;
}

struct jh_http_client *
jh_http_client_create(const char *thread_name, unsigned int max_calls)
{
	struct jh_http_client *c = g_new0(struct jh_http_client, 1);

	c->multi = curl_multi_init();
	c->loop = jh_http_loop_create(c->multi);
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, (long)max_calls);
	c->commands = jh_ring_create(max_calls * COMMANDS_PER_CALL);
	c->max_calls = max_calls;
	c->running = g_hash_table_new(NULL, NULL);
	c->ends = g_sequence_new(NULL);
	c->thread = jh_thread_create(thread_name, client_main, c);
	return c;
}

void
jh_http_client_destroy(struct jh_http_client *c)
{
	if (c == NULL)
		return;
	g_atomic_int_set(&c->stopping, 1);
	jh_http_loop_wake(c->loop);
	pthread_join(c->thread, NULL);
	curl_multi_cleanup(c->multi);
	jh_http_loop_destroy(c->loop);
	jh_ring_destroy(c->commands);
	g_hash_table_destroy(c->running);
	g_sequence_free(c->ends);
	g_free(c);
}

static void
send_command(struct jh_http_call *call, enum command_kind kind)
{
	struct command *cmd = g_new(struct command, 1);

	cmd->kind = kind;
	cmd->call = call;
	/* A call queues at most one command of each kind. */
	if (!jh_ring_push(call->client->commands, cmd))
		g_assert_not_reached();
	jh_http_loop_wake(call->client->loop);
}

static size_t
read_body(char *out, size_t size, size_t n, void *arg)
{
	struct jh_http_call *call = arg;
	size_t len = jh_body_read(call->body, call->body_sent, out, size * n);

	call->body_sent += len;
	return len;
}

/*
 * libcurl reads the body again when a reused connection turns out to be closed.
 */
static int
seek_body(void *arg, curl_off_t offset, int origin)
{
	struct jh_http_call *call = arg;

	if (origin != SEEK_SET || offset < 0)
		return CURL_SEEKFUNC_CANTSEEK;
	call->body_sent = (size_t)offset;
	return CURL_SEEKFUNC_OK;
}

static void
set_body(struct jh_http_call *call)
{
	curl_off_t len = (curl_off_t)jh_body_len(call->body);

	curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE, len);
	if (jh_body_head(call->body).len == 0) {
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS,
		    jh_body_tail(call->body).ptr);
		return;
	}
	curl_easy_setopt(call->easy, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(call->easy, CURLOPT_READDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_SEEKFUNCTION, seek_body);
	curl_easy_setopt(call->easy, CURLOPT_SEEKDATA, call);
}

static void
set_request(struct jh_http_call *call, const struct jh_http_call_spec *spec)
{
	char *host = jh_address_format(&spec->peer);
	char *url = g_strdup_printf("http://%s%s", host, spec->path);
	const char *const *h;

	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, spec->method);
	if (jh_body_len(call->body) > 0 || strcmp(spec->method, "GET") != 0)
		set_body(call);
	for (h = spec->headers; h != NULL && *h != NULL; h++)
		call->headers = curl_slist_append(call->headers, *h);
	/* Without this, libcurl waits a round trip for "100 Continue". */
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	g_free(url);
	g_free(host);
}

static void
set_transfer(struct jh_http_call *call)
{
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(call->easy, CURLOPT_BUFFERSIZE, READ_BUFFER_LEN);
	curl_easy_setopt(
	    call->easy, CURLOPT_UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_LEN);
	curl_easy_setopt(
	    call->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
}

static struct jh_body *
create_body(const struct jh_http_call_spec *spec)
{
	struct jh_body *b;
	GBytes *copy;

	if (spec->shared_body != NULL)
		return jh_body_ref(spec->shared_body);
	copy = g_bytes_new(spec->body.ptr, spec->body.len);
	b = jh_body_create(NULL, copy);
	g_bytes_unref(copy);
	return b;
}

struct jh_http_call *
jh_http_call_start(
    struct jh_http_client *c, const struct jh_http_call_spec *spec)
{
	struct jh_http_call *call;

	if (g_atomic_int_add(&c->n_calls, 1) >= (int)c->max_calls) {
		g_atomic_int_add(&c->n_calls, -1);
		return NULL;
	}
	call = g_new0(struct jh_http_call, 1);
	call->refs = 2; /* of the caller and of the start command */
	call->client = c;
	call->easy = curl_easy_init();
	call->body = create_body(spec);
	call->ops = *spec->ops;
	call->arg = spec->arg;
	call->deadline = spec->deadline;
	set_request(call, spec);
	set_transfer(call);
	if (spec->own_connection) {
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	send_command(call, CMD_START);
	return call;
}

void
jh_http_call_resume(struct jh_http_call *call)
{
	if (!g_atomic_int_compare_and_exchange(&call->resume_queued, 0, 1))
		return;
	call_ref(call);
	send_command(call, CMD_RESUME);
}

void
jh_http_call_cancel(struct jh_http_call *call)
{
	if (!g_atomic_int_compare_and_exchange(&call->cancel_queued, 0, 1))
		return;
	call_ref(call);
	send_command(call, CMD_CANCEL);
}
