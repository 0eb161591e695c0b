#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"
#include "net/conn.h"
#include "soak/link.h"

#define TICK_MSEC 5
#define BACKLOG 256
/* Bytes without acknowledgement are the far side's business here. */
#define UNACKED_MSEC 60000

/* Bytes, or the end (data NULL), on their way to one side. */
struct parcel {
	uint64_t due;
	GBytes *data;
	bool reset; /* the end is a broken one */
};

struct side {
	struct pair *pair;
	struct jh_conn *conn; /* NULL: closed */
	GQueue *in; /* struct parcel for this side */
};

/* One client's connection and the one to the server. */
struct pair {
	struct soak_link *link;
	struct side client, server;
};

struct soak_link {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t tick;
	struct sockaddr_in server;
	enum soak_link_mode mode;
	uint64_t delay;
	GPtrArray *pairs;
	unsigned int handles;
};

static void
free_parcel(void *p)
{
	struct parcel *parcel = p;

	if (parcel->data != NULL)
		g_bytes_unref(parcel->data);
	g_free(parcel);
}

static void
close_side(struct side *s, bool reset)
{
	if (s->conn == NULL)
		return;
	if (reset)
		jh_conn_reset(s->conn);
	else
		jh_conn_linger(s->conn);
	s->conn = NULL;
}

static void
free_pair(void *p)
{
	struct pair *pair = p;

	close_side(&pair->client, true);
	close_side(&pair->server, true);
	g_queue_free_full(pair->client.in, free_parcel);
	g_queue_free_full(pair->server.in, free_parcel);
	g_free(pair);
}

static bool
is_cut(const struct soak_link *l, const struct side *to)
{
	bool there = to == &to->pair->server;

	return l->mode == LINK_SILENT || (l->mode == LINK_CUT_THERE && there) ||
	       (l->mode == LINK_CUT_BACK && !there);
}

/* Hands over what is due to one side. */
static void
deliver(struct side *to)
{
	struct soak_link *l = to->pair->link;
	struct parcel *p;

	while (!is_cut(l, to) && (p = g_queue_peek_head(to->in)) != NULL &&
	       p->due <= jh_now()) {
		g_queue_pop_head(to->in);
		if (to->conn != NULL && p->data != NULL)
			jh_conn_write(to->conn, g_bytes_get_data(p->data, NULL),
			    g_bytes_get_size(p->data));
		else if (p->data == NULL)
			close_side(to, p->reset);
		free_parcel(p);
	}
}

static void
send_parcel(struct side *to, GBytes *data, bool reset)
{
	struct soak_link *l = to->pair->link;
	struct parcel *p = g_new0(struct parcel, 1);

	p->due = jh_now() + (l->mode == LINK_DELAY ? l->delay : 0);
	p->data = data;
	p->reset = reset;
	g_queue_push_tail(to->in, p);
	deliver(to);
}

static struct side *
other(struct side *s)
{
	return s == &s->pair->client ? &s->pair->server : &s->pair->client;
}

static void
on_opened(void *arg)
{
}

static void
on_data(void *arg, const char *p, size_t n)
{
	send_parcel(other(arg), g_bytes_new(p, n), false);
}

static void
on_ended(void *arg, int error)
{
	struct side *s = arg;

	close_side(s, error != 0);
	send_parcel(other(s), NULL, error != 0);
}

static void
on_drained(void *arg)
{
}

static const struct jh_conn_ops conn_ops = {
    on_opened, on_data, on_ended, on_drained};

static void
on_connection(uv_stream_t *listener, int status)
{
	struct soak_link *l = listener->data;
	struct pair *pair;

	if (status != 0)
		return;
	pair = g_new0(struct pair, 1);
	pair->link = l;
	pair->client.pair = pair->server.pair = pair;
	pair->client.in = g_queue_new();
	pair->server.in = g_queue_new();
	g_ptr_array_add(l->pairs, pair);
	pair->client.conn =
	    jh_conn_accept(listener, UNACKED_MSEC, &conn_ops, &pair->client);
	pair->server.conn = jh_conn_connect(
	    l->loop, &l->server, UNACKED_MSEC, &conn_ops, &pair->server);
	if (pair->server.conn == NULL)
		close_side(&pair->client, true);
}

static void
on_tick(uv_timer_t *t)
{
	struct soak_link *l = t->data;
	struct pair *pair;
	guint i;

	for (i = l->pairs->len; i > 0; i--) {
		pair = g_ptr_array_index(l->pairs, i - 1);
		deliver(&pair->client);
		deliver(&pair->server);
		if (pair->client.conn == NULL && pair->server.conn == NULL)
			g_ptr_array_remove_index_fast(l->pairs, i - 1);
	}
}

struct soak_link *
soak_link_create(uv_loop_t *loop, unsigned int port, unsigned int server_port)
{
	struct soak_link *l = g_new0(struct soak_link, 1);
	struct sockaddr_in sin = fake_loopback(port);
	int error;

	l->loop = loop;
	l->server = fake_loopback(server_port);
	l->pairs = g_ptr_array_new_with_free_func(free_pair);
	uv_tcp_init(loop, &l->listener);
	uv_timer_init(loop, &l->tick);
	l->listener.data = l->tick.data = l;
	l->handles = 2;
	error = uv_tcp_bind(&l->listener, (const struct sockaddr *)&sin, 0);
	if (error == 0)
		error = uv_listen(
		    (uv_stream_t *)&l->listener, BACKLOG, on_connection);
	if (error != 0)
		g_error(
		    "cannot listen on port %u: %s", port, uv_strerror(error));
	uv_timer_start(&l->tick, on_tick, TICK_MSEC, TICK_MSEC);
	return l;
}

static void
on_closed(uv_handle_t *h)
{
	struct soak_link *l = h->data;

	if (--l->handles == 0)
		g_free(l);
}

void
soak_link_destroy(struct soak_link *l)
{
	g_ptr_array_free(l->pairs, TRUE);
	uv_close((uv_handle_t *)&l->listener, on_closed);
	uv_close((uv_handle_t *)&l->tick, on_closed);
}

static void
reset_all(struct soak_link *l)
{
	struct pair *pair;
	guint i;

	for (i = 0; i < l->pairs->len; i++) {
		pair = g_ptr_array_index(l->pairs, i);
		close_side(&pair->client, true);
		close_side(&pair->server, true);
	}
}

void
soak_link_set(struct soak_link *l, enum soak_link_mode mode, uint64_t delay)
{
	l->mode = mode == LINK_RESET ? LINK_PASS : mode;
	l->delay = delay;
	if (mode == LINK_RESET)
		reset_all(l);
}
