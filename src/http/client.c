#include <string.h>

#include <uv.h>

#include <jacinthhill/clock.h>

#include "base/ring.h"
#include "base/thread.h"
#include "config/settings.h"
#include "http/client.h"
#include "net/client.h"

/* Time limit for opening a TCP connection. */
#define CONNECT_TIMEOUT_USEC (1 * JH_USEC_PER_SEC)

/* Longest idle time of a connection that is reused. */
#define REUSE_USEC (4 * JH_USEC_PER_SEC)

/* Interval of the check for paused calls that are overdue. */
#define TICK_MSEC 100

/* Commands (start, resume, cancel) that may be queued per call. */
#define COMMANDS_PER_CALL 4

enum command_kind { CMD_START, CMD_RESUME, CMD_CANCEL };

struct command {
	enum command_kind kind;
	struct jh_http_call *call;
};

struct jh_http_client {
	uv_loop_t loop;
	uv_async_t wake;
	uv_timer_t tick; /* runs while calls have ended and are paused */
	struct jh_uv_client *net;
	pthread_t thread;
	struct jh_ring *commands;
	unsigned int max_calls;
	int n_calls; /* atomic: calls whose done() has not run */
	int stopping; /* atomic */
	/* Client thread only. */
	GHashTable *running; /* set of calls */
};

/* A field of a head. */
struct field {
	char *name, *value;
};

struct jh_http_call {
	int refs; /* atomic */
	struct jh_http_client *client;
	struct jh_call *http; /* NULL: not started, or ended */
	struct jh_call_spec spec;
	struct jh_body *body;
	struct jh_http_call_ops ops;
	void *arg;
	bool own_connection;
	int resume_queued; /* atomic: at most one is queued */
	int cancel_queued; /* atomic: at most one ever */
	unsigned int status;
	GArray *fields; /* of struct field; NULL: no head yet */
	bool paused;
	GString *held; /* bytes of the body that are delivered again */
	/* The reply has ended while the call was paused. */
	bool ended;
	enum jh_http_result result;
};

static void
call_ref(struct jh_http_call *call)
{
	g_atomic_int_inc(&call->refs);
}

static void
clear_field(gpointer p)
{
	struct field *f = p;

	g_free(f->name);
	g_free(f->value);
}

void
jh_http_call_unref(struct jh_http_call *call)
{
	if (call == NULL || !g_atomic_int_dec_and_test(&call->refs))
		return;
	if (call->spec.message != NULL)
		g_string_free(call->spec.message, TRUE);
	if (call->fields != NULL)
		g_array_unref(call->fields);
	g_string_free(call->held, TRUE);
	jh_body_unref(call->body);
	g_free(call);
}

unsigned int
jh_http_call_status(const struct jh_http_call *call)
{
	return call->status;
}

const char *
jh_http_call_header(struct jh_http_call *call, const char *name)
{
	guint i;

	for (i = 0; call->fields != NULL && i < call->fields->len; i++) {
		const struct field *f =
		    &g_array_index(call->fields, struct field, i);
		if (g_ascii_strcasecmp(f->name, name) == 0)
			return f->value;
	}
	return NULL;
}

static bool
on_head(void *arg, const struct jh_head *head)
{
	struct jh_http_call *call = arg;
	struct field f;
	size_t i;

	call->status = head->status;
	call->fields = g_array_new(FALSE, FALSE, sizeof(struct field));
	g_array_set_clear_func(call->fields, clear_field);
	for (i = 0; i < jh_head_count(head); i++) {
		f.name = jh_str_dup(jh_head_name(head, i));
		f.value = jh_str_dup(jh_head_value(head, i));
		g_array_append_val(call->fields, f);
	}
	if (call->own_connection)
		jh_call_forbid_reuse(call->http);
	if (call->ops.begun != NULL)
		call->ops.begun(call->arg, call);
	return true;
}

/* What arrives after a pause has begun is held too. */
static bool
on_body(void *arg, const char *p, size_t n)
{
	struct jh_http_call *call = arg;

	if (!call->paused &&
	    call->ops.data(call->arg, call, (struct jh_str){p, n}))
		return true;
	g_string_append_len(call->held, p, (gssize)n);
	if (!call->paused)
		jh_call_pause(call->http);
	call->paused = true;
	return true;
}

static void
finish(struct jh_http_call *call, enum jh_http_result result)
{
	struct jh_http_client *c = call->client;

	g_hash_table_remove(c->running, call);
	call->ops.done(call->arg, call, result);
	g_atomic_int_add(&c->n_calls, -1);
	jh_http_call_unref(call);
}

static enum jh_http_result
result_of(enum jh_call_result result)
{
	switch (result) {
	case JH_CALL_COMPLETE:
		return JH_HTTP_OK;
	case JH_CALL_NOT_SENT:
		return JH_HTTP_NOT_SENT;
	case JH_CALL_TIMED_OUT:
		return JH_HTTP_TIMED_OUT;
	default:
		return JH_HTTP_CONNECTION_LOST;
	}
}

static void on_tick(uv_timer_t *t);

static void
on_end(void *arg, enum jh_call_result result)
{
	struct jh_http_call *call = arg;
	uv_timer_t *tick = &call->client->tick;

	call->http = NULL;
	if (!call->paused || result != JH_CALL_COMPLETE) {
		finish(call, result_of(result));
		return;
	}
	call->ended = true;
	call->result = result_of(result);
	if (!uv_is_active((uv_handle_t *)tick))
		uv_timer_start(tick, on_tick, TICK_MSEC, TICK_MSEC);
}

static const struct jh_call_ops call_ops = {on_head, on_body, on_end};

static struct jh_http_call *
find_overdue(const struct jh_http_client *c, uint64_t now, bool *waiting)
{
	GHashTableIter it;
	gpointer key;

	*waiting = false;
	g_hash_table_iter_init(&it, c->running);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct jh_http_call *call = key;
		*waiting |= call->ended;
		if (call->ended && call->spec.deadline <= now)
			return call;
	}
	return NULL;
}

/* Ends the calls that have not been resumed in time. */
static void
on_tick(uv_timer_t *t)
{
	struct jh_http_client *c = t->data;
	struct jh_http_call *call;
	uint64_t now = jh_now();
	bool waiting;

	while ((call = find_overdue(c, now, &waiting)) != NULL)
		finish(call, JH_HTTP_TIMED_OUT);
	if (!waiting)
		uv_timer_stop(t);
}

static void
start(struct jh_http_client *c, struct jh_http_call *call)
{
	uint64_t now = jh_now();

	g_hash_table_add(c->running, call);
	if (call->spec.deadline <= now) {
		finish(call, JH_HTTP_NOT_SENT);
		return;
	}
	call->spec.connect_deadline =
	    MIN(now + CONNECT_TIMEOUT_USEC, call->spec.deadline);
	call->http = jh_call_start(c->net, &call->spec);
	call->spec.message = NULL;
}

static void
unpause(struct jh_http_call *call)
{
	g_atomic_int_set(&call->resume_queued, 0);
	if (!call->paused)
		return;
	if (!call->ops.data(call->arg, call,
		(struct jh_str){call->held->str, call->held->len}))
		return;
	g_string_truncate(call->held, 0);
	call->paused = false;
	if (call->ended)
		finish(call, call->result);
	else
		jh_call_resume(call->http);
}

static void
cancel(struct jh_http_call *call)
{
	if (call->http != NULL)
		jh_call_cancel(call->http);
	call->http = NULL;
	finish(call, JH_HTTP_CANCELLED);
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
			if (cmd->kind == CMD_CANCEL)
				cancel(call);
			else
				unpause(call);
		}
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): own reference */
		jh_http_call_unref(call);
	}
	g_free(cmd);
}

static void
run_commands(struct jh_http_client *c)
{
	struct command *cmd;

	while ((cmd = jh_ring_pop(c->commands)) != NULL)
		run_command(c, cmd);
}

static void
on_wake(uv_async_t *a)
{
	struct jh_http_client *c = a->data;

	run_commands(c);
	if (g_atomic_int_get(&c->stopping))
		uv_stop(&c->loop);
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
		cancel(key);
		run_commands(c);
	}
}

static void *
client_main(void *arg)
{
	struct jh_http_client *c = arg;

	uv_run(&c->loop, UV_RUN_DEFAULT);
	cancel_all(c);
	jh_uv_client_destroy(c->net);
	uv_close((uv_handle_t *)&c->wake, NULL);
	uv_close((uv_handle_t *)&c->tick, NULL);
	uv_run(&c->loop, UV_RUN_DEFAULT);
	return NULL;
}

struct jh_http_client *
jh_http_client_create(const char *thread_name, unsigned int max_calls)
{
	struct jh_http_client *c = g_new0(struct jh_http_client, 1);

	uv_loop_init(&c->loop);
	uv_async_init(&c->loop, &c->wake, on_wake);
	uv_timer_init(&c->loop, &c->tick);
	c->wake.data = c->tick.data = c;
	c->net = jh_uv_client_create(&c->loop);
	/* A peer that is cut off for some seconds may still reply in time. */
	jh_uv_client_set_unacked(c->net, 0);
	c->commands = jh_ring_create(max_calls * COMMANDS_PER_CALL);
	c->max_calls = max_calls;
	c->running = g_hash_table_new(NULL, NULL);
	c->thread = jh_thread_create(thread_name, client_main, c);
	return c;
}

void
jh_http_client_destroy(struct jh_http_client *c)
{
	if (c == NULL)
		return;
	g_atomic_int_set(&c->stopping, 1);
	uv_async_send(&c->wake);
	pthread_join(c->thread, NULL);
	uv_loop_close(&c->loop);
	jh_ring_destroy(c->commands);
	g_hash_table_destroy(c->running);
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
	uv_async_send(&call->client->wake);
}

/* The head of the request, and the first part of its body. */
static GString *
format_request(
    const struct jh_http_call *call, const struct jh_http_call_spec *spec)
{
	char *host = jh_address_format(&spec->peer);
	GString *out = g_string_new(NULL);
	struct jh_str head = jh_body_head(call->body);
	const char *const *h;

	g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n",
	    spec->method, spec->path, host);
	for (h = spec->headers; h != NULL && *h != NULL; h++)
		g_string_append_printf(out, "%s\r\n", *h);
	if (jh_body_len(call->body) > 0 || strcmp(spec->method, "GET") != 0)
		g_string_append_printf(
		    out, "Content-Length: %zu\r\n", jh_body_len(call->body));
	g_string_append(out, "\r\n");
	g_string_append_len(out, head.ptr, (gssize)head.len);
	g_free(host);
	return out;
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
	call->body = create_body(spec);
	call->held = g_string_new(NULL);
	call->ops = *spec->ops;
	call->arg = spec->arg;
	call->own_connection = spec->own_connection;
	call->spec = (struct jh_call_spec){
	    .peer = spec->peer,
	    .message = format_request(call, spec),
	    .rest = jh_body_tail(call->body),
	    .send_deadline = spec->deadline,
	    .deadline = spec->deadline,
	    .max_idle_usec = spec->own_connection ? 0 : REUSE_USEC,
	    .ops = &call_ops,
	    .arg = call,
	};
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
