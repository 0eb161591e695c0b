#include <poll.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "net/conn.h"
#include "net/loop_lag.h"
#include "net/server.h"
#include "net/parse.h"

/*
 * Time after which an open connection that has sent nothing is closed for a new
 * one, if there are as many as the limit: the first bytes of one that was just
 * opened may be on their way.
 */
#define SILENT_USEC JH_USEC_PER_SEC

/* listen() backlog; the kernel drops further connection attempts. */
#define BACKLOG 512

/* Interval of the check for idle and slow connections. */
#define SWEEP_MSEC 250

/* Pipelined bytes buffered during a request before reading stops. */
#define MAX_PIPELINED 65536

/* TCP_USER_TIMEOUT: allows for clients that read slowly. */
#define UNACKED_MSEC 10000

/* Clients may use a connection for all of its idle limit but this part. */
#define IDLE_MARGIN_PART 5

/* Used when the limit is 0. */
#define DEFAULT_HEAD_LIMIT 16384

/*
 * A request with a longer body is checked by its head. Those with shorter ones
 * are read whole, so that a refusal does not close the connection.
 */
#define LONG_BODY_BYTES 65536

/* Retry delay of a client that is evicted before its request was complete. */
#define EVICTED_FIELDS "Retry-After: 0.50\r\n"

/* Memory of a connection without a request: handles, parser, table entries. */
#define CONNECTION_BYTES 4096

/* A connection and the request it is serving. */
struct jh_server_request {
	struct jh_uv_server *server;
	struct jh_conn *conn;
	struct jh_http_parser *parser;
	const struct jh_head *head;
	GByteArray *body;
	const struct jh_server_request_ops *ops;
	void *arg;
	struct jh_memory_account *account; /* owned by conn; NULL: none */
	size_t counted; /* there, of this connection */
	uint64_t started; /* arrival of the first bytes; 0: none yet */
	uint64_t idle_since;
	bool request_done; /* the parser has a whole request */
	bool active; /* passed to the handler */
	bool served; /* the connection has had a request */
	bool streaming;
	bool keep_alive;
	bool too_large;
	bool overdue; /* its time is up; unread bytes are still read */
	bool reading; /* inside read_requests(), or its caller's parser */
	bool responded; /* the request passed on there has its response */
	bool free_pending; /* freed at the end of read_requests() */
};

struct jh_uv_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t sweep;
	struct jh_loop_lag *lag;
	struct jh_uv_server_limits limits;
	const struct jh_uv_server_ops *ops;
	void *arg;
	struct jh_memory_budget *budget; /* NULL: none */
	GHashTable *open_connections;
	unsigned int active;
	unsigned int handles;
	bool draining;
	bool closing;
};

static void
free_request(struct jh_server_request *req)
{
	g_hash_table_remove(req->server->open_connections, req);
	/* The connection may still write its last response. */
	jh_memory_account_update(req->account, &req->counted, 0);
	if (req->reading) {
		req->free_pending = true;
		return;
	}
	if (req->active)
		req->server->active--;
	jh_http_parser_destroy(req->parser);
	g_byte_array_free(req->body, TRUE);
	g_free(req);
}

/* Reports a connection that is closed without a response. */
static void
report_closing(const struct jh_server_request *req, const char *reason)
{
	const struct jh_uv_server *server = req->server;
	struct jh_server_closing c = {.reason = reason};

	if (server->ops->closing == NULL)
		return;
	c.idle_usec = jh_now() - req->idle_since;
	c.unread = jh_conn_unread(req->conn);
	server->ops->closing(server->arg, &c);
}

/* Closes the connection after all written data has been sent. */
static void
close_connection(struct jh_server_request *req)
{
	jh_conn_linger(req->conn);
	free_request(req);
}

/* What the connection holds, but for responses. */
static void
count_held(struct jh_server_request *req, size_t unread)
{
	jh_memory_account_update(req->account, &req->counted,
	    CONNECTION_BYTES + jh_memory_allocated(req->body->len) +
		jh_http_parser_allocated(req->parser) + unread);
}

static void
on_body(void *arg, const char *p, size_t n)
{
	struct jh_server_request *req = arg;
	size_t limit = req->server->limits.body_bytes;

	if (req->too_large || req->free_pending)
		return;
	if (limit != 0 && req->body->len + n > limit) {
		req->too_large = true;
		return;
	}
	g_byte_array_append(req->body, (const guint8 *)p, (guint)n);
}

static void
on_complete(void *arg)
{
	struct jh_server_request *req = arg;

	req->request_done = true;
}

/*
 * States for how long the client may use the idle connection: less than the
 * server keeps it, as a request that crosses its close is lost.
 */
static void
write_idle_time(const struct jh_server_request *req, GString *to)
{
	uint64_t limit = req->server->limits.idle_usec;
	uint64_t seconds = (limit - limit / IDLE_MARGIN_PART) / JH_USEC_PER_SEC;

	if (seconds > 0)
		g_string_append_printf(to,
		    "Keep-Alive: timeout=%" G_GUINT64_FORMAT "\r\n", seconds);
}

static void
write_head(struct jh_server_request *req, unsigned int status,
    const char *reason, struct jh_str fields, const char *framing)
{
	GString *s = g_string_sized_new(256 + fields.len);

	g_string_append_printf(s, "HTTP/1.1 %u %s\r\n", status, reason);
	g_string_append_len(s, fields.ptr, (gssize)fields.len);
	g_string_append(s, framing);
	if (req->keep_alive)
		write_idle_time(req, s);
	else
		g_string_append(s, "Connection: close\r\n");
	g_string_append(s, "\r\n");
	jh_conn_write(req->conn, s->str, s->len);
	g_string_free(s, TRUE);
}

/* Responds to a request that cannot be read; the connection then closes. */
static void
write_rejection(struct jh_server_request *req, unsigned int status,
    const char *reason, struct jh_str fields)
{
	req->keep_alive = false;
	write_head(req, status, reason, fields, "Content-Length: 0\r\n");
	jh_conn_linger(req->conn);
}

static void
dispatch(struct jh_server_request *req)
{
	req->request_done = false;
	if (req->server->draining)
		req->keep_alive = false;
	req->active = true;
	req->served = true;
	req->server->active++;
	req->ops = NULL;
	req->server->ops->request(req->server->arg, req);
}

/* Rejects a request, which is freed at the end of read_requests(). */
static void
reject(struct jh_server_request *req, unsigned int status, const char *reason)
{
	write_rejection(req, status, reason, JH_STR(""));
	req->free_pending = true;
}

/* Whether the head shows that the request cannot or must not be read. */
static bool
reject_by_head(struct jh_server_request *req, bool expects)
{
	const struct jh_uv_server *server = req->server;
	struct jh_str length = jh_head_get(req->head, "Content-Length");
	struct jh_server_rejection r = {0};
	uint64_t announced = 0;

	if (length.ptr == NULL)
		announced =
		    jh_head_get(req->head, "Transfer-Encoding").ptr != NULL
			? UINT64_MAX
			: 0;
	else if (!jh_str_number(length, &announced))
		return false;
	if (length.ptr != NULL && server->limits.body_bytes != 0 &&
	    announced > server->limits.body_bytes) {
		reject(req, 413, "Content Too Large");
		return true;
	}
	if (server->ops->head == NULL ||
	    (announced <= LONG_BODY_BYTES && !expects))
		return false;
	r.fields = g_string_new(NULL);
	server->ops->head(server->arg, req->head, &r);
	if (r.status != 0) {
		write_rejection(req, r.status, r.reason,
		    (struct jh_str){r.fields->str, r.fields->len});
		req->free_pending = true;
	}
	g_string_free(r.fields, TRUE);
	return r.status != 0;
}

static void
on_head(void *arg, const struct jh_head *head)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct jh_server_request *req = arg;
	bool expects =
	    jh_str_caseeq(jh_head_get(head, "Expect"), "100-continue");

	req->head = head;
	req->keep_alive = head->keep_alive;
	if (!reject_by_head(req, expects) && expects)
		jh_conn_write(req->conn, interim, sizeof(interim) - 1);
}

static const struct jh_http_parser_ops parse_ops = {
    on_head, on_body, on_complete};

/* Handles the result of the parser. */
static void
handle_result(struct jh_server_request *req, enum jh_parse_result r)
{
	if (req->free_pending || req->active)
		return;
	if (req->too_large) {
		reject(req, 413, "Content Too Large");
		return;
	}
	switch (r) {
	case JH_PARSE_TOO_LARGE:
		reject(req, 431, "Request Header Fields Too Large");
		return;
	case JH_PARSE_BAD:
		reject(req, 400, "Bad Request");
		return;
	case JH_PARSE_PAUSED:
	case JH_PARSE_OK:
		break;
	}
	if (!req->request_done)
		return;
	/* The request may be read long after its client has given it up. */
	if (jh_conn_peer_has_closed(req->conn)) {
		report_closing(req, "client_left");
		jh_conn_close(req->conn);
		req->free_pending = true;
		return;
	}
	dispatch(req);
}

/*
 * Handles the result of the parser, which the caller has called with reading
 * set; goes on for as long as each request has its response at once.
 */
static void
read_requests(struct jh_server_request *req, enum jh_parse_result r)
{
	for (;;) {
		req->responded = false;
		handle_result(req, r);
		if (!req->responded || req->free_pending)
			break;
		r = jh_http_parser_resume(req->parser);
	}
	req->reading = false;
	if (req->free_pending)
		free_request(req);
}

/* jh_now() time at which what is being read, or the connection, arrived. */
static uint64_t
arrival(const struct jh_server_request *req)
{
	uint64_t at;

	if (jh_conn_arrival(req->conn, &at))
		return at;
	return jh_loop_lag_arrival(req->server->lag);
}

static void
on_data(void *arg, const char *p, size_t n)
{
	struct jh_server_request *req = arg;
	enum jh_parse_result r;

	if (req->started == 0)
		req->started = MAX(req->idle_since, arrival(req));
	req->reading = true;
	r = jh_http_parser_feed(req->parser, p, n);
	if (req->active && jh_http_parser_buffered(req->parser) > MAX_PIPELINED)
		jh_conn_pause(req->conn);
	jh_memory_account_progress(req->account, jh_now());
	count_held(req, 0);
	/* This connection, if it is evicted, is freed by read_requests(). */
	(void)jh_memory_budget_enforce(req->server->budget, jh_now(), NULL);
	read_requests(req, r);
}

static void
on_ended(void *arg, int error)
{
	struct jh_server_request *req = arg;

	if (req->active && req->ops != NULL)
		req->ops->disconnected(req->arg);
	jh_conn_close(req->conn);
	free_request(req);
}

static void
on_drained(void *arg)
{
	struct jh_server_request *req = arg;

	if (req->active && req->ops != NULL)
		req->ops->drained(req->arg);
}

/*
 * See jh_memory_evict_fn. What a closing connection still has to write stays in
 * its account: if that is much, it is evicted again.
 */
static const char *
evict_request(void *arg)
{
	struct jh_server_request *req = arg;
	bool active = req->active;

	if (req->started != 0 && !active) {
		write_rejection(
		    req, 503, "Service Unavailable", JH_STR(EVICTED_FIELDS));
		free_request(req);
		return "body";
	}
	if (active && req->ops != NULL && req->ops->evicted != NULL)
		req->ops->evicted(req->arg);
	else
		jh_server_request_abort(req);
	return active ? "request" : "response";
}

static const struct jh_conn_ops conn_ops = {
    NULL, on_data, on_ended, on_drained};

/*
 * Closes the connection that has been open for longest without any bytes of its
 * client. Returns false if there is none.
 */
static bool
close_silent(struct jh_uv_server *server)
{
	uint64_t oldest = jh_now() - SILENT_USEC;
	struct jh_server_request *silent = NULL, *req;
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, server->open_connections);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		req = key;
		if (req->started != 0 || req->served ||
		    req->idle_since >= oldest || jh_conn_has_input(req->conn))
			continue;
		silent = req;
		oldest = req->idle_since;
	}
	if (silent == NULL)
		return false;
	report_closing(silent, "silent");
	jh_conn_close(silent->conn);
	free_request(silent);
	return true;
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct jh_uv_server *server = listener->data;
	struct jh_server_request *req;

	if (status != 0)
		return;
	req = g_new0(struct jh_server_request, 1);
	req->server = server;
	req->conn = jh_conn_accept(listener, UNACKED_MSEC, &conn_ops, req);
	if (req->conn == NULL) {
		g_free(req);
		return;
	}
	req->parser = jh_http_parser_create(JH_PARSE_REQUESTS,
	    server->limits.head_bytes != 0 ? server->limits.head_bytes
					   : DEFAULT_HEAD_LIMIT,
	    &parse_ops, req);
	req->body = g_byte_array_new();
	req->idle_since = arrival(req);
	req->account = jh_memory_account_create(
	    server->budget, jh_now(), evict_request, req);
	jh_conn_set_account(req->conn, req->account);
	count_held(req, 0);
	g_hash_table_add(server->open_connections, req);
	if (server->limits.connections != 0 &&
	    g_hash_table_size(server->open_connections) >
		server->limits.connections &&
	    !close_silent(server)) {
		report_closing(req, "too_many");
		jh_conn_reset(req->conn);
		free_request(req);
	}
}

/* Reads the next request after a complete response. */
static void
next_request(struct jh_server_request *req)
{
	req->active = false;
	req->server->active--;
	req->streaming = false;
	req->overdue = false;
	req->ops = NULL;
	req->head = NULL;
	/* An idle connection keeps no memory for what it once received. */
	g_byte_array_free(req->body, TRUE);
	req->body = g_byte_array_new();
	count_held(req, 0);
	if (!req->keep_alive) {
		close_connection(req);
		return;
	}
	req->idle_since = jh_now();
	req->started =
	    jh_http_parser_buffered(req->parser) > 0 ? req->idle_since : 0;
	jh_conn_resume(req->conn);
	req->responded = true;
	if (req->reading)
		return;
	req->reading = true;
	read_requests(req, jh_http_parser_resume(req->parser));
}

/*
 * Whether a connection is to be closed. Timers run before sockets are read, so
 * after a pause of the loop the client's bytes may have arrived in time and be
 * unread: they are read first. A request in progress gets this once, as its
 * client may never stop sending.
 */
static bool
is_expired(struct jh_server_request *req, uint64_t now)
{
	const struct jh_uv_server *server = req->server;
	uint64_t limit = server->limits.request_usec;
	bool idle = server->limits.idle_usec != 0 &&
		    now - req->idle_since > server->limits.idle_usec;

	if (req->active)
		return false;
	if (req->started == 0)
		return (idle || server->closing) &&
		       jh_conn_queued(req->conn) == 0 &&
		       !jh_conn_has_input(req->conn);
	if (limit == 0 || now - req->started <= limit)
		return false;
	if (req->overdue || !jh_conn_has_input(req->conn))
		return true;
	req->overdue = true;
	return false;
}

/* Bytes in the kernel belong to the process too while nothing reads them. */
static void
count_unread(struct jh_server_request *req)
{
	size_t unread = 0;

	if (!req->active || req->account == NULL)
		return;
	if (jh_http_parser_buffered(req->parser) > MAX_PIPELINED)
		unread = jh_conn_unread(req->conn);
	if (req->ops != NULL && req->ops->unread != NULL)
		unread += req->ops->unread(req->arg);
	count_held(req, unread);
}

static void
sweep(uv_timer_t *t)
{
	struct jh_uv_server *server = t->data;
	uint64_t now = jh_now();
	GHashTableIter it;
	GPtrArray *expired_list = g_ptr_array_new();
	gpointer key;
	guint i;

	g_hash_table_iter_init(&it, server->open_connections);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		count_unread(key);
		if (is_expired(key, now))
			g_ptr_array_add(expired_list, key);
	}
	for (i = 0; i < expired_list->len; i++) {
		struct jh_server_request *req =
		    g_ptr_array_index(expired_list, i);
		if (req->started != 0) {
			write_rejection(
			    req, 408, "Request Timeout", JH_STR(""));
			free_request(req);
			continue;
		}
		report_closing(req, server->closing ? "stopping" : "idle");
		close_connection(req);
	}
	g_ptr_array_free(expired_list, TRUE);
	(void)jh_memory_budget_enforce(server->budget, now, NULL);
}

struct jh_uv_server *
jh_uv_server_create(uv_loop_t *loop, const struct jh_uv_server_limits *limits,
    const struct jh_uv_server_ops *ops, void *arg)
{
	struct jh_uv_server *server = g_new0(struct jh_uv_server, 1);

	server->loop = loop;
	server->limits = *limits;
	server->ops = ops;
	server->arg = arg;
	server->open_connections = g_hash_table_new(NULL, NULL);
	uv_tcp_init(loop, &server->listener);
	uv_timer_init(loop, &server->sweep);
	server->listener.data = server;
	server->sweep.data = server;
	server->handles = 2;
	server->lag = jh_loop_lag_create(loop, 0, NULL, NULL);
	uv_timer_start(&server->sweep, sweep, SWEEP_MSEC, SWEEP_MSEC);
	return server;
}

int
jh_uv_server_listen(
    struct jh_uv_server *server, const struct sockaddr_in *address)
{
	int r;

	r = uv_tcp_bind(&server->listener, (const struct sockaddr *)address, 0);
	if (r != 0)
		return r;
	return uv_listen(
	    (uv_stream_t *)&server->listener, BACKLOG, on_connection);
}

static void
on_closed(uv_handle_t *h)
{
	struct jh_uv_server *server = h->data;

	if (--server->handles == 0) {
		g_hash_table_destroy(server->open_connections);
		g_free(server);
	}
}

void
jh_uv_server_destroy(struct jh_uv_server *server)
{
	GHashTableIter it;
	gpointer key;

	if (server == NULL)
		return;
	for (;;) {
		struct jh_server_request *req;
		g_hash_table_iter_init(&it, server->open_connections);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		req = key;
		jh_conn_close(req->conn);
		free_request(req);
	}
	uv_close((uv_handle_t *)&server->listener, on_closed);
	uv_close((uv_handle_t *)&server->sweep, on_closed);
	jh_loop_lag_destroy(server->lag);
}

void
jh_uv_server_set_limits(
    struct jh_uv_server *server, const struct jh_uv_server_limits *limits)
{
	server->limits = *limits;
}

void
jh_uv_server_set_budget(
    struct jh_uv_server *server, struct jh_memory_budget *budget)
{
	server->budget = budget;
}

void
jh_uv_server_drain(struct jh_uv_server *server)
{
	GHashTableIter it;
	gpointer key;

	server->draining = true;
	g_hash_table_iter_init(&it, server->open_connections);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct jh_server_request *req = key;
		req->keep_alive = false;
	}
}

void
jh_uv_server_close_idle(struct jh_uv_server *server)
{
	server->closing = true;
}

void
jh_uv_server_finish(struct jh_uv_server *server)
{
	GHashTableIter it;
	GPtrArray *active = g_ptr_array_new();
	struct jh_server_request *req;
	gpointer key;
	guint i;

	jh_uv_server_drain(server);
	g_hash_table_iter_init(&it, server->open_connections);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		req = key;
		if (req->active && req->ops != NULL &&
		    req->ops->stopping != NULL)
			g_ptr_array_add(active, req);
	}
	for (i = 0; i < active->len; i++) {
		req = g_ptr_array_index(active, i);
		req->ops->stopping(req->arg);
	}
	g_ptr_array_free(active, TRUE);
}

unsigned int
jh_uv_server_connections(const struct jh_uv_server *server)
{
	return g_hash_table_size(server->open_connections);
}

bool
jh_uv_server_is_drained(const struct jh_uv_server *server)
{
	struct pollfd p = {.events = POLLIN};

	if (g_hash_table_size(server->open_connections) > 0)
		return false;
	return uv_fileno((const uv_handle_t *)&server->listener, &p.fd) != 0 ||
	       poll(&p, 1, 0) <= 0;
}

unsigned int
jh_uv_server_active_requests(const struct jh_uv_server *server)
{
	return server->active;
}

const struct jh_head *
jh_server_request_head(const struct jh_server_request *req)
{
	return req->head;
}

struct jh_str
jh_server_request_body(const struct jh_server_request *req)
{
	return (struct jh_str){(const char *)req->body->data, req->body->len};
}

uint64_t
jh_server_request_started(const struct jh_server_request *req)
{
	return req->started;
}

void
jh_server_request_set_ops(struct jh_server_request *req,
    const struct jh_server_request_ops *ops, void *arg)
{
	req->ops = ops;
	req->arg = arg;
}

void
jh_server_request_respond(struct jh_server_request *req, unsigned int status,
    const char *reason, struct jh_str fields, struct jh_str body)
{
	char framing[64];

	g_snprintf(
	    framing, sizeof(framing), "Content-Length: %zu\r\n", body.len);
	write_head(req, status, reason, fields, framing);
	jh_conn_write(req->conn, body.ptr, body.len);
	next_request(req);
}

void
jh_server_request_begin_response(struct jh_server_request *req,
    unsigned int status, const char *reason, struct jh_str fields)
{
	req->streaming = true;
	write_head(
	    req, status, reason, fields, "Transfer-Encoding: chunked\r\n");
}

void
jh_server_request_write(struct jh_server_request *req, struct jh_str data)
{
	GString *s;

	if (data.len == 0)
		return; /* an empty chunk would end the body */
	s = g_string_sized_new(data.len + 24);
	g_string_append_printf(s, "%zx\r\n", data.len);
	g_string_append_len(s, data.ptr, (gssize)data.len);
	g_string_append(s, "\r\n");
	jh_conn_write(req->conn, s->str, s->len);
	g_string_free(s, TRUE);
}

void
jh_server_request_end(struct jh_server_request *req)
{
	jh_conn_write(req->conn, "0\r\n\r\n", 5);
	next_request(req);
}

void
jh_server_request_close_after(struct jh_server_request *req)
{
	req->keep_alive = false;
}

struct jh_memory_account *
jh_server_request_account(const struct jh_server_request *req)
{
	return req->account;
}

void
jh_server_request_abort(struct jh_server_request *req)
{
	jh_conn_reset(req->conn);
	free_request(req);
}

size_t
jh_server_request_queued(const struct jh_server_request *req)
{
	return jh_conn_queued(req->conn);
}
