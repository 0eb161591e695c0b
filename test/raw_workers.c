#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>

#include "fakes/port.h"
#include "raw_request.h"
#include "raw_workers.h"

/* Connections open at a time; more are closed at once. */
#define MAX_CONNECTIONS 64

#define MAX_HEAD_LEN 8192

/* Texts of scripts are kept in blocks of this size. */
#define TEXT_BLOCK_LEN 4096

struct raw_worker {
	int listener;
	pthread_t thread;
};

static struct platform *platform;
static struct raw_worker workers[RAW_MAX_WORKERS];
static unsigned int n_workers;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GArray *script; /* struct raw_response; its texts are in the chunk */
static GStringChunk *texts; /* of all scripts, until all workers have stopped */
static unsigned int next_response;
static char *last_head;
static int connection[MAX_CONNECTIONS]; /* -1: none */
static unsigned int connections; /* open */
static pthread_cond_t closed = PTHREAD_COND_INITIALIZER;

static void
write_text(int fd, const char *text)
{
	(void)send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/*
 * A response after which the connection is closed says so: a request that
 * crosses the close would fail for that.
 */
static void
write_response(int fd, const struct raw_response *r)
{
	const char *fields = strstr(r->text, "\r\n");
	char *text;

	if (r->keep || fields == NULL) {
		write_text(fd, r->text);
		return;
	}
	text = g_strdup_printf("%.*s\r\nConnection: close%s",
	    (int)(fields - r->text), r->text, fields);
	write_text(fd, text);
	g_free(text);
}

static void
write_flood(int fd, const char *text)
{
	size_t len = strlen(text), sent = 0;
	ssize_t n = 0;

	while (n >= 0 && sent < RAW_MAX_FLOOD_LEN) {
		n = send(fd, text, len, MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
	}
}

/* The response to a request that is not the script's: a probe. */
static bool
respond_to_probe(int fd)
{
	write_text(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
	return false;
}

static struct raw_response
take_response(const char *head)
{
	struct raw_response r = {.text = "", .reset = true};

	pthread_mutex_lock(&lock);
	g_free(last_head);
	last_head = g_strdup(head);
	if (next_response < script->len)
		r = g_array_index(script, struct raw_response, next_response);
	next_response++;
	pthread_mutex_unlock(&lock);
	return r;
}

/* Serves one request; returns whether another may follow. */
static bool
serve(int fd)
{
	const struct linger linger = {1, 0};
	struct raw_response r;
	char buf[MAX_HEAD_LEN];

	if (!raw_request_read_head(fd, buf, sizeof(buf)))
		return false;
	if (g_str_has_prefix(buf, "GET"))
		return respond_to_probe(fd);
	r = take_response(buf);
	if (!raw_request_skip(
		fd, r.early ? r.taken : raw_request_body_len(buf)))
		return false;
	write_response(fd, &r);
	if (r.copy != NULL) {
		g_usleep(r.copy_msec * 1000);
		write_text(fd, r.copy);
	}
	if (r.flood != NULL)
		write_flood(fd, r.flood);
	g_usleep(r.reset_msec * 1000);
	if (r.reset)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	return r.keep;
}

static void *
run_connection(void *arg)
{
	unsigned int slot = GPOINTER_TO_UINT(arg);
	int fd;

	pthread_mutex_lock(&lock);
	fd = connection[slot];
	pthread_mutex_unlock(&lock);
	while (serve(fd))
		;
	pthread_mutex_lock(&lock);
	connection[slot] = -1;
	connections--;
	close(fd);
	pthread_cond_signal(&closed);
	pthread_mutex_unlock(&lock);
	return NULL;
}

static void
start_connection(int fd)
{
	unsigned int slot = 0;
	pthread_t thread;

	pthread_mutex_lock(&lock);
	while (slot < MAX_CONNECTIONS && connection[slot] >= 0)
		slot++;
	if (slot < MAX_CONNECTIONS) {
		connection[slot] = fd;
		connections++;
		pthread_create(
		    &thread, NULL, run_connection, GUINT_TO_POINTER(slot));
		pthread_detach(thread);
	} else {
		close(fd);
	}
	pthread_mutex_unlock(&lock);
}

static void *
run_worker(void *arg)
{
	struct raw_worker *w = arg;
	int fd;

	while ((fd = accept(w->listener, NULL, NULL)) >= 0)
		start_connection(fd);
	return NULL;
}

static void
start_worker(unsigned int number, bool plain)
{
	struct raw_worker *w = &workers[number];
	struct sockaddr_in address = fake_loopback(fake_port());
	char *name = g_strdup_printf("w%u", number);
	char *at =
	    g_strdup_printf("127.0.0.1:%u", (unsigned)ntohs(address.sin_port));
	json_t *entry;

	w->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
	    bind(w->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(w->listener, MAX_CONNECTIONS), 0);
	pthread_create(&w->thread, NULL, run_worker, w);
	entry = json_pack("{s:s, s:s, s:s, s:i, s:s, s:i, s:i}", "service",
	    "llm", "address", at, "zone", "z0", "slots", 8, "state", "ready",
	    "sequence", 1, "born", 1);
	if (!plain)
		json_object_set_new(entry, "models",
		    json_pack("[{s:s, s:i}]", "name", "m1", "version", 1));
	platform_put(platform, "servers", name, entry);
	g_free(at);
	g_free(name);
}

/* Whether the router has the workers in its list. */
static bool
knows_workers(void)
{
	struct call_spec spec = {.port = platform_metrics_port(platform),
	    .method = "GET",
	    .path = "/metrics"};
	char *line = g_strdup_printf("\njh_workers %u\n", n_workers);
	struct call *c = call_run(&spec);
	bool known = strstr(call_body(c), line) != NULL;

	call_free(c);
	g_free(line);
	return known;
}

struct platform *
raw_workers_start(unsigned int n, bool plain)
{
	const struct platform_spec spec = {.routers = 1, .plain = plain};

	return raw_workers_start_with(n, &spec);
}

struct platform *
raw_workers_start_with(unsigned int n, const struct platform_spec *spec)
{
	unsigned int i;

	for (i = 0; i < MAX_CONNECTIONS; i++)
		connection[i] = -1;
	script = g_array_new(FALSE, FALSE, sizeof(struct raw_response));
	texts = g_string_chunk_new(TEXT_BLOCK_LEN);
	platform = platform_create(spec);
	assert_in_range(n, 1, RAW_MAX_WORKERS);
	n_workers = n;
	for (i = 0; i < n; i++)
		start_worker(i, spec->plain);
	await(knows_workers());
	return platform;
}

void
raw_workers_stop(void)
{
	unsigned int i;

	platform_stop(platform);
	for (i = 0; i < n_workers; i++) {
		shutdown(workers[i].listener, SHUT_RDWR);
		pthread_join(workers[i].thread, NULL);
		close(workers[i].listener);
	}
	pthread_mutex_lock(&lock);
	for (i = 0; i < MAX_CONNECTIONS; i++)
		if (connection[i] >= 0)
			shutdown(connection[i], SHUT_RDWR);
	while (connections > 0)
		pthread_cond_wait(&closed, &lock);
	pthread_mutex_unlock(&lock);
	g_clear_pointer(&last_head, g_free);
	g_array_free(script, TRUE);
	g_string_chunk_free(texts);
}

/* A worker may still write a text when the client has its response. */
static const char *
keep_text(const char *text)
{
	return text == NULL ? NULL : g_string_chunk_insert_const(texts, text);
}

int
raw_workers_tear_down(void **state)
{
	raw_workers_stop();
	return 0;
}

char *
raw_workers_ask(const char *path)
{
	return platform_ask(
	    platform, "POST", path, RAW_REQUEST_FIELDS "Content-Length: 0\r\n");
}

void
raw_workers_script(const struct raw_response *responses, unsigned int n)
{
	struct raw_response r;
	unsigned int i;

	pthread_mutex_lock(&lock);
	g_array_set_size(script, 0);
	for (i = 0; i < n; i++) {
		r = responses[i];
		r.text = keep_text(r.text);
		r.copy = keep_text(r.copy);
		r.flood = keep_text(r.flood);
		g_array_append_val(script, r);
	}
	next_response = 0;
	pthread_mutex_unlock(&lock);
}

int
raw_workers_requests(void)
{
	int n;

	pthread_mutex_lock(&lock);
	n = (int)next_response;
	pthread_mutex_unlock(&lock);
	return n;
}

char *
raw_workers_last_head(void)
{
	char *head;

	pthread_mutex_lock(&lock);
	head = g_strdup(last_head);
	pthread_mutex_unlock(&lock);
	return head;
}
