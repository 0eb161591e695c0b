#include <ctype.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <uv.h>

#include "fakes/platform/objects.h"

#include "rig.h"

#define MAX_ROUTERS 32
#define ZONES 6
#define READY_MSEC 10000

#define FIRST_PORT 20000
#define PORTS 12000

/* A case that takes longer has not run. */
#define CASE_SEC 115

static uv_loop_t loop;
static struct fake_objects *objects;
static unsigned int store_port;
static char folder[] = "/tmp/review-2-XXXXXX";
static bool started;
static struct rig_router *routers[MAX_ROUTERS];
static size_t n_routers;
static pthread_mutex_t note_lock = PTHREAD_MUTEX_INITIALIZER;

bool
rig_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

static uint64_t
clock_msec(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

uint64_t
rig_now(void)
{
	static uint64_t start;

	if (start == 0)
		start = clock_msec();
	return clock_msec() - start;
}

void
rig_sleep(unsigned int msec)
{
	usleep(msec * 1000U);
}

void
rig_note(const char *format, ...)
{
	uint64_t now = rig_now();
	va_list ap;

	pthread_mutex_lock(&note_lock);
	printf("%3u.%03u s  ", (unsigned int)(now / 1000),
	    (unsigned int)(now % 1000));
	va_start(ap, format);
	vprintf(format, ap);
	va_end(ap);
	putchar('\n');
	fflush(stdout);
	pthread_mutex_unlock(&note_lock);
}

void
rig_give_up(const char *why)
{
	rig_note("the case could not run: %s", why);
	rig_stop();
	_exit(RIG_NOT_RUN);
}

static int
listen_on(unsigned int port)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0 &&
	    listen(fd, 64) == 0)
		return fd;
	close(fd);
	return -1;
}

unsigned int
rig_free_port(void)
{
	static unsigned int next;
	unsigned int port, i;
	int fd;

	/* Below the ports that the kernel gives to clients. */
	if (next == 0)
		next = (unsigned int)getpid() * 64;
	for (i = 0; i < PORTS; i++) {
		port = FIRST_PORT + next++ % PORTS;
		fd = listen_on(port);
		if (fd < 0)
			continue;
		close(fd);
		return port;
	}
	rig_give_up("no free port");
}

static void *
run_loop(void *arg)
{
	uv_run(&loop, UV_RUN_DEFAULT);
	return arg;
}

static void
on_alarm(int number)
{
	/* The routers end with this process. */
	_exit(RIG_NOT_RUN);
}

void
rig_start(void)
{
	pthread_t thread;

	(void)rig_now();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(CASE_SEC);
	if (mkdtemp(folder) == NULL)
		rig_give_up("no temporary folder");
	started = true;
	store_port = rig_free_port();
	uv_loop_init(&loop);
	objects = fake_objects_create(&loop, store_port);
	if (pthread_create(&thread, NULL, run_loop, NULL) != 0)
		rig_give_up("no thread");
}

void
rig_stop(void)
{
	char path[128];
	size_t i;

	for (i = 0; i < n_routers; i++) {
		if (routers[i]->pid > 0) {
			kill(routers[i]->pid, SIGKILL);
			waitpid(routers[i]->pid, NULL, 0);
			routers[i]->pid = 0;
		}
		snprintf(
		    path, sizeof(path), "%s/%s.yaml", folder, routers[i]->name);
		unlink(path);
		snprintf(
		    path, sizeof(path), "%s/%s.log", folder, routers[i]->name);
		unlink(path);
	}
	if (started)
		rmdir(folder);
}

void
rig_put(const char *kind, const char *name, json_t *specification)
{
	fake_objects_put(objects, kind, name, specification);
	json_decref(specification);
}

void
rig_remove(const char *kind, const char *name)
{
	fake_objects_remove(objects, kind, name);
}

/* Fills in deploy/entry.yaml for a small deployment. */
static void
write_settings(
    const struct rig_router *r, const char *path, unsigned int memory_mb)
{
	FILE *f = fopen(path, "w");
	unsigned int i;

	if (f == NULL)
		rig_give_up("the settings cannot be written");
	fprintf(f, "name: \"%s\"\nzone: \"z%u\"\nzones:\n", r->name, r->zone);
	for (i = 0; i < ZONES; i++)
		fprintf(f, "  - name: \"z%u\"\n    region: \"r%u\"\n", i,
		    i * 2 / ZONES);
	fprintf(f,
	    "gossip: \"127.0.0.1:%u\"\n"
	    "metrics: \"127.0.0.1:%u\"\nclients: \"127.0.0.1:%u\"\n"
	    "readiness: \"127.0.0.1:%u\"\nstore: \"127.0.0.1:%u\"\n"
	    "memory_mb: %u\ndescriptors: 4100\ngrace_s: \"8\"\n"
	    "repeat_ratio: \"0.2\"\nrepeat_slack: \"58\"\n"
	    "repeat_window_s: \"10\"\nholders_apart_ms: 3000\n"
	    "prefix_stores: \"all\"\n",
	    rig_free_port(), rig_free_port(), r->clients, r->readiness,
	    r->store != 0 ? r->store : store_port, memory_mb);
	fclose(f);
}

void
rig_router_start(struct rig_router *r, const char *name, unsigned int memory_mb)
{
	char settings[128], log[128];

	snprintf(r->name, sizeof(r->name), "%s", name);
	snprintf(settings, sizeof(settings), "%s/%s.yaml", folder, name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, name);
	if (r->clients == 0) {
		r->clients = rig_free_port();
		r->readiness = rig_free_port();
		routers[n_routers++] = r;
	}
	write_settings(r, settings, memory_mb);
	r->pid = fork();
	if (r->pid < 0)
		rig_give_up("no process");
	if (r->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (freopen(log, "a", stdout) == NULL ||
		    dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
			_exit(127);
		setenv("JACINTHHILL_NODE_FILE", settings, 1);
		execl("target/jhplatform", "target/jhplatform", (char *)NULL);
		_exit(127);
	}
	rig_note("router %s started, process %d", r->name, (int)r->pid);
}

void
rig_router_await_ready(const struct rig_router *r)
{
	static const char probe[] = "GET /readiness HTTP/1.1\r\nHost: r\r\n"
				    "Connection: close\r\n\r\n";
	uint64_t until = rig_now() + READY_MSEC;
	struct rig_message m;
	unsigned int status;
	int fd;

	while (rig_now() < until) {
		rig_sleep(100);
		fd = rig_connect(r->readiness, 0, 0);
		if (fd < 0)
			continue;
		rig_send(fd, probe, sizeof(probe) - 1);
		rig_receive(fd, 0, &m);
		close(fd);
		status = rig_status(&m);
		rig_message_clear(&m);
		if (status == 200)
			return;
	}
	rig_give_up("a router is not ready");
}

int
rig_router_await_exit(struct rig_router *r, unsigned int msec)
{
	uint64_t until = rig_now() + msec;
	int status;

	do {
		if (waitpid(r->pid, &status, WNOHANG) == r->pid) {
			r->pid = 0;
			return status;
		}
		rig_sleep(20);
	} while (rig_now() < until);
	return -1;
}

long
rig_router_memory(const struct rig_router *r)
{
	char path[64], line[128];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)r->pid);
	f = fopen(path, "r");
	if (f == NULL)
		return 0;
	while (fgets(line, sizeof(line), f) != NULL)
		if (strncmp(line, "VmRSS:", 6) == 0)
			kb = strtol(line + 6, NULL, 10);
	fclose(f);
	return kb;
}

/* A connection through the proxy; it stays open once it is silent. */
struct relay {
	int fd[2];
	bool silent;
	struct relay *next;
};

struct direction {
	struct relay *relay;
	int from;
};

static pthread_mutex_t proxy_lock = PTHREAD_MUTEX_INITIALIZER;
static struct relay *relays;
static int proxy_fd;

static void *
run_direction(void *arg)
{
	struct direction *d = arg;
	struct relay *r = d->relay;
	int to = 1 - d->from;
	char data[16384];
	bool silent;
	ssize_t n;

	for (;;) {
		n = recv(r->fd[d->from], data, sizeof(data), 0);
		pthread_mutex_lock(&proxy_lock);
		silent = r->silent;
		pthread_mutex_unlock(&proxy_lock);
		if (silent) {
			if (n <= 0)
				break;
			continue;
		}
		if (n <= 0) {
			shutdown(r->fd[to], SHUT_WR);
			break;
		}
		if (!rig_send(r->fd[to], data, (size_t)n))
			break;
	}
	free(d);
	return NULL;
}

static void
start_direction(struct relay *r, int from)
{
	struct direction *d = malloc(sizeof(*d));
	pthread_t thread;

	if (d == NULL)
		abort();
	d->relay = r;
	d->from = from;
	if (pthread_create(&thread, NULL, run_direction, d) != 0)
		rig_give_up("no thread");
	pthread_detach(thread);
}

static void *
run_proxy(void *arg)
{
	struct relay *r;
	int fd;

	for (;;) {
		fd = accept(proxy_fd, NULL, NULL);
		if (fd < 0)
			continue;
		r = calloc(1, sizeof(*r));
		if (r == NULL)
			abort();
		r->fd[0] = fd;
		r->fd[1] = rig_connect(store_port, 0, 0);
		if (r->fd[1] < 0)
			rig_give_up("the store does not listen");
		pthread_mutex_lock(&proxy_lock);
		r->next = relays;
		relays = r;
		pthread_mutex_unlock(&proxy_lock);
		start_direction(r, 0);
		start_direction(r, 1);
	}
	return arg;
}

unsigned int
rig_proxy_start(void)
{
	unsigned int port = rig_free_port();
	pthread_t thread;

	proxy_fd = listen_on(port);
	if (proxy_fd < 0 || pthread_create(&thread, NULL, run_proxy, NULL) != 0)
		rig_give_up("the proxy cannot listen");
	return port;
}

unsigned int
rig_proxy_silence(void)
{
	unsigned int n = 0;
	struct relay *r;

	pthread_mutex_lock(&proxy_lock);
	for (r = relays; r != NULL; r = r->next) {
		n += !r->silent;
		r->silent = true;
	}
	pthread_mutex_unlock(&proxy_lock);
	return n;
}

void
rig_message_clear(struct rig_message *m)
{
	free(m->head);
	free(m->body);
	memset(m, 0, sizeof(*m));
}

bool
rig_field(const char *head, const char *name, char *out, size_t size)
{
	const char *line = strstr(head, "\r\n"), *end;
	size_t len = strlen(name), n;

	while (line != NULL && line[2] != '\r') {
		line += 2;
		end = strstr(line, "\r\n");
		if (end == NULL)
			return false;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			line += len + 1;
			while (*line == ' ')
				line++;
			n = (size_t)(end - line);
			if (n >= size)
				n = size - 1;
			memcpy(out, line, n);
			out[n] = '\0';
			return true;
		}
		line = end;
	}
	return false;
}

unsigned int
rig_status(const struct rig_message *m)
{
	if (m->head == NULL || strncmp(m->head, "HTTP/1.1 ", 9) != 0)
		return 0;
	return (unsigned int)strtoul(m->head + 9, NULL, 10);
}

int
rig_connect(unsigned int port, int segment, int window)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (segment != 0)
		setsockopt(
		    fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	if (window != 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0)
		return fd;
	close(fd);
	return -1;
}

bool
rig_send(int fd, const char *data, size_t n)
{
	ssize_t sent;

	while (n > 0) {
		sent = send(fd, data, n, MSG_NOSIGNAL);
		if (sent <= 0)
			return false;
		data += sent;
		n -= (size_t)sent;
	}
	return true;
}

/* Bytes that were received and not used. */
struct input {
	int fd;
	size_t per_second;
	char *data;
	size_t len, used;
	bool ended;
};

#define PIECE 8192

static bool
read_more(struct input *in)
{
	ssize_t n;

	if (in->ended)
		return false;
	if (in->per_second != 0)
		usleep(
		    (useconds_t)((uint64_t)PIECE * 1000000 / in->per_second));
	in->data = realloc(in->data, in->len + PIECE + 1);
	if (in->data == NULL)
		abort();
	n = recv(in->fd, in->data + in->len, PIECE, 0);
	if (n <= 0) {
		in->ended = true;
		return false;
	}
	in->len += (size_t)n;
	in->data[in->len] = '\0';
	return true;
}

/* The end of the next line, or NULL. */
static char *
find_line_end(struct input *in)
{
	char *end;

	for (;;) {
		end = in->data != NULL ? strstr(in->data + in->used, "\r\n")
				       : NULL;
		if (end != NULL || !read_more(in))
			return end;
	}
}

static bool
await_bytes(struct input *in, size_t n)
{
	while (in->len - in->used < n)
		if (!read_more(in))
			return false;
	return true;
}

static void
add_body(struct rig_message *m, const char *data, size_t n)
{
	m->body = realloc(m->body, m->body_len + n + 1);
	if (m->body == NULL)
		abort();
	memcpy(m->body + m->body_len, data, n);
	m->body_len += n;
	m->body[m->body_len] = '\0';
}

static void
read_chunks(struct input *in, struct rig_message *m)
{
	size_t n;
	char *end;

	for (;;) {
		end = find_line_end(in);
		if (end == NULL)
			return;
		n = strtoul(in->data + in->used, NULL, 16);
		in->used = (size_t)(end + 2 - in->data);
		if (!await_bytes(in, n + 2)) {
			add_body(m, in->data + in->used, in->len - in->used);
			return;
		}
		if (n == 0)
			break;
		add_body(m, in->data + in->used, n);
		in->used += n + 2;
	}
	m->complete = true;
}

static void
read_body(struct input *in, struct rig_message *m)
{
	char text[64];
	size_t n = 0;

	if (rig_field(m->head, "Transfer-Encoding", text, sizeof(text))) {
		read_chunks(in, m);
		return;
	}
	if (rig_field(m->head, "Content-Length", text, sizeof(text)))
		n = strtoul(text, NULL, 10);
	m->complete = await_bytes(in, n);
	add_body(m, in->data + in->used, m->complete ? n : in->len - in->used);
}

void
rig_receive(int fd, size_t per_second, struct rig_message *m)
{
	struct input in = {.fd = fd, .per_second = per_second};
	char *end = NULL;

	memset(m, 0, sizeof(*m));
	while (end == NULL) {
		if (in.data != NULL)
			end = strstr(in.data, "\r\n\r\n");
		if (end == NULL && !read_more(&in))
			break;
	}
	if (end != NULL) {
		in.used = (size_t)(end + 4 - in.data);
		m->head = strndup(in.data, in.used);
		read_body(&in, m);
	}
	free(in.data);
}

struct served {
	struct rig_worker *worker;
	int fd;
};

static pthread_mutex_t worker_lock = PTHREAD_MUTEX_INITIALIZER;

/* Adds the connection to the open ones; false if the worker has crashed. */
static bool
add_open(struct rig_worker *w, int fd)
{
	size_t i;

	if (w->listener < 0)
		return false;
	for (i = 0; i < sizeof(w->open) / sizeof(w->open[0]); i++) {
		if (w->open[i] >= 0)
			continue;
		w->open[i] = fd;
		return true;
	}
	return false;
}

static void
close_connection(struct rig_worker *w, int fd)
{
	size_t i;

	pthread_mutex_lock(&worker_lock);
	for (i = 0; i < sizeof(w->open) / sizeof(w->open[0]); i++)
		if (w->open[i] == fd)
			w->open[i] = -1;
	close(fd);
	pthread_mutex_unlock(&worker_lock);
}

static void *
serve_connection(void *arg)
{
	struct served *s = arg;
	struct rig_message request;

	for (;;) {
		rig_receive(s->fd, 0, &request);
		if (!request.complete)
			break;
		s->worker->serve(s->worker, s->fd, &request);
		rig_message_clear(&request);
	}
	rig_message_clear(&request);
	close_connection(s->worker, s->fd);
	free(s);
	return NULL;
}

static void
start_serving(struct rig_worker *w, int fd)
{
	struct served *s = malloc(sizeof(*s));
	pthread_t thread;
	bool added;

	if (s == NULL)
		abort();
	pthread_mutex_lock(&worker_lock);
	added = add_open(w, fd);
	pthread_mutex_unlock(&worker_lock);
	s->worker = w;
	s->fd = fd;
	if (added && pthread_create(&thread, NULL, serve_connection, s) == 0) {
		pthread_detach(thread);
		return;
	}
	close(fd);
	free(s);
}

static void *
accept_connections(void *arg)
{
	struct rig_worker *w = arg;
	int listener = w->listener, fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0)
		start_serving(w, fd);
	close(listener);
	return NULL;
}

static void
register_worker(const struct rig_worker *w)
{
	char address[32];
	json_t *entry;

	snprintf(address, sizeof(address), "127.0.0.1:%u", w->port);
	entry = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}",
	    "service", w->service, "address", address, "zone", "z0", "version",
	    "1", "slots", 96, "state", "ready", "coldRemainingMs", 0,
	    "sequence", 1, "born",
	    (json_int_t)time(NULL) * 1000 + (json_int_t)w->starts);
	if (w->model != NULL)
		json_object_set_new(entry, "models",
		    json_pack("[{s:s, s:i, s:[]}]", "name", w->model, "version",
			1, "adapters"));
	rig_put("servers", w->id, entry);
}

static void
listen_and_register(struct rig_worker *w)
{
	pthread_t thread;

	w->starts++;
	w->listener = listen_on(w->port);
	if (w->listener < 0 ||
	    pthread_create(&thread, NULL, accept_connections, w) != 0)
		rig_give_up("a worker cannot listen");
	pthread_detach(thread);
	register_worker(w);
}

void
rig_worker_start(struct rig_worker *w, const char *service, const char *model)
{
	w->service = service;
	w->model = model;
	if (w->port == 0)
		w->port = rig_free_port();
	memset(w->open, 0xff, sizeof(w->open));
	listen_and_register(w);
}

struct restart {
	struct rig_worker *worker;
	unsigned int msec;
};

static void *
restart_worker(void *arg)
{
	struct restart *r = arg;

	rig_sleep(r->msec);
	listen_and_register(r->worker);
	free(r);
	return NULL;
}

void
rig_worker_crash(struct rig_worker *w, unsigned int msec)
{
	struct linger reset = {1, 0};
	struct restart *r = malloc(sizeof(*r));
	pthread_t thread;
	size_t i;

	if (r == NULL)
		abort();
	pthread_mutex_lock(&worker_lock);
	if (w->listener < 0) {
		pthread_mutex_unlock(&worker_lock);
		free(r);
		return;
	}
	shutdown(w->listener, SHUT_RDWR);
	w->listener = -1;
	for (i = 0; i < sizeof(w->open) / sizeof(w->open[0]); i++) {
		if (w->open[i] < 0)
			continue;
		setsockopt(
		    w->open[i], SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		shutdown(w->open[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&worker_lock);
	r->worker = w;
	r->msec = msec;
	if (pthread_create(&thread, NULL, restart_worker, r) != 0)
		rig_give_up("no thread");
	pthread_detach(thread);
}

char *
rig_response_head(const struct rig_message *request, const struct rig_worker *w,
    size_t body_len)
{
	char id[128] = "", *out;

	(void)rig_field(
	    request->head, "X-Jacinthhill-Attempt-Id", id, sizeof(id));
	out = malloc(512);
	if (out == NULL)
		abort();
	snprintf(out, 512,
	    "HTTP/1.1 200 OK\r\nX-Jacinthhill-Attempt-Id: %s\r\n"
	    "X-Jacinthhill-Instance-Id: %s\r\n"
	    "X-Jacinthhill-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    id, w->id, body_len);
	return out;
}
