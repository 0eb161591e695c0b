#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include <jacinthhill/clock.h>

#include "base/event.h"
#include "config/start.h"

#include "entry/entry.h"

#include "entry/job.h"
#include "entry/limits.h"
#include "entry/refusal_log.h"
#include "entry/rpc.h"
#include "entry/revision_wait.h"
#include "feed/instances.h"

#define MAX_CALLS 16384
#define REPLY_BUFFER_LEN (64 * 1024)
#define TICK_MSEC 20

/* An accepted edit is in force everywhere within this time. */
#define CATALOG_MAX_AGE_USEC (8 * JH_USEC_PER_SEC)
#define EXCHANGE_INTERVAL_USEC (500 * JH_USEC_PER_MSEC)

/* Time for open requests to finish after SIGTERM. */
#define STOP_TIMEOUT_USEC (600 * JH_USEC_PER_SEC)

/* Time to write the last refusal record; without it readers see a gap. */
#define LAST_WRITE_TIMEOUT_USEC (5 * JH_USEC_PER_SEC)

/*
 * After SIGTERM the entry daemon continues to serve for this time, so that the
 * load balancer sees the health check fail before the port closes.
 */
#define HEALTH_NOTICE_USEC (1 * JH_USEC_PER_SEC)

void
entry_count_refusal(struct entry *e, const char *owner, const char *class_name)
{
	refusal_log_count(e->refusals, owner, class_name);
	jh_event(JH_EV_REQUEST_REFUSED, G_LOG_LEVEL_DEBUG,
	    "refused a request of %s/%s", owner, class_name);
}

/* Handles a peer's reply to a pull. */
static void
on_pull_reply(void *arg, const struct jh_sync_reply *reply)
{
	struct entry *e = arg;

	refusal_log_peer_seen(e->refusals, reply->instance, reply->incarnation);
	entry_limits_peer_seen(e->limits, reply->instance, reply->incarnation);
	crash_log_merge(
	    e->crashes, reply->crashes.crashes_val, reply->crashes.crashes_len);
}

static void
on_fill_request(void *arg, struct jh_sync_args *args)
{
	struct entry *e = arg;

	crash_log_export(
	    e->crashes, &args->crashes.crashes_len, &args->crashes.crashes_val);
}

static const struct jh_feed_ops feed_ops = {
    .fill_request = on_fill_request, .on_reply = on_pull_reply};

static void
init_state(struct entry *e)
{
	struct jh_feed_spec feed = {.role = JH_SYNC_ENTRY};
	jh_auth_random(&e->incarnation, sizeof(e->incarnation));
	e->counters = jh_counters_create(entry_counter_names, ENTRY_COUNTERS);
	e->catalog = jh_catalog_create();
	e->workers = entry_workers_create(e);
	e->retry = jh_retry_create(jh_now());
	e->head_cache = entry_head_cache_create();
	e->revision_wait = entry_revision_wait_create();
	e->jobs = g_hash_table_new(NULL, NULL);
	pthread_mutex_init(&e->lock, NULL);
	e->client = jh_http_client_create("upstream", MAX_CALLS);
	feed.instance = e->settings.instance;
	feed.zone = e->settings.zone;
	feed.incarnation = e->incarnation;
	feed.catalog = e->catalog;
	feed.key = e->settings.secret;
	feed.store = e->settings.store;
	feed.ops = &feed_ops;
	feed.arg = e;
	e->refusals = refusal_log_create(e);
	e->crashes = crash_log_create();
	e->limits = entry_limits_create(e);
	e->feed = jh_feed_create(&feed);
}

static void
clear_state(struct entry *e)
{
	jh_feed_destroy(e->feed);
	refusal_log_destroy(e->refusals);
	crash_log_destroy(e->crashes);
	entry_limits_destroy(e->limits);
	g_hash_table_destroy(e->jobs);
	entry_revision_wait_destroy(e->revision_wait);
	entry_head_cache_destroy(e->head_cache);
	jh_retry_destroy(e->retry);
	entry_workers_destroy(e->workers);
	jh_catalog_destroy(e->catalog);
	jh_counters_destroy(e->counters);
	pthread_mutex_destroy(&e->lock);
}

/* Logs when the copy of the catalogue becomes too old, and current again. */
static void
check_catalog_age(struct entry *e)
{
	static bool stale;
	uint64_t age = jh_feed_age(e->feed);

	if (age == JH_SYNC_AGE_UNKNOWN || (age > CATALOG_MAX_AGE_USEC) == stale)
		return;
	stale = age > CATALOG_MAX_AGE_USEC;
	if (stale)
		jh_event(JH_EV_CATALOGUE_STALE, G_LOG_LEVEL_WARNING,
		    "the catalogue has not been confirmed for 8 s");
	else
		jh_event(JH_EV_CATALOGUE_CURRENT, G_LOG_LEVEL_INFO,
		    "the catalogue is confirmed again");
}

/* Exchanges crash reports with a random peer while there are suspects. */
static void
exchange_crashes(struct entry *e)
{
	static uint64_t next;

	crash_log_expire(e->crashes);
	if (jh_now() < next || crash_log_len(e->crashes) == 0)
		return;
	next = jh_now() + EXCHANGE_INTERVAL_USEC;
	jh_feed_pull_from_random_peer(e->feed);
}

static void
tick(struct entry *e, struct jh_instances *d)
{
	jh_instances_tick(d);
	jh_feed_tick(e->feed);
	refusal_log_tick(e->refusals);
	exchange_crashes(e);
	check_catalog_age(e);
	entry_revision_wait_tick(
	    e->revision_wait, jh_catalog_revision(e->catalog));
	entry_jobs_tick(e);
}

static void
shut_down(struct entry *e, struct jh_instances *d, const sigset_t *signals)
{
	uint64_t serve_until = jh_now() + HEALTH_NOTICE_USEC;
	uint64_t deadline = jh_now() + STOP_TIMEOUT_USEC;

	g_atomic_int_set(&e->leaving, 1);
	while (jh_now() < serve_until) {
		tick(e, d);
		jh_daemon_wait_stop(signals, TICK_MSEC);
	}
	jh_http_server_quiesce(e->server);
	while (jh_http_server_active(e->server) > 0 && jh_now() < deadline) {
		tick(e, d);
		jh_daemon_wait_stop(signals, TICK_MSEC);
	}
	refusal_log_close(e->refusals);
	deadline = jh_now() + LAST_WRITE_TIMEOUT_USEC;
	while (!refusal_log_idle(e->refusals) && jh_now() < deadline) {
		tick(e, d);
		jh_daemon_wait_stop(signals, TICK_MSEC);
	}
}

static void
add_peer(void *arg, const struct jh_member *m)
{
	struct jh_feed_peer p = {
	    m->instance.id, m->instance.zone, m->instance.rpc_address};

	if (!m->instance.leaving)
		g_array_append_val((GArray *)arg, p);
}

static void
on_instance_list(void *arg, const struct jh_instance *const *list, size_t n)
{
	GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct jh_feed_peer));
	struct entry *e = arg;

	entry_workers_set(e->workers, list, n);
	entry_workers_each(e->workers, JH_ROLE_ENTRY, add_peer, peers);
	jh_feed_set_peers(e->feed,
	    (const struct jh_feed_peer *)(const void *)peers->data, peers->len);
	g_array_free(peers, TRUE);
	g_atomic_int_set(&e->instances_known, 1);
}

static const struct jh_instances_ops instances_ops = {.list = on_instance_list};

static int
start_failed(GError *err)
{
	jh_event(JH_EV_START_FAILED, G_LOG_LEVEL_CRITICAL, "%s", err->message);
	g_error_free(err);
	return JH_EXIT_START;
}

/*
 * Without a current catalogue and instance list the daemon would refuse its
 * first requests as unauthorized or for lack of workers, or undo an edit by
 * applying an older catalogue.
 */
static bool
is_ready(struct entry *e)
{
	return g_atomic_int_get(&e->instances_known) &&
	       jh_feed_is_current(e->feed);
}

/* Returns false when a stop signal came first. */
static bool
wait_until_ready(
    struct entry *e, struct jh_instances *d, const sigset_t *signals)
{
	while (!is_ready(e)) {
		tick(e, d);
		if (jh_daemon_wait_stop(signals, TICK_MSEC))
			return false;
	}
	return true;
}

/* Serves until a stop signal. */
static int
serve(struct entry *e, struct jh_instances *d, const sigset_t *signals)
{
	struct jh_http_server_spec spec = {.listen = e->settings.listen,
	    .body_limit = (size_t)e->settings.body_limit,
	    .buffer_limit = REPLY_BUFFER_LEN,
	    .max_conns = (unsigned int)e->settings.max_connections,
	    .threads = (unsigned int)e->settings.http_threads,
	    .ops = &entry_server_ops,
	    .arg = e};
	GError *err = NULL;

	if (!wait_until_ready(e, d, signals))
		return 0;
	e->server = jh_http_server_create(&spec, &err);
	if (e->server == NULL)
		return start_failed(err);
	jh_event(JH_EV_STARTED, G_LOG_LEVEL_INFO, "%s started",
	    e->settings.instance);
	do {
		tick(e, d);
	} while (!jh_daemon_wait_stop(signals, TICK_MSEC));
	jh_event(JH_EV_STOPPING, G_LOG_LEVEL_INFO,
	    "%s is stopping and finishes its open requests",
	    e->settings.instance);
	shut_down(e, d, signals);
	return 0;
}

static int
run(struct entry *e, const sigset_t *signals)
{
	struct jh_rpc_server *rpc;
	struct jh_instances *d;
	GError *err = NULL;
	int status;

	rpc = jh_rpc_server_create(&e->settings.rpc_listen, &e->settings.secret,
	    entry_rpc_handlers, e, &err);
	if (rpc == NULL) {
		jh_http_client_destroy(e->client);
		return start_failed(err);
	}
	d = jh_instances_create(
	    e->client, &e->settings.instance_list, &instances_ops, e);
	status = serve(e, d, signals);
	jh_rpc_server_destroy(rpc);
	jh_http_client_destroy(e->client);
	jh_instances_destroy(d);
	jh_http_server_destroy(e->server);
	jh_event(JH_EV_STOPPED, G_LOG_LEVEL_INFO, "%s stopped",
	    e->settings.instance);
	return status;
}

int
main(int argc, char **argv)
{
	static struct entry entry;
	sigset_t signals;
	int status;

	status = jh_daemon_start(argc, argv, "jhentry",
	    "- serves requests of clients", entry_settings_table,
	    &entry.settings, &signals);
	if (status != 0)
		return status;
	init_state(&entry);
	status = run(&entry, &signals);
	clear_state(&entry);
	jh_settings_clear(entry_settings_table, &entry.settings);
	return status;
}
