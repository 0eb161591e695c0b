#include <errno.h>
#include <poll.h>
#include <string.h>

#include <glib.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <jacinthhill/clock.h>

#include "net/conn.h"

/* Holds most messages in one read. */
#define READ_BUFFER_LEN 65536

/* Time a closing connection waits for its peer to close. */
#define LINGER_MSEC 1000

struct jh_conn {
	uv_tcp_t tcp;
	uv_timer_t linger;
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	const struct jh_conn_ops *ops; /* NULL once the owner has closed it */
	void *arg;
	unsigned int unacked_msec;
	unsigned int handles; /* not yet closed */
	struct jh_memory_account *account; /* NULL: none */
	size_t counted; /* there, of the bytes below */
	GByteArray *waiting; /* follows the write in progress; NULL: none */
	size_t writing; /* bytes in writes in progress */
	int write_error; /* libuv's; 0: none */
	bool reading;
	bool closing;
	bool lingering;
};

struct write {
	uv_write_t req;
	struct jh_conn *conn;
	GByteArray *data;
};

/* Of a thread: its loop reads one connection at a time. */
static GPrivate read_buffer = G_PRIVATE_INIT(g_free);

static void
on_closed(uv_handle_t *h)
{
	struct jh_conn *c = h->data;

	if (--c->handles > 0)
		return;
	jh_memory_account_destroy(c->account);
	if (c->waiting != NULL)
		g_byte_array_free(c->waiting, TRUE);
	g_free(c);
}

static void
count_queued(struct jh_conn *c)
{
	jh_memory_account_update(c->account, &c->counted,
	    c->writing + (c->waiting != NULL
				 ? jh_memory_allocated(c->waiting->len)
				 : 0));
}

static void
close_handles(struct jh_conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	jh_memory_account_retire(c->account);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
	uv_close((uv_handle_t *)&c->linger, on_closed);
}

static void
alloc_buffer(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	char *buffer = g_private_get(&read_buffer);

	if (buffer == NULL) {
		buffer = g_malloc(READ_BUFFER_LEN);
		g_private_set(&read_buffer, buffer);
	}
	*buf = uv_buf_init(buffer, READ_BUFFER_LEN);
}

/*
 * Returns 0 for an orderly end or a negative errno. libuv reports the end of
 * the stream also when a reset follows data, because both raise POLLHUP; only
 * the socket's state tells them apart. The kernel reports a reset once: if a
 * write has got it, the socket reads as one that its peer has closed.
 */
static int
stream_error(struct jh_conn *c)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;
	char byte;

	if (c->write_error != 0)
		return c->write_error;
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0)
		return 0;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
	    error != 0)
		return -error;
	if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0)
		return errno == EAGAIN ? 0 : -errno;
	return 0;
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct jh_conn *c = s->data;

	if (n == 0)
		return;
	if (c->lingering) {
		if (n < 0)
			close_handles(c);
		return;
	}
	if (c->ops == NULL)
		return;
	if (n > 0) {
		c->ops->data(c->arg, buf->base, (size_t)n);
		return;
	}
	jh_conn_pause(c);
	c->ops->ended(c->arg, n == UV_EOF ? stream_error(c) : (int)n);
}

void
jh_conn_pause(struct jh_conn *c)
{
	if (c->reading && !c->closing)
		uv_read_stop((uv_stream_t *)&c->tcp);
	c->reading = false;
}

void
jh_conn_resume(struct jh_conn *c)
{
	if (c->reading || c->closing)
		return;
	c->reading =
	    uv_read_start((uv_stream_t *)&c->tcp, alloc_buffer, on_read) == 0;
}

static struct jh_conn *
create(uv_loop_t *loop, unsigned int unacked_msec,
    const struct jh_conn_ops *ops, void *arg)
{
	struct jh_conn *c = g_new0(struct jh_conn, 1);

	uv_tcp_init(loop, &c->tcp);
	uv_timer_init(loop, &c->linger);
	c->tcp.data = c;
	c->linger.data = c;
	c->unacked_msec = unacked_msec;
	c->handles = 2;
	c->ops = ops;
	c->arg = arg;
	return c;
}

static void
set_options(struct jh_conn *c)
{
	unsigned int timeout = c->unacked_msec;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&c->tcp, 1);
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		    sizeof(timeout));
}

static void
on_connect(uv_connect_t *req, int status)
{
	struct jh_conn *c = req->data;

	if (c->ops == NULL || c->closing)
		return;
	if (status != 0) {
		c->ops->ended(c->arg, status);
		return;
	}
	set_options(c);
	jh_conn_resume(c);
	c->ops->opened(c->arg);
}

struct jh_conn *
jh_conn_connect(uv_loop_t *loop, const struct sockaddr_in *peer,
    unsigned int unacked_msec, const struct jh_conn_ops *ops, void *arg)
{
	struct jh_conn *c = create(loop, unacked_msec, ops, arg);

	c->connect.data = c;
	if (uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)peer,
		on_connect) != 0) {
		close_handles(c);
		return NULL;
	}
	return c;
}

struct jh_conn *
jh_conn_accept(uv_stream_t *listener, unsigned int unacked_msec,
    const struct jh_conn_ops *ops, void *arg)
{
	struct jh_conn *c = create(listener->loop, unacked_msec, ops, arg);

	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
		close_handles(c);
		return NULL;
	}
	set_options(c);
	jh_conn_resume(c);
	return c;
}

static void on_written(uv_write_t *req, int status);

/* on_read() reports the error, after what the peer sent before. */
static void
note_write_error(struct jh_conn *c, int error)
{
	if (c->write_error == 0)
		c->write_error = error;
}

/* Takes over the data. */
static void
start_write(struct jh_conn *c, GByteArray *data)
{
	struct write *w = g_new(struct write, 1);
	uv_buf_t buf = uv_buf_init((char *)data->data, data->len);
	int error;

	w->conn = c;
	w->data = data;
	c->writing += data->len;
	error = uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
	if (error == 0)
		return;
	note_write_error(c, error);
	c->writing -= data->len;
	g_byte_array_free(data, TRUE);
	g_free(w);
}

/* Writes what has waited for the write in progress. */
static void
write_waiting(struct jh_conn *c)
{
	GByteArray *data = c->waiting;

	c->waiting = NULL;
	if (data != NULL)
		start_write(c, data);
}

static void
on_written(uv_write_t *req, int status)
{
	struct write *w = (struct write *)req;
	struct jh_conn *c = w->conn;

	c->writing -= w->data->len;
	g_byte_array_free(w->data, TRUE);
	g_free(w);
	if (status == 0 && !c->closing)
		write_waiting(c);
	count_queued(c);
	if (status != 0)
		note_write_error(c, status);
	if (status != 0 || c->ops == NULL || c->closing)
		return;
	jh_memory_account_progress(c->account, jh_now());
	if (jh_conn_queued(c) == 0)
		c->ops->drained(c->arg);
}

/*
 * While a write is in progress, further data is gathered for the next one: many
 * small writes would each have a request of their own.
 */
void
jh_conn_write(struct jh_conn *c, const void *data, size_t n)
{
	uv_buf_t buf = uv_buf_init((char *)(uintptr_t)data, (unsigned int)n);
	int written = 0;

	if (c->closing || n == 0)
		return;
	if (jh_conn_queued(c) == 0) {
		written = uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
		if (written < 0 && written != UV_EAGAIN)
			note_write_error(c, written);
		written = MAX(written, 0);
		if ((size_t)written == n)
			return;
	}
	if (c->waiting == NULL)
		c->waiting = g_byte_array_new();
	g_byte_array_append(c->waiting, (const guint8 *)data + written,
	    (guint)(n - (size_t)written));
	if (c->writing == 0)
		write_waiting(c);
	count_queued(c);
}

size_t
jh_conn_queued(const struct jh_conn *c)
{
	return c->writing + (c->waiting != NULL ? c->waiting->len : 0);
}

void
jh_conn_set_account(struct jh_conn *c, struct jh_memory_account *account)
{
	c->account = account;
}

/* A number of bytes that the kernel holds; 0 if it does not tell. */
static size_t
kernel_bytes(const struct jh_conn *c, unsigned long which)
{
	uv_os_fd_t fd;
	int n = 0;

	if (c->closing || uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0 ||
	    ioctl(fd, which, &n) != 0)
		return 0;
	return (size_t)n;
}

size_t
jh_conn_unacked(const struct jh_conn *c)
{
	return jh_conn_queued(c) + kernel_bytes(c, SIOCOUTQ);
}

size_t
jh_conn_unread(const struct jh_conn *c)
{
	return kernel_bytes(c, FIONREAD);
}

bool
jh_conn_arrival(const struct jh_conn *c, uint64_t *at)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	uint64_t now = jh_now();
	uv_os_fd_t fd;

	if (c->closing || uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0 ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return false;
	/* Some network stacks have these fields, but do not set them. */
	if (info.tcpi_last_data_recv == 0 && info.tcpi_last_data_sent == 0)
		return false;
	*at = now - MIN(info.tcpi_last_data_recv * JH_USEC_PER_MSEC, now);
	return true;
}

bool
jh_conn_has_input(const struct jh_conn *c)
{
	struct pollfd p = {.events = POLLIN};

	return !c->closing &&
	       uv_fileno((const uv_handle_t *)&c->tcp, &p.fd) == 0 &&
	       poll(&p, 1, 0) > 0;
}

bool
jh_conn_peer_has_closed(const struct jh_conn *c)
{
	uv_os_fd_t fd;
	char byte;
	ssize_t n;

	if (c->closing || uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0)
		return false;
	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void
jh_conn_close(struct jh_conn *c)
{
	c->ops = NULL;
	close_handles(c);
}

static void
on_linger_timeout(uv_timer_t *t)
{
	close_handles(t->data);
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
	if (status != 0)
		close_handles(req->data);
}

static const char *
evict_lingering(void *arg)
{
	close_handles(arg);
	return "lingering";
}

void
jh_conn_linger(struct jh_conn *c)
{
	c->ops = NULL;
	if (c->closing)
		return;
	c->lingering = true;
	write_waiting(c);
	count_queued(c);
	jh_memory_account_set_owner(c->account, evict_lingering, c);
	c->shutdown.data = c;
	uv_timer_start(&c->linger, on_linger_timeout, LINGER_MSEC, 0);
	if (uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown) !=
	    0) {
		close_handles(c);
		return;
	}
	jh_conn_resume(c);
}

void
jh_conn_reset(struct jh_conn *c)
{
	c->ops = NULL;
	if (c->closing)
		return;
	c->closing = true;
	jh_memory_account_retire(c->account);
	if (uv_tcp_close_reset(&c->tcp, on_closed) != 0)
		uv_close((uv_handle_t *)&c->tcp, on_closed);
	uv_close((uv_handle_t *)&c->linger, on_closed);
}
