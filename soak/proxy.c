#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"
#include "net/conn.h"
#include "soak/proxy.h"

#define DELIVERY_INTERVAL_MSEC 5
#define BACKLOG 256
/* Long: unacknowledged data is the peers' concern, not the proxy's. */
#define UNACKED_MSEC 60000

/* Data, or the end of the stream (data NULL), queued for one side. */
struct chunk {
	uint64_t due;
	GBytes *data;
	bool reset; /* the stream ends with a reset */
};

struct side {
	struct pair *pair;
	struct jh_conn *conn; /* NULL: closed */
	GQueue *queue; /* struct chunk to be written to conn */
};

/* A client's connection and the matching one to the server. */
struct pair {
	struct soak_proxy *proxy;
	struct side client, server;
};

struct soak_proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t delivery_timer;
	struct sockaddr_in server;
	enum soak_proxy_mode mode;
	uint64_t delay;
	GPtrArray *pairs;
	unsigned int handles;
};

static void
free_chunk(void *p)
{
	struct chunk *chunk = p;

	if (chunk->data != NULL)
		g_bytes_unref(chunk->data);
	g_free(chunk);
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
	g_queue_free_full(pair->client.queue, free_chunk);
	g_queue_free_full(pair->server.queue, free_chunk);
	g_free(pair);
}

static bool
is_held(const struct soak_proxy *proxy, const struct side *to)
{
	bool to_server = to == &to->pair->server;

	return proxy->mode == PROXY_HOLD_BOTH ||
	       (proxy->mode == PROXY_HOLD_TO_SERVER && to_server) ||
	       (proxy->mode == PROXY_HOLD_TO_CLIENT && !to_server);
}

/* Writes the queued data that is due to one side. */
static void
write_due(struct side *to)
{
	struct soak_proxy *proxy = to->pair->proxy;
	struct chunk *p;

	while (!is_held(proxy, to) &&
	       (p = g_queue_peek_head(to->queue)) != NULL &&
	       p->due <= jh_now()) {
		g_queue_pop_head(to->queue);
		if (to->conn != NULL && p->data != NULL)
			jh_conn_write(to->conn, g_bytes_get_data(p->data, NULL),
			    g_bytes_get_size(p->data));
		else if (p->data == NULL)
			close_side(to, p->reset);
		free_chunk(p);
	}
}

static void
enqueue(struct side *to, GBytes *data, bool reset)
{
	struct soak_proxy *proxy = to->pair->proxy;
	struct chunk *p = g_new0(struct chunk, 1);

	p->due = jh_now() + (proxy->mode == PROXY_DELAY ? proxy->delay : 0);
	p->data = data;
	p->reset = reset;
	g_queue_push_tail(to->queue, p);
	write_due(to);
}

static struct side *
other_side(struct side *s)
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
	enqueue(other_side(arg), g_bytes_new(p, n), false);
}

static void
on_ended(void *arg, int error)
{
	struct side *s = arg;

	close_side(s, error != 0);
	enqueue(other_side(s), NULL, error != 0);
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
	struct soak_proxy *proxy = listener->data;
	struct pair *pair;

	if (status != 0)
		return;
	pair = g_new0(struct pair, 1);
	pair->proxy = proxy;
	pair->client.pair = pair->server.pair = pair;
	pair->client.queue = g_queue_new();
	pair->server.queue = g_queue_new();
	g_ptr_array_add(proxy->pairs, pair);
	pair->client.conn =
	    jh_conn_accept(listener, UNACKED_MSEC, &conn_ops, &pair->client);
	pair->server.conn = jh_conn_connect(proxy->loop, &proxy->server,
	    UNACKED_MSEC, &conn_ops, &pair->server);
	if (pair->server.conn == NULL)
		close_side(&pair->client, true);
}

static void
on_delivery_timer(uv_timer_t *t)
{
	struct soak_proxy *proxy = t->data;
	struct pair *pair;
	guint i;

	for (i = proxy->pairs->len; i > 0; i--) {
		pair = g_ptr_array_index(proxy->pairs, i - 1);
		write_due(&pair->client);
		write_due(&pair->server);
		if (pair->client.conn == NULL && pair->server.conn == NULL)
			g_ptr_array_remove_index_fast(proxy->pairs, i - 1);
	}
}

struct soak_proxy *
soak_proxy_create(uv_loop_t *loop, unsigned int port, unsigned int server_port)
{
	struct soak_proxy *proxy = g_new0(struct soak_proxy, 1);
	struct sockaddr_in sin = fake_loopback(port);
	int error;

	proxy->loop = loop;
	proxy->server = fake_loopback(server_port);
	proxy->pairs = g_ptr_array_new_with_free_func(free_pair);
	uv_tcp_init(loop, &proxy->listener);
	uv_timer_init(loop, &proxy->delivery_timer);
	proxy->listener.data = proxy->delivery_timer.data = proxy;
	proxy->handles = 2;
	error = uv_tcp_bind(&proxy->listener, (const struct sockaddr *)&sin, 0);
	if (error == 0)
		error = uv_listen(
		    (uv_stream_t *)&proxy->listener, BACKLOG, on_connection);
	if (error != 0)
		g_error(
		    "cannot listen on port %u: %s", port, uv_strerror(error));
	uv_timer_start(&proxy->delivery_timer, on_delivery_timer,
	    DELIVERY_INTERVAL_MSEC, DELIVERY_INTERVAL_MSEC);
	return proxy;
}

static void
on_closed(uv_handle_t *h)
{
	struct soak_proxy *proxy = h->data;

	if (--proxy->handles == 0)
		g_free(proxy);
}

void
soak_proxy_destroy(struct soak_proxy *proxy)
{
	g_ptr_array_free(proxy->pairs, TRUE);
	uv_close((uv_handle_t *)&proxy->listener, on_closed);
	uv_close((uv_handle_t *)&proxy->delivery_timer, on_closed);
}

static void
reset_all(struct soak_proxy *proxy)
{
	struct pair *pair;
	guint i;

	for (i = 0; i < proxy->pairs->len; i++) {
		pair = g_ptr_array_index(proxy->pairs, i);
		close_side(&pair->client, true);
		close_side(&pair->server, true);
	}
}

void
soak_proxy_set_mode(
    struct soak_proxy *proxy, enum soak_proxy_mode mode, uint64_t delay)
{
	proxy->mode = mode == PROXY_RESET ? PROXY_PASS : mode;
	proxy->delay = delay;
	if (mode == PROXY_RESET)
		reset_all(proxy);
}
