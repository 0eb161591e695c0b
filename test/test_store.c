#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>

#include <jacinthhill/clock.h>

#include "../fakes/store/service.h"
#include "store/store.h"
#include "raw_request.h"

/* No call takes this long unless it has failed. */
#define CALL_TIMEOUT_USEC (30 * JH_USEC_PER_SEC)

struct fixture {
	struct fake_store *fake;
	struct jh_store *store;
	struct jh_store_waiter *w;
};

static int
setup_with(void **state, double writes, double reads, unsigned int history)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct fake_store_options o = {.writes_per_second = writes,
	    .reads_per_second = reads,
	    .history = history};
	struct sockaddr_in peer = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	o.listen = peer;
	f->fake = fake_store_create(&o, NULL);
	assert_non_null(f->fake);
	peer.sin_port = htons((uint16_t)fake_store_port(f->fake));
	f->store = jh_store_create(&peer, 8);
	*state = f;
	return 0;
}

static int
setup(void **state)
{
	return setup_with(state, 0, 0, 4);
}

/* The store's token buckets hold one second's tokens: here less than one. */
static int
setup_throttled(void **state)
{
	return setup_with(state, 1e-3, 1e-3, 4);
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	if (f->w != NULL)
		jh_store_waiter_destroy(f->w);
	jh_store_destroy(f->store);
	fake_store_destroy(f->fake);
	g_free(f);
	return 0;
}

static void
control(struct fixture *f, const char *text)
{
	json_t *o = json_loads(text, 0, NULL);

	assert_true(fake_store_control(f->fake, o));
	json_decref(o);
}

/* The callback for the next call; frees the reply of the call before. */
static struct jh_store_callback
next_callback(struct fixture *f)
{
	if (f->w != NULL)
		jh_store_waiter_destroy(f->w);
	f->w = jh_store_waiter_create();
	return jh_store_waiter_callback(f->w);
}

static uint64_t
call_deadline(void)
{
	return jh_now() + CALL_TIMEOUT_USEC;
}

static const struct jh_store_reply *
get(struct fixture *f, const char *key)
{
	assert_true(
	    jh_store_get(f->store, key, call_deadline(), next_callback(f)));
	return jh_store_waiter_wait(f->w);
}

static const struct jh_store_reply *
put(struct fixture *f, const char *key, const char *value, uint64_t version)
{
	assert_true(jh_store_put(f->store, key, jh_str_from(value), version,
	    call_deadline(), next_callback(f)));
	return jh_store_waiter_wait(f->w);
}

static const struct jh_store_reply *
put_nonce(struct fixture *f, const char *nonce, uint64_t version)
{
	char *value = g_strdup_printf("{\"nonce\":\"%s\"}", nonce);
	bool ok = jh_store_put_nonce(f->store, "calls/a", jh_str_from(value),
	    nonce, version, call_deadline(), next_callback(f));

	g_free(value);
	assert_true(ok);
	return jh_store_waiter_wait(f->w);
}

/* Guards against a conditional update overwriting another writer's value. */
static void
writes_only_on_the_expected_version(void **state)
{
	struct fixture *f = *state;
	const struct jh_store_reply *r;
	uint64_t v;

	assert_int_equal(get(f, "a/b c?&%/d")->result, JH_STORE_NOT_FOUND);
	r = put(f, "a/b c?&%/d", "one", JH_STORE_ABSENT);
	assert_int_equal(r->result, JH_STORE_OK);
	v = r->version;
	r = put(f, "a/b c?&%/d", "two", JH_STORE_ABSENT);
	assert_int_equal(r->result, JH_STORE_CONFLICT);
	assert_int_equal(r->version, v);
	assert_string_equal(r->value.ptr, "one");
	assert_int_equal(put(f, "a/b c?&%/d", "two", v)->result, JH_STORE_OK);
	r = get(f, "a/b c?&%/d");
	assert_string_equal(r->value.ptr, "two");
	assert_true(r->version > v);
	assert_true(jh_store_delete(
	    f->store, "a/b c?&%/d", v, call_deadline(), next_callback(f)));
	assert_int_equal(jh_store_waiter_wait(f->w)->result, JH_STORE_CONFLICT);
	assert_true(jh_store_delete(f->store, "a/b c?&%/d", JH_STORE_ANY,
	    call_deadline(), next_callback(f)));
	assert_int_equal(jh_store_waiter_wait(f->w)->result, JH_STORE_OK);
	assert_int_equal(get(f, "a/b c?&%/d")->result, JH_STORE_NOT_FOUND);
	assert_false(jh_store_get(
	    f->store, "a/../b", call_deadline(), next_callback(f)));
}

/* Guards against a lost response being taken for a failure or a success. */
static void
lost_responses_are_unknown_and_resolved_by_nonce(void **state)
{
	struct fixture *f = *state;
	const struct jh_store_reply *r;
	uint64_t version;

	control(f, "{\"lose_next\": 1}");
	assert_int_equal(put(f, "k", "v", 0)->result, JH_STORE_UNKNOWN);
	assert_string_equal(get(f, "k")->value.ptr, "v");

	control(f, "{\"lose_next\": 1}");
	r = put_nonce(f, "mine", JH_STORE_ABSENT);
	assert_int_equal(r->result, JH_STORE_OK);
	version = r->version;
	assert_int_equal(get(f, "calls/a")->version, version);
	r = put_nonce(f, "other", JH_STORE_ABSENT);
	assert_int_equal(r->result, JH_STORE_CONFLICT);
	assert_true(jh_store_value_has_nonce(r->value, "mine"));
	/* A conflict with the same nonce is an earlier attempt: a success. */
	assert_int_equal(
	    put_nonce(f, "mine", JH_STORE_ABSENT)->result, JH_STORE_OK);
}

/* Guards against an outage being reported as a write that may have run. */
static void
outage_is_not_an_unknown_outcome(void **state)
{
	struct fixture *f = *state;
	uint64_t past_deadline = 1;

	control(f, "{\"mode\": \"down\"}");
	assert_int_equal(put(f, "k", "v", 0)->result, JH_STORE_UNAVAILABLE);
	assert_int_equal(get(f, "k")->result, JH_STORE_UNAVAILABLE);
	assert_int_equal(put_nonce(f, "n", 0)->result, JH_STORE_UNAVAILABLE);
	control(f, "{\"mode\": \"hang\"}");
	assert_true(
	    jh_store_get(f->store, "k", past_deadline, next_callback(f)));
	assert_int_equal(
	    jh_store_waiter_wait(f->w)->result, JH_STORE_UNAVAILABLE);
	control(f, "{\"mode\": \"slow\", \"slow_ms\": 1}");
	assert_int_equal(put(f, "k", "v", 0)->result, JH_STORE_OK);
}

/* Guards against a write in progress at shutdown whose callback is lost. */
static void
destroy_ends_calls_in_flight(void **state)
{
	struct fixture *f = *state;
	struct jh_store_waiter *w = jh_store_waiter_create();

	control(f, "{\"mode\": \"hang\"}");
	assert_true(jh_store_put(f->store, "k", JH_STR("v"), 0, JH_NEVER,
	    jh_store_waiter_callback(w)));
	jh_store_destroy(f->store);
	f->store = NULL;
	assert_int_equal(jh_store_waiter_wait(w)->result, JH_STORE_UNKNOWN);
	jh_store_waiter_destroy(w);
}

/* Guards against lists that skip or repeat keys between pages. */
static void
lists_in_pages(void **state)
{
	struct fixture *f = *state;
	const struct jh_store_reply *r;

	put(f, "catalog/a/x", "1", 0);
	put(f, "catalog/b/x", "2", 0);
	put(f, "calls/z", "3", 0);
	put(f, "orgs/a", "4", 0);
	assert_true(jh_store_list(f->store, "catalog/,orgs/", "", 2,
	    call_deadline(), next_callback(f)));
	r = jh_store_waiter_wait(f->w);
	assert_int_equal(r->result, JH_STORE_OK);
	assert_int_equal(r->n_items, 2);
	assert_true(r->more);
	assert_int_equal(r->revision, 4);
	assert_string_equal(r->items[1].key, "catalog/b/x");
	assert_true(jh_store_list(f->store, "catalog/,orgs/", "catalog/b/x", 2,
	    call_deadline(), next_callback(f)));
	r = jh_store_waiter_wait(f->w);
	assert_int_equal(r->n_items, 1);
	assert_false(r->more);
	assert_string_equal(r->items[0].key, "orgs/a");
	assert_string_equal(r->items[0].value.ptr, "4");
}

/* Guards against watches that miss changes, deletions or an expired history. */
static void
watches_changes(void **state)
{
	struct fixture *f = *state;
	struct jh_store_waiter *w = jh_store_waiter_create();
	const struct jh_store_reply *r;

	assert_true(jh_store_watch(f->store, "catalog/", 0, 30000,
	    call_deadline(), jh_store_waiter_callback(w)));
	put(f, "calls/z", "3", 0);
	put(f, "catalog/a", "1", 0);
	r = jh_store_waiter_wait(w);
	assert_int_equal(r->result, JH_STORE_OK);
	assert_int_equal(r->n_items, 1);
	assert_string_equal(r->items[0].key, "catalog/a");
	assert_int_equal(r->revision, 2);
	jh_store_waiter_destroy(w);

	put(f, "catalog/a", "2", JH_STORE_ANY);
	assert_true(jh_store_delete(f->store, "catalog/a", JH_STORE_ANY,
	    call_deadline(), next_callback(f)));
	jh_store_waiter_wait(f->w);
	assert_true(jh_store_watch(
	    f->store, "catalog/", 2, 0, call_deadline(), next_callback(f)));
	r = jh_store_waiter_wait(f->w);
	assert_int_equal(r->n_items, 1);
	assert_true(r->items[0].deleted);
	assert_int_equal(r->items[0].version, 4);
	assert_true(jh_store_watch(
	    f->store, "catalog/", 4, 0, call_deadline(), next_callback(f)));
	r = jh_store_waiter_wait(f->w);
	assert_int_equal(r->n_items, 0);
	assert_int_equal(r->revision, 4);

	put(f, "x", "1", 0);
	assert_true(jh_store_watch(
	    f->store, "catalog/", 0, 0, call_deadline(), next_callback(f)));
	assert_int_equal(jh_store_waiter_wait(f->w)->result, JH_STORE_EXPIRED);
}

/* Guards against a throttled write being retried as if it were lost. */
static void
reports_throttling(void **state)
{
	struct fixture *f = *state;
	json_t *o;

	assert_int_equal(put(f, "k", "v", 0)->result, JH_STORE_THROTTLED);
	assert_int_equal(get(f, "k")->result, JH_STORE_THROTTLED);
	o = fake_store_state(f->fake);
	assert_int_equal(
	    json_integer_value(json_object_get(o, "throttled")), 2);
	assert_int_equal(json_integer_value(json_object_get(o, "writes")), 1);
	json_decref(o);
}

/* How a raw store responds to a read. */
struct bad_response {
	const char *body;
	bool stalls; /* after the body, before its announced end */
	bool unusable; /* expected: the same read would fail again */
};

#define READ_TIMEOUT_USEC (300 * JH_USEC_PER_MSEC)

static void
serve_bad_response(void *arg, int fd)
{
	const struct bad_response *b = arg;
	char request[4096];
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nRevision: 1\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
	    strlen(b->body) + b->stalls, b->body);

	if (raw_request_read(fd, request, sizeof(request)) &&
	    send(fd, text, strlen(text), MSG_NOSIGNAL) > 0)
		(void)recv(fd, request, sizeof(request), 0);
	g_free(text);
}

/*
 * Guards against taking a response that can't be used for an outage, in which
 * the same call is repeated.
 */
static void
unusable_response_is_told_from_an_outage(void **state)
{
	static const struct bad_response responses[] = {
	    {"{\"revision\":1,\"chan", true, true},
	    {"{\"revision\":1,\"chan", false, true},
	    {"", true, false},
	};
	struct fixture *f = *state;
	const struct jh_store_reply *r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(responses); i++) {
		struct raw_peer peer = {.serve = serve_bad_response,
		    .arg = (void *)(uintptr_t)&responses[i]};
		struct jh_store *store;
		raw_peer_start(&peer);
		store = jh_store_create(&peer.address, 8);
		assert_true(jh_store_watch(store, "catalog/", 0, 0,
		    jh_now() + READ_TIMEOUT_USEC, next_callback(f)));
		r = jh_store_waiter_wait(f->w);
		assert_int_equal(r->result, JH_STORE_UNAVAILABLE);
		assert_int_equal(r->unusable, responses[i].unusable);
		jh_store_destroy(store);
		raw_peer_stop(&peer);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		writes_only_on_the_expected_version, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		lost_responses_are_unknown_and_resolved_by_nonce, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		outage_is_not_an_unknown_outcome, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		destroy_ends_calls_in_flight, setup, teardown),
	    cmocka_unit_test_setup_teardown(lists_in_pages, setup, teardown),
	    cmocka_unit_test_setup_teardown(watches_changes, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		unusable_response_is_told_from_an_outage, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		reports_throttling, setup_throttled, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
