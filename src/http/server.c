#include <poll.h>
#include <string.h>

#include <microhttpd.h>

#include <jacinthhill/clock.h>

#include "base/event.h"
#include "base/thread.h"
#include "http/req.h"

/* Interval at which suspended connections are checked for a closed peer. */
#define SWEEP_INTERVAL_MS 250

/* Size of libmicrohttpd's buffer for a reply body, one for each reply. */
#define REPLY_BLOCK_LEN 4096

G_DEFINE_QUARK(jh_http_error_quark, jh_http_error)

/* The caller holds r->lock. */
static void
suspend(struct jh_http_req *r)
{
	r->suspended = true;
	MHD_suspend_connection(r->conn);
}

/* Passes pending bytes of the reply's body to libmicrohttpd. */
static ssize_t
read_reply(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct jh_http_req *r = cls;
	bool drained = false;
	size_t n;

	pthread_mutex_lock(&r->lock);
	n = r->out->len - r->out_pos;
	if (n == 0) {
		if (r->aborted || r->ended) {
			pthread_mutex_unlock(&r->lock);
			return r->aborted ? MHD_CONTENT_READER_END_WITH_ERROR
					  : MHD_CONTENT_READER_END_OF_STREAM;
		}
		suspend(r);
		pthread_mutex_unlock(&r->lock);
		return 0;
	}
	n = MIN(n, max);
	memcpy(buf, r->out->str + r->out_pos, n);
	r->out_pos += n;
	if (r->out_pos == r->out->len) {
		g_string_truncate(r->out, 0);
		r->out_pos = 0;
	} else if (r->out_pos > r->server->spec.buffer_limit) {
		g_string_erase(r->out, 0, (gssize)r->out_pos);
		r->out_pos = 0;
	}
	if (r->full &&
	    r->out->len - r->out_pos < r->server->spec.buffer_limit / 2) {
		r->full = false;
		drained = true;
	}
	pthread_mutex_unlock(&r->lock);
	if (drained && r->ops != NULL && r->ops->writable != NULL)
		r->ops->writable(r->arg);
	return (ssize_t)n;
}

static void
release_reply(void *cls)
{
	jh_http_req_unref(cls);
}

/* Starts the reply. The caller holds r->lock. */
static enum MHD_Result
queue_reply(struct jh_http_req *r)
{
	struct MHD_Response *resp;
	struct http_field *h;
	enum MHD_Result result;
	uint64_t size = MHD_SIZE_UNKNOWN;
	guint i;

	if (r->aborted)
		return MHD_NO;
	if (r->ended)
		size = r->out->len - r->out_pos;
	jh_http_req_ref(r);
	resp = MHD_create_response_from_callback(
	    size, REPLY_BLOCK_LEN, read_reply, r, release_reply);
	for (i = 0; i < r->headers->len; i++) {
		h = &g_array_index(r->headers, struct http_field, i);
		MHD_add_response_header(resp, h->name, h->value);
	}
	r->queued = true;
	result = MHD_queue_response(r->conn, r->status, resp);
	MHD_destroy_response(resp);
	return result;
}

static enum MHD_Result
continue_request(struct jh_http_req *r)
{
	enum MHD_Result result = MHD_YES;

	pthread_mutex_lock(&r->lock);
	if (r->queued) {
		/* libmicrohttpd already reads the reply. */
	} else if (r->begun || r->aborted) {
		result = queue_reply(r);
	} else {
		suspend(r);
	}
	pthread_mutex_unlock(&r->lock);
	return result;
}

/* libmicrohttpd calls this first; the result becomes the request's con_cls. */
static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *conn)
{
	return http_req_create(cls, conn, uri);
}

/* Avoids several copies of a large body, as the buffer would grow in steps. */
static void
reserve_body(struct jh_http_req *r)
{
	const char *text = jh_http_req_header(r, "Content-Length");
	guint64 len;

	if (text == NULL || !g_ascii_string_to_unsigned(text, 10, 0,
				r->server->spec.body_limit, &len, NULL))
		return;
	g_string_free(r->body, TRUE);
	r->body = g_string_sized_new(len);
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_len, void **con_cls)
{
	static const char too_large[] =
	    "{\"error\":{\"code\":\"body_too_large\",\"message\":\"The request "
	    "body is over the limit.\",\"ran\":\"not_run\"}}\n";
	struct jh_http_server *s = cls;
	struct jh_http_req *r = *con_cls;

	if (r->method == NULL) {
		r->method = g_strdup(method);
		r->path = g_strdup(url);
		reserve_body(r);
		return MHD_YES;
	}
	if (*upload_len > 0) {
		if (r->body->len + *upload_len > s->spec.body_limit)
			r->too_large = true;
		else
			g_string_append_len(
			    r->body, upload, (gssize)*upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	if (!r->handled) {
		r->handled = true;
		http_req_copy_fields(r);
		pthread_mutex_lock(&s->lock);
		g_hash_table_add(s->open_reqs, r);
		pthread_mutex_unlock(&s->lock);
		if (r->too_large)
			jh_http_req_reply(r, 413, "application/json", too_large,
			    sizeof(too_large) - 1);
		else
			s->spec.ops->request(s->spec.arg, jh_http_req_ref(r));
	}
	return continue_request(r);
}

static void
on_completed(void *cls, struct MHD_Connection *conn, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct jh_http_server *s = cls;
	struct jh_http_req *r = *con_cls;

	if (r == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	g_hash_table_remove(s->open_reqs, r);
	pthread_mutex_unlock(&s->lock);
	pthread_mutex_lock(&r->lock);
	r->attached = false;
	pthread_mutex_unlock(&r->lock);
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		http_req_notify_closed(r);
	g_atomic_int_add(&s->active, -1);
	*con_cls = NULL;
	jh_http_req_unref(r);
}

static bool
is_peer_closed(struct jh_http_req *r)
{
	const union MHD_ConnectionInfo *info;
	struct pollfd p = {.events = POLLRDHUP};

	info =
	    MHD_get_connection_info(r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info == NULL)
		return false;
	p.fd = info->connect_fd;
	return poll(&p, 1, 0) == 1 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/*
 * Aborts requests whose client has closed the connection while it is suspended;
 * libmicrohttpd does not watch suspended connections.
 */
static void
abort_closed(struct jh_http_server *s)
{
	GPtrArray *closed = g_ptr_array_new();
	struct jh_http_req *r;
	GHashTableIter it;
	gpointer key;
	guint i;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->open_reqs);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		r = key;
		pthread_mutex_lock(&r->lock);
		if (r->attached && r->suspended && is_peer_closed(r))
			g_ptr_array_add(closed, jh_http_req_ref(r));
		pthread_mutex_unlock(&r->lock);
	}
	pthread_mutex_unlock(&s->lock);
	for (i = 0; i < closed->len; i++) {
		r = closed->pdata[i];
		http_req_notify_closed(r);
		jh_http_req_abort(r);
		jh_http_req_unref(r);
	}
	g_ptr_array_free(closed, TRUE);
}

static void *
sweep_main(void *arg)
{
	struct jh_http_server *s = arg;
	uint64_t next;

	pthread_mutex_lock(&s->lock);
	while (!s->stopping) {
		next = jh_now() + SWEEP_INTERVAL_MS * JH_USEC_PER_MSEC;
		while (!s->stopping &&
		       jh_cond_wait_until(&s->stop_cond, &s->lock, next))
			;
		if (s->stopping)
			break;
		pthread_mutex_unlock(&s->lock);
		abort_closed(s);
		pthread_mutex_lock(&s->lock);
	}
	pthread_mutex_unlock(&s->lock);
	return NULL;
}

struct jh_http_server *
jh_http_server_create(const struct jh_http_server_spec *spec, GError **err)
{
	struct jh_http_server *s = g_new0(struct jh_http_server, 1);
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			     MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
	char *text;

	s->spec = *spec;
	pthread_mutex_init(&s->lock, NULL);
	jh_cond_init(&s->stop_cond);
	s->open_reqs = g_hash_table_new(NULL, NULL);
	s->daemon = MHD_start_daemon(flags, 0, NULL, NULL, on_access, s,
	    MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)&s->spec.listen,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, s, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, s, MHD_OPTION_CONNECTION_LIMIT, spec->max_conns,
	    MHD_OPTION_THREAD_POOL_SIZE, spec->threads > 1 ? spec->threads : 0u,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (s->daemon == NULL) {
		text = g_strdup_printf(
		    "cannot listen on port %u", ntohs(spec->listen.sin_port));
		g_set_error_literal(
		    err, JH_HTTP_ERROR, JH_HTTP_ERROR_LISTEN, text);
		g_free(text);
		g_hash_table_destroy(s->open_reqs);
		pthread_mutex_destroy(&s->lock);
		pthread_cond_destroy(&s->stop_cond);
		g_free(s);
		return NULL;
	}
	s->sweeper = jh_thread_create("sweep", sweep_main, s);
	return s;
}

void
jh_http_server_quiesce(struct jh_http_server *s)
{
	MHD_socket fd = MHD_quiesce_daemon(s->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

static void
abort_all(struct jh_http_server *s)
{
	GHashTableIter it;
	gpointer key;
	GPtrArray *all = g_ptr_array_new();
	guint i;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->open_reqs);
	while (g_hash_table_iter_next(&it, &key, NULL))
		g_ptr_array_add(all, jh_http_req_ref(key));
	pthread_mutex_unlock(&s->lock);
	for (i = 0; i < all->len; i++) {
		http_req_notify_closed(all->pdata[i]);
		jh_http_req_abort(all->pdata[i]);
		jh_http_req_unref(all->pdata[i]);
	}
	g_ptr_array_free(all, TRUE);
}

void
jh_http_server_destroy(struct jh_http_server *s)
{
	if (s == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	s->stopping = true;
	pthread_cond_signal(&s->stop_cond);
	pthread_mutex_unlock(&s->lock);
	pthread_join(s->sweeper, NULL);
	abort_all(s);
	MHD_stop_daemon(s->daemon);
	g_hash_table_destroy(s->open_reqs);
	pthread_mutex_destroy(&s->lock);
	pthread_cond_destroy(&s->stop_cond);
	g_free(s);
}

unsigned int
jh_http_server_port(const struct jh_http_server *s)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT);
	return info == NULL ? 0 : info->port;
}

unsigned int
jh_http_server_active(const struct jh_http_server *s)
{
	return (unsigned int)g_atomic_int_get(&s->active);
}
