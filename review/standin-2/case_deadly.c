/*
 * A request that has been served begins to crash the workers that run it, and
 * comes again and again. Rule BUDGET: it reaches workers in three retries at
 * most later than contactMs after its third crash.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define ROUTERS 2
#define WORKERS 6
#define CONTACT_MSEC 4000
#define ALLOWED 3
/* From the arrival to the crash, and from there to the next start. */
#define RUN_MSEC 40
#define DOWN_MSEC 2000
#define SOUND_RUN_MSEC 150
#define SOUND_CLIENTS 4
#define DEADLY_MSEC 1000
#define TEST_MSEC 40000
#define SERVED_FIRST 3

static struct rig_router router[ROUTERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool crashes; /* whether the request does so by now */
static unsigned int arrivals, crashed, late, sound_sent, sound_lost;
static uint64_t third_at; /* of the crashes; 0: not yet */
static bool ended;

static void
run_deadly(struct rig_worker *w, const char *id)
{
	uint64_t now = rig_now();
	unsigned int n;

	pthread_mutex_lock(&lock);
	arrivals++;
	if (third_at != 0 && now > third_at + CONTACT_MSEC) {
		late++;
		rig_note("worker %s: %s arrives %u ms after the third crash",
		    w->id, id, (unsigned int)(now - third_at));
	}
	pthread_mutex_unlock(&lock);
	rig_sleep(RUN_MSEC);
	pthread_mutex_lock(&lock);
	n = ++crashed;
	if (n == 3)
		third_at = rig_now();
	pthread_mutex_unlock(&lock);
	rig_note("worker %s: %s crashes it, crash %u", w->id, id, n);
	rig_worker_crash(w, DOWN_MSEC);
}

static void
serve(struct rig_worker *w, int fd, const struct rig_message *request)
{
	char *head, id[64] = "";
	bool deadly;

	if (!rig_field(
		request->head, "X-Jacinthhill-Attempt-Id", id, sizeof(id)))
		return;
	pthread_mutex_lock(&lock);
	deadly = crashes && strstr(request->head, "/look/deadly ") != NULL;
	pthread_mutex_unlock(&lock);
	if (deadly) {
		run_deadly(w, id);
		return;
	}
	rig_sleep(
	    strstr(request->head, "/pay/") != NULL ? SOUND_RUN_MSEC : RUN_MSEC);
	head = rig_response_head(request, w, 2);
	if (rig_send(fd, head, strlen(head)))
		rig_send(fd, "ok", 2);
	free(head);
}

static json_t *
config(void)
{
	json_t *routes =
	    json_pack("[{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:i}, "
		      "{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:i}]",
		"name", "look", "host", "h.example", "pathPrefix", "/look/",
		"kind", "idempotent", "timeoutMs", 1500, "targetLatencyMs", 200,
		"service", "app", "attempts", 2, "priority", 2, "name", "pay",
		"host", "h.example", "pathPrefix", "/pay/", "kind",
		"non_idempotent", "timeoutMs", 1500, "targetLatencyMs", 200,
		"service", "app", "attempts", 1, "priority", 2);

	return json_pack("{s:i, s:o, s:[{s:s}], s:{s:i, s:i, s:i, s:i}}",
	    "version", 1, "routes", routes, "services", "name", "app", "limits",
	    "headerBytes", 16384, "bodyBytes", 4194304, "headerTimeoutMs", 5000,
	    "idleTimeoutMs", 10000);
}

static unsigned int
call(unsigned int number, const char *method, const char *path, const char *id)
{
	struct rig_message answer;
	unsigned int status;
	char request[512];
	int fd = rig_connect(router[number].clients, 0, 0);

	if (fd < 0)
		return 0;
	snprintf(request, sizeof(request),
	    "%s %s HTTP/1.1\r\nHost: h.example\r\n"
	    "Connection: close\r\nX-Jacinthhill-Attempt-Id: %s\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: 1500\r\n"
	    "Content-Length: 0\r\n\r\n",
	    method, path, id);
	rig_send(fd, request, strlen(request));
	rig_receive(fd, 0, &answer);
	status = answer.complete ? rig_status(&answer) : 0;
	rig_message_clear(&answer);
	close(fd);
	return status;
}

/* Sound payments, each of its own path, to both routers in turn. */
static void *
send_sound(void *arg)
{
	unsigned int client = *(unsigned int *)arg, i, status;
	char path[32], id[32];

	for (i = 0; !__atomic_load_n(&ended, __ATOMIC_RELAXED); i++) {
		snprintf(path, sizeof(path), "/pay/%u-%u", client, i);
		snprintf(id, sizeof(id), "s%u-%u", client, i);
		status = call((client + i) % ROUTERS, "POST", path, id);
		pthread_mutex_lock(&lock);
		sound_sent++;
		sound_lost += status != 200;
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

int
main(void)
{
	struct rig_worker worker[WORKERS] = {0};
	char name[ROUTERS + WORKERS][32], id[32];
	unsigned int i, status;
	pthread_t thread[SOUND_CLIENTS];
	unsigned int number[SOUND_CLIENTS];
	uint64_t end;

	rig_start();
	rig_put("config", "main", config());
	for (i = 0; i < WORKERS; i++) {
		snprintf(name[i], sizeof(name[i]), "i-app-%u", i);
		worker[i].id = name[i];
		worker[i].serve = serve;
		rig_worker_start(&worker[i], "app", NULL);
	}
	for (i = 0; i < ROUTERS; i++) {
		snprintf(name[WORKERS + i], sizeof(name[0]), "frontend-%u", i);
		rig_router_start(&router[i], name[WORKERS + i], 110);
	}
	for (i = 0; i < ROUTERS; i++)
		rig_router_await_ready(&router[i]);
	rig_sleep(CONTACT_MSEC + 500);
	for (i = 0; i < SOUND_CLIENTS; i++) {
		number[i] = i;
		if (pthread_create(&thread[i], NULL, send_sound, &number[i]) !=
		    0)
			rig_give_up("no thread");
	}
	end = rig_now() + TEST_MSEC;
	for (i = 0; rig_now() < end; i++) {
		if (i == SERVED_FIRST) {
			pthread_mutex_lock(&lock);
			crashes = rig_trouble();
			pthread_mutex_unlock(&lock);
		}
		snprintf(id, sizeof(id), "d%u", i);
		status = call(i % ROUTERS, "GET", "/look/deadly", id);
		rig_note("client: %s has status %u", id, status);
		rig_sleep(DEADLY_MSEC);
	}
	__atomic_store_n(&ended, true, __ATOMIC_RELAXED);
	for (i = 0; i < SOUND_CLIENTS; i++)
		pthread_join(thread[i], NULL);
	rig_note(
	    "%u of %u sound payments were not served", sound_lost, sound_sent);
	rig_note("the request reached workers %u times and crashed them %u "
		 "times; %u arrivals later than %d ms after the third crash, "
		 "%d are allowed",
	    arrivals, crashed, late, CONTACT_MSEC, ALLOWED);
	rig_stop();
	return late > ALLOWED ? RIG_BROKEN : RIG_HELD;
}
