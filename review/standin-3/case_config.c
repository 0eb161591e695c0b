#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "fakes/platform/worker.h"
#include "fakes/port.h"

#include "rig.h"

/*
 * Many versions of a large configuration follow one another. The platform of
 * this case ends a process that exceeds the memory of its settings, as the
 * pages say, and counts the requests that lose their answer by it.
 */

#define ROUTERS 2
#define CLIENTS 8 /* of each router */
#define WORKERS 2

/* The smallest routers of the site. */
#define MEMORY_MB 160

/* Twelve times the largest growth of the site's pages, of 350 routes. */
#define MORE_ROUTES (12 * 350)

/* A storm of the site: a change each 330 ms, for 4 s. */
#define STORM_CHANGES 12
#define STORM_GAP_MSEC 330
#define STORMS 18
#define PAUSE_MSEC 700

/* Without the storms, the clients go on for this long. */
#define CALM_MSEC 20000

#define WORK_MSEC 400
#define RESTART_MSEC 500

static struct router routers[ROUTERS];
static atomic_bool over; /* the clients stop */
static atomic_bool finished; /* the platform stops */
static atomic_uint next_id;
static atomic_uint answered, refused, cut[ROUTERS], ends[ROUTERS];

#define MAX_REQUESTS 100000
static atomic_bool begun[MAX_REQUESTS]; /* a worker runs it, by id */

struct client {
	pthread_t thread;
	unsigned int router;
};

static json_t *
make_config(unsigned int version)
{
	json_t *routes = json_array();
	char name[32], prefix[32];
	unsigned int i;

	json_array_append_new(routes,
	    json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, "
		      "s:b, s:b}",
		"name", "dispatch", "host", "h.example", "pathPrefix", "/once/",
		"kind", "non_idempotent", "timeoutMs", 1200, "targetLatencyMs",
		200, "priority", 2, "service", "app", "attempts", 1, "public",
		0, "sticky", 0, "resumable", 0));
	for (i = 0; i < MORE_ROUTES; i++) {
		g_snprintf(name, sizeof(name), "r-%07ux%u", i * 7919, i);
		g_snprintf(prefix, sizeof(prefix), "/more%u/x%u/", i, i % 10);
		json_array_append_new(routes,
		    json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, "
			      "s:b, s:b, s:b}",
			"name", name, "host", "h.example", "pathPrefix", prefix,
			"kind", "idempotent", "timeoutMs",
			i == 0 ? 1200 + (int)(version % 100) : 1200,
			"targetLatencyMs", 200, "priority", 2, "service", "app",
			"attempts", 2, "public", 0, "sticky", 0, "resumable",
			0));
	}
	return json_pack("{s:i, s:o, s:[{s:s, s:s, s:i}], s:{s:i, s:i, s:i, "
			 "s:i}, s:[{s:s, s:[s]}]}",
	    "version", (int)version, "routes", routes, "services", "name",
	    "app", "healthPath", "/health", "connectionLimit", 190, "limits",
	    "headerBytes", 16384, "bodyBytes", 4194304, "headerTimeoutMs", 3000,
	    "idleTimeoutMs", 15000, "tenants", "name", "t1", "apiKeys", "k1");
}

static void
put_config(unsigned int version)
{
	json_t *config = make_config(version);
	char *text = json_dumps(config, JSON_COMPACT);

	rig_record("configuration %u of %zu bytes", version, strlen(text));
	if (strlen(text) > 1048576)
		rig_fail("it is larger than a value of the store may be");
	free(text);
	rig_put("config", "main", config);
}

static void
on_ran(void *arg, struct fake_worker *w, const struct jh_head *head,
    struct jh_str body)
{
	struct jh_str id = jh_head_get(head, "X-Jacinthhill-Attempt-Id");
	unsigned long n;

	if (id.len < 2)
		return;
	n = strtoul(id.ptr + 1, NULL, 16);
	if (n < MAX_REQUESTS)
		atomic_store(&begun[n], true);
}

static const struct fake_worker_ops worker_ops = {.ran = on_ran};

/* Sends one request on a kept connection; returns false if it must close. */
static bool
request(struct client *c, int fd)
{
	struct response r;
	char text[512];
	unsigned int id = atomic_fetch_add(&next_id, 1) % MAX_REQUESTS;

	g_snprintf(text, sizeof(text),
	    "POST /once/pay HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Jacinthhill-Attempt-Id: a%08x\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: 1200\r\n"
	    "Api-Key: k1\r\nContent-Length: 5\r\n\r\nhello",
	    id);
	if (!conn_send(fd, text, strlen(text)))
		return false;
	conn_read(fd, 3000, &r);
	if (r.complete && r.status == 200)
		atomic_fetch_add(&answered, 1);
	else if (r.complete)
		atomic_fetch_add(&refused, 1);
	else {
		rig_record("request a%08x at %s has no answer%s", id,
		    routers[c->router].name,
		    atomic_load(&begun[id]) ? ", though a worker ran it" : "");
		if (atomic_load(&begun[id]))
			atomic_fetch_add(&cut[c->router], 1);
	}
	return r.complete && !r.close;
}

static void *
run_client(void *arg)
{
	struct client *c = arg;
	int fd = -1;

	while (!atomic_load(&over)) {
		if (fd < 0)
			fd = conn_open(routers[c->router].clients);
		if (fd < 0) {
			rig_sleep(100);
			continue;
		}
		if (!request(c, fd)) {
			close(fd);
			fd = -1;
			rig_sleep(50);
		}
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

/* The platform ends processes that exceed their memory, and restarts them. */
static void *
watch_memory(void *arg)
{
	int64_t restart[ROUTERS] = {0}, shown = 0;
	unsigned int i;
	long kb;

	while (!atomic_load(&finished)) {
		for (i = 0; i < ROUTERS; i++) {
			struct router *r = &routers[i];
			if (r->pid == 0) {
				if (rig_msec() >= restart[i])
					router_start(r);
				continue;
			}
			kb = router_memory(r);
			if (rig_msec() >= shown)
				rig_record("%s has %ld KB", r->name, kb);
			if (kb <= (long)r->memory_mb * 1024)
				continue;
			rig_record("%s has %ld KB of %u MB: it is killed",
			    r->name, kb, r->memory_mb);
			router_signal(r, SIGKILL);
			(void)router_await_end(r, 2000);
			atomic_fetch_add(&ends[i], 1);
			restart[i] = rig_msec() + RESTART_MSEC;
		}
		if (rig_msec() >= shown)
			shown = rig_msec() + 2000;
		rig_sleep(20);
	}
	return NULL;
}

static bool
all_ended(void)
{
	unsigned int i;

	for (i = 0; i < ROUTERS; i++)
		if (atomic_load(&ends[i]) == 0)
			return false;
	return true;
}

static void
change_configuration(void)
{
	unsigned int version = 2, storm, i;

	for (storm = 0; storm < STORMS && !all_ended(); storm++) {
		for (i = 0; i < STORM_CHANGES && !all_ended(); i++) {
			put_config(version++);
			rig_sleep(STORM_GAP_MSEC);
		}
		rig_sleep(PAUSE_MSEC);
	}
}

int
main(int argc, char **argv)
{
	struct fake_worker_spec spec = {
	    .service = "app", .work_msec = WORK_MSEC, .ops = &worker_ops};
	struct client clients[ROUTERS * CLIENTS];
	pthread_t watcher;
	bool broken = false;
	unsigned int i;

	rig_start(argc, argv);
	for (i = 0; i < WORKERS; i++) {
		spec.number = i;
		spec.port = fake_port();
		(void)fake_worker_create(rig_loop(), rig_store(), &spec);
	}
	rig_run();
	put_config(1);
	for (i = 0; i < ROUTERS; i++) {
		router_init(&routers[i], i == 0 ? "router-1" : "router-2",
		    MEMORY_MB, 0);
		router_start(&routers[i]);
	}
	for (i = 0; i < ROUTERS; i++)
		router_await(&routers[i]);
	for (i = 0; i < ROUTERS * CLIENTS; i++) {
		clients[i].router = i % ROUTERS;
		pthread_create(
		    &clients[i].thread, NULL, run_client, &clients[i]);
	}
	pthread_create(&watcher, NULL, watch_memory, NULL);
	if (rig_trouble())
		change_configuration();
	else
		rig_sleep(CALM_MSEC);
	rig_sleep(1000);
	atomic_store(&over, true);
	for (i = 0; i < ROUTERS * CLIENTS; i++)
		pthread_join(clients[i].thread, NULL);
	atomic_store(&finished, true);
	pthread_join(watcher, NULL);
	rig_record("%u answered, %u refused or failed", atomic_load(&answered),
	    atomic_load(&refused));
	for (i = 0; i < ROUTERS; i++) {
		rig_record("%s: %u ends by memory, %u requests that ran cut",
		    routers[i].name, atomic_load(&ends[i]),
		    atomic_load(&cut[i]));
		broken |= atomic_load(&ends[i]) > 0 && atomic_load(&cut[i]) > 3;
	}
	if (atomic_load(&answered) == 0)
		rig_fail("no request was served");
	rig_finish(broken ? CASE_BROKEN : CASE_HELD);
}
