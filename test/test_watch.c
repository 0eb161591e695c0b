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
#include "net/front.h"
#include "platform/share.h"
#include "platform/watch.h"

/* A store that lists one object and may leave watches without an answer. */
struct world {
	uv_loop_t loop;
	struct jh_front *store;
	struct jh_caller *caller;
	struct jh_metrics *metrics;
	struct jh_trace *trace;
	struct plat_store *client;
	struct plat_watch *watch;
	struct sockaddr_in address;
	bool idle; /* watches end at once, without a change */
	bool refuses; /* every call gets 503 */
	bool removed; /* the object is gone */
	bool silent; /* watches get no answer */
	bool changed; /* there is a newer object */
	unsigned int watches;
	unsigned int last_wait_ms;
	uint64_t seen; /* revision of the object that was given last */
	bool gone;
	uint64_t doubtful_since;
};

static void
on_store(void *arg, struct jh_visit *v)
{
	struct world *w = arg;
	char *target = jh_str_dup(jh_head_target(jh_visit_head(v)));
	const char *wait = strstr(target, "waitMs=");
	const char *answer =
	    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":3},"
	    "\"specification\":1}],\"hasMore\":false,\"storeRevision\":9}";

	if (wait != NULL) {
		w->watches++;
		w->last_wait_ms = (unsigned int)atoi(wait + 7);
		answer = w->changed
			     ? "{\"events\":[{\"deleted\":false,\"object\":{"
			       "\"metadata\":{\"name\":\"a\",\"revision\":12},"
			       "\"specification\":2}}],\"storeRevision\":12}"
			     : NULL;
	}
	if (wait != NULL && w->idle)
		answer = "{\"events\":[],\"storeRevision\":9}";
	if (wait != NULL && w->removed)
		answer = "{\"events\":[{\"deleted\":true,\"object\":{"
			 "\"metadata\":{\"name\":\"a\",\"revision\":3}}}],"
			 "\"storeRevision\":15}";
	if (w->refuses)
		jh_visit_answer(v, 503, "Away", JH_STR(""), JH_STR(""));
	else if (answer != NULL && !(w->silent && wait != NULL))
		jh_visit_answer(v, 200, "OK", JH_STR(""), jh_str_from(answer));
	g_free(target);
}

static const struct jh_front_ops store_ops = {on_store};

static void
on_object(void *arg, const struct plat_object *o)
{
	struct world *w = arg;

	w->seen = o->revision;
	w->gone = o->gone;
	w->doubtful_since = o->doubtful_since;
}

static void
world_init(struct world *w)
{
	const struct jh_front_limits limits = {8192, 8192, 0, 0, 0};
	struct plat_watch_spec spec = {.kind = "config", .arg = w};

	memset(w, 0, sizeof(*w));
	w->address = fake_loopback(fake_port());
	uv_loop_init(&w->loop);
	w->store = jh_front_create(&w->loop, &limits, &store_ops, w);
	assert_int_equal(jh_front_listen(w->store, &w->address), 0);
	w->caller = jh_caller_create(&w->loop);
	w->metrics = jh_metrics_create();
	w->trace = jh_trace_create(STDERR_FILENO, "test");
	w->client = plat_store_create(w->caller, &w->address, w->metrics);
	spec.loop = &w->loop;
	spec.store = w->client;
	spec.trace = w->trace;
	spec.object = on_object;
	w->watch = plat_watch_create(&spec);
	plat_watch_set_wait(w->watch, 12000);
}

static void
world_clear(struct world *w)
{
	plat_watch_destroy(w->watch);
	plat_store_destroy(w->client);
	jh_caller_destroy(w->caller);
	jh_front_destroy(w->store);
	uv_run(&w->loop, UV_RUN_DEFAULT);
	jh_trace_destroy(w->trace);
	jh_metrics_destroy(w->metrics);
	assert_int_equal(uv_loop_close(&w->loop), 0);
}

/* Runs the loop and, as datagrams would, tells of others' progress. */
static void
run_for(struct world *w, uint64_t usec, uint64_t others)
{
	uint64_t until = jh_now() + usec, told = 0;

	while (jh_now() < until) {
		uv_run(&w->loop, UV_RUN_NOWAIT);
		if (others != 0 && jh_now() - told > 200000) {
			told = jh_now();
			plat_watch_behind(w->watch, others);
		}
		g_usleep(1000);
	}
}

/*
 * Guards against a watch that hangs on a silent store, and hangs again when it
 * was asked again too early: a configuration then stays unknown for many
 * seconds while other entries have it.
 */
static void
silent_watch_is_asked_until_it_answers(void **state)
{
	struct world w;
	unsigned int before;

	world_init(&w);
	w.silent = true;
	run_for(&w, 500000, 0);
	assert_true(plat_watch_listed(w.watch));
	assert_int_equal(w.watches, 1);
	assert_int_equal(w.last_wait_ms, 12000);
	run_for(&w, 1000000, 12);
	before = w.watches;
	assert_true(before > 1);
	assert_true(w.last_wait_ms <= 500);
	run_for(&w, 2500000, 12);
	assert_true(w.watches > before);
	w.silent = false;
	w.changed = true;
	run_for(&w, 2500000, 12);
	assert_int_equal(w.seen, 12);
	assert_int_equal(plat_watch_mark(w.watch), 12);
	world_clear(&w);
}

/* Guards against calls for news that is none. */
static void
known_revision_is_not_asked_for(void **state)
{
	struct world w;

	world_init(&w);
	w.silent = true;
	run_for(&w, 1200000, 9);
	assert_int_equal(w.watches, 1);
	assert_int_equal(plat_watch_mark(w.watch), 3);
	world_clear(&w);
}

/* Lets the store be away for a moment, and removes the object after that. */
static void
remove_after_return(struct world *w, uint64_t usec)
{
	world_init(w);
	w->idle = true;
	run_for(w, 200000, 0);
	w->refuses = true;
	run_for(w, 1500000, 0);
	w->refuses = false;
	run_for(w, usec, 0);
	w->removed = true;
	run_for(w, 1200000, 0);
	assert_true(w->gone);
}

/*
 * Guards against a worker that has left and is used for longer than its leave:
 * a removal once counted as doubtful for 3 s after trouble and was kept for
 * 2.2 s more, while requests may reach it for 2.5 s only.
 */
static void
removal_is_doubtful_only_soon_after_the_return(void **state)
{
	struct world w;

	remove_after_return(&w, 700000);
	assert_true(w.doubtful_since != 0);
	assert_true(jh_now() - w.doubtful_since > 100000);
	world_clear(&w);
	remove_after_return(&w, 3200000);
	assert_true(w.doubtful_since == 0);
	world_clear(&w);
}

/* A neighbour before the store, and one watch that reads from it. */
struct near_world {
	struct world w;
	struct plat_share *share;
	struct jh_replica *replica;
	struct plat_store *client; /* calls to the neighbour */
	struct plat_watch *watch;
	bool serves;
	unsigned int failures;
	uint64_t seen;
};

static bool
serves(void *arg)
{
	return ((struct near_world *)arg)->serves;
}

static void
on_near_object(void *arg, const struct plat_object *o)
{
	((struct near_world *)arg)->seen = o->revision;
}

static struct plat_store *
neighbour(void *arg)
{
	return ((struct near_world *)arg)->client;
}

static void
neighbour_failed(void *arg)
{
	((struct near_world *)arg)->failures++;
}

static void
near_world_init(struct near_world *n)
{
	struct plat_share_kind kind = {
	    .kind = "config", .follows = serves, .arg = n};
	struct plat_watch_spec spec = {.kind = "config",
	    .object = on_near_object,
	    .neighbour = neighbour,
	    .neighbour_failed = neighbour_failed,
	    .arg = n};
	struct sockaddr_in sin = fake_loopback(fake_port());
	int error;

	memset(n, 0, sizeof(*n));
	world_init(&n->w);
	n->replica = jh_replica_create();
	n->share = plat_share_create(&n->w.loop, &sin, &error);
	assert_non_null(n->share);
	kind.replica = n->replica;
	plat_share_add(n->share, &kind);
	n->client = plat_store_create(n->w.caller, &sin, n->w.metrics);
	jh_replica_put(n->replica, "a",
	    JH_STR("{\"metadata\":{\"name\":\"a\",\"revision\":5},"
		   "\"specification\":1}"));
	jh_replica_reached(n->replica, 9);
	n->serves = true;
	spec.loop = &n->w.loop;
	spec.store = n->w.client;
	spec.trace = n->w.trace;
	n->watch = plat_watch_create(&spec);
}

static void
near_world_clear(struct near_world *n)
{
	plat_watch_destroy(n->watch);
	plat_store_destroy(n->client);
	plat_share_destroy(n->share);
	world_clear(&n->w);
	jh_replica_destroy(n->replica);
}

/* Guards against news that a neighbour has and does not pass on. */
static void
neighbour_passes_changes_on(void **state)
{
	struct near_world n;

	near_world_init(&n);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.seen, 5);
	jh_replica_put(n.replica, "a",
	    JH_STR("{\"metadata\":{\"name\":\"a\",\"revision\":14},"
		   "\"specification\":2}"));
	jh_replica_reached(n.replica, 14);
	plat_share_changed(n.share);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.seen, 14);
	assert_int_equal(n.failures, 0);
	near_world_clear(&n);
}

/*
 * Guards against a watch that stays with a neighbour that is cut off from the
 * store, and so misses what the store has.
 */
static void
neighbour_in_trouble_is_left_for_the_store(void **state)
{
	struct near_world n;

	near_world_init(&n);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.seen, 5);
	n.w.changed = true;
	n.serves = false;
	run_for(&n.w, 1500000, 0);
	assert_true(n.failures > 0);
	assert_int_equal(n.seen, 12);
	near_world_clear(&n);
}

/* Guards against an older state that another source tells after a newer one. */
static void
older_state_is_not_taken_over(void **state)
{
	struct near_world n;

	near_world_init(&n);
	run_for(&n.w, 300000, 0);
	jh_replica_put(n.replica, "a",
	    JH_STR("{\"metadata\":{\"name\":\"a\",\"revision\":4},"
		   "\"specification\":0}"));
	jh_replica_reached(n.replica, 10);
	plat_share_changed(n.share);
	run_for(&n.w, 300000, 0);
	assert_int_equal(n.seen, 5);
	near_world_clear(&n);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(silent_watch_is_asked_until_it_answers),
	    cmocka_unit_test(known_revision_is_not_asked_for),
	    cmocka_unit_test(removal_is_doubtful_only_soon_after_the_return),
	    cmocka_unit_test(neighbour_passes_changes_on),
	    cmocka_unit_test(neighbour_in_trouble_is_left_for_the_store),
	    cmocka_unit_test(older_state_is_not_taken_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
