#include <string.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"
#include "net/conn.h"
#include "net/parse.h"
#include "soak/client.h"
#include "soak/deployment.h"

/* Pause between two requests of a client. */
#define MIN_PAUSE_MSEC 2
#define MAX_PAUSE_MSEC 60
/* One in this many pauses is long. */
#define LONG_PAUSE_INTERVAL 15
#define MIN_LONG_PAUSE_MSEC (SOAK_MAX_IDLE_MSEC / 2)
/* One in this many requests opens a new connection. */
#define NEW_CONNECTION_INTERVAL 12
/* A response may arrive this long after the route's timeout. */
#define TIMEOUT_MARGIN_MSEC 1000
#define UNACKED_MSEC 60000
/* Longest head of an answer, in bytes. */
#define HEAD_LIMIT 65536

struct soak_client {
	uv_loop_t *loop;
	struct soak_checker *checker;
	GRand *rand;
	const struct soak_client_ops *ops;
	void *arg;
	struct jh_conn *conn; /* NULL: not connected */
	unsigned int port; /* that conn is connected to */
	bool reused;
	struct soak_client_request client_request;
	char *id; /* of the request in progress, or NULL */
	uv_timer_t pause_timer, timeout_timer, disconnect_timer;
	unsigned int handles;
	struct jh_http_parser *parser; /* of the response; NULL: none yet */
	unsigned int status; /* 0: no head has arrived */
	bool keep_alive;
	GString *response_id, *seal, *body;
	bool rate_limited; /* the response names a rate limit */
	bool leaving; /* the response says that its worker leaves */
	bool complete;
};

static void send_next(struct soak_client *c);

static void
on_pause(uv_timer_t *t)
{
	send_next(t->data);
}

static void
schedule_next(struct soak_client *c)
{
	bool is_long = g_rand_int_range(c->rand, 0, LONG_PAUSE_INTERVAL) == 0;
	int msec =
	    is_long ? g_rand_int_range(
			  c->rand, MIN_LONG_PAUSE_MSEC, SOAK_MAX_IDLE_MSEC)
		    : g_rand_int_range(c->rand, MIN_PAUSE_MSEC, MAX_PAUSE_MSEC);

	uv_timer_start(&c->pause_timer, on_pause, (uint64_t)msec, 0);
}

static void
drop_connection(struct soak_client *c, bool reset)
{
	if (c->conn == NULL)
		return;
	if (reset)
		jh_conn_reset(c->conn);
	else
		jh_conn_close(c->conn);
	c->conn = NULL;
}

/* Ends the request; the next one follows after a pause. */
static void
finish(struct soak_client *c)
{
	g_clear_pointer(&c->id, g_free);
	uv_timer_stop(&c->timeout_timer);
	uv_timer_stop(&c->disconnect_timer);
	schedule_next(c);
}

static struct soak_response
response_of(const struct soak_client *c)
{
	return (struct soak_response){.status = c->status,
	    .id = {c->response_id->str, c->response_id->len},
	    .seal = {c->seal->str, c->seal->len},
	    .body = {c->body->str, c->body->len},
	    .rate_limited = c->rate_limited,
	    .leaving = c->leaving,
	    .complete = c->complete};
}

static void
on_timeout(uv_timer_t *t)
{
	struct soak_client *c = t->data;

	soak_checker_timed_out(c->checker, jh_now(), c->id);
	drop_connection(c, true);
	finish(c);
}

static void
on_disconnect_time(uv_timer_t *t)
{
	struct soak_client *c = t->data;

	drop_connection(c, false);
	soak_checker_abandoned(c->checker, jh_now(), c->id);
	finish(c);
}

static void
copy_field(GString *out, const struct jh_head *head, const char *name)
{
	struct jh_str value = jh_head_get(head, name);

	if (value.ptr != NULL)
		g_string_append_len(out, value.ptr, (gssize)value.len);
}

static void
on_head(void *arg, const struct jh_head *head)
{
	struct soak_client *c = arg;

	c->status = head->status;
	c->keep_alive = head->keep_alive;
	copy_field(c->response_id, head, "X-Jacinthhill-Attempt-Id");
	copy_field(c->seal, head, "X-Jacinthhill-Response-Seal");
	c->rate_limited = jh_head_get(head, "Server-Limit").ptr != NULL;
	c->leaving = jh_head_get(head, "Server-Leaving").ptr != NULL;
}

static void
on_body(void *arg, const char *p, size_t n)
{
	struct soak_client *c = arg;

	g_string_append_len(c->body, p, (gssize)n);
}

static void
on_complete(void *arg)
{
	struct soak_client *c = arg;

	c->complete = true;
}

static const struct jh_http_parser_ops parser_ops = {
    on_head, on_body, on_complete};

/* Before the response to another request. */
static void
begin_response(struct soak_client *c)
{
	jh_http_parser_destroy(c->parser);
	c->parser = jh_http_parser_create(
	    JH_PARSE_RESPONSES, HEAD_LIMIT, &parser_ops, c);
	c->status = 0;
	c->keep_alive = false;
	g_string_truncate(c->response_id, 0);
	g_string_truncate(c->seal, 0);
	g_string_truncate(c->body, 0);
	c->rate_limited = false;
	c->leaving = false;
	c->complete = false;
}

static void
on_opened(void *arg)
{
}

/* Passes the response to the checker once it is complete or cut off. */
static void
handle_response(struct soak_client *c, bool keep)
{
	struct soak_response a = response_of(c);

	soak_checker_responded(c->checker, jh_now(), c->id, &a);
	if (!keep)
		drop_connection(c, false);
	finish(c);
}

static void
on_data(void *arg, const char *p, size_t n)
{
	struct soak_client *c = arg;
	enum jh_parse_result r;
	size_t extra;

	if (c->id == NULL) {
		soak_checker_add_violation(c->checker, jh_now(), "MIXED",
		    "%zu bytes on a connection without a request", n);
		drop_connection(c, true);
		return;
	}
	r = jh_http_parser_feed(c->parser, p, n);
	if (c->complete) {
		extra = jh_http_parser_buffered(c->parser);
		if (extra > 0)
			soak_checker_add_violation(c->checker, jh_now(),
			    "MIXED", "%zu bytes after the answer to %s", extra,
			    c->id);
		handle_response(c, extra == 0 && c->keep_alive);
	} else if (r != JH_PARSE_OK) {
		soak_checker_add_violation(c->checker, jh_now(), "MIXED",
		    "the answer to %s is not HTTP", c->id);
		drop_connection(c, true);
		finish(c);
	}
}

static void
on_ended(void *arg, int error)
{
	struct soak_client *c = arg;

	/* The end of the connection completes a response without a length. */
	if (c->id != NULL && error == 0)
		jh_http_parser_eof(c->parser);
	drop_connection(c, false);
	if (c->id == NULL)
		return;
	if (c->complete || c->status != 0) {
		handle_response(c, false);
		return;
	}
	soak_checker_broken(c->checker, jh_now(), c->id);
	finish(c);
}

static void
on_drained(void *arg)
{
}

static const struct jh_conn_ops conn_ops = {
    on_opened, on_data, on_ended, on_drained};

static bool
connect_to(struct soak_client *c, unsigned int port)
{
	struct sockaddr_in sin = fake_loopback(port);

	if (c->conn != NULL && c->port == port &&
	    g_rand_int_range(c->rand, 0, NEW_CONNECTION_INTERVAL) != 0)
		return true;
	drop_connection(c, false);
	c->port = port;
	c->conn = jh_conn_connect(c->loop, &sin, UNACKED_MSEC, &conn_ops, c);
	return c->conn != NULL;
}

static void
append_body(GString *out, const struct soak_client_request *o)
{
	size_t n = strlen(o->request.body), half = n / 2;

	if (n == 0 && strcmp(o->request.method, "GET") == 0)
		g_string_append(out, "\r\n");
	else if (o->chunked && n > 1)
		g_string_append_printf(out,
		    "Transfer-Encoding: chunked\r\n\r\n"
		    "%zx\r\n%.*s\r\n%zx\r\n%s\r\n0\r\n\r\n",
		    half, (int)half, o->request.body, n - half,
		    o->request.body + half);
	else
		g_string_append_printf(
		    out, "Content-Length: %zu\r\n\r\n%s", n, o->request.body);
}

static void
send_next(struct soak_client *c)
{
	struct soak_client_request *o = &c->client_request;
	GString *out;

	memset(o, 0, sizeof(*o));
	o->port = c->conn != NULL ? c->port : 0;
	if (!c->ops->next(c->arg, o))
		return;
	out = g_string_new(NULL);
	g_string_append_printf(out,
	    "%s %s HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Jacinthhill-Attempt-Id: %s\r\n%s",
	    o->request.method, o->request.target, o->request.id, o->fields);
	append_body(out, o);
	g_free(o->fields);
	c->id = g_strdup(o->request.id);
	o->request.sent = jh_now();
	soak_checker_sent(c->checker, &o->request);
	begin_response(c);
	uv_timer_start(&c->timeout_timer, on_timeout,
	    o->request.timeout / JH_USEC_PER_MSEC + TIMEOUT_MARGIN_MSEC, 0);
	if (o->disconnect_usec != 0)
		uv_timer_start(&c->disconnect_timer, on_disconnect_time,
		    o->disconnect_usec / JH_USEC_PER_MSEC + 1, 0);
	if (connect_to(c, o->port)) {
		jh_conn_write(c->conn, out->str, out->len);
	} else {
		soak_checker_broken(c->checker, jh_now(), c->id);
		finish(c);
	}
	g_string_free(out, TRUE);
}

struct soak_client *
soak_client_create(uv_loop_t *loop, struct soak_checker *ck, GRand *rand,
    const struct soak_client_ops *ops, void *arg)
{
	struct soak_client *c = g_new0(struct soak_client, 1);

	c->loop = loop;
	c->checker = ck;
	c->rand = rand;
	c->ops = ops;
	c->arg = arg;
	c->response_id = g_string_new(NULL);
	c->seal = g_string_new(NULL);
	c->body = g_string_new(NULL);
	uv_timer_init(loop, &c->pause_timer);
	uv_timer_init(loop, &c->timeout_timer);
	uv_timer_init(loop, &c->disconnect_timer);
	c->pause_timer.data = c->timeout_timer.data = c->disconnect_timer.data =
	    c;
	c->handles = 3;
	schedule_next(c);
	return c;
}

static void
on_closed(uv_handle_t *h)
{
	struct soak_client *c = h->data;

	if (--c->handles > 0)
		return;
	jh_http_parser_destroy(c->parser);
	g_string_free(c->response_id, TRUE);
	g_string_free(c->seal, TRUE);
	g_string_free(c->body, TRUE);
	g_free(c->id);
	g_free(c);
}

void
soak_client_destroy(struct soak_client *c)
{
	drop_connection(c, true);
	uv_close((uv_handle_t *)&c->pause_timer, on_closed);
	uv_close((uv_handle_t *)&c->timeout_timer, on_closed);
	uv_close((uv_handle_t *)&c->disconnect_timer, on_closed);
}
