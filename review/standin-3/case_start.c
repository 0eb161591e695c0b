#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/worker.h"
#include "fakes/port.h"

#include "rig.h"

/*
 * A key is taken away. Later the store is away for a moment and comes back from
 * a copy that still has it, until the operator writes the configuration again.
 * One of two routers is killed meanwhile and starts with the older version.
 */

#define MEMORY_MB 160

/* Bounds of the site. */
#define CONTACT_MSEC 4000
#define CONFIG_APPLY_MSEC 4000

#define COPY_BEFORE_MSEC 1000 /* the copy is older than the change */
#define DRILL_AFTER_MSEC 5000 /* after the change */
#define AWAY_MSEC 500
#define REWRITTEN_MSEC 8000 /* after the store is back, at the latest */
#define RESTART_MSEC 300
#define OBSERVED_MSEC 11000 /* after the store is back */
#define REQUEST_GAP_MSEC 50

static struct router routers[2];
static atomic_bool over;
static atomic_llong judged_from; /* rig_msec() time; 0: not yet */
static atomic_uint judged, run_late, answered;

static json_t *
make_config(unsigned int version, bool with_key)
{
	json_t *keys = json_array();

	json_array_append_new(keys, json_string("k1"));
	if (with_key)
		json_array_append_new(keys, json_string("k2"));
	return json_pack(
	    "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, "
	    "s:b, s:b, s:b}], s:[{s:s, s:s, s:i}], s:{s:i, s:i, s:i, "
	    "s:i}, s:[{s:s, s:o}]}",
	    "version", (int)version, "routes", "name", "stock", "host",
	    "h.example", "pathPrefix", "/stock/", "kind", "idempotent",
	    "timeoutMs", 1200, "targetLatencyMs", 200, "priority", 2, "service",
	    "app", "attempts", 2, "public", 0, "sticky", 0, "resumable", 0,
	    "services", "name", "app", "healthPath", "/health",
	    "connectionLimit", 190, "limits", "headerBytes", 16384, "bodyBytes",
	    4194304, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000, "tenants",
	    "name", "t1", "apiKeys", keys);
}

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
		return !r.close;
	atomic_fetch_add(&judged, 1);
	if (strcmp(key, "k2") == 0 && r.status == 200)
		atomic_fetch_add(&run_late, 1);
	return !r.close;
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

int
main(int argc, char **argv)
{
	struct fake_worker_spec spec = {.service = "app", .work_msec = 10};
	struct fake_restore restore = {.seed = 1};
	pthread_t clients[2];
	int64_t changed, back;
	unsigned int i;

	rig_start(argc, argv);
	for (i = 0; i < 2; i++) {
		spec.number = i;
		spec.port = fake_port();
		(void)fake_worker_create(rig_loop(), rig_store(), &spec);
	}
	rig_run();
	rig_put("config", "main", make_config(1, true));
	for (i = 0; i < 2; i++) {
		router_init(&routers[i], i == 0 ? "router-1" : "router-2",
		    MEMORY_MB, 0);
		router_start(&routers[i]);
	}
	for (i = 0; i < 2; i++)
		router_await(&routers[i]);
	pthread_create(&clients[0], NULL, run_client, "k1");
	pthread_create(&clients[1], NULL, run_client, "k2");
	rig_sleep(3000);
	restore.copied_at = jh_now();
	rig_sleep(COPY_BEFORE_MSEC);
	rig_put("config", "main", make_config(2, false));
	changed = rig_msec();
	rig_record("a key is taken away, acknowledged");
	rig_sleep(DRILL_AFTER_MSEC);
	restore.back_at = jh_now() + AWAY_MSEC * JH_USEC_PER_MSEC;
	restore.rewritten_by =
	    restore.back_at + REWRITTEN_MSEC * JH_USEC_PER_MSEC;
	back = rig_msec() + AWAY_MSEC;
	if (rig_trouble()) {
		fake_objects_restore(rig_store(), &restore);
		rig_record("the store is away and comes back from a copy");
	}
	router_signal(&routers[0], SIGKILL);
	(void)router_await_end(&routers[0], 2000);
	rig_sleep(RESTART_MSEC);
	router_start(&routers[0]);
	router_await(&routers[0]);
	atomic_store(&judged_from, MAX(changed + CONFIG_APPLY_MSEC,
				       MAX(back, rig_msec()) + CONTACT_MSEC) +
				       100);
	while (rig_msec() < back + OBSERVED_MSEC)
		rig_sleep(10);
	atomic_store(&over, true);
	for (i = 0; i < 2; i++)
		pthread_join(clients[i], NULL);
	rig_record("judged from %d ms on: %u requests, %u of them run with the "
		   "key that was taken away; %u answers in all",
	    (int)atomic_load(&judged_from), atomic_load(&judged),
	    atomic_load(&run_late), atomic_load(&answered));
	if (atomic_load(&answered) == 0 || atomic_load(&judged) == 0)
		rig_fail("no request was answered");
	rig_finish(atomic_load(&run_late) > 0 ? CASE_BROKEN : CASE_HELD);
}
