/*
 * Many users come at once with long requests, each inside the limits. Rule
 * LOST: a router doesn't close kept connections without an answer after it has
 * passed their requests on to a sound worker.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

/* As many as usual, and in the burst: 2.4 times as many. */
#define USUAL 10
#define BURST 24
#define BODY_BYTES 4000000
#define WORK_MSEC 2000
/* Between the requests of two clients. */
#define APART_MSEC 60
#define DEADLINE_MSEC 5000
/* LOST allows so many. */
#define TOLERATED 3

static struct rig_router router;
static char body[BODY_BYTES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool has_run[BURST];

struct client {
	unsigned int number, status;
	bool answered;
	uint64_t sent_at, ended_at;
};

static void
serve(struct rig_worker *w, int fd, const struct rig_message *request)
{
	char *head, id[64] = "";

	if (!rig_field(
		request->head, "X-Jacinthhill-Attempt-Id", id, sizeof(id)))
		return;
	if (id[0] == 'r') {
		pthread_mutex_lock(&lock);
		has_run[strtoul(id + 1, NULL, 10)] = true;
		pthread_mutex_unlock(&lock);
		rig_note("worker: runs %s, body of %zu bytes", id,
		    request->body_len);
		rig_sleep(WORK_MSEC);
	}
	head = rig_response_head(request, w, 2);
	rig_send(fd, head, strlen(head));
	rig_send(fd, "ok", 2);
	free(head);
}

static json_t *
config(void)
{
	return json_pack(
	    "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:i}], "
	    "s:[{s:s}], s:{s:i, s:i, s:i, s:i}}",
	    "version", 1, "routes", "name", "pay", "host", "h.example",
	    "pathPrefix", "/pay/", "kind", "non_idempotent", "timeoutMs",
	    DEADLINE_MSEC, "targetLatencyMs", 1500, "service", "app",
	    "attempts", 1, "priority", 2, "services", "name", "app", "limits",
	    "headerBytes", 16384, "bodyBytes", 4194304, "headerTimeoutMs", 5000,
	    "idleTimeoutMs", 10000);
}

/* Sends a request and returns the status of its answer, 0: none. */
static unsigned int
call(int fd, const char *id, size_t len)
{
	struct rig_message answer;
	unsigned int status;
	char head[512];

	snprintf(head, sizeof(head),
	    "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Jacinthhill-Attempt-Id: %s\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: %d\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    id, DEADLINE_MSEC, len);
	(void)(rig_send(fd, head, strlen(head)) && rig_send(fd, body, len));
	rig_receive(fd, 0, &answer);
	status = answer.complete ? rig_status(&answer) : 0;
	rig_message_clear(&answer);
	return status;
}

static void *
run_client(void *arg)
{
	struct client *c = arg;
	int fd = rig_connect(router.clients, 0, 0);
	char id[32];

	if (fd < 0)
		rig_give_up("a client cannot connect");
	/* The connection is kept: it has served a request. */
	snprintf(id, sizeof(id), "first%u", c->number);
	if (call(fd, id, 100) != 200)
		rig_give_up("a first request was not served");
	rig_sleep(1000 + c->number * APART_MSEC);
	c->sent_at = rig_now();
	snprintf(id, sizeof(id), "r%u", c->number);
	c->status = call(fd, id, sizeof(body));
	c->ended_at = rig_now();
	close(fd);
	return NULL;
}

int
main(void)
{
	struct rig_worker worker = {.id = "i-app-1", .serve = serve};
	struct client client[BURST] = {0};
	unsigned int n = rig_trouble() ? BURST : USUAL, lost = 0, i;
	pthread_t thread[BURST];
	long memory;

	memset(body, 'x', sizeof(body));
	rig_start();
	rig_put("config", "main", config());
	rig_worker_start(&worker, "app", NULL);
	rig_router_start(&router, "frontend-1", 110);
	rig_router_await_ready(&router);
	rig_sleep(4500);
	rig_note(
	    "%u clients, each with one request of %d bytes", n, BODY_BYTES);
	for (i = 0; i < n; i++) {
		client[i].number = i;
		if (pthread_create(&thread[i], NULL, run_client, &client[i]) !=
		    0)
			rig_give_up("no thread");
	}
	rig_sleep(2500);
	memory = rig_router_memory(&router);
	for (i = 0; i < n; i++)
		pthread_join(thread[i], NULL);
	for (i = 0; i < n; i++) {
		rig_note("client: r%u %s and has status %u after %u ms", i,
		    has_run[i] ? "has run" : "has not run", client[i].status,
		    (unsigned int)(client[i].ended_at - client[i].sent_at));
		lost += has_run[i] && client[i].status == 0 &&
			client[i].ended_at - client[i].sent_at < DEADLINE_MSEC;
	}
	rig_note("the router has %ld KB, of 110 MB", memory);
	rig_note(
	    "%u of %u kept connections were closed without an answer after "
	    "their request was passed on; LOST allows %d",
	    lost, n, TOLERATED);
	rig_stop();
	return lost > TOLERATED ? RIG_BROKEN : RIG_HELD;
}
