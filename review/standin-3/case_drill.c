#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/worker.h"
#include "fakes/port.h"

#include "rig.h"

/*
 * A worker reports that it drains. When the router has known that for longer
 * than drainMs, the store is away for a moment and comes back from a copy in
 * which the worker is still ready; the worker writes its entry again within
 * two seconds, and exits soon after that.
 */

#define CLIENTS 8
#define WORK_MSEC 300
#define REQUEST_GAP_MSEC 20

/* Bounds of the site. */
#define DRAIN_MSEC 4000

#define COPY_BEFORE_MSEC 1000 /* the copy is older than the report */
#define DRILL_AFTER_MSEC 4700 /* after the report */
#define AWAY_MSEC 500
#define REWRITTEN_MSEC 2000 /* after the store is back, at the latest */
#define EXIT_AFTER_MSEC 7300 /* of the worker, after the report */

static struct router router;
static atomic_bool over;
static atomic_llong drained_at; /* rig_msec() time; 0: not yet */
static atomic_uint next_id, answered, late_runs, lost;

#define MAX_REQUESTS 100000
static atomic_llong sent_at[MAX_REQUESTS];
static atomic_bool run_late[MAX_REQUESTS];

static void
on_ran(void *arg, struct fake_worker *w, const struct jh_head *head,
    struct jh_str body)
{
	struct jh_str id = jh_head_get(head, "X-Jacinthhill-Attempt-Id");
	long long from = atomic_load(&drained_at);
	unsigned long n;

	if (fake_worker_number(w) != 1 || id.len < 2 || from == 0)
		return;
	n = strtoul(id.ptr + 1, NULL, 16) % MAX_REQUESTS;
	rig_record("the draining worker runs a%05lx, sent %d ms after its "
		   "report",
	    n, (int)(atomic_load(&sent_at[n]) - from));
	if (atomic_load(&sent_at[n]) <= from + DRAIN_MSEC)
		return;
	atomic_fetch_add(&late_runs, 1);
	atomic_store(&run_late[n], true);
}

static const struct fake_worker_ops worker_ops = {.ran = on_ran};

static void
put_config(void)
{
	rig_put("config", "main",
	    json_pack("{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, "
		      "s:b, s:b, s:b}], s:[{s:s, s:s, s:i}], s:{s:i, s:i, s:i, "
		      "s:i}, s:[{s:s, s:[s]}]}",
		"version", 1, "routes", "name", "dispatch", "host", "h.example",
		"pathPrefix", "/once/", "kind", "non_idempotent", "timeoutMs",
		1200, "targetLatencyMs", 200, "priority", 2, "service", "app",
		"attempts", 1, "public", 0, "sticky", 0, "resumable", 0,
		"services", "name", "app", "healthPath", "/health",
		"connectionLimit", 190, "limits", "headerBytes", 16384,
		"bodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs",
		15000, "tenants", "name", "t1", "apiKeys", "k1"));
}

static bool
request(int fd)
{
	unsigned int id = atomic_fetch_add(&next_id, 1) % MAX_REQUESTS;
	struct response r;
	char text[512];

	g_snprintf(text, sizeof(text),
	    "POST /once/pay HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Jacinthhill-Attempt-Id: a%05x\r\n"
	    "X-Jacinthhill-Deadline-Milliseconds: 1200\r\n"
	    "Api-Key: k1\r\nContent-Length: 5\r\n\r\nhello",
	    id);
	atomic_store(&sent_at[id], rig_msec());
	if (!conn_send(fd, text, strlen(text)))
		return false;
	conn_read(fd, 3000, &r);
	if (r.complete && r.status == 200)
		atomic_fetch_add(&answered, 1);
	else if (atomic_load(&run_late[id])) {
		rig_record("a%05x was run and gets %u", id, r.status);
		atomic_fetch_add(&lost, 1);
	}
	return r.complete && !r.close;
}

static void *
run_client(void *arg)
{
	int fd = -1;

	while (!atomic_load(&over)) {
		if (fd < 0)
			fd = conn_open(router.clients);
		if (fd >= 0 && !request(fd)) {
			close(fd);
			fd = -1;
		}
		rig_sleep(REQUEST_GAP_MSEC);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

/* Ends the worker on its own thread. */
static void
on_exit_worker(uv_async_t *a)
{
	fake_worker_crash(a->data);
}

int
main(int argc, char **argv)
{
	struct fake_worker_spec spec = {
	    .service = "app", .work_msec = WORK_MSEC, .ops = &worker_ops};
	struct fake_worker *workers[2];
	struct fake_restore restore = {.seed = 1};
	pthread_t clients[CLIENTS];
	uv_async_t exit_worker;
	int64_t from;
	unsigned int i;

	rig_start(argc, argv);
	for (i = 0; i < 2; i++) {
		spec.number = i;
		spec.port = fake_port();
		workers[i] = fake_worker_create(rig_loop(), rig_store(), &spec);
	}
	uv_async_init(rig_loop(), &exit_worker, on_exit_worker);
	exit_worker.data = workers[1];
	put_config();
	rig_run();
	router_init(&router, "router-1", 160, 0);
	router_start(&router);
	router_await(&router);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, run_client, NULL);
	rig_sleep(4500);
	from = rig_msec();
	fake_worker_drain(workers[1]);
	atomic_store(&drained_at, from);
	rig_record("a worker reports that it drains");
	restore.copied_at = jh_now() - COPY_BEFORE_MSEC * JH_USEC_PER_MSEC;
	rig_sleep(DRILL_AFTER_MSEC);
	if (rig_trouble()) {
		restore.back_at = jh_now() + AWAY_MSEC * JH_USEC_PER_MSEC;
		restore.rewritten_by =
		    restore.back_at + REWRITTEN_MSEC * JH_USEC_PER_MSEC;
		fake_objects_restore(rig_store(), &restore);
		rig_record("the store is away and comes back from a copy");
	}
	while (rig_msec() < from + EXIT_AFTER_MSEC)
		rig_sleep(5);
	rig_record("the worker exits");
	uv_async_send(&exit_worker);
	rig_sleep(2000);
	atomic_store(&over, true);
	for (i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	rig_record("%u answered; the draining worker ran %u that were sent "
		   "over %d ms after its report, %u of them without a result",
	    atomic_load(&answered), atomic_load(&late_runs), DRAIN_MSEC,
	    atomic_load(&lost));
	if (atomic_load(&answered) == 0)
		rig_fail("no request was answered");
	rig_finish(atomic_load(&late_runs) > 0 ? CASE_BROKEN : CASE_HELD);
}
