#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"
#include "net/server.h"
#include "platform/mirror_server.h"
#include "platform/watch.h"

/*
 * A watch, and a fake store with one object, which may leave watch calls
 * without a response.
 */
struct fixture {
	uv_loop_t loop;
	struct jh_uv_server *store;
	struct jh_uv_client *http_client;
	struct jh_metrics *metrics;
	struct jh_json_log *log;
	struct plat_era *era;
	struct plat_store *client;
	struct plat_watch *watch;
	struct sockaddr_in address;
	bool idle; /* watch calls return at once, without a change */
	bool refuses; /* responds to every call with 503 */
	bool removed; /* the object was removed */
	bool silent; /* watch calls get no response */
	bool changed; /* the object has a newer revision */
	/* The next response to a watch call is sent by send_bytes(). */
	bool slow;
	struct jh_server_request *begun; /* such a response; NULL: none */
	size_t begun_bytes; /* that were sent of its body */
	/* How the store responds to watch calls that may not succeed. */
	enum {
		WATCH_NORMAL,
		WATCH_TOO_LARGE,
		WATCH_TOO_SLOW,
		WATCH_REJECTED,
		WATCH_UNREADABLE
	} watch_fault;
	bool slow_lists; /* a list takes LIST_MSEC */
	unsigned int list_bytes; /* of such a list that were sent */
	uv_timer_t list_timer;
	struct jh_server_request *list; /* such a list; NULL: none */
	unsigned int lists;
	unsigned int watches;
	unsigned int last_wait_ms;
	unsigned int shortest_wait_ms; /* of the watch calls; 0: none */
	uint64_t last_revision; /* revision in the last callback */
	bool deleted;
	uint64_t suspect_since;
};

/* Of the watch calls. */
#define WAIT_MSEC 12000
/* As many instances as one of the users' deployments has. */
#define INSTANCES 22

#define CHANGE                                                                \
	"{\"events\":[{\"deleted\":false,\"object\":{\"metadata\":{\"name\":" \
	"\"a\","                                                              \
	"\"revision\":12},\"specification\":2}}],\"storeRevision\":12}"

#define FIRST_LIST                                                   \
	"{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":3}," \
	"\"specification\":1}],\"hasMore\":false,\"storeRevision\":9}"
/* The lists after the first one. */
#define LATER_LIST                                                    \
	"{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":30}," \
	"\"specification\":3}],\"hasMore\":false,\"storeRevision\":31}"

/* More than the longest response that the store's client accepts. */
#define TOO_LARGE_BYTES ((size_t)5 * 1024 * 1024)

/* Time of a slow list; more than is first allowed for a page. */
#define LIST_MSEC 2000

static void
on_begun_gone(void *arg)
{
	((struct fixture *)arg)->begun = NULL;
}

static void
on_begun_drained(void *arg)
{
}

static const struct jh_server_request_ops begun_ops = {
    .disconnected = on_begun_gone, .drained = on_begun_drained};

/* Begins a response with a change; send_bytes() sends its body. */
static void
begin_change(struct fixture *w, struct jh_server_request *v)
{
	w->slow = false;
	w->begun = v;
	w->begun_bytes = 0;
	jh_server_request_set_ops(v, &begun_ops, w);
	jh_server_request_begin_response(v, 200, "OK", JH_STR(""));
}

/* Sends up to n more bytes, and the end after the last. */
static void
send_bytes(struct fixture *w, size_t n)
{
	size_t left = strlen(CHANGE) - w->begun_bytes;

	if (w->begun == NULL)
		return;
	n = MIN(n, left);
	jh_server_request_write(
	    w->begun, (struct jh_str){&CHANGE[w->begun_bytes], n});
	w->begun_bytes += n;
	if (n < left)
		return;
	jh_server_request_end(w->begun);
	w->begun = NULL;
}

static void
on_list_gone(void *arg)
{
	struct fixture *w = arg;

	w->list = NULL;
	uv_timer_stop(&w->list_timer);
}

static const struct jh_server_request_ops list_ops = {
    .disconnected = on_list_gone, .drained = on_begun_drained};

static void
on_list_timer(uv_timer_t *t)
{
	struct fixture *w = t->data;
	size_t len = strlen(FIRST_LIST);

	jh_server_request_write(
	    w->list, (struct jh_str){&FIRST_LIST[w->list_bytes], 1});
	if (++w->list_bytes < len)
		return;
	jh_server_request_end(w->list);
	on_list_gone(w);
}

/* Sends the list in LIST_MSEC, as over a slow link. */
static void
begin_slow_list(struct fixture *w, struct jh_server_request *v)
{
	uint64_t interval = LIST_MSEC / strlen(FIRST_LIST);

	w->list = v;
	w->list_bytes = 0;
	jh_server_request_set_ops(v, &list_ops, w);
	jh_server_request_begin_response(v, 200, "OK", JH_STR(""));
	uv_timer_start(&w->list_timer, on_list_timer, interval, interval);
}

/* Responds to a watch call, which can't succeed. */
static void
fail_watch(struct fixture *w, struct jh_server_request *v)
{
	char *text;

	switch (w->watch_fault) {
	case WATCH_TOO_LARGE:
		text = g_strnfill(TOO_LARGE_BYTES, ' ');
		jh_server_request_respond(
		    v, 200, "OK", JH_STR(""), jh_str_from(text));
		g_free(text);
		break;
	case WATCH_TOO_SLOW:
		begin_change(w, v);
		send_bytes(w, 1);
		break;
	case WATCH_REJECTED:
		jh_server_request_respond(
		    v, 400, "Bad Request", JH_STR(""), JH_STR("{}"));
		break;
	default:
		jh_server_request_respond(
		    v, 200, "OK", JH_STR(""), JH_STR("{\"events\":["));
		break;
	}
}

static void
on_store(void *arg, struct jh_server_request *v)
{
	struct fixture *w = arg;
	char *target = jh_str_dup(jh_head_target(jh_server_request_head(v)));
	const char *wait = strstr(target, "waitMs=");
	const char *response = w->lists == 0 ? FIRST_LIST : LATER_LIST;

	if (wait != NULL) {
		w->watches++;
		w->last_wait_ms = (unsigned int)atoi(wait + 7);
		if (w->shortest_wait_ms == 0 ||
		    w->last_wait_ms < w->shortest_wait_ms)
			w->shortest_wait_ms = w->last_wait_ms;
		response = w->changed ? CHANGE : NULL;
	}
	if (wait != NULL && w->idle)
		response = "{\"events\":[],\"storeRevision\":9}";
	if (wait != NULL && w->removed)
		response = "{\"events\":[{\"deleted\":true,\"object\":{"
			   "\"metadata\":{\"name\":\"a\",\"revision\":3}}}],"
			   "\"storeRevision\":15}";
	if (wait == NULL)
		w->lists++;
	if (wait != NULL && w->slow)
		begin_change(w, v);
	else if (wait != NULL && w->watch_fault != WATCH_NORMAL)
		fail_watch(w, v);
	else if (wait == NULL && w->slow_lists)
		begin_slow_list(w, v);
	else if (w->refuses)
		jh_server_request_respond(
		    v, 503, "Away", JH_STR(""), JH_STR(""));
	else if (response != NULL && !(w->silent && wait != NULL))
		jh_server_request_respond(
		    v, 200, "OK", JH_STR(""), jh_str_from(response));
	g_free(target);
}

static const struct jh_uv_server_ops store_ops = {.request = on_store};

static void
on_object(void *arg, const struct plat_object *o)
{
	struct fixture *w = arg;

	w->last_revision = o->position.revision;
	w->deleted = o->deleted;
	w->suspect_since = o->suspect_since;
}

/* Starts a watch of the fixture's store. */
static struct plat_watch *
start_watch(struct fixture *w)
{
	struct plat_watch_spec spec = {
	    .loop = &w->loop,
	    .store = w->client,
	    .log = w->log,
	    .kind = "config",
	    .object = on_object,
	    .arg = w,
	};
	struct plat_watch *watch = plat_watch_create(&spec);

	plat_watch_set_wait(watch, WAIT_MSEC);
	return watch;
}

static void
fixture_init(struct fixture *w)
{
	const struct jh_uv_server_limits limits = {8192, 8192, 0, 0, 0};

	memset(w, 0, sizeof(*w));
	w->address = fake_loopback(fake_port());
	uv_loop_init(&w->loop);
	w->store = jh_uv_server_create(&w->loop, &limits, &store_ops, w);
	assert_int_equal(jh_uv_server_listen(w->store, &w->address), 0);
	uv_timer_init(&w->loop, &w->list_timer);
	w->list_timer.data = w;
	w->http_client = jh_uv_client_create(&w->loop);
	w->metrics = jh_metrics_create();
	w->log = jh_json_log_create(STDERR_FILENO, "test");
	w->era = plat_era_create(
	    &(struct plat_era_spec){.log = w->log, .metrics = w->metrics});
	w->client =
	    plat_store_create(w->http_client, &w->address, w->metrics, w->era);
	w->watch = start_watch(w);
}

static void
fixture_clear(struct fixture *w)
{
	plat_watch_destroy(w->watch);
	plat_store_destroy(w->client);
	plat_era_destroy(w->era);
	jh_uv_client_destroy(w->http_client);
	jh_uv_server_destroy(w->store);
	uv_close((uv_handle_t *)&w->list_timer, NULL);
	uv_run(&w->loop, UV_RUN_DEFAULT);
	jh_json_log_destroy(w->log);
	jh_metrics_destroy(w->metrics);
	assert_int_equal(uv_loop_close(&w->loop), 0);
}

/*
 * Runs the loop and passes the revision of a peer to the watch, as gossip does;
 * 0: none.
 */
static void
run_for(struct fixture *w, uint64_t usec, uint64_t others)
{
	uint64_t until = jh_now() + usec, last_sent = 0;

	while (jh_now() < until) {
		uv_run(&w->loop, UV_RUN_NOWAIT);
		if (others != 0 && jh_now() - last_sent > 200000) {
			last_sent = jh_now();
			plat_watch_peer_position(
			    w->watch, &(struct jh_position){0, others});
		}
		g_usleep(1000);
	}
}

/*
 * A watch that gets no response is restarted until it does. If it hung on a
 * silent store, or hung again after a restart that came too early, a
 * configuration would stay unknown for many seconds while other instances have
 * it.
 */
static void
silent_watch_is_restarted(void **state)
{
	struct fixture w;
	unsigned int before;

	fixture_init(&w);
	w.silent = true;
	run_for(&w, 500000, 0);
	assert_true(plat_watch_has_list(w.watch));
	assert_int_equal(w.watches, 1);
	assert_in_range(w.last_wait_ms, 1000, WAIT_MSEC);
	run_for(&w, 1000000, 12);
	before = w.watches;
	assert_true(before > 1);
	assert_true(w.last_wait_ms <= 500);
	run_for(&w, 2500000, 12);
	assert_true(w.watches > before);
	w.silent = false;
	w.changed = true;
	run_for(&w, 2500000, 12);
	assert_int_equal(w.last_revision, 12);
	assert_int_equal(plat_watch_last_change(w.watch).revision, 12);
	fixture_clear(&w);
}

/* As run_for(), with a peer that is as far as the watch after each message. */
static void
run_beside_equal_peer(struct fixture *w, uint64_t usec, uint64_t others)
{
	uint64_t until = jh_now() + usec;
	struct jh_position at;

	while (jh_now() < until) {
		run_for(w, 100000, 0);
		at = plat_watch_position(w->watch);
		plat_watch_peer_position(
		    w->watch, &(struct jh_position){0, others});
		plat_watch_peer_position(w->watch, &at);
	}
}

/*
 * Guards against a configuration that stays unknown because peers that do not
 * know it either, as they have the same silent source, hide one that does.
 */
static void
peer_that_is_behind_does_not_hide_one_ahead(void **state)
{
	struct fixture w;

	fixture_init(&w);
	w.silent = true;
	run_for(&w, 500000, 0);
	assert_int_equal(w.watches, 1);
	run_beside_equal_peer(&w, 1000000, 12);
	assert_true(w.watches > 1);
	w.silent = false;
	w.changed = true;
	run_beside_equal_peer(&w, 2500000, 12);
	assert_int_equal(w.last_revision, 12);
	fixture_clear(&w);
}

/*
 * Guards against giving up a change that is on its way over a slow link because
 * a peer has got it already.
 */
static void
change_on_its_way_is_awaited(void **state)
{
	struct fixture w;
	unsigned int i;

	fixture_init(&w);
	w.slow = true;
	run_for(&w, 500000, 0);
	assert_int_equal(w.watches, 1);
	for (i = 0; i < 5; i++) {
		send_bytes(&w, 1);
		run_for(&w, 200000, 12);
	}
	send_bytes(&w, SIZE_MAX);
	run_for(&w, 200000, 12);
	assert_int_equal(w.last_revision, 12);
	assert_int_equal(w.watches, 2);
	fixture_clear(&w);
}

/* Guards against waiting for a response that has stopped to arrive. */
static void
stalled_change_is_given_up(void **state)
{
	struct fixture w;

	fixture_init(&w);
	w.slow = true;
	run_for(&w, 500000, 0);
	send_bytes(&w, 1);
	w.changed = true;
	run_for(&w, 1000000, 12);
	assert_int_equal(w.last_revision, 12);
	fixture_clear(&w);
}

/* Guards against restarting a call for a revision that is already known. */
static void
known_revision_does_not_restart_watch(void **state)
{
	struct fixture w;

	fixture_init(&w);
	w.silent = true;
	run_for(&w, 1200000, 9);
	assert_int_equal(w.watches, 1);
	assert_int_equal(plat_watch_last_change(w.watch).revision, 3);
	fixture_clear(&w);
}

/*
 * Makes the store unavailable for 1.5 s, and removes the object usec after
 * that.
 */
static void
remove_after_outage(struct fixture *w, uint64_t usec)
{
	fixture_init(w);
	w->idle = true;
	run_for(w, 200000, 0);
	w->refuses = true;
	run_for(w, 1500000, 0);
	w->refuses = false;
	run_for(w, usec, 0);
	w->removed = true;
	run_for(w, 1200000, 0);
	assert_true(w->deleted);
}

/*
 * A removal is suspect only soon after an outage. If removals in the 3 s after
 * an outage were suspect and the worker was kept for 2.2 s more, it would be
 * used after its removal for longer than the 2.5 s that are allowed.
 */
static void
removal_is_suspect_only_soon_after_outage(void **state)
{
	struct fixture w;

	remove_after_outage(&w, 700000);
	assert_true(w.suspect_since != 0);
	assert_true(jh_now() - w.suspect_since > 100000);
	fixture_clear(&w);
	remove_after_outage(&w, 3200000);
	assert_true(w.suspect_since == 0);
	fixture_clear(&w);
}

/*
 * Guards against a process that counts as connected during an outage, or that
 * does not any more long after one.
 */
static void
outage_is_dated_by_its_last_failed_call(void **state)
{
	struct fixture w;
	uint64_t ended;

	fixture_init(&w);
	w.idle = true;
	run_for(&w, 200000, 0);
	assert_true(plat_watch_unavailable_at(w.watch) == 0);
	w.refuses = true;
	run_for(&w, 1500000, 0);
	w.refuses = false;
	ended = jh_now();
	run_for(&w, 1000000, 0);
	assert_in_range(
	    plat_watch_unavailable_at(w.watch), ended - 1000000, ended);
	fixture_clear(&w);
}

/*
 * Follows the store with INSTANCES watches, with or without a change after
 * their lists, and returns the shortest wait time of the calls that are left
 * open.
 */
static unsigned int
shortest_open_wait(bool changed)
{
	struct plat_watch *other[INSTANCES - 1];
	struct fixture w;
	size_t i;

	fixture_init(&w);
	w.changed = changed;
	for (i = 0; i < G_N_ELEMENTS(other); i++)
		other[i] = start_watch(&w);
	run_for(&w, 300000, 0);
	if (changed) {
		w.shortest_wait_ms = 0;
		w.changed = false;
		run_for(&w, 100000, 0);
	}
	for (i = 0; i < G_N_ELEMENTS(other); i++)
		plat_watch_destroy(other[i]);
	fixture_clear(&w);
	return w.shortest_wait_ms;
}

/*
 * Guards against connections to the store that go silent unnoticed after a
 * change: it ends the calls of all instances at the same moment, and if they
 * all waited in full again, none could tell the others of the next change for
 * that time.
 */
static void
calls_after_a_change_end_at_different_times(void **state)
{
	assert_in_range(shortest_open_wait(true), 1, WAIT_MSEC / 2);
}

/* Guards against the same after a start of all instances. */
static void
calls_after_a_list_end_at_different_times(void **state)
{
	assert_in_range(shortest_open_wait(false), 1, WAIT_MSEC / 2);
}

/* Guards against more calls to the store than its silence takes to notice. */
static void
call_after_an_uneventful_one_waits_in_full(void **state)
{
	struct fixture w;

	fixture_init(&w);
	w.idle = true;
	run_for(&w, 200000, 0);
	assert_true(w.watches > 2);
	assert_int_equal(w.last_wait_ms, WAIT_MSEC);
	fixture_clear(&w);
}

static void
on_got(void *arg, const struct plat_store_reply *reply)
{
	*(bool *)arg = reply->result == JH_STORE_OK;
}

/* Leaves the watch without a response beside an idle connection. */
static void
leave_idle_connection(struct fixture *w, unsigned int wait_ms)
{
	bool got = false;

	fixture_init(w);
	plat_watch_set_wait(w->watch, wait_ms);
	w->silent = true;
	run_for(w, 300000, 0);
	plat_store_get(w->client, "config", "a", false, jh_now() + 1000000,
	    (struct plat_store_callback){on_got, &got});
	run_for(w, 200000, 0);
	assert_true(got);
	assert_int_equal(w->watches, 1);
	assert_int_equal(jh_uv_client_connections_opened(w->http_client), 2);
}

/*
 * Guards against a restarted watch that is sent over an idle connection: if one
 * connection to the store is silent, the others may be.
 */
static void
restarted_watch_opens_a_connection(void **state)
{
	struct fixture w;

	leave_idle_connection(&w, WAIT_MSEC);
	run_for(&w, 1000000, 12);
	assert_int_equal(w.watches, 2);
	assert_int_equal(jh_uv_client_connections_opened(w.http_client), 3);
	fixture_clear(&w);
}

/* Guards against the same after a watch that has timed out. */
static void
watch_after_a_timeout_opens_a_connection(void **state)
{
	struct fixture w;

	leave_idle_connection(&w, 1000);
	run_for(&w, 1600000, 0);
	assert_int_equal(w.watches, 2);
	assert_int_equal(jh_uv_client_connections_opened(w.http_client), 3);
	fixture_clear(&w);
}

/*
 * Guards against a configuration that stays unknown because the same watch call
 * is repeated, which transfers all changes since its revision and fails again,
 * in place of a list.
 */
static void
watch_that_cannot_succeed_is_followed_by_a_list(void **state)
{
	static const int faults[] = {
	    WATCH_TOO_LARGE, WATCH_TOO_SLOW, WATCH_REJECTED, WATCH_UNREADABLE};
	struct fixture w;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		fixture_init(&w);
		plat_watch_set_wait(w.watch, 100);
		w.idle = true;
		run_for(&w, 50000, 0);
		assert_int_equal(w.last_revision, 3);
		w.watch_fault = faults[i];
		run_for(&w, 1500000, 0);
		print_message("fault %d\n", faults[i]);
		assert_int_equal(w.last_revision, 30);
		fixture_clear(&w);
	}
}

/*
 * Guards against an outage that is taken for a response that can't succeed: a
 * list of all objects would cost more than the watch.
 */
static void
watch_without_a_response_is_repeated(void **state)
{
	struct fixture w;

	fixture_init(&w);
	plat_watch_set_wait(w.watch, 100);
	w.idle = true;
	run_for(&w, 50000, 0);
	w.silent = true;
	w.idle = false;
	run_for(&w, 1200000, 0);
	w.refuses = true;
	run_for(&w, 1000000, 0);
	w.refuses = w.silent = false;
	w.changed = true;
	run_for(&w, 1200000, 0);
	assert_int_equal(w.last_revision, 12);
	assert_int_equal(w.lists, 1);
	fixture_clear(&w);
}

/*
 * Guards against a page of a list that takes too long over a slow link and is
 * requested again with no more time.
 */
static void
slow_page_gets_more_time(void **state)
{
	struct fixture w;

	fixture_init(&w);
	w.slow_lists = true;
	run_for(&w, 5500000, 0);
	assert_true(plat_watch_has_list(w.watch));
	assert_int_equal(w.lists, 2);
	fixture_clear(&w);
}

/* About as large as the largest object of the store. */
#define LARGE_OBJECT_BYTES ((size_t)900 * 1024)

/* A mirror, and a watch that reads from it. */
struct mirror_fixture {
	struct fixture w;
	struct plat_mirror_server *share;
	struct jh_replica *replica;
	struct plat_store *client; /* calls to the mirror */
	struct plat_watch *watch;
	bool serves;
	unsigned int failures;
	uint64_t last_revision;
};

static bool
serves(void *arg)
{
	return ((struct mirror_fixture *)arg)->serves;
}

static void
on_mirrored_object(void *arg, const struct plat_object *o)
{
	((struct mirror_fixture *)arg)->last_revision = o->position.revision;
}

static struct plat_store *
choose_mirror(void *arg, const char **name)
{
	*name = "mirror";
	return ((struct mirror_fixture *)arg)->client;
}

static void
on_mirror_failed(void *arg, const char *name)
{
	((struct mirror_fixture *)arg)->failures++;
}

static void
mirror_fixture_init(struct mirror_fixture *n)
{
	struct plat_mirror_source kind = {
	    .kind = "config", .is_current = serves, .arg = n};
	struct plat_watch_spec spec = {.kind = "config",
	    .object = on_mirrored_object,
	    .mirror = choose_mirror,
	    .mirror_failed = on_mirror_failed,
	    .arg = n};
	struct sockaddr_in sin = fake_loopback(fake_port());
	int error;

	memset(n, 0, sizeof(*n));
	fixture_init(&n->w);
	n->replica = jh_replica_create();
	n->share =
	    plat_mirror_server_create(&n->w.loop, &sin, n->w.era, &error);
	assert_non_null(n->share);
	kind.replica = n->replica;
	plat_mirror_server_add(n->share, &kind);
	n->client =
	    plat_store_create(n->w.http_client, &sin, n->w.metrics, n->w.era);
	jh_replica_put(n->replica, "a",
	    JH_STR("{\"metadata\":{\"name\":\"a\",\"revision\":5},"
		   "\"specification\":1}"));
	jh_replica_commit(n->replica, &(struct jh_position){0, 9});
	n->serves = true;
	spec.loop = &n->w.loop;
	spec.store = n->w.client;
	spec.log = n->w.log;
	n->watch = plat_watch_create(&spec);
}

static void
mirror_fixture_clear(struct mirror_fixture *n)
{
	plat_watch_destroy(n->watch);
	plat_store_destroy(n->client);
	plat_mirror_server_destroy(n->share);
	fixture_clear(&n->w);
	jh_replica_destroy(n->replica);
}

/* Guards against a watch that misses changes of its mirror. */
static void
mirror_passes_changes_on(void **state)
{
	struct mirror_fixture n;

	mirror_fixture_init(&n);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.last_revision, 5);
	jh_replica_put(n.replica, "a",
	    JH_STR("{\"metadata\":{\"name\":\"a\",\"revision\":14},"
		   "\"specification\":2}"));
	jh_replica_commit(n.replica, &(struct jh_position){0, 14});
	plat_mirror_server_changed(n.share);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.last_revision, 14);
	assert_int_equal(n.failures, 0);
	mirror_fixture_clear(&n);
}

/*
 * A watch reads from the store if its mirror does not follow the store any
 * more; otherwise it would miss changes.
 */
static void
failed_mirror_is_replaced_by_store(void **state)
{
	struct mirror_fixture n;

	mirror_fixture_init(&n);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.last_revision, 5);
	n.w.changed = true;
	n.serves = false;
	run_for(&n.w, 1500000, 0);
	assert_true(n.failures > 0);
	assert_int_equal(n.last_revision, 12);
	mirror_fixture_clear(&n);
}

/* Guards against an old revision of another source replacing a newer one. */
static void
older_revision_is_ignored(void **state)
{
	struct mirror_fixture n;

	mirror_fixture_init(&n);
	run_for(&n.w, 300000, 0);
	jh_replica_put(n.replica, "a",
	    JH_STR("{\"metadata\":{\"name\":\"a\",\"revision\":4},"
		   "\"specification\":0}"));
	jh_replica_commit(n.replica, &(struct jh_position){0, 10});
	plat_mirror_server_changed(n.share);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.last_revision, 5);
	mirror_fixture_clear(&n);
}

static void
put_large(struct mirror_fixture *n, const char *name, uint64_t revision)
{
	char *filler = g_strnfill(LARGE_OBJECT_BYTES, 'x');
	char *text = g_strdup_printf(
	    "{\"metadata\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
	    "},\"specification\":\"%s\"}",
	    name, revision, filler);

	jh_replica_put(n->replica, name, jh_str_from(text));
	g_free(text);
	g_free(filler);
}

/*
 * Guards against a mirror whose response has all changes that its reader
 * missed, which the reader does not accept, now or later.
 */
static void
mirror_sends_no_more_changes_than_a_page(void **state)
{
	struct mirror_fixture n;
	uint64_t revision;

	mirror_fixture_init(&n);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.last_revision, 5);
	for (revision = 10; revision < 30; revision++) {
		put_large(&n, "a", revision);
		jh_replica_commit(
		    n.replica, &(struct jh_position){0, revision});
	}
	plat_mirror_server_changed(n.share);
	run_for(&n.w, 1000000, 0);
	assert_int_equal(n.last_revision, 29);
	assert_int_equal(n.failures, 0);
	mirror_fixture_clear(&n);
}

/* Guards against a page of a mirror's list that its reader does not accept. */
static void
mirror_sends_large_objects_on_several_pages(void **state)
{
	struct mirror_fixture n;
	char name[16];
	unsigned int i;

	mirror_fixture_init(&n);
	n.w.refuses = true;
	for (i = 0; i < 20; i++) {
		g_snprintf(name, sizeof(name), "b%02u", i);
		put_large(&n, name, 10 + i);
	}
	jh_replica_commit(n.replica, &(struct jh_position){0, 30});
	run_for(&n.w, 1500000, 0);
	assert_int_equal(n.last_revision, 29);
	assert_int_equal(n.failures, 0);
	mirror_fixture_clear(&n);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(silent_watch_is_restarted),
	    cmocka_unit_test(peer_that_is_behind_does_not_hide_one_ahead),
	    cmocka_unit_test(change_on_its_way_is_awaited),
	    cmocka_unit_test(stalled_change_is_given_up),
	    cmocka_unit_test(known_revision_does_not_restart_watch),
	    cmocka_unit_test(removal_is_suspect_only_soon_after_outage),
	    cmocka_unit_test(outage_is_dated_by_its_last_failed_call),
	    cmocka_unit_test(calls_after_a_change_end_at_different_times),
	    cmocka_unit_test(calls_after_a_list_end_at_different_times),
	    cmocka_unit_test(call_after_an_uneventful_one_waits_in_full),
	    cmocka_unit_test(restarted_watch_opens_a_connection),
	    cmocka_unit_test(watch_after_a_timeout_opens_a_connection),
	    cmocka_unit_test(watch_that_cannot_succeed_is_followed_by_a_list),
	    cmocka_unit_test(watch_without_a_response_is_repeated),
	    cmocka_unit_test(slow_page_gets_more_time),
	    cmocka_unit_test(mirror_passes_changes_on),
	    cmocka_unit_test(failed_mirror_is_replaced_by_store),
	    cmocka_unit_test(older_revision_is_ignored),
	    cmocka_unit_test(mirror_sends_no_more_changes_than_a_page),
	    cmocka_unit_test(mirror_sends_large_objects_on_several_pages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
