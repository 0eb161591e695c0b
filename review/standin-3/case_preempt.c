#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "rig.h"

/*
 * Of two workers one is full. The other preempts one stream after another in
 * the middle, for less time than clients wait, and then goes on with it.
 */

#define STREAMS 6
#define EVENTS 40
#define PIECE 50
#define EVENT_USEC 20000

/* After this event the stream is preempted, for so long. */
#define PREEMPTED_EVENT 10
#define PREEMPTED_MSEC 2300

#define DEADLINE_MSEC 15000

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
respond_full(struct raw_worker *w, int fd, const char *head)
{
	static const char full[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "X-Jacinthhill-Not-Executed: 1\r\n"
				   "Content-Length: 0\r\n\r\n";

	if (g_str_has_prefix(head, "GET /report "))
		return send_report(fd);
	rig_record("%s is full", w->id);
	return conn_send(fd, full, sizeof(full) - 1);
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
		if (i == PREEMPTED_EVENT && rig_trouble()) {
			rig_record("%s preempts %s", w->id, id);
			rig_sleep(PREEMPTED_MSEC);
		}
		g_usleep(EVENT_USEC);
	}
	if (!conn_send(fd, "0\r\n\r\n", 5))
		return false;
	rig_record("%s has made all of %s", w->id, id);
	atomic_fetch_add(&made, 1);
	return true;
}

/* Sends one stream after another on a kept connection. */
static void
run_client(void)
{
	struct response r;
	unsigned int id;
	char text[512];
	int64_t sent;
	int fd = -1;

	for (id = 0; id < STREAMS; id++) {
		if (fd < 0)
			fd = conn_open(router.clients);
		g_snprintf(text, sizeof(text),
		    "POST /stream/reply HTTP/1.1\r\nHost: h.example\r\n"
		    "X-Jacinthhill-Attempt-Id: s%u\r\n"
		    "X-Jacinthhill-Model: m0\r\n"
		    "X-Jacinthhill-Token-Counts: 100,40\r\n"
		    "X-Jacinthhill-Prompt-Prefix: a%u:100\r\n"
		    "X-Jacinthhill-Deadline-Milliseconds: %d\r\n"
		    "Api-Key: k1\r\nContent-Length: 5\r\n\r\nhello",
		    id, id, DEADLINE_MSEC);
		if (fd < 0 || !conn_send(fd, text, strlen(text)))
			rig_fail("the client cannot send");
		sent = rig_msec();
		rig_record("client sends s%u", id);
		conn_read(fd, DEADLINE_MSEC, &r);
		rig_record("client has status %u and %zu bytes of s%u after %d "
			   "ms: %s",
		    r.status, r.body_len, id, (int)(rig_msec() - sent),
		    r.complete ? "complete" : "incomplete");
		atomic_fetch_add(r.complete ? &whole : &cut, 1);
		if (!r.complete || r.close) {
			close(fd);
			fd = -1;
		}
	}
	if (fd >= 0)
		close(fd);
}

int
main(int argc, char **argv)
{
	struct raw_worker worker = {
	    .id = "w1", .service = "llm", .model = "m0", .respond = respond};
	struct raw_worker other = {.id = "w2",
	    .service = "llm",
	    .model = "m0",
	    .respond = respond_full};

	rig_start(argc, argv);
	rig_run();
	raw_worker_start(&worker);
	raw_worker_start(&other);
	put_config();
	router_init(&router, "router-1", 160, 0);
	router_start(&router);
	router_await(&router);
	rig_sleep(4500); /* contactMs, without any disruption */
	run_client();
	rig_record("%u streams received whole, %u cut", atomic_load(&whole),
	    atomic_load(&cut));
	if (atomic_load(&begun) < STREAMS)
		rig_fail("not all requests reached the worker");
	rig_finish(atomic_load(&cut) > 3 ? CASE_BROKEN : CASE_HELD);
}
