#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <xxhash.h>

#include <arpa/inet.h>
#include <glib.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jacinthhill/clock.h>

#include "gateway/gossip.h"
#include "route/peers.h"
#include "stream/sse_parser.h"

#define SEC JH_USEC_PER_SEC

static struct jh_worker *
list_worker(struct jh_fleet *f, uint64_t now, const char *id, uint64_t start_ms,
    bool leaving)
{
	struct jh_listed_worker l = {.id = id,
	    .service = "llm",
	    .zone = "z",
	    .models = {{"m", 1}},
	    .n_models = 1,
	    .started_ms = start_ms,
	    .leaving = leaving};

	return jh_fleet_update(f, now, &l);
}

/* Guards against load of a peer that is counted twice or never expires. */
static void
peer_load_is_replaced_and_expires(void **state)
{
	struct jh_fleet *f = jh_fleet_create();
	struct jh_peers *p = jh_peers_create();
	struct jh_worker *w = list_worker(f, SEC, "a", 1, false);
	struct jh_peer_report row = {.worker = w->hash,
	    .running = 3,
	    .prefill_tokens = 100,
	    .held_tokens = 200};

	assert_true(jh_peers_receive(p, f, SEC, 1, 5, &row, 1));
	assert_true(jh_peers_receive(p, f, SEC, 2, 1, &row, 1));
	assert_int_equal(w->others_running, 6);
	row.running = 1;
	assert_true(jh_peers_receive(p, f, SEC, 1, 6, &row, 1));
	assert_int_equal(w->others_running, 4);
	/* A late message is ignored. */
	assert_false(jh_peers_receive(p, f, SEC, 1, 5, &row, 0));
	assert_int_equal(w->others_running, 4);
	jh_peers_expire(
	    p, f, SEC + JH_PEERS_TIMEOUT_USEC + 1, JH_PEERS_TIMEOUT_USEC);
	assert_int_equal(w->others_running, 0);
	assert_int_equal(jh_peers_count(p), 0);
	jh_peers_destroy(p);
	jh_fleet_destroy(f);
}

/*
 * Guards against sums that differ from the peers' reports when workers are
 * added and removed between the messages.
 */
static void
sums_match_reports(void **state)
{
	static const char *const ids[] = {"w0", "w1", "w2", "w3", "w4"};
	GRand *rand = g_rand_new_with_seed(11);
	struct jh_fleet *f = jh_fleet_create();
	struct jh_peers *p = jh_peers_create();
	struct jh_peer_report reports[6][G_N_ELEMENTS(ids)] = {0};
	struct jh_listed_worker l = {
	    .service = "llm", .zone = "z", .models = {{"m", 0}}, .n_models = 1};
	uint64_t number = 0, now = SEC;
	unsigned int step, peer, k;

	for (step = 0; step < 3000; step++) {
		k = (unsigned int)g_rand_int_range(rand, 0, 5);
		peer = (unsigned int)g_rand_int_range(rand, 0, 6);
		switch (g_rand_int_range(rand, 0, 4)) {
		case 0:
			jh_fleet_remove(f, ids[k]);
			break;
		case 1:
			l.id = ids[k];
			jh_fleet_update(f, now, &l);
			break;
		default:
			for (k = 0; k < G_N_ELEMENTS(ids); k++)
				reports[peer][k] = (struct jh_peer_report){
				    .worker = XXH3_64bits(ids[k], 2),
				    .running = g_rand_int(rand) % 9,
				    .held_tokens = g_rand_int(rand) % 999};
			jh_peers_receive(p, f, now, peer + 1, ++number,
			    reports[peer], G_N_ELEMENTS(ids));
			break;
		}
		jh_peers_expire(p, f, now, JH_PEERS_TIMEOUT_USEC);
		for (k = 0; k < G_N_ELEMENTS(ids); k++) {
			struct jh_worker *w = jh_fleet_find(f, ids[k]);
			unsigned int running = 0, held = 0;
			if (w == NULL)
				continue;
			for (peer = 0; peer < 6; peer++) {
				running += reports[peer][k].running;
				held += reports[peer][k].held_tokens;
			}
			assert_int_equal(w->others_running, running);
			assert_int_equal(w->others_held, held);
		}
	}
	jh_peers_destroy(p);
	jh_fleet_destroy(f);
	g_rand_free(rand);
}

/* Guards against requests to a worker that another process orders to load. */
static void
loading_and_weights_are_learnt(void **state)
{
	struct jh_fleet *f = jh_fleet_create();
	struct jh_peers *p = jh_peers_create();
	struct jh_worker *w = list_worker(f, SEC, "a", 1, false);
	struct jh_peer_report row = {
	    .worker = w->hash, .weights = 1, .loading = true};

	jh_peers_receive(p, f, SEC, 1, 1, &row, 1);
	assert_true(w->changing_until > SEC);
	row.loading = false;
	row.weights = 2;
	jh_peers_receive(p, f, SEC, 1, 2, &row, 1);
	assert_int_equal(jh_worker_weights(w, "m"), 2);
	assert_int_equal(w->changing_until, 0);
	/* The list lags behind. */
	list_worker(f, SEC + 100, "a", 1, false);
	assert_int_equal(jh_worker_weights(w, "m"), 2);
	row.weights = 1;
	jh_peers_receive(p, f, SEC, 1, 3, &row, 1);
	assert_int_equal(jh_worker_weights(w, "m"), 2);
	jh_peers_destroy(p);
	jh_fleet_destroy(f);
}

/* Guards against using what was observed before a worker's restart. */
static void
restart_resets_worker(void **state)
{
	struct jh_fleet *f = jh_fleet_create();
	struct jh_worker *w = list_worker(f, SEC, "a", 1, true);

	w->orders_known = true;
	jh_worker_attempt_failed(w, SEC);
	assert_true(w->backoff_until > SEC);
	list_worker(f, 2 * SEC, "a", 2, false);
	assert_false(w->leaving);
	assert_false(w->orders_known);
	assert_int_equal(w->backoff_until, 0);
	jh_fleet_destroy(f);
}

/* Guards against removing workers too early after an outage of the store. */
static void
missing_worker_has_grace_period(void **state)
{
	struct jh_fleet *f = jh_fleet_create();

	list_worker(f, SEC, "a", 1, false);
	list_worker(f, SEC, "b", 1, false);
	jh_fleet_mark_missing(f, SEC, "a");
	jh_fleet_mark_missing(f, SEC, "b");
	jh_fleet_expire(f, 2 * SEC, 2 * SEC);
	assert_int_equal(jh_fleet_count(f), 2);
	list_worker(f, 2 * SEC, "b", 1, false);
	jh_fleet_expire(f, 3 * SEC, 2 * SEC);
	assert_int_equal(jh_fleet_count(f), 1);
	assert_non_null(jh_fleet_find(f, "b"));
	jh_fleet_destroy(f);
}

static void
collect(void *arg, const struct jh_sse_event *b)
{
	g_string_append_printf(arg, "%d:%u;", b->has_id, (unsigned int)b->id);
}

/* Guards against half an event joined with one of another worker. */
static void
events_are_split_whole(void **state)
{
	struct jh_sse_parser *e = jh_sse_parser_create();
	GString *seen = g_string_new(NULL);

	assert_true(jh_sse_parser_feed(
	    e, JH_STR("id: 1\ndata: a\n\nid: 2\nda"), collect, seen));
	assert_true(jh_sse_parser_has_partial(e));
	assert_string_equal(seen->str, "1:1;");
	jh_sse_parser_reset(e);
	assert_true(jh_sse_parser_feed(
	    e, JH_STR("id: 2\r\ndata: b\r\n\r\n: note\n\n"), collect, seen));
	assert_string_equal(seen->str, "1:1;1:2;0:0;");
	assert_false(jh_sse_parser_has_partial(e));
	assert_false(
	    jh_sse_parser_feed(e, JH_STR("id: x\ndata: c\n\n"), collect, seen));
	g_string_free(seen, TRUE);
	jh_sse_parser_destroy(e);
}

/* One of two processes that exchange gossip over loopback. */
struct node {
	uv_loop_t *loop;
	struct jh_fleet *fleet;
	struct jh_weights *weights;
	struct jh_chooser *chooser;
	struct jh_rate_limits *rate_limits;
	struct jh_metrics *metrics;
	struct jh_gossip *gossip;
	struct sockaddr_in address;
	struct jh_position position;
};

static void
on_positions(void *arg, const struct jh_position positions[JH_GOSSIP_POSITIONS])
{
	struct node *e = arg;

	e->position = positions[1];
}

static struct sockaddr_in
free_address(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	return sin;
}

static void
node_init(struct node *e, uv_loop_t *loop)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	struct jh_choose_topology topology = {"z", regions};
	struct jh_gossip_spec spec = {0};
	int error;

	memset(e, 0, sizeof(*e));
	e->loop = loop;
	e->fleet = jh_fleet_create();
	e->weights = jh_weights_create();
	e->chooser = jh_chooser_create(&topology);
	e->rate_limits = jh_rate_limits_create(jh_now());
	e->metrics = jh_metrics_create();
	e->address = free_address();
	spec = (struct jh_gossip_spec){.loop = loop,
	    .metrics = e->metrics,
	    .fleet = e->fleet,
	    .weights = e->weights,
	    .chooser = e->chooser,
	    .rate_limits = e->rate_limits,
	    .address = e->address,
	    .on_positions = on_positions,
	    .arg = e};
	e->gossip = jh_gossip_create(&spec, &error);
	assert_non_null(e->gossip);
	list_worker(e->fleet, 1, "a", 1, false);
	g_hash_table_unref(regions);
}

static void
node_clear(struct node *e)
{
	jh_rate_limits_destroy(e->rate_limits);
	jh_chooser_destroy(e->chooser);
	jh_weights_destroy(e->weights);
	jh_fleet_destroy(e->fleet);
	jh_metrics_destroy(e->metrics);
}

static void
pair_init(struct node *a, struct node *b, uv_loop_t *loop)
{
	assert_true(sodium_init() >= 0);
	uv_loop_init(loop);
	node_init(a, loop);
	node_init(b, loop);
}

static void
pair_clear(struct node *a, struct node *b, uv_loop_t *loop)
{
	jh_gossip_destroy(a->gossip);
	jh_gossip_destroy(b->gossip);
	uv_run(loop, UV_RUN_DEFAULT);
	node_clear(a);
	node_clear(b);
	assert_int_equal(uv_loop_close(loop), 0);
}

static void
run_for(uv_loop_t *loop, uint64_t usec)
{
	uint64_t until = jh_now() + usec;

	while (jh_now() < until) {
		uv_run(loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

/* Guards against accepting messages with a wrong MAC, and losing valid ones. */
static void
unauthenticated_messages_are_ignored(void **state)
{
	unsigned char wrong_key[JH_GOSSIP_KEY_LEN] = {1};
	struct jh_worker *seen;
	struct node a, b;
	uv_loop_t loop;

	pair_init(&a, &b, &loop);
	jh_fleet_find(a.fleet, "a")->running = 4;
	jh_gossip_set_position(a.gossip, 0, &(struct jh_position){1, 90});
	jh_gossip_set_position(a.gossip, 1, &(struct jh_position){1, 99});
	jh_gossip_set_position(a.gossip, 1, &(struct jh_position){2, 77});
	seen = jh_fleet_find(b.fleet, "a");
	jh_gossip_set_peer(
	    a.gossip, "b", true, &b.address, jh_gossip_key(b.gossip));
	jh_gossip_set_peer(b.gossip, "a", true, &a.address, wrong_key);
	run_for(&loop, 600000);
	assert_int_equal(seen->others_running, 0);
	assert_true(jh_metrics_get(b.metrics, "jh_gossip_ignored") > 0);
	jh_gossip_set_peer(
	    b.gossip, "a", true, &a.address, jh_gossip_key(a.gossip));
	run_for(&loop, 600000);
	assert_int_equal(seen->others_running, 4);
	assert_int_equal(b.position.era, 2);
	assert_int_equal(b.position.revision, 77);
	assert_int_equal(jh_gossip_live_peers(b.gossip), 1);
	pair_clear(&a, &b, &loop);
}

/*
 * Guards against requests to a worker that has told another router that it
 * leaves, and against one that is never used again because of late news.
 */
static void
leaving_is_learnt_from_peers(void **state)
{
	struct jh_worker *seen;
	struct node a, b;
	uv_loop_t loop;

	pair_init(&a, &b, &loop);
	seen = jh_fleet_find(b.fleet, "a");
	jh_gossip_set_peer(
	    a.gossip, "b", true, &b.address, jh_gossip_key(b.gossip));
	jh_gossip_set_peer(
	    b.gossip, "a", true, &a.address, jh_gossip_key(a.gossip));
	run_for(&loop, SEC / 2);
	assert_string_equal(jh_worker_state(seen, jh_now()), "ready");
	jh_fleet_announced_leaving(a.fleet, jh_fleet_find(a.fleet, "a"));
	run_for(&loop, SEC / 2);
	assert_string_equal(jh_worker_state(seen, jh_now()), "leaving");
	/* What a peer says is not passed on: it would never end. */
	assert_false(seen->announced_leaving);
	list_worker(a.fleet, jh_now(), "a", 2, false);
	run_for(&loop, SEC / 2);
	assert_string_equal(
	    jh_worker_state(seen, jh_now() + JH_FLEET_HEARD_LEAVING_USEC),
	    "ready");
	list_worker(b.fleet, jh_now(), "a", 2, false);
	assert_string_equal(jh_worker_state(seen, jh_now()), "ready");
	pair_clear(&a, &b, &loop);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(peer_load_is_replaced_and_expires),
	    cmocka_unit_test(sums_match_reports),
	    cmocka_unit_test(loading_and_weights_are_learnt),
	    cmocka_unit_test(restart_resets_worker),
	    cmocka_unit_test(missing_worker_has_grace_period),
	    cmocka_unit_test(events_are_split_whole),
	    cmocka_unit_test(unauthenticated_messages_are_ignored),
	    cmocka_unit_test(leaving_is_learnt_from_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
