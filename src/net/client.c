#include <string.h>

#include <jacinthhill/clock.h>

#include "net/client.h"
#include "net/conn.h"
#include "net/parse.h"

/* Longest response head, in bytes. */
#define HEAD_LIMIT 65536

/* Idle connections kept per peer; any more are closed. */
#define MAX_IDLE 64

/* An idle connection is closed this long before its Keep-Alive timeout. */
#define IDLE_MARGIN_USEC (700 * JH_USEC_PER_MSEC)

/* Idle timeout when the peer sends no Keep-Alive timeout. */
#define IDLE_DEFAULT_USEC (4 * JH_USEC_PER_SEC)

/*
 * TCP_USER_TIMEOUT of a connection. A peer that lost power or cannot be reached
 * acknowledges nothing; a lost packet is retransmitted well within this time.
 */
#define UNACKED_MSEC 1500

/* Responses to other requests skipped before a connection is closed. */
#define MAX_SKIPPED 4

/* Bytes of the body of such a response, which may have no end. */
#define MAX_SKIPPED_BYTES (1024 * 1024)

/* A connection, either idle or in use by one call. */
struct http_conn {
	struct jh_uv_client *client;
	struct sockaddr_in peer;
	struct jh_conn *conn;
	struct jh_http_parser *parser;
	struct jh_call *call; /* NULL: idle */
	uint64_t idle_since;
	uint64_t idle_deadline; /* not reused after this */
	unsigned int skipped;
	size_t skipped_bytes; /* of bodies */
	bool skipping; /* the current response is to another request */
	bool rejected; /* the call gave the current response up */
	bool reusable; /* the response allows reuse */
	bool response_done;
	bool parsing; /* inside the parser: must not be freed */
};

struct jh_call {
	struct jh_uv_client *client;
	struct jh_call_spec spec;
	struct http_conn *hc;
	uv_timer_t timer;
	size_t counted; /* in the account of the call */
	bool sent;
	bool reuse_forbidden; /* of the connection, after the response */
	bool overdue; /* a deadline has passed; the loop polls once more */
	uint64_t polls; /* of the loop, at that time */
};

struct jh_uv_client {
	uv_loop_t *loop;
	unsigned int unacked_msec;
	GPtrArray *idle; /* struct http_conn *; most recently used last */
	GHashTable *connections; /* struct http_conn *; all connections */
	uint64_t opened;
	uv_check_t check; /* runs after each poll of the loop */
	uint64_t polls;
};

static void
free_timer(uv_handle_t *h)
{
	g_free(h->data);
}

/* The connection has a copy of what the kernel has not accepted. */
static void
free_message(struct jh_call *call)
{
	if (call->spec.message != NULL)
		g_string_free(call->spec.message, TRUE);
	call->spec.message = NULL;
}

static void
count_held(struct jh_call *call, size_t bytes)
{
	jh_memory_account_update(call->spec.account, &call->counted, bytes);
}

static void
free_call(struct jh_call *call)
{
	free_message(call);
	count_held(call, 0);
	call->timer.data = call;
	uv_close((uv_handle_t *)&call->timer, free_timer);
}

static void
close_http_conn(struct http_conn *hc)
{
	g_ptr_array_remove(hc->client->idle, hc);
	g_hash_table_remove(hc->client->connections, hc);
	if (hc->conn != NULL)
		jh_conn_close(hc->conn);
	jh_http_parser_destroy(hc->parser);
	g_free(hc);
}

/* Ends the call, and closes its connection unless keep is true. */
static void
end_call(struct jh_call *call, enum jh_call_result result, bool keep)
{
	struct http_conn *hc = call->hc;
	const struct jh_call_ops *ops = call->spec.ops;
	void *arg = call->spec.arg;

	call->hc = NULL;
	if (hc != NULL) {
		hc->call = NULL;
		if (!keep)
			close_http_conn(hc);
	}
	free_call(call);
	ops->end(arg, result);
}

/*
 * Timers run before sockets are polled, so after a pause of the loop the
 * connection may be open, or the response be there, and not be noticed yet: the
 * loop polls once more.
 */
static void
on_timer(uv_timer_t *t)
{
	struct jh_call *call = t->data;

	if (!call->overdue || call->polls == call->client->polls) {
		call->overdue = true;
		call->polls = call->client->polls;
		uv_timer_start(t, on_timer, JH_CALL_OVERDUE_READ_MSEC, 0);
		return;
	}
	end_call(
	    call, call->sent ? JH_CALL_TIMED_OUT : JH_CALL_NOT_SENT, false);
}

static void
start_timer(struct jh_call *call, uint64_t deadline)
{
	uint64_t now = jh_now();

	uv_timer_stop(&call->timer);
	call->overdue = false;
	if (deadline == JH_NEVER)
		return;
	uv_update_time(call->timer.loop);
	uv_timer_start(&call->timer, on_timer,
	    deadline <= now ? 0 : (deadline - now + 999) / 1000, 0);
}

static void
on_head(void *arg, const struct jh_head *head)
{
	struct http_conn *hc = arg;
	struct jh_str keep_alive;
	unsigned long long seconds;
	const char *at;

	if (hc->call == NULL || head->status < 200) {
		hc->skipping = true;
		return;
	}
	hc->skipping = !hc->call->spec.ops->head(hc->call->spec.arg, head);
	hc->reusable = head->keep_alive && !hc->call->reuse_forbidden;
	hc->idle_deadline = IDLE_DEFAULT_USEC;
	keep_alive = jh_head_get(head, "Keep-Alive");
	if (keep_alive.ptr == NULL)
		return;
	at = g_strstr_len(keep_alive.ptr, (gssize)keep_alive.len, "timeout=");
	if (at == NULL)
		return;
	at += strlen("timeout=");
	seconds = g_ascii_strtoull(at, NULL, 10);
	if (seconds * JH_USEC_PER_SEC < IDLE_MARGIN_USEC)
		hc->reusable = false;
	else
		hc->idle_deadline =
		    seconds * JH_USEC_PER_SEC - IDLE_MARGIN_USEC;
}

static void
on_body(void *arg, const char *p, size_t n)
{
	struct http_conn *hc = arg;

	if (hc->call == NULL || hc->rejected)
		return;
	if (!hc->skipping) {
		hc->rejected =
		    !hc->call->spec.ops->body(hc->call->spec.arg, p, n);
		return;
	}
	hc->skipped_bytes += n;
	hc->rejected = hc->skipped_bytes > MAX_SKIPPED_BYTES;
}

static void
on_complete(void *arg)
{
	struct http_conn *hc = arg;

	hc->response_done = true;
}

static const struct jh_http_parser_ops parse_ops = {
    on_head, on_body, on_complete};

/* Adds the connection to the idle ones if it can be reused. */
static bool
try_keep_http_conn(struct http_conn *hc)
{
	uint64_t now = jh_now();
	unsigned int same = 0;
	guint i;

	if (!hc->reusable || jh_conn_queued(hc->conn) > 0 ||
	    jh_http_parser_buffered(hc->parser) > 0)
		return false;
	for (i = 0; i < hc->client->idle->len; i++) {
		const struct http_conn *other =
		    g_ptr_array_index(hc->client->idle, i);
		if (memcmp(&other->peer, &hc->peer, sizeof(hc->peer)) == 0)
			same++;
	}
	if (same >= MAX_IDLE)
		return false;
	hc->idle_since = now;
	hc->idle_deadline += now;
	g_ptr_array_add(hc->client->idle, hc);
	return true;
}

/* Handles the result of the parser. */
static void
handle_result(struct http_conn *hc, enum jh_parse_result r)
{
	struct jh_call *call = hc->call;

	if (call == NULL) {
		close_http_conn(hc); /* data without a request */
		return;
	}
	if (hc->rejected) {
		end_call(call, JH_CALL_MALFORMED, false);
		return;
	}
	while (r == JH_PARSE_PAUSED && hc->response_done) {
		hc->response_done = false;
		if (!hc->skipping) {
			bool keep = try_keep_http_conn(hc);
			if (keep)
				(void)jh_http_parser_resume(hc->parser);
			end_call(call, JH_CALL_COMPLETE, keep);
			return;
		}
		if (++hc->skipped > MAX_SKIPPED) {
			end_call(call, JH_CALL_MALFORMED, false);
			return;
		}
		hc->parsing = true;
		r = jh_http_parser_resume(hc->parser);
		hc->parsing = false;
		if (hc->call == NULL) {
			close_http_conn(hc);
			return;
		}
		if (hc->rejected) {
			end_call(call, JH_CALL_MALFORMED, false);
			return;
		}
	}
	if (r == JH_PARSE_OK || r == JH_PARSE_PAUSED)
		return;
	end_call(call, JH_CALL_MALFORMED, false);
	return;
}

static void
on_data(void *arg, const char *p, size_t n)
{
	struct http_conn *hc = arg;
	enum jh_parse_result r;

	if (hc->call == NULL) {
		close_http_conn(hc);
		return;
	}
	hc->parsing = true;
	r = jh_http_parser_feed(hc->parser, p, n);
	hc->parsing = false;
	handle_result(hc, r);
}

/*
 * Whether the connection's end may complete a response. It does not as long as
 * the peer has not taken the whole request: it has stopped halfway.
 */
static bool
is_orderly_end(const struct http_conn *hc, int error)
{
	return error == 0 && jh_conn_unacked(hc->conn) == 0;
}

static void
on_ended(void *arg, int error)
{
	struct http_conn *hc = arg;
	struct jh_call *call;

	if (hc->call != NULL && is_orderly_end(hc, error)) {
		hc->parsing = true;
		jh_http_parser_eof(hc->parser);
		hc->parsing = false;
	}
	call = hc->call;
	if (call == NULL) {
		close_http_conn(hc);
		return;
	}
	if (hc->response_done && !hc->skipping) {
		end_call(call, JH_CALL_COMPLETE, false);
		return;
	}
	end_call(call, call->sent ? JH_CALL_BROKEN : JH_CALL_NOT_SENT, false);
}

static void
send_message(struct jh_call *call)
{
	struct http_conn *hc = call->hc;

	call->sent = true;
	hc->response_done = false;
	hc->skipping = false;
	hc->rejected = false;
	hc->reusable = false;
	start_timer(call, call->spec.deadline);
	jh_conn_write(
	    hc->conn, call->spec.message->str, call->spec.message->len);
	jh_conn_write(hc->conn, call->spec.rest.ptr, call->spec.rest.len);
	free_message(call);
	count_held(call, jh_conn_queued(hc->conn));
}

static void
on_opened(void *arg)
{
	struct http_conn *hc = arg;

	if (hc->call == NULL)
		return;
	/* It may be noticed only after a pause of the loop. */
	if (jh_now() >= hc->call->spec.send_deadline)
		end_call(hc->call, JH_CALL_NOT_SENT, false);
	else
		send_message(hc->call);
}

static void
on_drained(void *arg)
{
	struct http_conn *hc = arg;

	if (hc->call != NULL)
		count_held(hc->call, 0);
}

static const struct jh_conn_ops conn_ops = {
    on_opened, on_data, on_ended, on_drained};

static struct http_conn *
find_idle(struct jh_uv_client *c, const struct jh_call_spec *spec)
{
	uint64_t now = jh_now();
	guint i;

	for (i = c->idle->len; i > 0; i--) {
		struct http_conn *hc = g_ptr_array_index(c->idle, i - 1);
		if (now >= hc->idle_deadline) {
			close_http_conn(hc);
			continue;
		}
		if (memcmp(&hc->peer, &spec->peer, sizeof(hc->peer)) != 0)
			continue;
		if (spec->max_idle_usec == 0 ||
		    now - hc->idle_since > spec->max_idle_usec)
			continue;
		/* Its end, or stray bytes, may not have been read yet. */
		if (jh_conn_has_input(hc->conn)) {
			close_http_conn(hc);
			continue;
		}
		g_ptr_array_remove_index(c->idle, i - 1);
		return hc;
	}
	return NULL;
}

static struct http_conn *
open_http_conn(struct jh_uv_client *c, const struct sockaddr_in *peer)
{
	struct http_conn *hc = g_new0(struct http_conn, 1);

	hc->client = c;
	hc->peer = *peer;
	hc->parser = jh_http_parser_create(
	    JH_PARSE_RESPONSES, HEAD_LIMIT, &parse_ops, hc);
	g_hash_table_add(c->connections, hc);
	hc->conn =
	    jh_conn_connect(c->loop, peer, c->unacked_msec, &conn_ops, hc);
	c->opened++;
	return hc;
}

struct jh_call *
jh_call_start(struct jh_uv_client *c, const struct jh_call_spec *spec)
{
	struct jh_call *call = g_new0(struct jh_call, 1);
	struct http_conn *hc = find_idle(c, spec);

	call->client = c;
	call->spec = *spec;
	uv_timer_init(c->loop, &call->timer);
	call->timer.data = call;
	if (hc == NULL)
		hc = open_http_conn(c, &spec->peer);
	else
		call->sent = true;
	call->hc = hc;
	hc->call = call;
	count_held(call, spec->message->allocated_len);
	if (hc->conn == NULL)
		start_timer(call,
		    jh_now()); /* ends as JH_CALL_NOT_SENT, from the loop */
	else if (call->sent)
		send_message(call);
	else
		start_timer(call, MIN(spec->connect_deadline, spec->deadline));
	return call;
}

void
jh_call_cancel(struct jh_call *call)
{
	struct http_conn *hc = call->hc;

	if (hc != NULL) {
		hc->call = NULL;
		if (!hc->parsing)
			close_http_conn(hc);
	}
	free_call(call);
}

void
jh_call_forbid_reuse(struct jh_call *call)
{
	call->reuse_forbidden = true;
}

bool
jh_call_was_sent(const struct jh_call *call)
{
	return call->sent;
}

bool
jh_call_has_unread(const struct jh_call *call)
{
	return call->sent && call->hc != NULL && call->hc->conn != NULL &&
	       jh_conn_has_input(call->hc->conn);
}

size_t
jh_call_unread(const struct jh_call *call)
{
	if (call->hc == NULL || call->hc->conn == NULL)
		return 0;
	return jh_conn_unread(call->hc->conn);
}

void
jh_call_pause(struct jh_call *call)
{
	if (call->hc != NULL && call->hc->conn != NULL)
		jh_conn_pause(call->hc->conn);
}

void
jh_call_resume(struct jh_call *call)
{
	if (call->hc != NULL && call->hc->conn != NULL)
		jh_conn_resume(call->hc->conn);
}

static void
on_polled(uv_check_t *h)
{
	struct jh_uv_client *c = h->data;

	c->polls++;
}

struct jh_uv_client *
jh_uv_client_create(uv_loop_t *loop)
{
	struct jh_uv_client *c = g_new0(struct jh_uv_client, 1);

	c->loop = loop;
	c->unacked_msec = UNACKED_MSEC;
	uv_check_init(loop, &c->check);
	c->check.data = c;
	uv_check_start(&c->check, on_polled);
	uv_unref((uv_handle_t *)&c->check);
	c->idle = g_ptr_array_new();
	c->connections = g_hash_table_new(NULL, NULL);
	return c;
}

void
jh_uv_client_set_unacked(struct jh_uv_client *c, unsigned int msec)
{
	c->unacked_msec = msec;
}

static void
on_client_closed(uv_handle_t *h)
{
	g_free(h->data);
}

void
jh_uv_client_destroy(struct jh_uv_client *c)
{
	GHashTableIter it;
	gpointer key;

	if (c == NULL)
		return;
	for (;;) {
		struct http_conn *hc;
		g_hash_table_iter_init(&it, c->connections);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		hc = key;
		if (hc->call != NULL)
			jh_call_cancel(hc->call);
		else
			close_http_conn(hc);
	}
	g_ptr_array_free(c->idle, TRUE);
	g_hash_table_destroy(c->connections);
	uv_close((uv_handle_t *)&c->check, on_client_closed);
}

void
jh_uv_client_close_idle(struct jh_uv_client *c, const struct sockaddr_in *peer)
{
	guint i;

	for (i = c->idle->len; i > 0; i--) {
		struct http_conn *hc = g_ptr_array_index(c->idle, i - 1);
		if (memcmp(&hc->peer, peer, sizeof(*peer)) == 0)
			close_http_conn(hc);
	}
}

uint64_t
jh_uv_client_polls(const struct jh_uv_client *c)
{
	return c->polls;
}

uint64_t
jh_uv_client_connections_opened(const struct jh_uv_client *c)
{
	return c->opened;
}
