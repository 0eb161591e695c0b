#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "fakes/platform/worker.h"
#include "fakes/port.h"

#include "rig.h"

/*
 * The store turns one router away for 9 s and serves the other one. Meanwhile
 * the configuration changes in two storms; its last version moves a route to
 * another service and takes a key away.
 */

#define MEMORY_MB 160

/* Three times the largest growth of the site's pages, of 350 routes. */
#define MORE_ROUTES (3 * 350)

/* The site's largest doses of the two disruptions. */
#define AWAY_MSEC 9000
#define STORMS 2
#define STORM_CHANGES 12
#define STORM_GAP_MSEC 330

/* Bounds of the site. */
#define CONTACT_MSEC 4000
#define CONFIG_APPLY_MSEC 4000
#define HISTORY_MSEC 20000

/* The store keeps its history for 20 s after the last change. */
#define OBSERVED_MSEC 32000
#define REQUEST_GAP_MSEC 100

static struct router routers[2];
static atomic_bool over;
static atomic_llong judged_from; /* rig_msec() time; 0: not yet */
static atomic_uint sent_late, dropped_key, answered;

static json_t *
make_route(const char *name, const char *prefix, const char *service)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, "
			 "s:b, s:b}",
	    "name", name, "host", "h.example", "pathPrefix", prefix, "kind",
	    "idempotent", "timeoutMs", 1200, "targetLatencyMs", 200, "priority",
	    2, "service", service, "attempts", 2, "public", 0, "sticky", 0,
	    "resumable", 0);
}

static json_t *
make_config(unsigned int version, bool moved)
{
	json_t *routes = json_array(), *keys = json_array();
	char name[32], prefix[32];
	unsigned int i;

	json_array_append_new(
	    routes, make_route("stock", "/stock/", moved ? "app-b" : "app-a"));
	for (i = 0; i < MORE_ROUTES; i++) {
		g_snprintf(name, sizeof(name), "r-%07ux%u", i * 7919, i);
		g_snprintf(prefix, sizeof(prefix), "/more%u/x%u/", i, i % 10);
		json_array_append_new(
		    routes, make_route(name, prefix, "app-a"));
	}
	json_array_append_new(keys, json_string("k1"));
	if (!moved)
		json_array_append_new(keys, json_string("k2"));
	return json_pack("{s:i, s:o, s:[{s:s, s:s, s:i}, {s:s, s:s, s:i}], "
			 "s:{s:i, s:i, s:i, s:i}, s:[{s:s, s:o}]}",
	    "version", (int)version, "routes", routes, "services", "name",
	    "app-a", "healthPath", "/health", "connectionLimit", 190, "name",
	    "app-b", "healthPath", "/health", "connectionLimit", 190, "limits",
	    "headerBytes", 16384, "bodyBytes", 4194304, "headerTimeoutMs", 3000,
	    "idleTimeoutMs", 15000, "tenants", "name", "t1", "apiKeys", keys);
}

static void
put_config(unsigned int version, bool moved)
{
	json_t *config = make_config(version, moved);
	char *text = json_dumps(config, JSON_COMPACT);

	rig_record("configuration %u of %zu bytes acknowledged", version,
	    strlen(text));
	free(text);
	rig_put("config", "main", config);
}

static const char *const services[] = {"app-a", "app-b"};

static void
on_ran(void *arg, struct fake_worker *w, const struct jh_head *head,
    struct jh_str body)
{
	struct jh_str id = jh_head_get(head, "X-Jacinthhill-Attempt-Id");

	if (id.ptr != NULL)
		rig_record("%.*s is run by %s", (int)id.len, id.ptr,
		    services[fake_worker_number(w)]);
}

static const struct fake_worker_ops worker_ops = {.ran = on_ran};

/* Sends one request with the key; returns whether it had an answer. */
static bool
request(int fd, unsigned int number, const char *key)
{
	struct response r;
	char text[512];
	int64_t sent = rig_msec();
	long long from = atomic_load(&judged_from);

	g_snprintf(text, sizeof(text),
	    "GET /stock/x HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Jacinthhill-Attempt-Id: %s-%u\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: 1200\r\n"
	    "Api-Key: %s\r\n\r\n",
	    key, number, key);
	if (!conn_send(fd, text, strlen(text)))
		return false;
	conn_read(fd, 3000, &r);
	if (!r.complete)
		return false;
	rig_record(
	    "%s-%u, sent at %d ms, gets %u", key, number, (int)sent, r.status);
	if (r.status == 200)
		atomic_fetch_add(&answered, 1);
	if (from == 0 || sent < from)
		return true;
	atomic_fetch_add(&sent_late, 1);
	if (strcmp(key, "k2") == 0 && r.status == 200)
		atomic_fetch_add(&dropped_key, 1);
	return true;
}

static void *
run_client(void *arg)
{
	const char *key = arg;
	unsigned int number = 0;
	int fd = -1;

	while (!atomic_load(&over)) {
		if (fd < 0)
			fd = conn_open(routers[0].clients);
		if (fd >= 0 && !request(fd, ++number, key)) {
			close(fd);
			fd = -1;
		}
		rig_sleep(REQUEST_GAP_MSEC);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

/* Two storms; the last change is the one that counts. */
static void
change_configuration(void)
{
	unsigned int version = 2, storm, i;

	for (storm = 0; storm < STORMS; storm++) {
		for (i = 0; i < STORM_CHANGES; i++) {
			put_config(
			    version, version == 1 + STORMS * STORM_CHANGES);
			version++;
			rig_sleep(STORM_GAP_MSEC);
		}
	}
}

int
main(int argc, char **argv)
{
	struct fake_worker_spec spec = {.work_msec = 10, .ops = &worker_ops};
	int64_t cut_at, acknowledged, healed;
	pthread_t clients[2];
	struct proxy *proxy;
	unsigned int i;

	rig_start(argc, argv);
	for (i = 0; i < G_N_ELEMENTS(services); i++) {
		spec.number = i;
		spec.service = services[i];
		spec.port = fake_port();
		(void)fake_worker_create(rig_loop(), rig_store(), &spec);
	}
	rig_run();
	put_config(1, false);
	proxy = proxy_start();
	router_init(&routers[0], "router-1", MEMORY_MB, proxy_port(proxy));
	router_init(&routers[1], "router-2", MEMORY_MB, 0);
	for (i = 0; i < 2; i++)
		router_start(&routers[i]);
	for (i = 0; i < 2; i++)
		router_await(&routers[i]);
	pthread_create(&clients[0], NULL, run_client, "k1");
	pthread_create(&clients[1], NULL, run_client, "k2");
	rig_sleep(3000);
	cut_at = rig_msec();
	if (rig_trouble()) {
		rig_record("the store turns router-1 away");
		proxy_turn_away(proxy, true);
	}
	rig_sleep(300);
	change_configuration();
	acknowledged = rig_msec() - STORM_GAP_MSEC;
	while (rig_msec() < cut_at + AWAY_MSEC)
		rig_sleep(10);
	proxy_turn_away(proxy, false);
	healed = rig_msec();
	rig_record("the store serves router-1");
	atomic_store(&judged_from,
	    MAX(acknowledged + CONFIG_APPLY_MSEC, healed + CONTACT_MSEC) + 100);
	while (rig_msec() < acknowledged + HISTORY_MSEC)
		rig_sleep(10);
	rig_record("the store drops its history");
	fake_objects_drop_history(rig_store());
	while (rig_msec() < acknowledged + OBSERVED_MSEC)
		rig_sleep(10);
	atomic_store(&over, true);
	for (i = 0; i < 2; i++)
		pthread_join(clients[i], NULL);
	rig_record("judged from %d ms on: %u requests, %u of them run with the "
		   "key that was taken away; %u answers in all",
	    (int)atomic_load(&judged_from), atomic_load(&sent_late),
	    atomic_load(&dropped_key), atomic_load(&answered));
	if (atomic_load(&answered) == 0 || atomic_load(&sent_late) == 0)
		rig_fail("no request was answered");
	rig_finish(atomic_load(&dropped_key) > 0 ? CASE_BROKEN : CASE_HELD);
}
