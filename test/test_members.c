#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/members.h>

#define NOW (1000 * JH_USEC_PER_SEC)

static const char list_json[] =
    "[{\"id\":\"a1\",\"role\":\"agent\",\"address\":\"127.0.0.1:81\","
    "\"rpc_address\":\"127.0.0.1:82\",\"zone\":\"mtl-a\","
    "\"region\":\"mtl\",\"incarnation\":\"00000000000000a1\","
    "\"models\":[\"large\",\"small\"],\"leaving\":false},"
    "{\"id\":\"a2\",\"role\":\"agent\",\"address\":\"127.0.0.1:83\","
    "\"rpc_address\":\"127.0.0.1:84\",\"zone\":\"qc-a\","
    "\"region\":\"qc\",\"service\":\"pay\"},"
    "{\"id\":\"e1\",\"role\":\"entry\",\"address\":\"127.0.0.1:85\","
    "\"rpc_address\":\"127.0.0.1:86\",\"zone\":\"mtl-a\","
    "\"region\":\"mtl\"},"
    "{\"id\":\"bad\",\"role\":\"entry\",\"address\":\"localhost:1\","
    "\"rpc_address\":\"127.0.0.1:86\",\"zone\":\"z\",\"region\":\"r\"}]";

struct fixture {
	struct jh_members *m;
	GPtrArray *list;
};

static bool
apply_list(struct fixture *f)
{
	return jh_members_set_list(f->m,
	    (const struct jh_instance *const *)f->list->pdata, f->list->len);
}

static struct jh_instance *
listed(struct fixture *f, guint i)
{
	return f->list->pdata[i];
}

static int
setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	unsigned int malformed;

	f->m = jh_members_create();
	f->list = jh_instances_parse(jh_str_from(list_json), &malformed);
	assert_int_equal(f->list->len, 3);
	assert_int_equal(malformed, 1);
	assert_true(apply_list(f));
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	jh_members_destroy(f->m);
	g_ptr_array_unref(f->list);
	g_free(f);
	return 0;
}

static bool
usable(struct fixture *f, const char *id, uint64_t now)
{
	return jh_member_usable(jh_members_find(f->m, id), now);
}

/* Guards against requests to an instance that cannot serve them. */
static void
filters_by_role_place_and_service(void **state)
{
	struct fixture *f = *state;
	struct jh_member_filter agents = {.role = JH_ROLE_AGENT};
	struct jh_member_filter large = {
	    .role = JH_ROLE_AGENT, .model = "large", .region = "mtl"};
	struct jh_member_filter pay = {
	    .role = JH_ROLE_AGENT, .service = "pay", .zone = "qc-a"};
	struct jh_member_filter none = {
	    .role = JH_ROLE_ENTRY, .service = "pay"};

	assert_int_equal(jh_members_count_usable(f->m, &agents, NOW), 2);
	assert_int_equal(jh_members_count_usable(f->m, &large, NOW), 1);
	assert_int_equal(jh_members_count_usable(f->m, &pay, NOW), 1);
	assert_int_equal(jh_members_count_usable(f->m, &none, NOW), 0);
	assert_int_equal(
	    ntohs(jh_members_find(f->m, "a1")->instance.rpc_address.sin_port),
	    82);
}

/* Guards against a lagging list that overrides what the instance reported. */
static void
replies_take_precedence_over_the_list(void **state)
{
	struct fixture *f = *state;
	uint64_t generation = jh_members_generation(f->m);

	jh_members_replied(f->m, "a1", 0xa1, true);
	assert_false(usable(f, "a1", NOW));
	assert_true(jh_members_generation(f->m) > generation);
	assert_false(apply_list(f));
	assert_false(usable(f, "a1", NOW));
	/* A late reply of the same process does not undo leaving. */
	jh_members_replied(f->m, "a1", 0xa1, false);
	assert_false(usable(f, "a1", NOW));

	jh_members_replied(f->m, "a1", 0xb2, false);
	assert_true(usable(f, "a1", NOW));
	listed(f, 0)->leaving = true; /* of the process before the restart */
	apply_list(f);
	assert_true(usable(f, "a1", NOW));
	jh_members_replied(f->m, "a1", 0xa1, true);
	assert_true(usable(f, "a1", NOW));

	listed(f, 0)->incarnation = 0xc3;
	assert_true(apply_list(f));
	assert_false(usable(f, "a1", NOW));
	assert_int_equal(
	    jh_members_find(f->m, "a1")->instance.incarnation, 0xc3);
}

/* Guards against requests to instances that are listed as leaving. */
static void
list_changes_are_applied(void **state)
{
	struct fixture *f = *state;
	uint64_t generation;

	listed(f, 1)->leaving = true;
	assert_true(apply_list(f));
	assert_false(usable(f, "a2", NOW));
	generation = jh_members_generation(f->m);
	assert_false(apply_list(f));
	assert_int_equal(jh_members_generation(f->m), generation);
	g_ptr_array_remove_index(f->list, 1);
	assert_true(apply_list(f));
	assert_null(jh_members_find(f->m, "a2"));
	g_free(listed(f, 0)->zone);
	listed(f, 0)->zone = g_strdup("mtl-b");
	assert_true(apply_list(f));
	assert_string_equal(
	    jh_members_find(f->m, "a1")->instance.zone, "mtl-b");
	/* An empty list can only be a fault of the list. */
	assert_false(jh_members_set_list(f->m, NULL, 0));
	assert_non_null(jh_members_find(f->m, "a1"));
}

/*
 * Guards against frequent requests to a dead instance, and against an instance
 * that is never tried again.
 */
static void
failures_double_the_backoff(void **state)
{
	struct fixture *f = *state;
	uint64_t now = NOW, backoff, last = 0;
	int i;

	for (i = 0; i < 10; i++) {
		jh_members_failed(f->m, "a1", 0xa1, now);
		jh_members_failed(f->m, "a1", 0xa1, now);
		backoff = jh_members_find(f->m, "a1")->backoff_until - now;
		assert_true(backoff >= last && backoff <= 30 * JH_USEC_PER_SEC);
		assert_false(usable(f, "a1", now + backoff - 1));
		assert_true(usable(f, "a1", now + backoff));
		last = backoff;
		now += backoff;
	}
	assert_int_equal(last, 30 * JH_USEC_PER_SEC);
	/* A failure of the old process does not count for the new one. */
	jh_members_replied(f->m, "a1", 0xb2, false);
	jh_members_failed(f->m, "a1", 0xa1, now);
	assert_true(usable(f, "a1", now));
	jh_members_failed(f->m, "a1", 0xb2, now);
	assert_int_equal(jh_members_find(f->m, "a1")->backoff_until - now,
	    JH_USEC_PER_SEC / 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		filters_by_role_place_and_service, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		replies_take_precedence_over_the_list, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		list_changes_are_applied, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		failures_double_the_backoff, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
