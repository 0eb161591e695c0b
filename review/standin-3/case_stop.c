#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "rig.h"

/*
 * A router gets SIGTERM while clients read their streams slowly. The worker
 * makes each stream in less than a second, the clients take a few seconds more,
 * and the router has 8 s.
 */

#define CLIENTS 5

/* A stream, with events of the site's largest pieces. */
#define EVENTS 500
#define PIECE 300
#define EVENT_USEC 1500

/* The client reads so much, so often: about 37 kB a second. */
#define READ_BYTES 1300
#define READ_MSEC 35

/* The smallest buffer that the kernel has, and the default segment of TCP. */
#define CLIENT_BUFFER 2048
#define CLIENT_SEGMENT 536

#define DEADLINE_MSEC 15000
#define GRACE_MSEC 8000

static struct router router;
static atomic_uint begun, made, whole, cut;

static void
put_config(void)
{
	rig_put("config", "main",
	    json_pack("{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, "
		      "s:b, s:b, s:b, s:i}], s:[{s:s, s:s, s:i, s:{s:i, s:i, "
		      "s:i, s:i, s:[{s:s}]}}], s:{s:i, s:i, s:i, s:i}, "
		      "s:[{s:s, s:[s]}]}",
		"version", 1, "routes", "name", "reply", "host", "h.example",
		"pathPrefix", "/stream/", "kind", "streaming", "timeoutMs",
		DEADLINE_MSEC, "targetLatencyMs", 500, "priority", 0, "service",
		"llm", "attempts", 2, "public", 0, "sticky", 1, "resumable", 1,
		"targetGapMs", 400, "services", "name", "llm", "healthPath",
		"/health", "connectionLimit", 580, "engine", "slots", 96,
		"kvCapacityTokens", 71780, "kvTokenBytes", 262144, "linkMbps",
		550000, "models", "name", "m0", "limits", "headerBytes", 16384,
		"bodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs",
		15000, "tenants", "name", "t1", "apiKeys", "k1"));
	rig_put("versions", "m0",
	    json_pack("{s:s, s:i}", "model", "m0", "version", 1));
}

static bool
send_report(int fd)
{
	static const char body[] =
	    "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":"
	    "1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"waiting\":0,"
	    "\"running\":0,\"kvUsed\":0,\"kvTotal\":71780,\"handles\":0}";
	char text[512];

	g_snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    sizeof(body) - 1, body);
	return conn_send(fd, text, strlen(text));
}

static bool
send_event(int fd, unsigned int i)
{
	char piece[PIECE + 1], event[PIECE + 64], chunk[PIECE + 96];

	memset(piece, 'a' + (int)(i % 26), PIECE);
	piece[PIECE] = '\0';
	g_snprintf(event, sizeof(event), "id: %u\ndata: %s\n\n", i, piece);
	g_snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(event), event);
	return conn_send(fd, chunk, strlen(chunk));
}

static bool
respond(struct raw_worker *w, int fd, const char *head)
{
	char id[64] = "", text[512];
	unsigned int i;

	if (g_str_has_prefix(head, "GET /report "))
		return send_report(fd);
	(void)head_value(head, "X-Jacinthhill-Attempt-Id", id, sizeof(id));
	atomic_fetch_add(&begun, 1);
	rig_record("%s runs %s", w->id, id);
	g_snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Jacinthhill-Attempt-Id: %s\r\n"
	    "X-Jacinthhill-Response-Seal: s.%s\r\n"
	    "X-Jacinthhill-Weight-Versions: 1\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, id);
	if (!conn_send(fd, text, strlen(text)))
		return false;
	for (i = 1; i <= EVENTS; i++) {
		if (!send_event(fd, i)) {
			rig_record("%s: the stream of %s was cut", w->id, id);
			return false;
		}
		g_usleep(EVENT_USEC);
	}
	if (!conn_send(fd, "0\r\n\r\n", 5))
		return false;
	rig_record("%s has made all of %s", w->id, id);
	atomic_fetch_add(&made, 1);
	return true;
}

/* Reads up to the end of the connection, or of the stream. */
static bool
read_slowly(int fd, size_t *received)
{
	char buf[READ_BYTES], tail[5] = "";
	ssize_t n;

	for (*received = 0;; *received += (size_t)n) {
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			return false;
		if (n >= 5)
			memcpy(tail, buf + n - 5, 5);
		else {
			memmove(tail, tail + n, (size_t)(5 - n));
			memcpy(tail + 5 - n, buf, (size_t)n);
		}
		if (memcmp(tail, "0\r\n\r\n", 5) == 0) {
			*received += (size_t)n;
			return true;
		}
		rig_sleep(READ_MSEC);
	}
}

static void *
run_client(void *arg)
{
	unsigned int id = GPOINTER_TO_UINT(arg);
	int fd = conn_open_small(router.clients, CLIENT_BUFFER, CLIENT_SEGMENT);
	int64_t sent = rig_msec();
	size_t received = 0;
	char text[512];
	bool complete;

	g_snprintf(text, sizeof(text),
	    "POST /stream/reply HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Jacinthhill-Attempt-Id: s%u\r\nX-Jacinthhill-Model: m0\r\n"
	    "X-Jacinthhill-Token-Counts: 100,400\r\n"
	    "X-Jacinthhill-Prompt-Prefix: a%u:100\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: %d\r\n"
	    "Api-Key: k1\r\nContent-Length: 5\r\n\r\nhello",
	    id, id, DEADLINE_MSEC);
	if (fd < 0 || !conn_send(fd, text, strlen(text)))
		rig_fail("client %u cannot send", id);
	rig_record("client sends s%u", id);
	complete = read_slowly(fd, &received);
	rig_record("client has %zu bytes of s%u after %d ms: %s", received, id,
	    (int)(rig_msec() - sent), complete ? "complete" : "incomplete");
	atomic_fetch_add(complete ? &whole : &cut, 1);
	close(fd);
	return NULL;
}

int
main(int argc, char **argv)
{
	struct raw_worker worker = {
	    .id = "w1", .service = "llm", .model = "m0", .respond = respond};
	pthread_t clients[CLIENTS];
	unsigned int i;

	rig_start(argc, argv);
	rig_run();
	raw_worker_start(&worker);
	put_config();
	router_init(&router, "router-1", 160, 0);
	router_start(&router);
	router_await(&router);
	rig_sleep(4500); /* contactMs, without any disruption */
	for (i = 0; i < CLIENTS; i++)
		pthread_create(
		    &clients[i], NULL, run_client, GUINT_TO_POINTER(i));
	for (i = 0; i < 100 && atomic_load(&begun) < CLIENTS; i++)
		rig_sleep(10);
	rig_sleep(200);
	if (rig_trouble())
		router_signal(&router, SIGTERM);
	for (i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	if (rig_trouble() && !router_await_end(&router, GRACE_MSEC + 1000))
		rig_record("the router has not ended");
	rig_record("%u streams made whole by the worker, %u received whole, "
		   "%u cut",
	    atomic_load(&made), atomic_load(&whole), atomic_load(&cut));
	if (atomic_load(&begun) != CLIENTS)
		rig_fail("not all requests reached the worker");
	rig_finish(atomic_load(&cut) > 0 ? CASE_BROKEN : CASE_HELD);
}
