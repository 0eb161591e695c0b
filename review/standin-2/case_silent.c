/*
 * The open connections to the store go silent, soon after a change of the
 * configuration; then a key is taken away. Rule CONFIG: routers that are in
 * touch refuse it configApplyMs after the acknowledgement.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

/* As in the grown deployment of this number of routers. */
#define ROUTERS 22
#define CONTACT_MSEC 4000
#define APPLY_MSEC 4000
/* Between the change and the silence. */
#define AFTER_CHANGE_MSEC 300
#define MARGIN_MSEC 50
#define SETTLE_MSEC 14000
#define WORK_MSEC 5
#define WATCH_MSEC 4500

static struct rig_router router[ROUTERS];
/* When the version without the key was acknowledged; 0: not yet. */
static uint64_t taken_at;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned int sent, ran, broken, broken_by[ROUTERS];

/* Whether a request was sent later than the bound. */
static bool
is_late(uint64_t sent_at)
{
	bool late;

	pthread_mutex_lock(&lock);
	late = taken_at != 0 && sent_at > taken_at + APPLY_MSEC;
	pthread_mutex_unlock(&lock);
	return late;
}

/* Ids are "ROUTER-MILLISECONDS": where and when a client sent the request. */
static void
serve(struct rig_worker *w, int fd, const struct rig_message *request)
{
	char *head, id[64] = "", tenant[32] = "", *rest;
	unsigned int number;
	uint64_t sent_at;

	if (!rig_field(
		request->head, "X-Jacinthhill-Attempt-Id", id, sizeof(id)))
		return;
	(void)rig_field(
	    request->head, "X-Jacinthhill-Tenant", tenant, sizeof(tenant));
	number = (unsigned int)strtoul(id, &rest, 10);
	sent_at = strtoull(rest + 1, NULL, 10);
	pthread_mutex_lock(&lock);
	ran++;
	pthread_mutex_unlock(&lock);
	if (strcmp(tenant, "alpha") == 0 && is_late(sent_at)) {
		pthread_mutex_lock(&lock);
		broken++;
		if (broken_by[number]++ == 0)
			rig_note("CONFIG: router %u had %s of tenant alpha "
				 "run, sent %u ms after its key was taken away",
			    number, id, (unsigned int)(sent_at - taken_at));
		pthread_mutex_unlock(&lock);
	}
	rig_sleep(WORK_MSEC);
	head = rig_response_head(request, w, 2);
	rig_send(fd, head, strlen(head));
	rig_send(fd, "ok", 2);
	free(head);
}

/* The same but for its version, and for the key of alpha in the last one. */
static json_t *
config(int version, bool has_key)
{
	json_t *keys =
	    has_key ? json_pack("[s]", "key-of-alpha") : json_array();

	return json_pack(
	    "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:i}], "
	    "s:[{s:s}], s:{s:i, s:i, s:i, s:i}, s:[{s:s, s:o}, {s:s, s:[s]}]}",
	    "version", version, "routes", "name", "pay", "host", "h.example",
	    "pathPrefix", "/pay/", "kind", "non_idempotent", "timeoutMs",
	    3000 + version, "targetLatencyMs", 200, "service", "app",
	    "attempts", 1, "priority", 2, "services", "name", "app", "limits",
	    "headerBytes", 16384, "bodyBytes", 4194304, "headerTimeoutMs", 5000,
	    "idleTimeoutMs", 10000, "tenants", "name", "alpha", "apiKeys", keys,
	    "name", "beta", "apiKeys", "key-of-beta");
}

/* Sends a request of alpha to the router, and returns the status. */
static unsigned int
pay(unsigned int number)
{
	struct rig_message answer;
	unsigned int status;
	char request[512];
	int fd = rig_connect(router[number].clients, 0, 0);

	if (fd < 0)
		rig_give_up("a client cannot connect");
	snprintf(request, sizeof(request),
	    "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\n"
	    "Connection: close\r\nApi-Key: key-of-alpha\r\n"
	    "X-Jacinthhill-Attempt-Id: %u-%llu\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: 3000\r\n"
	    "Content-Length: 4\r\n\r\nbody",
	    number, (unsigned long long)rig_now());
	rig_send(fd, request, strlen(request));
	rig_receive(fd, 0, &answer);
	status = rig_status(&answer);
	rig_message_clear(&answer);
	close(fd);
	sent++;
	return status;
}

static void
put_config(int version, bool has_key)
{
	rig_put("config", "main", config(version, has_key));
	rig_note("operator: version %d is acknowledged%s", version,
	    has_key ? "" : ", without the key of alpha");
}

/* Sends to all routers in turn until that time. */
static void
send_until(uint64_t until)
{
	unsigned int status[600] = {0}, i, s;

	while (rig_now() < until) {
		for (i = 0; i < ROUTERS; i++) {
			s = pay(i);
			status[s < 600 ? s : 0]++;
		}
		rig_sleep(40);
	}
	for (i = 0; i < 600; i++)
		if (status[i] > 0)
			rig_note(
			    "clients: %u answers with status %u", status[i], i);
}

int
main(void)
{
	struct rig_worker worker = {.id = "i-app-1", .serve = serve};
	unsigned int proxy, i, routers = 0;
	uint64_t silent_at, bound;
	char name[32];

	rig_start();
	proxy = rig_proxy_start();
	rig_put("config", "main", config(1, true));
	rig_worker_start(&worker, "app", NULL);
	for (i = 0; i < ROUTERS; i++) {
		router[i].zone = i % 6;
		router[i].store = proxy;
		snprintf(name, sizeof(name), "frontend-%u", i);
		rig_router_start(&router[i], name, 110);
	}
	for (i = 0; i < ROUTERS; i++)
		rig_router_await_ready(&router[i]);
	rig_sleep(SETTLE_MSEC);
	put_config(2, true);
	rig_sleep(AFTER_CHANGE_MSEC);
	silent_at = rig_now();
	if (rig_trouble())
		rig_note("network: %u open connections to the store go silent",
		    rig_proxy_silence());
	send_until(silent_at + CONTACT_MSEC + MARGIN_MSEC);
	put_config(3, false);
	pthread_mutex_lock(&lock);
	taken_at = rig_now();
	pthread_mutex_unlock(&lock);
	bound = taken_at + APPLY_MSEC;
	send_until(bound);
	rig_note("the bound of %d ms has passed", APPLY_MSEC);
	send_until(bound + WATCH_MSEC);
	for (i = 0; i < ROUTERS; i++)
		routers += broken_by[i] > 0;
	rig_note("%u requests sent, %u run; %u of them break CONFIG, by %u of "
		 "%u routers",
	    sent, ran, broken, routers, ROUTERS);
	rig_stop();
	return broken > 0 ? RIG_BROKEN : RIG_HELD;
}
