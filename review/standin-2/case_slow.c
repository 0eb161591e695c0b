/*
 * Clients that read slowly, and a stop of the router (SIGTERM) while their
 * requests run. Rule LOST: each request that was passed on to a worker has a
 * complete answer.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define CLIENTS 4
#define BODY_BYTES ((size_t)2 * 1024 * 1024)
#define READ_PER_SECOND ((size_t)400 * 1024)
/* Segments of an Ethernet link, and a small receive window. */
#define SEGMENT 1448
#define WINDOW 16384
#define WORK_MSEC 1200
#define DEADLINE_MSEC 15000
#define GRACE_MSEC 8000

static struct rig_router router;
static char body[BODY_BYTES];

struct client {
	unsigned int number;
	unsigned int status;
	size_t received;
	bool complete;
	uint64_t sent_at, ended_at;
};

static void
serve(struct rig_worker *w, int fd, const struct rig_message *request)
{
	char *head, id[64] = "";

	if (!rig_field(
		request->head, "X-Jacinthhill-Attempt-Id", id, sizeof(id)))
		return;
	rig_note("worker: runs %s", id);
	rig_sleep(WORK_MSEC);
	head = rig_response_head(request, w, sizeof(body));
	if (rig_send(fd, head, strlen(head)) &&
	    rig_send(fd, body, sizeof(body)))
		rig_note("worker: has sent the whole answer to %s", id);
	else
		rig_note("worker: could not send the answer to %s", id);
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
	    DEADLINE_MSEC, "targetLatencyMs", 3000, "service", "app",
	    "attempts", 1, "priority", 2, "services", "name", "app", "limits",
	    "headerBytes", 16384, "bodyBytes", 4194304, "headerTimeoutMs", 5000,
	    "idleTimeoutMs", 10000);
}

static void *
run_client(void *arg)
{
	struct client *c = arg;
	int fd = rig_connect(router.clients, SEGMENT, WINDOW);
	struct rig_message answer;
	char request[512];

	snprintf(request, sizeof(request),
	    "POST /pay/%u HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Jacinthhill-Attempt-Id: r%u\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: %d\r\n"
	    "Content-Length: 4\r\n\r\nbody",
	    c->number, c->number, DEADLINE_MSEC);
	if (fd < 0 || !rig_send(fd, request, strlen(request)))
		rig_give_up("a client cannot send");
	c->sent_at = rig_now();
	rig_note("client: has sent r%u", c->number);
	rig_receive(fd, READ_PER_SECOND, &answer);
	c->ended_at = rig_now();
	c->status = rig_status(&answer);
	c->received = answer.body_len;
	c->complete = answer.complete;
	rig_note("client: r%u has status %u, %zu of %zu bytes, %s", c->number,
	    c->status, c->received, sizeof(body),
	    c->complete ? "complete" : "the connection ended before its end");
	rig_message_clear(&answer);
	close(fd);
	return NULL;
}

/* Whether the request has what LOST asks for. */
static bool
judge(const struct client *c)
{
	if (c->complete || c->ended_at - c->sent_at >= DEADLINE_MSEC)
		return true;
	rig_note("LOST: r%u was passed on, and its connection ended after "
		 "%u ms without a complete answer",
	    c->number, (unsigned int)(c->ended_at - c->sent_at));
	return false;
}

int
main(void)
{
	struct rig_worker worker = {.id = "i-app-1", .serve = serve};
	struct client client[CLIENTS] = {0};
	pthread_t thread[CLIENTS];
	unsigned int i, broken = 0;
	int status;

	memset(body, 'x', sizeof(body));
	rig_start();
	rig_put("config", "main", config());
	rig_worker_start(&worker, "app", NULL);
	rig_router_start(&router, "frontend-1", 110);
	rig_router_await_ready(&router);
	/* In touch, for the rules: no disruption for contactMs before. */
	rig_sleep(4500);
	for (i = 0; i < CLIENTS; i++) {
		client[i].number = i;
		if (pthread_create(&thread[i], NULL, run_client, &client[i]) !=
		    0)
			rig_give_up("no thread");
	}
	rig_sleep(400);
	if (rig_trouble()) {
		rig_note("platform: SIGTERM to the router");
		kill(router.pid, SIGTERM);
		status = rig_router_await_exit(&router, GRACE_MSEC);
		rig_note("platform: the router has ended, status %d", status);
	}
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(thread[i], NULL);
		broken += !judge(&client[i]);
	}
	rig_note("%u of %u requests lost", broken, CLIENTS);
	rig_stop();
	return broken > 0 ? RIG_BROKEN : RIG_HELD;
}
