#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "answer_readers.h"
#include "http/client.h"
#include "net/client.h"
#include "raw_request.h"

/* Time between the two parts of an answer, and between its pieces. */
#define PART_USEC 20000
#define PIECE_USEC 2000

#define MAX_IDLE_USEC JH_USEC_PER_SEC
#define OTHER_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
#define INFORMATION "HTTP/1.1 100 Continue\r\n\r\n"

static void
note_body(struct answer_call *c, const char *p, size_t n)
{
	g_string_append_len(c->body, p, (gssize)n);
	if (c->on_body != NULL)
		c->on_body(c->arg);
}

/* Whether the reader pauses now. */
static bool
begins_pause(const struct answer_call *c)
{
	return c->pause_usec > 0 && c->body->len == 0;
}

/* A call of the router's client, with its loop. */
struct uv_call {
	struct answer_call *call;
	struct jh_call *http;
	uv_timer_t pause;
	bool ended;
};

static bool
on_uv_head(void *arg, const struct jh_head *head)
{
	((struct uv_call *)arg)->call->status = head->status;
	return true;
}

static void
on_uv_pause_end(uv_timer_t *t)
{
	struct uv_call *u = t->data;

	if (!u->ended)
		jh_call_resume(u->http);
}

static bool
on_uv_body(void *arg, const char *p, size_t n)
{
	struct uv_call *u = arg;

	if (begins_pause(u->call)) {
		jh_call_pause(u->http);
		uv_timer_start(&u->pause, on_uv_pause_end,
		    u->call->pause_usec / JH_USEC_PER_MSEC, 0);
	}
	note_body(u->call, p, n);
	return true;
}

static void
on_uv_end(void *arg, enum jh_call_result result)
{
	struct uv_call *u = arg;

	u->call->complete = result == JH_CALL_COMPLETE;
	u->call->timed_out = result == JH_CALL_TIMED_OUT;
	u->ended = true;
}

static const struct jh_call_ops uv_ops = {on_uv_head, on_uv_body, on_uv_end};

static void
run_uv_call(uv_loop_t *loop, struct jh_uv_client *client, struct uv_call *u)
{
	const struct answer_call *c = u->call;
	char *upload = g_malloc0(c->upload_len + 1);
	uint64_t deadline = jh_now() + ANSWER_TIMEOUT_USEC;
	struct jh_call_spec spec = {
	    .peer = c->peer,
	    .message = g_string_new(NULL),
	    .rest = {upload, c->upload_len},
	    .connect_deadline = deadline,
	    .send_deadline = deadline,
	    .deadline = deadline,
	    .max_idle_usec = MAX_IDLE_USEC,
	    .ops = &uv_ops,
	    .arg = u,
	};

	g_string_printf(spec.message,
	    "%s / HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n",
	    c->upload_len > 0 ? "POST" : "GET", c->upload_len);
	u->ended = false;
	u->http = jh_call_start(client, &spec);
	while (!u->ended)
		uv_run(loop, UV_RUN_ONCE);
	g_free(upload);
}

static void
call_uv(struct answer_call *c)
{
	struct answer_call other = {.peer = c->peer};
	struct uv_call u = {.call = &other};
	struct jh_uv_client *client;
	uv_loop_t loop;

	c->body = g_string_new(NULL);
	uv_loop_init(&loop);
	client = jh_uv_client_create(&loop);
	uv_timer_init(&loop, &u.pause);
	u.pause.data = &u;
	if (c->second) {
		other.body = g_string_new(NULL);
		run_uv_call(&loop, client, &u);
		assert_true(other.complete);
		g_string_free(other.body, TRUE);
	}
	u.call = c;
	run_uv_call(&loop, client, &u);
	if (c->second)
		assert_int_equal(jh_uv_client_connections_opened(client), 1);
	uv_close((uv_handle_t *)&u.pause, NULL);
	jh_uv_client_destroy(client);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

/* A call of the daemons' client, which has a thread. */
struct daemon_call {
	struct answer_call *call;
	int pausing; /* atomic */
	int ended; /* atomic */
};

/* A paused reply delivers the same bytes again. */
static bool
on_daemon_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct daemon_call *u = arg;

	if (begins_pause(u->call) && !g_atomic_int_get(&u->pausing)) {
		g_atomic_int_set(&u->pausing, 1);
		if (u->call->on_body != NULL)
			u->call->on_body(u->call->arg);
		return false;
	}
	note_body(u->call, data.ptr, data.len);
	return true;
}

static void
on_daemon_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct daemon_call *u = arg;

	u->call->complete = result == JH_HTTP_OK;
	u->call->timed_out = result == JH_HTTP_TIMED_OUT;
	u->call->status = jh_http_call_status(call);
	g_atomic_int_set(&u->ended, 1);
}

static const struct jh_http_call_ops daemon_ops = {
    .data = on_daemon_data, .done = on_daemon_done};

static void
run_daemon_call(struct jh_http_client *client, struct answer_call *c)
{
	struct daemon_call u = {.call = c};
	char *upload = g_malloc0(c->upload_len + 1);
	struct jh_http_call_spec spec = {
	    .peer = c->peer,
	    .method = c->upload_len > 0 ? "POST" : "GET",
	    .path = "/",
	    .body = {upload, c->upload_len},
	    .deadline = jh_now() + ANSWER_TIMEOUT_USEC,
	    .ops = &daemon_ops,
	    .arg = &u,
	};
	struct jh_http_call *call;

	call = jh_http_call_start(client, &spec);
	while (!g_atomic_int_get(&u.ended) && !g_atomic_int_get(&u.pausing))
		g_usleep(200);
	g_usleep(c->pause_usec);
	jh_http_call_resume(call);
	while (!g_atomic_int_get(&u.ended))
		g_usleep(200);
	jh_http_call_unref(call);
	g_free(upload);
}

static void
call_daemon(struct answer_call *c)
{
	struct jh_http_client *client = jh_http_client_create("answers", 2);
	struct answer_call other = {.peer = c->peer};

	c->body = g_string_new(NULL);
	if (c->second) {
		other.body = g_string_new(NULL);
		run_daemon_call(client, &other);
		assert_true(other.complete);
		g_string_free(other.body, TRUE);
	}
	run_daemon_call(client, c);
	jh_http_client_destroy(client);
}

const struct answer_reader answer_readers[ANSWER_READERS] = {
    [ANSWER_ROUTER] = {"router", call_uv},
    [ANSWER_DAEMONS] = {"daemons", call_daemon}};

struct answer {
	const GString *text;
	size_t first; /* bytes of it that come a moment before; 0: none */
	enum answer_moment moment;
	const char *more; /* NULL: nothing */
	bool keep; /* leaves the connection open until the caller closes it */
};

static void
serve(void *arg, int fd)
{
	const struct answer *a = arg;
	char head[4096];

	if (!raw_request_read_head(fd, head, sizeof(head)))
		return;
	if (a->moment == ANSWER_SECOND) {
		(void)!write(fd, OTHER_ANSWER, strlen(OTHER_ANSWER));
		if (!raw_request_read_head(fd, head, sizeof(head)))
			return;
	}
	if (a->moment == ANSWER_AFTER_INFORMATION)
		(void)!write(fd, INFORMATION, strlen(INFORMATION));
	if (a->first > 0) {
		(void)!write(fd, a->text->str, a->first);
		g_usleep(PIECE_USEC);
	}
	(void)!send(
	    fd, a->text->str + a->first, a->text->len - a->first, MSG_NOSIGNAL);
	if (a->more != NULL) {
		g_usleep(PART_USEC);
		(void)!send(fd, a->more, strlen(a->more), MSG_NOSIGNAL);
	}
	if (a->keep)
		(void)!read(fd, head, sizeof(head));
}

static bool
is_taken_for(bool accepted, const struct answer_reader *reader, struct answer a)
{
	struct raw_peer p = {.serve = serve, .arg = &a};
	struct answer_call c = {.second = a.moment == ANSWER_SECOND};
	char *shown = g_strescape(a.text->str, NULL);
	bool expected;

	a.keep = !accepted;

	raw_peer_start(&p);
	c.peer = p.address;
	reader->call(&c);
	raw_peer_stop(&p);
	expected = c.complete == accepted && !c.timed_out;
	if (!expected)
		print_message("%s: %s, status %u, body \"%s\": %s\n",
		    reader->name,
		    c.complete	  ? "accepted"
		    : c.timed_out ? "timed out"
				  : "rejected",
		    c.status, c.body->str, shown);
	g_free(shown);
	g_string_free(c.body, TRUE);
	return expected;
}

bool
answer_is_taken_for(bool accepted, const struct answer_reader *reader,
    const GString *text, const char *more)
{
	return is_taken_for(
	    accepted, reader, (struct answer){.text = text, .more = more});
}

bool
answer_in_pieces_is_taken_for(bool accepted, const struct answer_reader *reader,
    const GString *text, size_t first, enum answer_moment moment)
{
	return is_taken_for(accepted, reader,
	    (struct answer){.text = text, .first = first, .moment = moment});
}
