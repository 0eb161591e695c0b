#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"
#include "internal.h"

/* Interval at which a connection's thread sees that its worker has crashed. */
#define POLL_MSEC 5

#define MAX_REQUEST 524288

struct si_worker {
	struct si_platform *platform;
	unsigned int number;
	unsigned int port;
	const char *service;
	si_handler *handler;
	void *arg;
	pthread_mutex_t lock;
	char id[32];
	unsigned int starts; /* number of the present incarnation */
	bool up;
};

struct si_conn {
	struct si_worker *worker;
	unsigned int incarnation;
	int fd;
	bool reset;
	bool ended;
	GString *in;
};

static bool
is_up(struct si_worker *w, unsigned int incarnation)
{
	bool up;

	pthread_mutex_lock(&w->lock);
	up = w->up && w->starts == incarnation;
	pthread_mutex_unlock(&w->lock);
	return up;
}

static void
register_worker(struct si_worker *w)
{
	json_t *spec = json_object(), *models = json_array();
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", w->port);
	if (strcmp(w->service, "llm") == 0)
		json_array_append_new(
		    models, json_pack("{s:s, s:i, s:[]}", "name", "m1",
				"version", 1, "adapters"));
	json_object_set_new(spec, "service", json_string(w->service));
	json_object_set_new(spec, "address", json_string(address));
	json_object_set_new(spec, "zone", json_string("z0"));
	json_object_set_new(spec, "version", json_string("1"));
	json_object_set_new(spec, "slots", json_integer(96));
	json_object_set_new(spec, "state", json_string("ready"));
	json_object_set_new(spec, "coldRemainingMs", json_integer(0));
	json_object_set_new(spec, "sequence", json_integer(1));
	json_object_set_new(spec, "born",
	    json_integer(g_get_real_time() / (gint64)JH_USEC_PER_MSEC));
	json_object_set_new(spec, "models", models);
	si_put(w->platform, "servers", w->id, spec);
}

struct si_worker *
si_conn_worker(struct si_conn *c)
{
	return c->worker;
}

unsigned int
si_worker_number(const struct si_worker *w)
{
	return w->number;
}

void
si_conn_reset(struct si_conn *c)
{
	c->reset = true;
}

static bool
conn_ok(struct si_conn *c)
{
	char byte;
	ssize_t n;

	if (c->reset || c->ended)
		return false;
	if (!is_up(c->worker, c->incarnation)) {
		c->reset = true;
		return false;
	}
	n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		c->ended = true;
	return !c->ended;
}

bool
si_conn_wait(struct si_conn *c, unsigned int msec)
{
	uint64_t until = jh_now() + msec * JH_USEC_PER_MSEC;

	while (conn_ok(c) && jh_now() < until)
		g_usleep((gulong)MIN(
		    POLL_MSEC * JH_USEC_PER_MSEC, until - jh_now()));
	return conn_ok(c);
}

static void
send_text(struct si_conn *c, const char *text, size_t n)
{
	while (n > 0 && !c->ended) {
		ssize_t sent = send(c->fd, text, n, MSG_NOSIGNAL);
		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0) {
			c->ended = true;
			return;
		}
		text += sent;
		n -= (size_t)sent;
	}
}

void
si_respond(struct si_conn *c, const struct si_request *r, unsigned int status,
    const char *fields, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %u Status\r\n"
				     "X-Jacinthhill-Attempt-Id: %s\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
	    status, r->id, fields, strlen(body), body);

	send_text(c, text, strlen(text));
	g_free(text);
}

void
si_begin_stream(struct si_conn *c, const struct si_request *r)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "X-Jacinthhill-Attempt-Id: %s\r\n"
				     "X-Jacinthhill-Response-Seal: s.%s\r\n"
				     "X-Jacinthhill-Weight-Versions: 1\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
	    r->id, r->id);

	send_text(c, text, strlen(text));
	g_free(text);
}

void
si_send_event(struct si_conn *c, uint64_t id)
{
	char event[96], chunk[128];
	int n = g_snprintf(event, sizeof(event),
	    "id: %" G_GUINT64_FORMAT "\ndata: piece %" G_GUINT64_FORMAT "\n\n",
	    id, id);

	n = g_snprintf(
	    chunk, sizeof(chunk), "%x\r\n%s\r\n", (unsigned int)n, event);
	send_text(c, chunk, (size_t)n);
}

void
si_end_stream(struct si_conn *c)
{
	send_text(c, "0\r\n\r\n", 5);
}

/* Reads more; returns false if the connection has ended. */
static bool
read_more(struct si_conn *c)
{
	struct pollfd p = {.fd = c->fd, .events = POLLIN};
	char buf[8192];
	ssize_t n;

	while (poll(&p, 1, POLL_MSEC) == 0) {
		if (!is_up(c->worker, c->incarnation)) {
			c->reset = true;
			return false;
		}
	}
	n = recv(c->fd, buf, sizeof(buf), 0);
	if (n <= 0 || c->in->len > MAX_REQUEST)
		return false;
	g_string_append_len(c->in, buf, n);
	return true;
}

/* Copies the value of a header field, or "". */
static void
copy_field(const char *head, const char *name, char *out, size_t n)
{
	char *want = g_strdup_printf("\r\n%s:", name);
	char *lower = g_ascii_strdown(head, -1);
	char *key = g_ascii_strdown(want, -1);
	const char *at = strstr(lower, key), *end;

	out[0] = '\0';
	if (at != NULL) {
		at = head + (at - lower) + strlen(key);
		while (*at == ' ')
			at++;
		end = strstr(at, "\r\n");
		if (end != NULL)
			g_strlcpy(out, at, MIN(n, (size_t)(end - at) + 1));
	}
	g_free(key);
	g_free(lower);
	g_free(want);
}

static bool
read_request(struct si_conn *c, struct si_request *r)
{
	char value[64], **words;
	const char *end;
	size_t head_len, total;

	memset(r, 0, sizeof(*r));
	while ((end = strstr(c->in->str, "\r\n\r\n")) == NULL) {
		if (!read_more(c))
			return false;
	}
	head_len = (size_t)(end - c->in->str) + 4;
	r->head = g_strndup(c->in->str, head_len);
	copy_field(r->head, "Content-Length", value, sizeof(value));
	total = head_len + (size_t)g_ascii_strtoull(value, NULL, 10);
	while (c->in->len < total) {
		if (!read_more(c))
			return false;
	}
	g_string_erase(c->in, 0, (gssize)total);
	copy_field(r->head, "X-Jacinthhill-Attempt-Id", r->id, sizeof(r->id));
	copy_field(r->head, "Last-Event-ID", value, sizeof(value));
	r->last_event = g_ascii_strtoull(value, NULL, 10);
	words = g_strsplit(r->head, " ", 3);
	g_strlcpy(r->method, words[0], sizeof(r->method));
	if (words[0] != NULL && words[1] != NULL)
		g_strlcpy(r->path, words[1], sizeof(r->path));
	g_strfreev(words);
	return true;
}

static void
handle_request(struct si_conn *c, const struct si_request *r)
{
	struct si_worker *w = c->worker;
	char instance[64];

	if (strcmp(r->path, "/report") == 0) {
		si_respond(c, r, 200, "Content-Type: application/json\r\n",
		    "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m1\","
		    "\"version\":1,\"adapters\":[]}],\"busy\":false,"
		    "\"sequence\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,"
		    "\"kvTotal\":83645,\"handles\":0}");
		return;
	}
	copy_field(r->head, "X-Jacinthhill-Expected-Instance", instance,
	    sizeof(instance));
	if (instance[0] != '\0' && strcmp(instance, w->id) != 0) {
		si_respond(c, r, 421, "X-Jacinthhill-Not-Executed: 1\r\n", "");
		return;
	}
	if (strcmp(r->path, "/order") == 0) {
		si_respond(c, r, 200, "", "");
		return;
	}
	w->handler(w->arg, c, r);
}

static void *
run_conn(void *arg)
{
	struct si_conn *c = arg;
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	struct si_request r;

	while (!c->reset && !c->ended && read_request(c, &r)) {
		handle_request(c, &r);
		g_clear_pointer(&r.head, g_free);
	}
	if (c->reset)
		(void)setsockopt(
		    c->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_free(c);
	return NULL;
}

struct listener {
	struct si_worker *worker;
	unsigned int incarnation;
	int fd;
};

static void
start_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 262144);
	if (pthread_create(&thread, &attr, fn, arg) != 0)
		si_cannot_run("no thread");
	pthread_attr_destroy(&attr);
}

static void *
run_listener(void *arg)
{
	struct listener *l = arg;
	struct pollfd p = {.fd = l->fd, .events = POLLIN};
	int one = 1;

	while (is_up(l->worker, l->incarnation)) {
		struct si_conn *c;
		int fd;
		if (poll(&p, 1, POLL_MSEC) <= 0)
			continue;
		fd = accept(l->fd, NULL, NULL);
		if (fd < 0)
			continue;
		(void)setsockopt(
		    fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = g_new0(struct si_conn, 1);
		c->worker = l->worker;
		c->incarnation = l->incarnation;
		c->fd = fd;
		c->in = g_string_new(NULL);
		start_thread(run_conn, c);
	}
	close(l->fd);
	g_free(l);
	return NULL;
}

static void
start_worker(struct si_worker *w)
{
	struct sockaddr_in sin = fake_loopback(w->port);
	struct listener *l = g_new0(struct listener, 1);
	int one = 1;

	l->worker = w;
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	(void)setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(l->fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(l->fd, 256) != 0)
		si_cannot_run("a worker cannot listen");
	pthread_mutex_lock(&w->lock);
	l->incarnation = ++w->starts;
	w->up = true;
	g_snprintf(w->id, sizeof(w->id), "i-%u-%u", w->number, w->starts);
	pthread_mutex_unlock(&w->lock);
	start_thread(run_listener, l);
	register_worker(w);
}

struct si_worker *
si_worker_start(
    struct si_platform *p, const char *service, si_handler *handler, void *arg)
{
	struct si_worker *w = g_new0(struct si_worker, 1);

	w->platform = p;
	w->number = p->n_workers++;
	w->port = si_port(p);
	w->service = service;
	w->handler = handler;
	w->arg = arg;
	pthread_mutex_init(&w->lock, NULL);
	start_worker(w);
	return w;
}

struct restart {
	struct si_worker *worker;
	unsigned int msec;
};

static void *
run_restart(void *arg)
{
	struct restart *r = arg;
	struct si_worker *w = r->worker;

	si_sleep(r->msec);
	fake_objects_remove(w->platform->objects, "servers", w->id);
	start_worker(w);
	si_record(w->platform, "worker %u: back as %s", w->number, w->id);
	g_free(r);
	return NULL;
}

void
si_worker_crash(struct si_worker *w, unsigned int restart_msec)
{
	struct restart *r;
	bool was_up;

	pthread_mutex_lock(&w->lock);
	was_up = w->up;
	w->up = false;
	pthread_mutex_unlock(&w->lock);
	if (!was_up)
		return;
	si_record(w->platform, "worker %u: crashed", w->number);
	r = g_new0(struct restart, 1);
	r->worker = w;
	r->msec = restart_msec;
	start_thread(run_restart, r);
}
