#include <pthread.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include <jacinthhill/clock.h>

#include "agent/agent.h"
#include "agent/engine_poll.h"
#include "agent/job.h"
#include "agent/once.h"
#include "agent/order.h"
#include "agent/rollout.h"
#include "agent/rpc.h"
#include "base/event.h"
#include "config/start.h"
#include "feed/instances.h"

#define MAX_CALLS 8192
#define MAX_CONNS 8192
#define REPLY_BUFFER_LEN (64 * 1024)
#define TICK_MSEC 20
#define TICKS_PER_POLL 10

/*
 * Longest interval between reads of the instance list, which an agent needs
 * only to find entry daemons to pull the catalogue from. At the design size
 * the list is 1.4 MB and changes every 41 s, so that this interval keeps the
 * reads below 15 KB/s (docs/CAPACITY.md).
 */
#define MAX_LIST_INTERVAL_USEC (120 * JH_USEC_PER_SEC)

/*
 * A catalogue copy that was not confirmed for this long shows that the known
 * entry daemons do not reply.
 */
#define CATALOG_STALE_USEC (10 * JH_USEC_PER_SEC)

/* Time for requests in progress to finish after SIGTERM. */
#define STOP_TIMEOUT_USEC (600 * JH_USEC_PER_SEC)

/*
 * Time to release the rollout's slot and reservation before the exit. The store
 * may be down; what is left there expires by itself.
 */
#define RELEASE_TIMEOUT_USEC (3 * JH_USEC_PER_SEC)

static void
fill_sync_request(void *arg, struct jh_sync_args *args)
{
	struct agent *a = arg;

	crash_log_export(
	    a->crashes, &args->crashes.crashes_len, &args->crashes.crashes_val);
}

static void
on_sync_reply(void *arg, const struct jh_sync_reply *reply)
{
	struct agent *a = arg;

	crash_log_merge(
	    a->crashes, reply->crashes.crashes_val, reply->crashes.crashes_len);
}

static const struct jh_feed_ops feed_ops = {
    .fill_request = fill_sync_request, .on_reply = on_sync_reply};

static void
init_state(struct agent *a)
{
	struct jh_feed_spec feed = {.role = JH_SYNC_AGENT};
	struct jh_queue_config cfg;

	jh_queue_config_init(&cfg);
	cfg.slots = (unsigned int)a->settings.slots;
	cfg.background_floor_percent =
	    (unsigned int)a->settings.background_floor;
	cfg.max_items = (size_t)a->settings.max_queue;
	cfg.prefill_rate = (unsigned int)a->settings.prefill_rate;
	cfg.decode_rate = (unsigned int)a->settings.decode_rate;
	jh_auth_random(&a->incarnation, sizeof(a->incarnation));
	a->counters = jh_counters_create(agent_counter_names, AGENT_COUNTERS);
	a->queue = jh_queue_create(&cfg);
	a->widths = agent_widths_create();
	a->jobs = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)agent_job_unref);
	a->by_request = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&a->ended);
	a->next_id = 1;
	pthread_mutex_init(&a->lock, NULL);
	a->client = jh_http_client_create("upstream", MAX_CALLS);
	a->catalog = jh_catalog_create();
	feed.instance = a->settings.instance;
	feed.zone = a->settings.zone;
	feed.incarnation = a->incarnation;
	feed.catalog = a->catalog;
	feed.key = a->settings.secret;
	feed.store = a->settings.store;
	feed.ops = &feed_ops;
	feed.arg = a;
	a->crashes = crash_log_create();
	a->orders = agent_orders_create();
	a->feed = jh_feed_create(&feed);
	if (g_strcmp0(a->settings.kind, "service") == 0)
		a->once = agent_once_create(a);
	else
		a->rollout = agent_rollout_create(a);
}

static void
clear_state(struct agent *a)
{
	if (a->once != NULL)
		agent_once_destroy(a->once);
	if (a->rollout != NULL)
		agent_rollout_destroy(a->rollout);
	jh_feed_destroy(a->feed);
	agent_orders_destroy(a->orders);
	crash_log_destroy(a->crashes);
	jh_catalog_destroy(a->catalog);
	g_queue_clear_full(&a->ended, (GDestroyNotify)agent_job_unref);
	g_hash_table_destroy(a->by_request);
	g_hash_table_destroy(a->jobs);
	if (a->cache != NULL)
		jh_cacheview_destroy(a->cache);
	jh_queue_destroy(a->queue);
	agent_widths_destroy(a->widths);
	jh_counters_destroy(a->counters);
	g_free(a->engine.model);
	g_free(a->engine.weights);
	pthread_mutex_destroy(&a->lock);
}

/* Makes the entry daemons of the instance list the peers of the feed. */
static void
on_list(void *arg, const struct jh_instance *const *list, size_t n)
{
	GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct jh_feed_peer));
	struct agent *a = arg;
	struct jh_feed_peer p;
	size_t i;

	for (i = 0; i < n; i++) {
		if (list[i]->role != JH_ROLE_ENTRY || list[i]->leaving)
			continue;
		p = (struct jh_feed_peer){
		    list[i]->id, list[i]->zone, list[i]->rpc_address};
		g_array_append_val(peers, p);
	}
	jh_feed_set_peers(a->feed,
	    (const struct jh_feed_peer *)(const void *)peers->data, peers->len);
	g_array_free(peers, TRUE);
	if (a->rollout != NULL)
		agent_rollout_set_list(a->rollout, list, n);
}

static const struct jh_instances_ops instances_ops = {.list = on_list};

/* Reads the list at once when the catalogue copy has just become stale. */
static void
tick_list(struct agent *a, struct jh_instances *list, bool *was_stale)
{
	bool stale = jh_feed_age(a->feed) > CATALOG_STALE_USEC;

	/*
	 * A rollout takes a worker out of service only by a fresh list of the
	 * region's agents.
	 */
	if (a->rollout != NULL && !agent_rollout_is_idle(a->rollout))
		stale = true;
	if (stale && !*was_stale)
		jh_instances_read_now(list);
	*was_stale = stale;
	jh_instances_tick(list);
}

/* Polls the engine and advances orders and the rollout. */
static void
tick_engine(struct agent *a, unsigned int ticks)
{
	if (a->rollout == NULL)
		return;
	if (ticks % TICKS_PER_POLL == 0)
		agent_poll_engine(a);
	agent_order_tick(a);
	agent_rollout_tick(a->rollout);
}

static void
run_until_stopped(
    struct agent *a, struct jh_instances *list, const sigset_t *set)
{
	unsigned int ticks = 0;
	bool stale = true;

	do {
		tick_list(a, list, &stale);
		jh_feed_tick(a->feed);
		crash_log_expire(a->crashes);
		if (a->once != NULL)
			agent_once_tick(a->once);
		tick_engine(a, ticks++);
		agent_tick(a);
	} while (!jh_daemon_wait_stop(set, TICK_MSEC));
}

static bool
has_work(struct agent *a)
{
	return jh_http_server_active(a->server) > 0 ||
	       (a->once != NULL && agent_once_calls(a->once) > 0);
}

/* Releases the rollout's slot and reservation, if the store replies in time. */
static void
finish_rollout(struct agent *a, const sigset_t *set)
{
	uint64_t deadline = jh_now() + RELEASE_TIMEOUT_USEC;
	unsigned int ticks = 0;

	while (a->rollout != NULL && !agent_rollout_is_idle(a->rollout) &&
	       jh_now() < deadline) {
		tick_engine(a, ticks++);
		if (jh_daemon_wait_stop(set, TICK_MSEC))
			break;
	}
}

/* Refuses new work and waits until the work in progress has finished. */
static void
finish_work(struct agent *a, const sigset_t *set)
{
	uint64_t deadline = jh_now() + STOP_TIMEOUT_USEC;
	unsigned int ticks = 0;

	g_atomic_int_set(&a->leaving, 1);
	while (has_work(a) && jh_now() < deadline) {
		agent_tick(a);
		if (a->once != NULL)
			agent_once_tick(a->once);
		tick_engine(a, ticks++);
		if (jh_daemon_wait_stop(set, TICK_MSEC))
			break;
	}
}

static int
run(struct agent *a, const sigset_t *set)
{
	struct jh_http_server_spec spec = {.listen = a->settings.listen,
	    .body_limit = (size_t)a->settings.body_limit,
	    .buffer_limit = REPLY_BUFFER_LEN,
	    .max_conns = MAX_CONNS,
	    .threads = 1,
	    .ops = &agent_server_ops,
	    .arg = a};
	struct jh_instances *list;
	struct jh_rpc_server *rpc;
	GError *err = NULL;

	a->server = jh_http_server_create(&spec, &err);
	if (a->server == NULL) {
		jh_event(JH_EV_START_FAILED, G_LOG_LEVEL_CRITICAL, "%s",
		    err->message);
		g_error_free(err);
		return JH_EXIT_START;
	}
	rpc = jh_rpc_server_create(&a->settings.rpc_listen, &a->settings.secret,
	    agent_rpc_handlers, a, &err);
	if (rpc == NULL) {
		jh_event(JH_EV_START_FAILED, G_LOG_LEVEL_CRITICAL, "%s",
		    err->message);
		g_error_free(err);
		jh_http_server_destroy(a->server);
		return JH_EXIT_START;
	}
	list = jh_instances_create(
	    a->client, &a->settings.instance_list, &instances_ops, a);
	jh_instances_set_max_interval(
	    list, MAX_LIST_INTERVAL_USEC, (guint32)a->incarnation);
	jh_event(JH_EV_STARTED, G_LOG_LEVEL_INFO, "%s started",
	    a->settings.instance);
	run_until_stopped(a, list, set);
	jh_event(JH_EV_STOPPING, G_LOG_LEVEL_INFO,
	    "%s is stopping; waiting for work in progress",
	    a->settings.instance);
	finish_work(a, set);
	finish_rollout(a, set);
	jh_rpc_server_destroy(rpc);
	jh_http_client_destroy(a->client);
	jh_instances_destroy(list);
	jh_http_server_destroy(a->server);
	jh_event(JH_EV_STOPPED, G_LOG_LEVEL_INFO, "%s stopped",
	    a->settings.instance);
	return 0;
}

int
main(int argc, char **argv)
{
	static struct agent agent;
	sigset_t set;
	int status;

	status = jh_daemon_start(argc, argv, "jhagent",
	    "- runs the queue, call ledger and orders of one backend server",
	    agent_settings_table, &agent.settings, &set);
	if (status != 0)
		return status;
	init_state(&agent);
	status = run(&agent, &set);
	clear_state(&agent);
	jh_settings_clear(agent_settings_table, &agent.settings);
	return status;
}
