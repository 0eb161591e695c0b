/*
 * An organisation becomes isolated by a change of the configuration. Rule WALL:
 * from then on no request uses KV cache that a request of another tenant made,
 * if one of the two is isolated.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

/* configApplyMs of the small deployments, and a margin. */
#define APPLY_MSEC 2500
#define MARGIN_MSEC 2000
#define PROMPTS 3
#define MAX_PARTS 64
#define EVENTS 4

static struct rig_router router;

/* A part that the worker keeps: found under the same salt and id only. */
struct part {
	char salt[128], id[32], tenant[32];
};

/* What the worker keeps; it serves one request at a time. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct part kept[MAX_PARTS];
static size_t n_kept;
/* The tenant that is isolated by the configuration in force, or "". */
static const char *isolated = "";
static unsigned int broken, uses;

static const struct part *
find_part(const char *salt, const char *id)
{
	size_t i;

	for (i = 0; i < n_kept; i++)
		if (strcmp(kept[i].salt, salt) == 0 &&
		    strcmp(kept[i].id, id) == 0)
			return &kept[i];
	return NULL;
}

static void
keep_part(const char *salt, const char *id, const char *tenant)
{
	struct part *p;

	if (n_kept == MAX_PARTS)
		rig_give_up("the worker's cache is full");
	p = &kept[n_kept++];
	snprintf(p->salt, sizeof(p->salt), "%s", salt);
	snprintf(p->id, sizeof(p->id), "%s", id);
	snprintf(p->tenant, sizeof(p->tenant), "%s", tenant);
}

static void
judge(const char *id, const char *tenant, const struct part *p)
{
	if (strcmp(p->tenant, tenant) == 0)
		return;
	uses++;
	rig_note("worker: %s of tenant %s uses part %s that %s made, salt "
		 "\"%s\"",
	    id, tenant, p->id, p->tenant, p->salt);
	if (strcmp(isolated, tenant) != 0 && strcmp(isolated, p->tenant) != 0)
		return;
	broken++;
	rig_note("WALL: %s is isolated", isolated);
}

/* Reads the prompt: takes the first parts from the cache, computes the rest. */
static void
read_prompt(const struct rig_message *request, const char *id)
{
	char salt[128] = "", tenant[32] = "", prefix[512] = "", *part, *rest;
	const struct part *p;
	bool hit = true;

	(void)rig_field(
	    request->head, "X-Jacinthhill-Cache-Salt", salt, sizeof(salt));
	(void)rig_field(
	    request->head, "X-Jacinthhill-Tenant", tenant, sizeof(tenant));
	(void)rig_field(request->head, "X-Jacinthhill-Prompt-Prefix", prefix,
	    sizeof(prefix));
	rig_note("worker: runs %s of tenant %s, salt \"%s\", prompt %s", id,
	    tenant, salt, prefix);
	for (part = strtok_r(prefix, ",", &rest); part != NULL;
	     part = strtok_r(NULL, ",", &rest)) {
		part[strcspn(part, ":")] = '\0';
		p = hit ? find_part(salt, part) : NULL;
		hit = p != NULL;
		if (hit)
			judge(id, tenant, p);
		else
			keep_part(salt, part, tenant);
	}
}

static void
send_events(int fd, const struct rig_worker *w, const char *id)
{
	char text[512], event[64];
	int i, n;

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Jacinthhill-Attempt-Id: %s\r\n"
	    "X-Jacinthhill-Instance-Id: %s\r\n"
	    "X-Jacinthhill-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
	    "X-Jacinthhill-Weight-Versions: 1\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, w->id);
	rig_send(fd, text, strlen(text));
	for (i = 1; i <= EVENTS; i++) {
		n = snprintf(
		    event, sizeof(event), "id: %d\ndata: t%d\n\n", i, i);
		snprintf(
		    text, sizeof(text), "%x\r\n%s\r\n", (unsigned int)n, event);
		rig_send(fd, text, strlen(text));
		rig_sleep(20);
	}
	rig_send(fd, "0\r\n\r\n", 5);
}

static void
send_report(int fd, const struct rig_worker *w)
{
	static const char report[] =
	    "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m1\","
	    "\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,"
	    "\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":83645,"
	    "\"handles\":0}";
	char text[512];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Jacinthhill-Instance-Id: %s\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    w->id, strlen(report), report);
	rig_send(fd, text, strlen(text));
}

static void
serve(struct rig_worker *w, int fd, const struct rig_message *request)
{
	char id[64] = "";

	if (strncmp(request->head, "GET /report ", 12) == 0) {
		send_report(fd, w);
		return;
	}
	if (!rig_field(
		request->head, "X-Jacinthhill-Attempt-Id", id, sizeof(id)))
		return;
	pthread_mutex_lock(&lock);
	read_prompt(request, id);
	send_events(fd, w, id);
	pthread_mutex_unlock(&lock);
}

static json_t *
config(int version, bool is_isolated)
{
	json_t *tenants =
	    json_pack("[{s:s, s:[s], s:b}, {s:s, s:[s], s:b}]", "name", "alpha",
		"apiKeys", "key-of-alpha", "isolated", (int)is_isolated, "name",
		"beta", "apiKeys", "key-of-beta", "isolated", 0);

	return json_pack(
	    "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:i, s:b, s:i}],"
	    " s:[{s:s, s:{s:i, s:i, s:i}}], s:{s:i, s:i, s:i, s:i}, s:o}",
	    "version", version, "routes", "name", "ask", "host", "h.example",
	    "pathPrefix", "/ask/", "kind", "streaming", "timeoutMs", 5000,
	    "targetLatencyMs", 1500, "service", "llm", "attempts", 1,
	    "priority", 2, "sticky", 1, "targetGapMs", 400, "services", "name",
	    "llm", "engine", "slots", 96, "kvCapacityTokens", 83645,
	    "kvTokenBytes", 262144, "limits", "headerBytes", 16384, "bodyBytes",
	    4194304, "headerTimeoutMs", 5000, "idleTimeoutMs", 10000, "tenants",
	    tenants);
}

/* Sends one request, whose last prompt part is its own. */
static void
ask(const char *tenant, int prompt, const char *id)
{
	struct rig_message answer;
	char request[1024];
	int fd = rig_connect(router.clients, 0, 0);

	snprintf(request, sizeof(request),
	    "POST /ask/%d HTTP/1.1\r\nHost: h.example\r\n"
	    "Connection: close\r\nApi-Key: key-of-%s\r\n"
	    "X-Jacinthhill-Attempt-Id: %s\r\nX-Jacinthhill-Model: m1\r\n"
	    "X-Jacinthhill-Token-Counts: 1460,4\r\n"
	    "X-Jacinthhill-Prompt-Prefix: "
	    "5c1e07a%d:800,91bd3f0%d:410,%s:250\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: 5000\r\n"
	    "Content-Length: 4\r\n\r\nbody",
	    prompt, tenant, id, prompt, prompt, id);
	if (fd < 0 || !rig_send(fd, request, strlen(request)))
		rig_give_up("a client cannot send");
	rig_receive(fd, 0, &answer);
	rig_note("client: %s of tenant %s has status %u, %s", id, tenant,
	    rig_status(&answer), answer.complete ? "complete" : "cut off");
	if (rig_status(&answer) != 200 || !answer.complete)
		rig_give_up("a request was not served");
	rig_message_clear(&answer);
	close(fd);
}

static void
put_config(int version, bool is_isolated)
{
	rig_put("config", "main", config(version, is_isolated));
	rig_note("operator: version %d is acknowledged, alpha is%s isolated",
	    version, is_isolated ? "" : " not");
	rig_sleep(APPLY_MSEC + MARGIN_MSEC);
	isolated = is_isolated ? "alpha" : "";
}

int
main(void)
{
	struct rig_worker worker = {.id = "i-llm-1", .serve = serve};
	char id[32];
	int i;

	rig_start();
	rig_put("versions", "m1",
	    json_pack("{s:s, s:i}", "model", "m1", "version", 1));
	rig_worker_start(&worker, "llm", "m1");
	rig_router_start(&router, "frontend-1", 110);
	put_config(1, !rig_trouble());
	rig_router_await_ready(&router);
	for (i = 0; i < PROMPTS; i++) {
		snprintf(id, sizeof(id), "a%d%06x", i, 0x10 + i);
		ask("alpha", i, id);
	}
	put_config(2, true);
	for (i = 0; i < PROMPTS; i++) {
		snprintf(id, sizeof(id), "b%d%06x", i, 0x10 + i);
		ask("beta", i, id);
	}
	for (i = 0; i < PROMPTS; i++) {
		snprintf(id, sizeof(id), "a%d%06x", i, 0x20 + i);
		ask("alpha", i, id);
	}
	rig_note("%u uses of another tenant's part, %u of them break WALL",
	    uses, broken);
	rig_stop();
	return broken > 0 ? RIG_BROKEN : RIG_HELD;
}
