#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <netinet/tcp.h>
#include <uv.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"

#include "rig.h"

#define MAX_ROUTERS 8
#define READY_MSEC 15000

static struct {
	uv_loop_t loop;
	uv_async_t stop;
	pthread_t thread;
	struct fake_objects *store;
	unsigned int store_port;
	FILE *record;
	pthread_mutex_t lock;
	char *dir;
	uint64_t started;
	struct router *routers[MAX_ROUTERS];
	unsigned int n_routers;
} rig = {.lock = PTHREAD_MUTEX_INITIALIZER};

static void
on_stop(uv_async_t *a)
{
	uv_stop(a->loop);
}

static void *
run_loop(void *arg)
{
	uv_run(arg, UV_RUN_DEFAULT);
	return NULL;
}

void
rig_start(int argc, char **argv)
{
	if (argc != 2) {
		fprintf(stderr, "usage: %s RECORD\n", argv[0]);
		exit(CASE_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	rig.started = jh_now();
	rig.record = fopen(argv[1], "w");
	if (rig.record == NULL)
		exit(CASE_NOT_RUN);
	rig.dir = g_dir_make_tmp("jh-review-XXXXXX", NULL);
	uv_loop_init(&rig.loop);
	uv_async_init(&rig.loop, &rig.stop, on_stop);
	rig.store_port = fake_port();
	rig.store = fake_objects_create(&rig.loop, rig.store_port);
	rig_record("trouble %d", (int)rig_trouble());
}

void
rig_run(void)
{
	pthread_create(&rig.thread, NULL, run_loop, &rig.loop);
}

void
rig_finish(int status)
{
	char *command;
	unsigned int i;

	for (i = 0; i < rig.n_routers; i++) {
		if (rig.routers[i]->pid == 0)
			continue;
		kill(rig.routers[i]->pid, SIGKILL);
		waitpid(rig.routers[i]->pid, NULL, 0);
	}
	rig_record("exit status %d", status);
	pthread_mutex_lock(&rig.lock);
	fclose(rig.record);
	if (getenv("RIG_KEEP") == NULL) {
		command = g_strdup_printf("rm -rf '%s'", rig.dir);
		if (system(command) != 0)
			fprintf(stderr, "%s remains\n", rig.dir);
		g_free(command);
	}
	_exit(status);
}

bool
rig_trouble(void)
{
	return g_strcmp0(getenv("TROUBLE"), "0") != 0;
}

struct fake_objects *
rig_store(void)
{
	return rig.store;
}

uv_loop_t *
rig_loop(void)
{
	return &rig.loop;
}

int64_t
rig_msec(void)
{
	return (int64_t)((jh_now() - rig.started) / JH_USEC_PER_MSEC);
}

void
rig_sleep(unsigned int msec)
{
	g_usleep(msec * 1000UL);
}

static void
write_line(const char *fmt, va_list ap)
{
	int64_t at = rig_msec();

	pthread_mutex_lock(&rig.lock);
	fprintf(rig.record, "%3d.%03d ", (int)(at / 1000), (int)(at % 1000));
	vfprintf(rig.record, fmt, ap);
	fputc('\n', rig.record);
	fflush(rig.record);
	pthread_mutex_unlock(&rig.lock);
}

void
rig_record(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(fmt, ap);
	va_end(ap);
}

void
rig_fail(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(fmt, ap);
	va_end(ap);
	rig_finish(CASE_NOT_RUN);
}

void
rig_put(const char *kind, const char *name, json_t *spec)
{
	if (spec == NULL)
		rig_fail("invalid object %s/%s", kind, name);
	fake_objects_put(rig.store, kind, name, spec);
	json_decref(spec);
}

static char *
settings_path(const struct router *r)
{
	return g_strdup_printf("%s/%s.yaml", rig.dir, r->name);
}

/* The settings as the template of the deploy file has them. */
static void
write_settings(const struct router *r)
{
	char *path = settings_path(r);
	char *text = g_strdup_printf(
	    "name: \"%s\"\nzone: \"z0\"\nzones:\n  - name: \"z0\"\n"
	    "    region: \"r0\"\ngossip: \"127.0.0.1:%u\"\n"
	    "metrics: \"127.0.0.1:%u\"\nclients: \"127.0.0.1:%u\"\n"
	    "readiness: \"127.0.0.1:%u\"\nstore: \"127.0.0.1:%u\"\n"
	    "memory_mb: %u\ndescriptors: 4100\ngrace_s: \"8\"\n"
	    "repeat_ratio: \"0.2\"\nrepeat_slack: \"58\"\n"
	    "repeat_window_s: \"10\"\nholders_apart_ms: 3000\n"
	    "prefix_stores: \"all\"\n",
	    r->name, r->gossip, r->metrics, r->clients, r->readiness, r->store,
	    r->memory_mb);

	if (!g_file_set_contents(path, text, -1, NULL))
		rig_fail("cannot write %s", path);
	g_free(text);
	g_free(path);
}

void
router_init(struct router *r, const char *name, unsigned int memory_mb,
    unsigned int store)
{
	memset(r, 0, sizeof(*r));
	r->store = store != 0 ? store : rig.store_port;
	g_strlcpy(r->name, name, sizeof(r->name));
	r->memory_mb = memory_mb;
	r->clients = fake_port();
	r->readiness = fake_port();
	r->metrics = fake_port();
	r->gossip = fake_port();
	rig.routers[rig.n_routers++] = r;
	write_settings(r);
}

void
router_start(struct router *r)
{
	char *path = settings_path(r);
	char *log = g_strdup_printf("%s/%s.log", rig.dir, r->name);
	pid_t parent = getpid();

	r->pid = fork();
	if (r->pid < 0)
		rig_fail("fork: %s", strerror(errno));
	if (r->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent || freopen(log, "a", stdout) == NULL ||
		    freopen(log, "a", stderr) == NULL)
			_exit(127);
		setenv("JACINTHHILL_NODE_FILE", path, 1);
		execl("target/jhplatform", "target/jhplatform", (char *)NULL);
		_exit(127);
	}
	rig_record("%s started", r->name);
	g_free(path);
	g_free(log);
}

void
router_await(const struct router *r)
{
	static const char probe[] = "GET /readiness HTTP/1.1\r\n"
				    "Host: h\r\nConnection: close\r\n\r\n";
	int64_t until = rig_msec() + READY_MSEC;
	struct response response;
	int fd;

	for (;;) {
		memset(&response, 0, sizeof(response));
		fd = conn_open(r->readiness);
		if (fd >= 0 && conn_send(fd, probe, sizeof(probe) - 1))
			conn_read(fd, 1000, &response);
		if (fd >= 0)
			close(fd);
		if (response.status == 200)
			break;
		if (rig_msec() > until)
			rig_fail("%s is not ready", r->name);
		rig_sleep(50);
	}
	rig_record("%s is ready", r->name);
}

void
router_signal(const struct router *r, int number)
{
	rig_record("%s gets signal %d", r->name, number);
	if (r->pid != 0)
		kill(r->pid, number);
}

bool
router_await_end(struct router *r, unsigned int msec)
{
	int64_t until = rig_msec() + msec;
	int status;

	while (r->pid != 0) {
		if (waitpid(r->pid, &status, WNOHANG) == r->pid) {
			r->pid = 0;
			rig_record("%s has ended", r->name);
			return true;
		}
		if (rig_msec() > until)
			return false;
		rig_sleep(5);
	}
	return true;
}

long
router_memory(const struct router *r)
{
	char path[64], line[256];
	long kb = 0;
	FILE *f;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)r->pid);
	f = r->pid != 0 ? fopen(path, "r") : NULL;
	if (f == NULL)
		return 0;
	while (fgets(line, sizeof(line), f) != NULL)
		if (g_str_has_prefix(line, "VmRSS:"))
			kb = strtol(line + strlen("VmRSS:"), NULL, 10);
	fclose(f);
	return kb;
}

int
conn_open(unsigned int port)
{
	struct sockaddr_in to = fake_loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	if (fd < 0)
		rig_fail("socket: %s", strerror(errno));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

bool
conn_send(int fd, const char *text, size_t n)
{
	ssize_t done;

	while (n > 0) {
		done = send(fd, text, n, MSG_NOSIGNAL);
		if (done <= 0)
			return false;
		text += done;
		n -= (size_t)done;
	}
	return true;
}

/* Bytes of a connection, read as they are needed. */
struct reader {
	int fd;
	char buf[8192];
	size_t at, n;
};

static int
next_byte(struct reader *r)
{
	ssize_t n;

	if (r->at == r->n) {
		n = recv(r->fd, r->buf, sizeof(r->buf), 0);
		if (n <= 0)
			return -1;
		r->at = 0;
		r->n = (size_t)n;
	}
	return (unsigned char)r->buf[r->at++];
}

/* Reads a line without its end; returns false if there is none. */
static bool
read_line(struct reader *r, char *out, size_t max)
{
	size_t n = 0;
	int c;

	while ((c = next_byte(r)) >= 0) {
		if (c == '\n') {
			if (n > 0 && out[n - 1] == '\r')
				n--;
			out[n] = '\0';
			return true;
		}
		if (n + 1 < max)
			out[n++] = (char)c;
	}
	return false;
}

static bool
skip(struct reader *r, size_t n, size_t *count)
{
	for (; n > 0; n--) {
		if (next_byte(r) < 0)
			return false;
		if (count != NULL)
			(*count)++;
	}
	return true;
}

static bool
read_chunks(struct reader *r, size_t *count)
{
	char line[64];
	unsigned long n;

	do {
		if (!read_line(r, line, sizeof(line)))
			return false;
		n = strtoul(line, NULL, 16);
		if (!skip(r, n, count) || !skip(r, 2, NULL))
			return false;
	} while (n > 0);
	return true;
}

static const char *
value_of(const char *line, const char *name)
{
	size_t n = strlen(name);

	if (strlen(line) <= n || line[n] != ':' ||
	    g_ascii_strncasecmp(line, name, n) != 0)
		return NULL;
	return line + n + 1 + strspn(line + n + 1, " ");
}

void
conn_read(int fd, unsigned int timeout_msec, struct response *out)
{
	struct timeval limit = {
	    timeout_msec / 1000, (suseconds_t)(timeout_msec % 1000) * 1000};
	struct reader r = {.fd = fd};
	char line[1024] = "";
	const char *v;
	size_t length = 0;
	bool chunked = false;

	memset(out, 0, sizeof(*out));
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (!read_line(&r, line, sizeof(line)) ||
	    !g_str_has_prefix(line, "HTTP/1.1 "))
		return;
	out->status = (unsigned int)strtoul(line + 9, NULL, 10);
	while (read_line(&r, line, sizeof(line))) {
		if (line[0] == '\0') {
			out->complete = chunked
					    ? read_chunks(&r, &out->body_len)
					    : skip(&r, length, &out->body_len);
			return;
		}
		if ((v = value_of(line, "Content-Length")) != NULL)
			length = strtoul(v, NULL, 10);
		if (value_of(line, "Transfer-Encoding") != NULL)
			chunked = true;
		if ((v = value_of(line, "Connection")) != NULL)
			out->close = g_ascii_strcasecmp(v, "close") == 0;
	}
	out->status = 0;
}

bool
head_value(const char *head, const char *name, char *out, size_t max)
{
	const char *line = head, *v;
	size_t n;

	while ((line = strchr(line, '\n')) != NULL) {
		line++;
		if ((v = value_of(line, name)) == NULL)
			continue;
		n = strcspn(v, "\r\n");
		g_strlcpy(out, v, MIN(n + 1, max));
		return true;
	}
	return false;
}

/* A connection of a worker. */
struct raw_conn {
	struct raw_worker *worker;
	int fd;
};

/* Reads a head with its empty line; returns false at the end. */
static bool
read_head(struct reader *r, GString *out)
{
	int c;

	g_string_truncate(out, 0);
	while (!g_str_has_suffix(out->str, "\r\n\r\n")) {
		if (out->len > 65536 || (c = next_byte(r)) < 0)
			return false;
		g_string_append_c(out, (char)c);
	}
	return true;
}

static void *
serve_conn(void *arg)
{
	struct raw_conn *c = arg;
	struct reader r = {.fd = c->fd};
	GString *head = g_string_new(NULL);
	char length[32];

	while (read_head(&r, head)) {
		if (head_value(
			head->str, "Content-Length", length, sizeof(length)) &&
		    !skip(&r, strtoul(length, NULL, 10), NULL))
			break;
		if (!c->worker->respond(c->worker, c->fd, head->str))
			break;
	}
	close(c->fd);
	g_string_free(head, TRUE);
	g_free(c);
	return NULL;
}

struct listener {
	struct raw_worker *worker;
	int fd;
};

static void *
serve(void *arg)
{
	struct listener *l = arg;
	pthread_t thread;
	int one = 1;

	for (;;) {
		struct raw_conn *c = g_new0(struct raw_conn, 1);
		c->worker = l->worker;
		c->fd = accept(l->fd, NULL, NULL);
		if (c->fd < 0)
			rig_fail("accept: %s", strerror(errno));
		(void)setsockopt(
		    c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_create(&thread, NULL, serve_conn, c);
		pthread_detach(thread);
	}
	return NULL;
}

/* Writes its object in the store. */
static void
register_worker(const struct raw_worker *w)
{
	json_t *models = json_array();
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", w->port);
	if (w->model != NULL)
		json_array_append_new(
		    models, json_pack("{s:s, s:i, s:[]}", "name", w->model,
				"version", 1, "adapters"));
	rig_put("servers", w->id,
	    json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:o, s:i, s:I}",
		"service", w->service, "address", address, "zone", "z0",
		"version", "v1", "slots", 96, "state", "ready",
		"coldRemainingMs", 0, "models", models, "sequence", 1, "born",
		(json_int_t)1700000000000));
}

/* Returns a socket that listens on a free port. */
static int
listen_on(unsigned int *port)
{
	struct sockaddr_in at;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	*port = fake_port();
	at = fake_loopback(*port);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, 64) != 0)
		rig_fail("cannot listen: %s", strerror(errno));
	return fd;
}

void
raw_worker_start(struct raw_worker *w)
{
	struct listener *l = g_new0(struct listener, 1);
	pthread_t thread;

	l->worker = w;
	l->fd = listen_on(&w->port);
	pthread_create(&thread, NULL, serve, l);
	pthread_detach(thread);
	register_worker(w);
}

struct proxy {
	unsigned int port;
	int fd;
	atomic_bool away;
};

/* A connection of a proxy, from the caller to the store. */
struct proxy_conn {
	struct proxy *proxy;
	int caller;
};

static void
reset_socket(int fd)
{
	struct linger l = {.l_onoff = 1};

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

/* Passes on what has arrived; returns false at the end of the connection. */
static bool
pass_on(int from, int to)
{
	static const size_t size = 65536;
	char *buf = g_malloc(size);
	ssize_t n = recv(from, buf, size, 0);
	bool ok = n > 0 && conn_send(to, buf, (size_t)n);

	g_free(buf);
	return ok;
}

static void *
run_proxy_conn(void *arg)
{
	struct proxy_conn *c = arg;
	int store = conn_open(rig.store_port);
	struct pollfd p[2] = {{.fd = c->caller, .events = POLLIN},
	    {.fd = store, .events = POLLIN}};

	while (store >= 0 && !atomic_load(&c->proxy->away)) {
		if (poll(p, 2, 20) <= 0)
			continue;
		if ((p[0].revents != 0 && !pass_on(c->caller, store)) ||
		    (p[1].revents != 0 && !pass_on(store, c->caller)))
			break;
	}
	reset_socket(c->caller);
	if (store >= 0)
		close(store);
	g_free(c);
	return NULL;
}

static void *
run_proxy(void *arg)
{
	struct proxy *p = arg;
	pthread_t thread;

	for (;;) {
		struct proxy_conn *c = g_new0(struct proxy_conn, 1);
		c->proxy = p;
		c->caller = accept(p->fd, NULL, NULL);
		if (c->caller < 0)
			rig_fail("accept: %s", strerror(errno));
		pthread_create(&thread, NULL, run_proxy_conn, c);
		pthread_detach(thread);
	}
	return NULL;
}

struct proxy *
proxy_start(void)
{
	struct proxy *p = g_new0(struct proxy, 1);
	pthread_t thread;

	p->fd = listen_on(&p->port);
	pthread_create(&thread, NULL, run_proxy, p);
	pthread_detach(thread);
	return p;
}

unsigned int
proxy_port(const struct proxy *p)
{
	return p->port;
}

void
proxy_turn_away(struct proxy *p, bool away)
{
	atomic_store(&p->away, away);
}
