#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/objects.h"
#include "fakes/port.h"
#include "platform/mirror_server.h"
#include "platform/watch.h"

/* Watches of a store that comes back from an older copy. */

#define KIND "config"
#define SETTLE_USEC (200 * JH_USEC_PER_MSEC)
#define CHANGES 10

/* Runs the loop until the condition holds; fails the test after 5 s. */
#define run_until(f, condition)                                   \
	do {                                                      \
		uint64_t until_ = jh_now() + 5 * JH_USEC_PER_SEC; \
		while (!(condition) && jh_now() < until_)         \
			run_for(f, JH_USEC_PER_MSEC);             \
		assert_true(condition);                           \
	} while (0)

/* What one process knows of the store. */
struct reader {
	struct plat_era *era;
	struct plat_store *client;
	struct plat_watch *watch;
	struct jh_replica *replica;
	struct jh_newest *newest;
	GHashTable *values; /* name to int */
	unsigned int batches, removals, certain_removals;
};

struct fixture {
	uv_loop_t loop;
	struct fake_objects *store;
	struct jh_uv_client *http_client;
	struct jh_metrics *metrics;
	struct jh_json_log *log;
	struct sockaddr_in address;
	struct reader reader;
};

static unsigned int seeds = 8;

static void
on_risen(void *arg, uint64_t era)
{
	plat_watch_begin_era(((struct reader *)arg)->watch, era, 0);
}

/*
 * An object is a number, its version; that of an instance is a pair: its start,
 * and 1 if it leaves.
 */
static struct jh_content_order
order_of(json_t *specification)
{
	struct jh_content_order order = {0, 0};

	if (json_is_array(specification)) {
		order.start = (uint64_t)json_integer_value(
		    json_array_get(specification, 0));
		specification = json_array_get(specification, 1);
	}
	order.version = (uint64_t)json_integer_value(specification);
	return order;
}

static void
on_object(void *arg, const struct plat_object *o)
{
	struct reader *r = arg;

	if (!o->deleted) {
		int version = (int)order_of(o->specification).version;
		g_hash_table_replace(
		    r->values, g_strdup(o->name), GINT_TO_POINTER(version));
		return;
	}
	g_hash_table_remove(r->values, o->name);
	r->removals++;
	if (o->suspect_since == 0)
		r->certain_removals++;
}

static void
on_batch_done(void *arg)
{
	((struct reader *)arg)->batches++;
}

/* Reads from the store, or from the mirror at that address. */
static void
reader_init(
    struct reader *r, struct fixture *f, const struct sockaddr_in *address)
{
	struct plat_era_spec era = {
	    .log = f->log, .metrics = f->metrics, .risen = on_risen, .arg = r};
	struct plat_watch_spec spec = {
	    .loop = &f->loop,
	    .log = f->log,
	    .kind = KIND,
	    .object = on_object,
	    .batch_done = on_batch_done,
	    .arg = r,
	};

	memset(r, 0, sizeof(*r));
	r->values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->era = plat_era_create(&era);
	r->client =
	    plat_store_create(f->http_client, address, f->metrics, r->era);
	spec.store = r->client;
	spec.replica = r->replica = jh_replica_create();
	spec.newest = r->newest = jh_newest_create();
	spec.order = order_of;
	r->watch = plat_watch_create(&spec);
	plat_watch_set_wait(r->watch, 12000);
}

static void
reader_clear(struct reader *r)
{
	plat_watch_destroy(r->watch);
	plat_store_destroy(r->client);
	plat_era_destroy(r->era);
	jh_replica_destroy(r->replica);
	jh_newest_destroy(r->newest);
	g_hash_table_destroy(r->values);
}

static void
run_for(struct fixture *f, uint64_t usec)
{
	uint64_t until = jh_now() + usec;

	while (jh_now() < until) {
		uv_run(&f->loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	unsigned int port = fake_port();

	*state = f;
	f->address = fake_loopback(port);
	uv_loop_init(&f->loop);
	f->store = fake_objects_create(&f->loop, port);
	f->http_client = jh_uv_client_create(&f->loop);
	f->metrics = jh_metrics_create();
	f->log = jh_json_log_create(STDERR_FILENO, "test");
	reader_init(&f->reader, f, &f->address);
	return 0;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	reader_clear(&f->reader);
	jh_uv_client_destroy(f->http_client);
	fake_objects_destroy(f->store);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	jh_json_log_destroy(f->log);
	jh_metrics_destroy(f->metrics);
	assert_int_equal(uv_loop_close(&f->loop), 0);
	g_free(f);
	return 0;
}

/* Writes an object as the operator. */
static void
put(struct fixture *f, const char *name, int value)
{
	json_t *spec = json_integer(value);

	fake_objects_put(f->store, KIND, name, spec);
	json_decref(spec);
}

static void
put_many(struct fixture *f, const char *name)
{
	int i;

	for (i = 1; i <= CHANGES; i++)
		put(f, name, i);
}

/* Returns -1 for an object that the reader does not know. */
static int
known(const struct reader *r, const char *name)
{
	gpointer value;

	if (!g_hash_table_lookup_extended(r->values, name, NULL, &value))
		return -1;
	return GPOINTER_TO_INT(value);
}

/*
 * Guards against taking a change for an older one because its revision was
 * given out again.
 */
static void
change_with_a_lower_revision_is_taken(void **state)
{
	struct fixture *f = *state;
	struct fake_restore restore = {0};

	put(f, "a", 1);
	run_until(f, known(&f->reader, "a") == 1);
	restore.copied_at = jh_now();
	run_for(f, SETTLE_USEC);
	put_many(f, "a");
	run_until(f, known(&f->reader, "a") == CHANGES);
	fake_objects_restore(f->store, &restore);
	put(f, "a", 100);
	run_until(f, known(&f->reader, "a") == 100);
	assert_int_equal(plat_watch_last_change(f->reader.watch).era, 2);
}

/*
 * Guards against following another history from a revision that the store has
 * given out again, in which changes are missed.
 */
static void
history_with_the_same_revisions_is_not_followed(void **state)
{
	struct fixture *f = *state;
	struct fake_restore restore = {0};
	int i;

	put(f, "a", 1);
	run_until(f, known(&f->reader, "a") == 1);
	restore.copied_at = jh_now();
	run_for(f, SETTLE_USEC);
	put_many(f, "lost");
	run_until(f, known(&f->reader, "lost") == CHANGES);
	run_for(f, SETTLE_USEC);
	restore.back_at = jh_now() + SETTLE_USEC;
	restore.rewritten_by = restore.back_at + 100 * JH_USEC_PER_SEC;
	fake_objects_restore(f->store, &restore);
	put(f, "b", 1);
	for (i = 0; i < 2; i++)
		put_many(f, "c");
	run_until(f, known(&f->reader, "c") == CHANGES);
	run_until(f, known(&f->reader, "b") == 1);
	assert_int_equal(known(&f->reader, "a"), 1);
}

/*
 * Guards against taking a worker for gone because its entry is not written
 * again yet.
 */
static void
removal_by_a_restore_is_suspect(void **state)
{
	struct fixture *f = *state;
	struct fake_restore restore = {0};

	put(f, "a", 1);
	run_until(f, known(&f->reader, "a") == 1);
	restore.copied_at = jh_now();
	run_for(f, SETTLE_USEC);
	put(f, "b", 1);
	run_until(f, known(&f->reader, "b") == 1);
	restore.rewritten_by = jh_now() + 100 * JH_USEC_PER_SEC;
	fake_objects_restore(f->store, &restore);
	run_until(f, f->reader.removals == 1);
	assert_int_equal(f->reader.certain_removals, 0);
}

static void
put_instance(struct fixture *f, const char *name, int start, bool leaving)
{
	json_t *spec = json_pack("[i, i]", start, (int)leaving);

	fake_objects_put(f->store, KIND, name, spec);
	json_decref(spec);
}

/* Guards against older content of the copy in place of what was known. */
static void
older_content_of_the_copy_is_ignored(void **state)
{
	struct fixture *f = *state;
	struct fake_restore restore = {0};

	put(f, "a", 1);
	put_instance(f, "w", 100, false);
	run_until(f, known(&f->reader, "w") == 0);
	restore.copied_at = jh_now();
	run_for(f, SETTLE_USEC);
	put(f, "a", 2);
	put_instance(f, "w", 100, true);
	run_until(f, known(&f->reader, "w") == 1);
	restore.rewritten_by = jh_now() + 100 * JH_USEC_PER_SEC;
	fake_objects_restore(f->store, &restore);
	assert_true(plat_era_observe(f->reader.era, 2));
	run_until(f, plat_watch_position(f->reader.watch).revision != 0);
	run_for(f, SETTLE_USEC);
	assert_int_equal(known(&f->reader, "a"), 2);
	assert_int_equal(known(&f->reader, "w"), 1);
	/* Its next start, and what is written again. */
	put_instance(f, "w", 200, false);
	put(f, "a", 3);
	run_until(f, known(&f->reader, "w") == 0);
	run_until(f, known(&f->reader, "a") == 3);
}

/*
 * Guards against older content of the copy in place of what a peer told, and
 * against an instance that the store does not list and never removes.
 */
static void
content_of_a_peer_is_kept(void **state)
{
	struct fixture *f = *state;
	json_t *config = json_pack(
	    "{s:{s:s}, s:i}", "metadata", "name", "a", "specification", 7);
	json_t *gone = json_pack("{s:{s:s}, s:[i, i]}", "metadata", "name", "w",
	    "specification", 100, 1);
	struct fake_restore restore = {0};

	put(f, "a", 6);
	run_until(f, known(&f->reader, "a") == 6);
	plat_watch_learn(f->reader.watch, config);
	plat_watch_learn(f->reader.watch, gone);
	assert_int_equal(known(&f->reader, "a"), 7);
	assert_int_equal(known(&f->reader, "w"), -1);
	restore.copied_at = jh_now();
	fake_objects_restore(f->store, &restore);
	assert_true(plat_era_observe(f->reader.era, 2));
	run_until(f, plat_watch_position(f->reader.watch).revision != 0);
	run_for(f, SETTLE_USEC);
	assert_int_equal(known(&f->reader, "a"), 7);
	json_decref(config);
	json_decref(gone);
}

/* Guards against waiting in an earlier era when a peer knows a later one. */
static void
era_of_a_peer_restarts_the_list(void **state)
{
	struct fixture *f = *state;
	struct fake_restore restore = {0};
	unsigned int batches;

	put(f, "a", 1);
	run_until(f, known(&f->reader, "a") == 1);
	restore.copied_at = jh_now();
	fake_objects_restore(f->store, &restore);
	batches = f->reader.batches;
	assert_int_equal(plat_era_current(f->reader.era), 1);
	assert_true(plat_era_observe(f->reader.era, 2));
	run_until(f, f->reader.batches == batches + 1);
	assert_int_equal(plat_watch_position(f->reader.watch).era, 2);
	assert_false(plat_era_observe(f->reader.era, 1));
}

/* Guards against a change that is read from a response of an earlier era. */
static void
response_of_an_earlier_era_changes_nothing(void **state)
{
	struct fixture *f = *state;

	put(f, "a", 1);
	run_until(f, known(&f->reader, "a") == 1);
	assert_true(plat_era_observe(f->reader.era, 5));
	put(f, "a", 2);
	run_for(f, 3 * SETTLE_USEC);
	assert_int_equal(known(&f->reader, "a"), 1);
	assert_false(plat_watch_is_current(f->reader.watch));
}

static bool
is_current(void *arg)
{
	return plat_watch_is_current(((struct reader *)arg)->watch);
}

/*
 * Guards against a mirror that passes on what the store has lost, or whose
 * readers do not learn of the new era.
 */
static void
mirror_begins_the_new_era(void **state)
{
	struct fixture *f = *state;
	struct fake_restore restore = {0};
	struct sockaddr_in address = fake_loopback(fake_port());
	struct plat_mirror_source source = {.kind = KIND,
	    .replica = f->reader.replica,
	    .is_current = is_current,
	    .arg = &f->reader};
	struct plat_mirror_server *mirror;
	struct reader other;
	int error;

	mirror = plat_mirror_server_create(
	    &f->loop, &address, f->reader.era, &error);
	assert_non_null(mirror);
	plat_mirror_server_add(mirror, &source);
	put(f, "a", 1);
	reader_init(&other, f, &address);
	run_until(f, known(&other, "a") == 1);
	restore.copied_at = jh_now();
	run_for(f, SETTLE_USEC);
	put_many(f, "a");
	put(f, "b", 1);
	run_until(f, known(&other, "b") == 1);
	restore.rewritten_by = jh_now() + 100 * JH_USEC_PER_SEC;
	fake_objects_restore(f->store, &restore);
	put(f, "a", 100);
	run_until(f, known(&other, "a") == 100);
	run_until(f, known(&other, "b") == -1);
	assert_int_equal(plat_era_current(other.era), 2);
	reader_clear(&other);
	plat_mirror_server_destroy(mirror);
}

/* Whether the reader knows exactly the objects of the store. */
static bool
is_equal(const struct fixture *f, const char *const *names, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		json_t *spec = fake_objects_get(f->store, KIND, names[i]);
		int value = spec != NULL ? (int)json_integer_value(spec) : -1;
		json_decref(spec);
		if (value != known(&f->reader, names[i]))
			return false;
	}
	return true;
}

static void
random_step(struct fixture *f, GRand *rand, const char *name, int value)
{
	struct fake_restore restore = {.late_writes = true};
	uint64_t now = jh_now();

	switch (g_rand_int_range(rand, 0, 5)) {
	case 0:
		fake_objects_remove(f->store, KIND, name);
		break;
	case 1:
	case 2:
		restore.copied_at =
		    now - (uint64_t)g_rand_int_range(rand, 0, 400000);
		restore.back_at =
		    now + (uint64_t)g_rand_int_range(rand, 0, 200000);
		restore.rewritten_by =
		    restore.back_at +
		    (uint64_t)g_rand_int_range(rand, 0, 300000);
		restore.seed = g_rand_int(rand);
		fake_objects_restore(f->store, &restore);
		break;
	default:
		put(f, name, value);
		break;
	}
}

/*
 * Changes and restores in a random order, also back to back: what the operator
 * wrote last is known in the end.
 */
static void
last_change_is_known_after_random_restores(void **state)
{
	static const char *const names[] = {"a", "b", "c"};
	struct fixture *f = *state;
	unsigned int seed, step, waits;

	/* A call that arrives while the store is away gets no response. */
	plat_watch_set_wait(f->reader.watch, 1000);
	for (seed = 1; seed <= seeds; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		for (step = 0; step < 12; step++) {
			random_step(f, rand,
			    names[g_rand_int_range(rand, 0, 3)],
			    (int)(seed * 100 + step));
			run_for(f, (uint64_t)g_rand_int_range(rand, 0, 60000));
		}
		g_rand_free(rand);
		/* Objects are written again for up to 0.5 s. */
		run_for(f, 600000);
		for (waits = 0; waits < 20; waits++) {
			if (is_equal(f, names, G_N_ELEMENTS(names)))
				break;
			run_for(f, SETTLE_USEC);
		}
		if (waits == 20)
			fail_msg("seed %u: the reader is behind", seed);
	}
}

/* argv[1]: number of random seeds. */
int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		change_with_a_lower_revision_is_taken, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		history_with_the_same_revisions_is_not_followed, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		removal_by_a_restore_is_suspect, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		older_content_of_the_copy_is_ignored, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		content_of_a_peer_is_kept, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		era_of_a_peer_restarts_the_list, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		response_of_an_earlier_era_changes_nothing, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		mirror_begins_the_new_era, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		last_change_is_known_after_random_restores, set_up, tear_down),
	};

	signal(SIGPIPE, SIG_IGN);
	if (argc > 1)
		seeds = (unsigned int)atoi(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
