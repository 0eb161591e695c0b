#include <string.h>

#include <jacinthhill/clock.h>

#include "net/conn.h"
#include "net/front.h"
#include "net/parse.h"

/* Connections waiting to be accepted; beyond it the system drops openings. */
#define BACKLOG 512

/* Idle and slow connections are looked for this often. */
#define SWEEP_MSEC 250

/* Bytes of following requests read while one is in progress. */
#define MAX_KEPT 65536

/* A client that reads slowly is waited for this long. */
#define UNACKED_MSEC 10000

/* Used until limits are set. */
#define DEFAULT_HEAD_LIMIT 16384

struct jh_visit {
	struct jh_front *front;
	struct jh_conn *conn;
	struct jh_parse *parse;
	const struct jh_head *head;
	GByteArray *body;
	const struct jh_visit_ops *ops;
	void *arg;
	uint64_t begun; /* first byte of the request; 0: none yet */
	uint64_t idle_since;
	bool request_done; /* the parser has a whole request */
	bool active; /* with the handler */
	bool streaming;
	bool keep_alive;
	bool too_large;
	bool parsing;
	bool dead; /* freed once the parser has returned */
};

struct jh_front {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t sweep;
	struct jh_front_limits limits;
	const struct jh_front_ops *ops;
	void *arg;
	GHashTable *visits;
	unsigned int active;
	unsigned int handles;
	bool draining;
	bool closing;
};

static void process(struct jh_visit *v, enum jh_parse_result r);

static void
free_visit(struct jh_visit *v)
{
	if (v->parsing) {
		v->dead = true;
		return;
	}
	if (v->active)
		v->front->active--;
	g_hash_table_remove(v->front->visits, v);
	jh_parse_destroy(v->parse);
	g_byte_array_free(v->body, TRUE);
	g_free(v);
}

/* Closes after everything written has been sent. */
static void
close_visit(struct jh_visit *v)
{
	jh_conn_linger(v->conn);
	free_visit(v);
}

static void
on_head(void *arg, const struct jh_head *head)
{
	struct jh_visit *v = arg;

	v->head = head;
	v->keep_alive = head->keep_alive;
	if (jh_str_caseeq(jh_head_get(head, "Expect"), "100-continue")) {
		static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
		jh_conn_write(v->conn, go_on, sizeof(go_on) - 1);
	}
}

static void
on_body(void *arg, const char *p, size_t n)
{
	struct jh_visit *v = arg;
	size_t limit = v->front->limits.body_bytes;

	if (v->too_large)
		return;
	if (limit != 0 && v->body->len + n > limit) {
		v->too_large = true;
		return;
	}
	g_byte_array_append(v->body, (const guint8 *)p, (guint)n);
}

static void
on_complete(void *arg)
{
	struct jh_visit *v = arg;

	v->request_done = true;
}

static const struct jh_parse_ops parse_ops = {on_head, on_body, on_complete};

static void
write_head(struct jh_visit *v, unsigned int status, const char *reason,
    struct jh_str fields, const char *framing)
{
	GString *s = g_string_sized_new(256 + fields.len);

	g_string_append_printf(s, "HTTP/1.1 %u %s\r\n", status, reason);
	g_string_append_len(s, fields.ptr, (gssize)fields.len);
	g_string_append(s, framing);
	if (!v->keep_alive)
		g_string_append(s, "Connection: close\r\n");
	g_string_append(s, "\r\n");
	jh_conn_write(v->conn, s->str, s->len);
	g_string_free(s, TRUE);
}

/* An answer of the server itself to a request that it could not read. */
static void
reject(struct jh_visit *v, unsigned int status, const char *reason)
{
	v->keep_alive = false;
	write_head(v, status, reason, JH_STR(""), "Content-Length: 0\r\n");
	close_visit(v);
}

static void
give_request(struct jh_visit *v)
{
	v->request_done = false;
	if (v->front->draining)
		v->keep_alive = false;
	v->active = true;
	v->front->active++;
	v->ops = NULL;
	v->front->ops->request(v->front->arg, v);
}

/* Takes what the parser said. */
static void
process(struct jh_visit *v, enum jh_parse_result r)
{
	if (v->dead) {
		free_visit(v);
		return;
	}
	if (v->active)
		return;
	if (v->too_large) {
		reject(v, 413, "Content Too Large");
		return;
	}
	switch (r) {
	case JH_PARSE_TOO_LARGE:
		reject(v, 431, "Request Header Fields Too Large");
		return;
	case JH_PARSE_BAD:
		reject(v, 400, "Bad Request");
		return;
	case JH_PARSE_PAUSED:
	case JH_PARSE_OK:
		break;
	}
	if (v->request_done)
		give_request(v);
}

static void
on_data(void *arg, const char *p, size_t n)
{
	struct jh_visit *v = arg;
	enum jh_parse_result r;

	if (v->begun == 0)
		v->begun = jh_now();
	v->parsing = true;
	r = jh_parse_feed(v->parse, p, n);
	v->parsing = false;
	if (v->active && jh_parse_kept(v->parse) > MAX_KEPT)
		jh_conn_pause(v->conn);
	process(v, r);
}

static void
on_ended(void *arg, int error)
{
	struct jh_visit *v = arg;

	if (v->active && v->ops != NULL)
		v->ops->gone(v->arg);
	jh_conn_close(v->conn);
	free_visit(v);
}

static void
on_drained(void *arg)
{
	struct jh_visit *v = arg;

	if (v->active && v->ops != NULL)
		v->ops->drained(v->arg);
}

static const struct jh_conn_ops conn_ops = {
    NULL, on_data, on_ended, on_drained};

static void
on_connection(uv_stream_t *listener, int status)
{
	struct jh_front *f = listener->data;
	struct jh_visit *v;

	if (status != 0)
		return;
	v = g_new0(struct jh_visit, 1);
	v->front = f;
	v->conn = jh_conn_accept(listener, UNACKED_MSEC, &conn_ops, v);
	if (v->conn == NULL) {
		g_free(v);
		return;
	}
	v->parse = jh_parse_create(JH_PARSE_REQUESTS,
	    f->limits.head_bytes != 0 ? f->limits.head_bytes
				      : DEFAULT_HEAD_LIMIT,
	    &parse_ops, v);
	v->body = g_byte_array_new();
	v->idle_since = jh_now();
	g_hash_table_add(f->visits, v);
	if (f->limits.connections != 0 &&
	    g_hash_table_size(f->visits) > f->limits.connections) {
		jh_conn_reset(v->conn);
		free_visit(v);
	}
}

/* The visit's answer is complete: reads the next request. */
static void
next_request(struct jh_visit *v)
{
	enum jh_parse_result r;

	v->active = false;
	v->front->active--;
	v->streaming = false;
	v->ops = NULL;
	v->head = NULL;
	g_byte_array_set_size(v->body, 0);
	if (!v->keep_alive) {
		close_visit(v);
		return;
	}
	v->idle_since = jh_now();
	v->begun = jh_parse_kept(v->parse) > 0 ? v->idle_since : 0;
	jh_conn_resume(v->conn);
	v->parsing = true;
	r = jh_parse_resume(v->parse);
	v->parsing = false;
	process(v, r);
}

static void
sweep(uv_timer_t *t)
{
	struct jh_front *f = t->data;
	uint64_t now = jh_now();
	GHashTableIter it;
	GPtrArray *late = g_ptr_array_new();
	gpointer key;
	guint i;

	g_hash_table_iter_init(&it, f->visits);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct jh_visit *v = key;
		if (v->active)
			continue;
		if (v->begun == 0) {
			bool over = f->limits.idle_usec != 0 &&
				    now - v->idle_since > f->limits.idle_usec;
			if (over || f->closing)
				g_ptr_array_add(late, key);
		} else if (f->limits.head_usec != 0 &&
			   now - v->begun > f->limits.head_usec) {
			g_ptr_array_add(late, key);
		}
	}
	for (i = 0; i < late->len; i++) {
		struct jh_visit *v = g_ptr_array_index(late, i);
		if (v->begun == 0)
			close_visit(v);
		else
			reject(v, 408, "Request Timeout");
	}
	g_ptr_array_free(late, TRUE);
}

struct jh_front *
jh_front_create(uv_loop_t *loop, const struct jh_front_limits *limits,
    const struct jh_front_ops *ops, void *arg)
{
	struct jh_front *f = g_new0(struct jh_front, 1);

	f->loop = loop;
	f->limits = *limits;
	f->ops = ops;
	f->arg = arg;
	f->visits = g_hash_table_new(NULL, NULL);
	uv_tcp_init(loop, &f->listener);
	uv_timer_init(loop, &f->sweep);
	f->listener.data = f;
	f->sweep.data = f;
	f->handles = 2;
	uv_timer_start(&f->sweep, sweep, SWEEP_MSEC, SWEEP_MSEC);
	return f;
}

int
jh_front_listen(struct jh_front *f, const struct sockaddr_in *address)
{
	int r;

	r = uv_tcp_bind(&f->listener, (const struct sockaddr *)address, 0);
	if (r != 0)
		return r;
	return uv_listen((uv_stream_t *)&f->listener, BACKLOG, on_connection);
}

static void
on_closed(uv_handle_t *h)
{
	struct jh_front *f = h->data;

	if (--f->handles == 0) {
		g_hash_table_destroy(f->visits);
		g_free(f);
	}
}

void
jh_front_destroy(struct jh_front *f)
{
	GHashTableIter it;
	gpointer key;

	if (f == NULL)
		return;
	for (;;) {
		struct jh_visit *v;
		g_hash_table_iter_init(&it, f->visits);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		v = key;
		jh_conn_close(v->conn);
		free_visit(v);
	}
	uv_close((uv_handle_t *)&f->listener, on_closed);
	uv_close((uv_handle_t *)&f->sweep, on_closed);
}

void
jh_front_set_limits(struct jh_front *f, const struct jh_front_limits *limits)
{
	f->limits = *limits;
}

void
jh_front_drain(struct jh_front *f)
{
	GHashTableIter it;
	gpointer key;

	f->draining = true;
	g_hash_table_iter_init(&it, f->visits);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct jh_visit *v = key;
		v->keep_alive = false;
	}
}

void
jh_front_close_idle(struct jh_front *f)
{
	f->closing = true;
}

unsigned int
jh_front_connections(const struct jh_front *f)
{
	return g_hash_table_size(f->visits);
}

unsigned int
jh_front_active(const struct jh_front *f)
{
	return f->active;
}

const struct jh_head *
jh_visit_head(const struct jh_visit *v)
{
	return v->head;
}

struct jh_str
jh_visit_body(const struct jh_visit *v)
{
	return (struct jh_str){(const char *)v->body->data, v->body->len};
}

uint64_t
jh_visit_begun(const struct jh_visit *v)
{
	return v->begun;
}

void
jh_visit_watch(struct jh_visit *v, const struct jh_visit_ops *ops, void *arg)
{
	v->ops = ops;
	v->arg = arg;
}

void
jh_visit_answer(struct jh_visit *v, unsigned int status, const char *reason,
    struct jh_str fields, struct jh_str body)
{
	char framing[64];

	g_snprintf(
	    framing, sizeof(framing), "Content-Length: %zu\r\n", body.len);
	write_head(v, status, reason, fields, framing);
	jh_conn_write(v->conn, body.ptr, body.len);
	next_request(v);
}

void
jh_visit_begin(struct jh_visit *v, unsigned int status, const char *reason,
    struct jh_str fields)
{
	v->streaming = true;
	write_head(v, status, reason, fields, "Transfer-Encoding: chunked\r\n");
}

void
jh_visit_write(struct jh_visit *v, struct jh_str data)
{
	GString *s;

	if (data.len == 0)
		return; /* an empty chunk would end the body */
	s = g_string_sized_new(data.len + 24);
	g_string_append_printf(s, "%zx\r\n", data.len);
	g_string_append_len(s, data.ptr, (gssize)data.len);
	g_string_append(s, "\r\n");
	jh_conn_write(v->conn, s->str, s->len);
	g_string_free(s, TRUE);
}

void
jh_visit_end(struct jh_visit *v)
{
	jh_conn_write(v->conn, "0\r\n\r\n", 5);
	next_request(v);
}

void
jh_visit_abort(struct jh_visit *v)
{
	jh_conn_reset(v->conn);
	free_visit(v);
}

size_t
jh_visit_queued(const struct jh_visit *v)
{
	return jh_conn_queued(v->conn);
}
