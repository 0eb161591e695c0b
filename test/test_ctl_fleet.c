#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/refusals.h>

#include "../fakes/list/instances.h"
#include "ctl/ctl.h"
#include "ctl_fixture.h"
#include "rpc/server.h"

/* What the fake daemon returns, and the last order that it received. */
static struct {
	long long revision;
	long long age_ms;
	uint64_t fencing;
	char weights[16];
	bool refuse;
} daemon_state;

static void
on_dump(void *arg, const void *args, void *reply)
{
	struct jh_text_reply *r = reply;

	r->text = g_strdup_printf("{\"catalogue\":{\"revision\":%lld,"
				  "\"confirmed_age_ms\":%lld}}",
	    daemon_state.revision, daemon_state.age_ms);
}

static void
on_order(void *arg, const void *args, void *reply)
{
	const struct jh_order_args *o = args;
	struct jh_status_reply *r = reply;

	daemon_state.fencing = o->fencing;
	g_strlcpy(
	    daemon_state.weights, o->weights, sizeof(daemon_state.weights));
	r->code = daemon_state.refuse;
	r->message = g_strdup(r->code == 0 ? "accepted" : "old");
}

static struct jh_rpc_server *
start_daemon(void)
{
	static const struct jh_rpc_handler handlers[] = {
	    {JH_DUMP, on_dump}, {JH_ORDER, on_order}, {0, NULL}};
	struct sockaddr_in address = ctl_loopback(0);
	struct jh_auth_key key;
	struct jh_rpc_server *server;

	assert_true(jh_auth_key_parse(&key, KEY_HEX));
	server = jh_rpc_server_create(&address, &key, handlers, NULL, NULL);
	assert_non_null(server);
	return server;
}

/*
 * An order must not be sent without a fencing token or with one that is too
 * low; the default is the store's present revision.
 */
static void
orders_carry_a_token(void **state)
{
	struct jh_rpc_server *server = start_daemon();
	struct ctl_fixture *f = *state;
	char *command = g_strdup_printf(
	    "order 127.0.0.1:%u load-weights", jh_rpc_server_port(server));

	daemon_state.refuse = false;
	assert_int_equal(ctl_run(f, command, "--model small"), CTL_USAGE);
	assert_int_equal(
	    ctl_run(f, command, "--model small --weights w2 --fencing 7"),
	    CTL_OK);
	assert_int_equal(daemon_state.fencing, 7);
	assert_string_equal(daemon_state.weights, "w2");
	ctl_write_entry(f, 0, 1000);
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_OK);
	ctl_write_entry(f, 1, 2000);
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_OK);
	assert_int_equal(
	    ctl_run(f, command, "--model small --weights w2"), CTL_OK);
	assert_int_equal(daemon_state.fencing, 2);
	daemon_state.refuse = true;
	assert_int_equal(
	    ctl_run(f, command, "--model small --weights w2"), CTL_FAILED);
	assert_non_null(strstr(f->err, "old"));
	ctl_control(f, "{\"mode\": \"down\"}");
	assert_int_equal(
	    ctl_run(f, command, "--model small --weights w2"), CTL_UNAVAILABLE);
	jh_rpc_server_destroy(server);
	g_free(command);
}

static void
add_instance(
    struct fake_list *list, const char *id, unsigned int rpc_port, bool leaving)
{
	char *rpc = g_strdup_printf("127.0.0.1:%u", rpc_port);
	json_t *o =
	    json_pack("{s:[{s:s, s:s, s:s, s:s, s:s, s:s, s:b}]}", "add", "id",
		id, "role", "entry", "address", "127.0.0.1:1", "rpc_address",
		rpc, "zone", "mtl-a", "region", "mtl", "leaving", leaving);

	assert_true(fake_list_control(list, o, false));
	json_decref(o);
	g_free(rpc);
}

static struct fake_list *
start_list(struct ctl_fixture *f)
{
	struct fake_list_options o = {.listen = ctl_loopback(0)};
	struct fake_list *list = fake_list_create(&o, NULL);
	char *text;

	assert_non_null(list);
	text = g_strdup_printf("store: 127.0.0.1:%u\nsecret: "
			       "\"%s\"\ninstance_list: 127.0.0.1:%u\n",
	    fake_store_port(f->fake), KEY_HEX, fake_list_port(list));
	assert_true(g_file_set_contents(f->settings, text, -1, NULL));
	g_free(text);
	return list;
}

/* An edit must not be reported as in force on an instance that lacks it. */
static void
in_force_only_where_confirmed(void **state)
{
	struct jh_rpc_server *server = start_daemon();
	struct ctl_fixture *f = *state;
	struct fake_list *list;

	assert_int_equal(ctl_run(f, "in-force", NULL), CTL_USAGE);
	list = start_list(f);
	add_instance(list, "entry-0", jh_rpc_server_port(server), false);
	add_instance(list, "entry-1", 1, true);
	ctl_write_entry(f, 0, 1000);
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_OK);
	daemon_state.revision = 1;
	daemon_state.age_ms = -1;
	assert_int_equal(ctl_run(f, "in-force", NULL), CTL_OK);
	assert_non_null(strstr(f->out, "on 1 of 1 live"));
	daemon_state.revision = 0;
	assert_int_equal(ctl_run(f, "in-force --wait-ms 0", NULL), CTL_FAILED);
	assert_non_null(strstr(f->out, "behind"));
	daemon_state.age_ms = 600000;
	assert_int_equal(ctl_run(f, "in-force --wait-ms 0", "1"), CTL_FAILED);
	/* The copy was confirmed after the store accepted the revision. */
	daemon_state.age_ms = 0;
	assert_int_equal(ctl_run(f, "in-force --json", "1"), CTL_OK);
	assert_non_null(strstr(f->out, "\"in_force\":true"));
	assert_int_equal(ctl_run(f, "in-force --wait-ms 0", "2"), CTL_USAGE);
	ctl_write_entry(f, 1, 2000);
	assert_int_equal(ctl_run(f, "catalog apply --wait", f->file), CTL_OK);
	add_instance(list, "entry-2", 1, false);
	assert_int_equal(ctl_run(f, "in-force --wait-ms 0", NULL), CTL_FAILED);
	assert_non_null(strstr(f->out, "no_answer"));
	assert_int_equal(ctl_run(f, "instances", NULL), CTL_OK);
	assert_non_null(strstr(f->out, "leaving"));
	fake_list_destroy(list);
	assert_int_equal(ctl_run(f, "instances", NULL), CTL_UNAVAILABLE);
	jh_rpc_server_destroy(server);
}

/* Stores the objects that the recorder has to write by now. */
static void
store_due_writes(struct ctl_fixture *f, struct jh_refusals *r, uint64_t now)
{
	struct sockaddr_in peer = ctl_loopback(fake_store_port(f->fake));
	struct jh_store *store = jh_store_create(&peer, 1);
	const struct jh_store_reply *reply;
	struct jh_refusals_write *write;
	struct jh_store_waiter *w;

	while ((write = jh_refusals_next(r, now)) != NULL) {
		w = jh_store_waiter_create();
		assert_true(jh_store_put(store, write->object,
		    (struct jh_str){write->value, write->value_len},
		    write->create ? JH_STORE_ABSENT : write->version, JH_NEVER,
		    jh_store_waiter_callback(w)));
		reply = jh_store_waiter_wait(w);
		assert_int_equal(reply->result, JH_STORE_OK);
		jh_refusals_result(
		    r, now, write->op, JH_STORE_OK, reply->version);
		jh_store_waiter_destroy(w);
		jh_refusals_write_free(write);
	}
	jh_store_destroy(store);
}

/*
 * The report must contain every minute with refusals, and must list minutes
 * with incomplete counts as unaccounted instead of as 0.
 */
static void
refusals_are_reported_with_gaps(void **state)
{
	/* 2026-01-02T03:00Z */
	uint64_t start_time = 1767322800 * JH_USEC_PER_SEC;
	struct jh_refusals_settings settings = {.instance = JH_STR("entry-0"),
	    .incarnation = 0xab,
	    JH_REFUSALS_DEFAULTS};
	struct jh_refusals *r = jh_refusals_create(&settings, start_time);
	uint64_t now = start_time + 300 * JH_USEC_PER_SEC;
	struct ctl_fixture *f = *state;

	jh_refusals_count(r, start_time, JH_STR("acme"), JH_STR("chat"));
	jh_refusals_count(r, start_time, JH_STR("acme"), JH_STR("chat"));
	jh_refusals_count(r, now, JH_STR("acme"), JH_STR("draft"));
	store_due_writes(f, r, now);
	assert_int_equal(
	    ctl_run(f, "refusals --hour", "2026-01-02T03"), CTL_OK);
	assert_non_null(strstr(f->out, "2026-01-02T03:00Z  acme"));
	assert_non_null(strstr(f->out, "2026-01-02T03:05Z  acme"));
	assert_non_null(strstr(f->out, "2 minutes of refusal"));
	assert_non_null(strstr(f->out, "3 refusals"));
	assert_non_null(strstr(f->out, "to 2026-01-02T04:00Z, entry-0"));
	jh_refusals_close(r, now);
	store_due_writes(f, r, now);
	assert_int_equal(ctl_run(f, "refusals --json --from 2026-01-02T03 --to",
			     "2026-01-02T04"),
	    CTL_OK);
	assert_non_null(strstr(f->out, "\"unaccounted_minutes\":0"));
	assert_non_null(strstr(f->out, "\"refusals\":2"));
	assert_int_equal(ctl_run(f, "refusals --hour", "yesterday"), CTL_USAGE);
	assert_int_equal(
	    ctl_run(f, "refusals --from", "2999-01-02T03"), CTL_USAGE);
	ctl_control(f, "{\"mode\": \"down\"}");
	assert_int_equal(ctl_run(f, "refusals", NULL), CTL_UNAVAILABLE);
	jh_refusals_destroy(r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		orders_carry_a_token, ctl_setup, ctl_teardown),
	    cmocka_unit_test_setup_teardown(
		in_force_only_where_confirmed, ctl_setup, ctl_teardown),
	    cmocka_unit_test_setup_teardown(
		refusals_are_reported_with_gaps, ctl_setup, ctl_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
