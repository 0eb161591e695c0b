#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <pthread.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/objects.h"
#include "fakes/port.h"
#include "harness.h"

/* The fake of the platform's store, when it comes back from a copy. */

#define STEP_USEC (20 * JH_USEC_PER_MSEC)
#define AWAY_USEC JH_USEC_PER_SEC

static uv_loop_t loop;
static uv_async_t stop;
static pthread_t thread;
static struct fake_objects *objects;
static unsigned int port;

static void
on_stop(uv_async_t *a)
{
	uv_stop(a->loop);
}

static void *
run_loop(void *arg)
{
	uv_run(&loop, UV_RUN_DEFAULT);
	return NULL;
}

static int
set_up(void **state)
{
	port = fake_port();
	uv_loop_init(&loop);
	uv_async_init(&loop, &stop, on_stop);
	objects = fake_objects_create(&loop, port);
	pthread_create(&thread, NULL, run_loop, NULL);
	return 0;
}

static int
tear_down(void **state)
{
	uv_async_send(&stop);
	pthread_join(thread, NULL);
	uv_close((uv_handle_t *)&stop, NULL);
	fake_objects_destroy(objects);
	uv_run(&loop, UV_RUN_DEFAULT);
	return uv_loop_close(&loop);
}

/* Makes a call and returns its status; 0: no response. */
static unsigned int
status_of(const char *method, const char *path, const char *body)
{
	struct call_spec spec = {
	    .port = port, .method = method, .path = path, .body = body};
	struct call *c = call_run(&spec);
	unsigned int status = call_status(c);

	if (status != 0)
		assert_non_null(call_header(c, "Store-Era"));
	call_free(c);
	return status;
}

/* Writes an object as a router and returns its revision. */
static json_int_t
create(const char *name)
{
	char *body = g_strdup_printf(
	    "{\"metadata\":{\"name\":\"%s\"},\"specification\":\"%s\"}", name,
	    name);
	struct call_spec spec = {
	    .port = port, .path = "/objects/k", .body = body};
	struct call *c = call_run(&spec);
	json_t *root = json_loads(call_body(c), 0, NULL);
	json_int_t revision = json_integer_value(
	    json_object_get(json_object_get(root, "metadata"), "revision"));

	assert_int_equal(call_status(c), 200);
	json_decref(root);
	call_free(c);
	g_free(body);
	return revision;
}

/* Writes an object as the operator. */
static void
put(const char *name, int value)
{
	json_t *spec = json_integer(value);

	fake_objects_put(objects, "config", name, spec);
	json_decref(spec);
}

/* Returns the integer that the operator's object holds; -1: absent. */
static int
value_of(const char *name)
{
	json_t *spec = fake_objects_get(objects, "config", name);
	int value = spec != NULL ? (int)json_integer_value(spec) : -1;

	json_decref(spec);
	return value;
}

/* Returns a moment that no change shares. */
static uint64_t
moment(void)
{
	uint64_t at;

	g_usleep(STEP_USEC);
	at = jh_now();
	g_usleep(STEP_USEC);
	return at;
}

static void
expect_era(const char *era)
{
	struct call_spec spec = {
	    .port = port, .method = "GET", .path = "/objects/k"};
	struct call *c = call_run(&spec);

	assert_string_equal(call_header(c, "Store-Era"), era);
	call_free(c);
}

/* Writes since the copy are gone, and their revisions are given out again. */
static void
writes_since_the_copy_are_lost(void **state)
{
	struct fake_restore restore = {0};
	json_int_t lost;

	create("kept");
	restore.copied_at = moment();
	lost = create("lost");
	expect_era("1");
	fake_objects_restore(objects, &restore);
	expect_era("2");
	assert_int_equal(status_of("GET", "/objects/k/kept", NULL), 200);
	assert_int_equal(status_of("GET", "/objects/k/lost", NULL), 404);
	assert_int_equal(create("later"), lost);
}

/* A watch from a revision that the copy does not have gets 410. */
static void
watch_from_a_lost_revision_has_expired(void **state)
{
	struct fake_restore restore = {0};
	char *path;

	create("kept");
	restore.copied_at = moment();
	path = g_strdup_printf(
	    "/objects/k?watch=%d&waitMs=100", (int)create("lost"));
	assert_int_equal(status_of("GET", path, NULL), 200);
	fake_objects_restore(objects, &restore);
	assert_int_equal(status_of("GET", path, NULL), 410);
	create("later");
	assert_int_equal(status_of("GET", path, NULL), 200);
	g_free(path);
}

/* The operator writes again what was lost, but not over a later change. */
static void
operator_writes_again(void **state)
{
	struct fake_restore restore = {0};

	put("a", 1);
	put("b", 1);
	put("c", 1);
	restore.copied_at = moment();
	put("a", 2);
	put("b", 2);
	fake_objects_remove(objects, "config", "c");
	restore.back_at = jh_now() + AWAY_USEC;
	restore.rewritten_by = restore.back_at + AWAY_USEC;
	fake_objects_restore(objects, &restore);
	assert_int_equal(value_of("a"), 1);
	assert_int_equal(value_of("c"), 1);
	put("b", 3);
	await(value_of("a") == 2);
	await(value_of("c") == -1);
	assert_true(jh_now() >= restore.back_at);
	assert_int_equal(value_of("b"), 3);
}

/* A write that arrives while the store is away has no response. */
static void
write_while_away_is_late_or_lost(void **state)
{
	struct fake_restore restore = {.late_writes = true};
	struct call_spec spec = {.port = port,
	    .path = "/objects/k",
	    .body = "{\"metadata\":{\"name\":\"late\"},\"specification\":1}"};
	struct call *c;
	unsigned int i;

	for (i = 0; i < 2; i++) {
		restore.copied_at = moment();
		restore.back_at = jh_now() + AWAY_USEC;
		fake_objects_restore(objects, &restore);
		c = call_start(&spec);
		g_usleep(2 * AWAY_USEC);
		assert_false(call_ended(c));
		call_disconnect(c);
		call_free(c);
		assert_int_equal(status_of("GET", "/objects/k/late", NULL),
		    restore.late_writes ? 200 : 404);
		if (restore.late_writes)
			assert_int_equal(
			    status_of("DELETE", "/objects/k/late", NULL), 200);
		restore.late_writes = false;
	}
}

/* A drill may follow another one before everything is written again. */
static void
restores_may_follow_each_other(void **state)
{
	struct fake_restore restore = {0};

	put("a", 1);
	restore.copied_at = moment();
	put("a", 2);
	restore.back_at = jh_now() + AWAY_USEC;
	restore.rewritten_by = restore.back_at + AWAY_USEC;
	fake_objects_restore(objects, &restore);
	fake_objects_restore(objects, &restore);
	assert_int_equal(fake_objects_era(objects), 3);
	await(value_of("a") == 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		writes_since_the_copy_are_lost, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		watch_from_a_lost_revision_has_expired, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		operator_writes_again, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		write_while_away_is_late_or_lost, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		restores_may_follow_each_other, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
