#include <string.h>

#include <jacinthhill/clock.h>

#include "net/caller.h"
#include "net/conn.h"
#include "net/parse.h"

/* Longest answer head. */
#define HEAD_LIMIT 65536

/* Idle connections kept for one peer; further ones are closed. */
#define MAX_IDLE 64

/* A connection is dropped this long before its peer's announced timeout. */
#define IDLE_MARGIN_USEC (700 * JH_USEC_PER_MSEC)

/* Kept this long when the peer announces no timeout. */
#define IDLE_DEFAULT_USEC (4 * JH_USEC_PER_SEC)

/*
 * A worker that lost power or is cut off acknowledges nothing; a lost packet
 * is repeated well within this time.
 */
#define UNACKED_MSEC 1500

/* Messages of others skipped on one connection before it is given up. */
#define MAX_SKIPPED 4

/* One connection, idle or serving one call. */
struct link {
	struct jh_caller *caller;
	struct sockaddr_in peer;
	struct jh_conn *conn;
	struct jh_parse *parse;
	struct jh_call *call; /* NULL: idle */
	uint64_t idle_since;
	uint64_t idle_deadline; /* reuse before this */
	unsigned int skipped;
	bool skipping; /* the message that arrives is of another request */
	bool reusable; /* the answer's framing and headers allow reuse */
	bool message_done;
	bool parsing; /* inside the parser: the link must not be freed */
};

struct jh_call {
	struct jh_call_spec spec;
	struct link *link;
	uv_timer_t timer;
	bool sent;
};

struct jh_caller {
	uv_loop_t *loop;
	GPtrArray *idle; /* struct link *; most recently used last */
	GHashTable *links; /* all */
	uint64_t opened;
};

static void
free_timer(uv_handle_t *h)
{
	g_free(h->data);
}

static void
free_call(struct jh_call *call)
{
	g_string_free(call->spec.message, TRUE);
	call->timer.data = call;
	uv_close((uv_handle_t *)&call->timer, free_timer);
}

static void
free_link(struct link *l)
{
	g_ptr_array_remove(l->caller->idle, l);
	g_hash_table_remove(l->caller->links, l);
	if (l->conn != NULL)
		jh_conn_close(l->conn);
	jh_parse_destroy(l->parse);
	g_free(l);
}

/* Ends the call, and the link unless it is kept. */
static void
end_call(struct jh_call *call, enum jh_call_result result, bool keep)
{
	struct link *l = call->link;
	const struct jh_call_ops *ops = call->spec.ops;
	void *arg = call->spec.arg;

	call->link = NULL;
	if (l != NULL) {
		l->call = NULL;
		if (!keep)
			free_link(l);
	}
	free_call(call);
	ops->end(arg, result);
}

static void
on_timer(uv_timer_t *t)
{
	struct jh_call *call = t->data;

	end_call(
	    call, call->sent ? JH_CALL_TIMED_OUT : JH_CALL_NOT_SENT, false);
}

static void
arm(struct jh_call *call, uint64_t deadline)
{
	uint64_t now = jh_now();

	uv_timer_stop(&call->timer);
	if (deadline == JH_NEVER)
		return;
	uv_update_time(call->timer.loop);
	uv_timer_start(&call->timer, on_timer,
	    deadline <= now ? 0 : (deadline - now + 999) / 1000, 0);
}

static void
on_head(void *arg, const struct jh_head *head)
{
	struct link *l = arg;
	struct jh_str keep_alive;
	unsigned long long seconds;
	const char *at;

	if (l->call == NULL || head->status < 200) {
		l->skipping = true;
		return;
	}
	l->skipping = !l->call->spec.ops->head(l->call->spec.arg, head);
	l->reusable = head->keep_alive;
	l->idle_deadline = IDLE_DEFAULT_USEC;
	keep_alive = jh_head_get(head, "Keep-Alive");
	if (keep_alive.ptr == NULL)
		return;
	at = g_strstr_len(keep_alive.ptr, (gssize)keep_alive.len, "timeout=");
	if (at == NULL)
		return;
	at += strlen("timeout=");
	seconds = g_ascii_strtoull(at, NULL, 10);
	if (seconds * JH_USEC_PER_SEC < IDLE_MARGIN_USEC)
		l->reusable = false;
	else
		l->idle_deadline = seconds * JH_USEC_PER_SEC - IDLE_MARGIN_USEC;
}

static void
on_body(void *arg, const char *p, size_t n)
{
	struct link *l = arg;

	if (l->call != NULL && !l->skipping)
		l->call->spec.ops->body(l->call->spec.arg, p, n);
}

static void
on_complete(void *arg)
{
	struct link *l = arg;

	l->message_done = true;
}

static const struct jh_parse_ops parse_ops = {on_head, on_body, on_complete};

/* Keeps the link for a later call if its peer will. */
static bool
keep_link(struct link *l)
{
	uint64_t now = jh_now();
	unsigned int same = 0;
	guint i;

	if (!l->reusable || jh_conn_queued(l->conn) > 0 ||
	    jh_parse_kept(l->parse) > 0)
		return false;
	for (i = 0; i < l->caller->idle->len; i++) {
		const struct link *other =
		    g_ptr_array_index(l->caller->idle, i);
		if (memcmp(&other->peer, &l->peer, sizeof(l->peer)) == 0)
			same++;
	}
	if (same >= MAX_IDLE)
		return false;
	l->idle_since = now;
	l->idle_deadline += now;
	g_ptr_array_add(l->caller->idle, l);
	return true;
}

/* Takes what the parser said. */
static void
advance(struct link *l, enum jh_parse_result r)
{
	struct jh_call *call = l->call;

	if (call == NULL) {
		free_link(l); /* bytes that answer no request */
		return;
	}
	while (r == JH_PARSE_PAUSED && l->message_done) {
		l->message_done = false;
		if (!l->skipping) {
			bool keep = keep_link(l);
			if (keep)
				(void)jh_parse_resume(l->parse);
			end_call(call, JH_CALL_COMPLETE, keep);
			return;
		}
		if (++l->skipped > MAX_SKIPPED) {
			end_call(call, JH_CALL_BROKEN, false);
			return;
		}
		l->parsing = true;
		r = jh_parse_resume(l->parse);
		l->parsing = false;
		if (l->call == NULL) {
			free_link(l);
			return;
		}
	}
	if (r == JH_PARSE_OK || r == JH_PARSE_PAUSED)
		return;
	end_call(call, JH_CALL_BROKEN, false);
	return;
}

static void
on_data(void *arg, const char *p, size_t n)
{
	struct link *l = arg;
	enum jh_parse_result r;

	if (l->call == NULL) {
		free_link(l);
		return;
	}
	l->parsing = true;
	r = jh_parse_feed(l->parse, p, n);
	l->parsing = false;
	advance(l, r);
}

static void
on_ended(void *arg, int error)
{
	struct link *l = arg;
	struct jh_call *call;

	if (l->call != NULL && error == 0) {
		l->parsing = true;
		jh_parse_eof(l->parse);
		l->parsing = false;
	}
	call = l->call;
	if (call == NULL) {
		free_link(l);
		return;
	}
	if (error == 0) {
		if (l->message_done && !l->skipping) {
			end_call(call, JH_CALL_COMPLETE, false);
			return;
		}
	}
	end_call(call, call->sent ? JH_CALL_BROKEN : JH_CALL_NOT_SENT, false);
}

static void
send_message(struct jh_call *call)
{
	struct link *l = call->link;

	call->sent = true;
	l->message_done = false;
	l->skipping = false;
	l->reusable = false;
	arm(call, call->spec.deadline);
	jh_conn_write(
	    l->conn, call->spec.message->str, call->spec.message->len);
}

static void
on_opened(void *arg)
{
	struct link *l = arg;

	if (l->call != NULL)
		send_message(l->call);
}

static void
on_drained(void *arg)
{
}

static const struct jh_conn_ops conn_ops = {
    on_opened, on_data, on_ended, on_drained};

static struct link *
find_idle(struct jh_caller *c, const struct jh_call_spec *spec)
{
	uint64_t now = jh_now();
	guint i;

	for (i = c->idle->len; i > 0; i--) {
		struct link *l = g_ptr_array_index(c->idle, i - 1);
		if (now >= l->idle_deadline) {
			free_link(l);
			continue;
		}
		if (memcmp(&l->peer, &spec->peer, sizeof(l->peer)) != 0)
			continue;
		if (now - l->idle_since > spec->most_idle_usec)
			continue;
		g_ptr_array_remove_index(c->idle, i - 1);
		return l;
	}
	return NULL;
}

static struct link *
open_link(struct jh_caller *c, const struct sockaddr_in *peer)
{
	struct link *l = g_new0(struct link, 1);

	l->caller = c;
	l->peer = *peer;
	l->parse = jh_parse_create(JH_PARSE_ANSWERS, HEAD_LIMIT, &parse_ops, l);
	g_hash_table_add(c->links, l);
	l->conn = jh_conn_connect(c->loop, peer, UNACKED_MSEC, &conn_ops, l);
	c->opened++;
	return l;
}

struct jh_call *
jh_call_start(struct jh_caller *c, const struct jh_call_spec *spec)
{
	struct jh_call *call = g_new0(struct jh_call, 1);
	struct link *l = find_idle(c, spec);

	call->spec = *spec;
	uv_timer_init(c->loop, &call->timer);
	call->timer.data = call;
	if (l == NULL)
		l = open_link(c, &spec->peer);
	else
		call->sent = true;
	call->link = l;
	l->call = call;
	if (l->conn == NULL)
		arm(call, jh_now()); /* ends as not sent, from the loop */
	else if (call->sent)
		send_message(call);
	else
		arm(call, MIN(spec->connect_deadline, spec->deadline));
	return call;
}

void
jh_call_cancel(struct jh_call *call)
{
	struct link *l = call->link;

	if (l != NULL) {
		l->call = NULL;
		if (!l->parsing)
			free_link(l);
	}
	free_call(call);
}

bool
jh_call_was_sent(const struct jh_call *call)
{
	return call->sent;
}

void
jh_call_pause(struct jh_call *call)
{
	if (call->link != NULL && call->link->conn != NULL)
		jh_conn_pause(call->link->conn);
}

void
jh_call_resume(struct jh_call *call)
{
	if (call->link != NULL && call->link->conn != NULL)
		jh_conn_resume(call->link->conn);
}

struct jh_caller *
jh_caller_create(uv_loop_t *loop)
{
	struct jh_caller *c = g_new0(struct jh_caller, 1);

	c->loop = loop;
	c->idle = g_ptr_array_new();
	c->links = g_hash_table_new(NULL, NULL);
	return c;
}

void
jh_caller_destroy(struct jh_caller *c)
{
	GHashTableIter it;
	gpointer key;

	if (c == NULL)
		return;
	for (;;) {
		struct link *l;
		g_hash_table_iter_init(&it, c->links);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		l = key;
		if (l->call != NULL)
			jh_call_cancel(l->call);
		else
			free_link(l);
	}
	g_ptr_array_free(c->idle, TRUE);
	g_hash_table_destroy(c->links);
	g_free(c);
}

void
jh_caller_forget(struct jh_caller *c, const struct sockaddr_in *peer)
{
	guint i;

	for (i = c->idle->len; i > 0; i--) {
		struct link *l = g_ptr_array_index(c->idle, i - 1);
		if (memcmp(&l->peer, peer, sizeof(*peer)) == 0)
			free_link(l);
	}
}

uint64_t
jh_caller_opened(const struct jh_caller *c)
{
	return c->opened;
}
