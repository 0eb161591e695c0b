#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/refusals.h>

#include "../fakes/list/lister.h"
#include "../fakes/store/service.h"
#include "ctl/ctl.h"
#include "rpc/server.h"

#define KEY_HEX \
	"0101010101010101010101010101010101010101010101010101010101010101"

static const char entry_yaml[] =
    "record: entry\nversion: %u\nowner: acme\nclass: chat\nkind: chat\n"
    "rank: background\nrank_ceiling: urgent\nmodels: [large]\n"
    "cost_tokens_per_second: %u\nconcurrent_requests: 10\n"
    "idempotent: true\nttft_target_ms: 1000\n"
    "region_shares:\n  - {region: mtl, percent: 70}\n"
    "  - {region: qc, percent: 30}\n";

struct fixture {
	struct fake_store *fake;
	char *dir;
	char *settings;
	char *file;
	char *out; /* of the last run */
	char *err;
};

static struct sockaddr_in
loopback(unsigned int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

static int
setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct fake_store_options o = {.listen = loopback(0), .history = 100};
	char *text;

	f->fake = fake_store_create(&o, NULL);
	assert_non_null(f->fake);
	f->dir = g_dir_make_tmp("jhctl-XXXXXX", NULL);
	f->settings = g_build_filename(f->dir, "jhctl.yaml", NULL);
	f->file = g_build_filename(f->dir, "entry.yaml", NULL);
	text = g_strdup_printf("store: 127.0.0.1:%u\nsecret: \"%s\"\n",
	    fake_store_port(f->fake), KEY_HEX);
	assert_true(g_file_set_contents(f->settings, text, -1, NULL));
	g_free(text);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	unlink(f->file);
	unlink(f->settings);
	g_rmdir(f->dir);
	fake_store_destroy(f->fake);
	g_free(f->dir);
	g_free(f->settings);
	g_free(f->file);
	free(f->out);
	free(f->err);
	g_free(f);
	return 0;
}

/* Runs the tool in this process with words split at spaces. */
static int
run(struct fixture *f, const char *command, const char *operand)
{
	char *line = g_strdup_printf("jhctl %s%s%s", command,
	    operand == NULL ? "" : " ", operand == NULL ? "" : operand);
	char **argv = g_strsplit(line, " ", -1);
	size_t out_len, err_len;
	FILE *out, *err;
	int status;

	free(f->out);
	free(f->err);
	out = open_memstream(&f->out, &out_len);
	err = open_memstream(&f->err, &err_len);
	setenv("JHCTL_SETTINGS", f->settings, 1);
	status = ctl_main((int)g_strv_length(argv), argv, out, err);
	fclose(out);
	fclose(err);
	g_strfreev(argv);
	g_free(line);
	return status;
}

static void
write_entry(struct fixture *f, unsigned int version, unsigned int rate)
{
	char *text = g_strdup_printf(entry_yaml, version, rate);

	assert_true(g_file_set_contents(f->file, text, -1, NULL));
	g_free(text);
}

static void
control(struct fixture *f, const char *text)
{
	json_t *o = json_loads(text, 0, NULL);

	assert_true(fake_store_control(f->fake, o));
	json_decref(o);
}

/* Guards against an edit lost in a race or made on a version not read. */
static void
race_shows_both_edits(void **state)
{
	struct fixture *f = *state;

	write_entry(f, 0, 1000);
	assert_int_equal(run(f, "catalog apply", f->file), CTL_OK);
	assert_string_equal(f->out, "catalog/acme/chat: applied, version 1\n");
	write_entry(f, 1, 2000);
	assert_int_equal(run(f, "catalog apply", f->file), CTL_OK);
	write_entry(f, 1, 3000);
	assert_int_equal(run(f, "catalog apply", f->file), CTL_CONFLICT);
	assert_non_null(strstr(f->out, "cost_tokens_per_second: 3000"));
	assert_non_null(strstr(f->out, "cost_tokens_per_second: 2000"));
	assert_non_null(strstr(f->out, "version: 2"));
	assert_int_equal(run(f, "catalog apply --version 2", f->file), CTL_OK);
	assert_int_equal(
	    run(f, "catalog delete --version 2", "catalog/acme/chat"),
	    CTL_CONFLICT);
	assert_int_equal(
	    run(f, "catalog delete --version 3", "catalog/acme/chat"), CTL_OK);
	assert_int_equal(
	    run(f, "catalog show", "catalog/acme/chat"), CTL_FAILED);
}

/* Guards against a shown object that cannot be applied again. */
static void
shown_objects_can_be_applied(void **state)
{
	struct fixture *f = *state;

	write_entry(f, 0, 1000);
	assert_int_equal(run(f, "catalog apply", f->file), CTL_OK);
	assert_int_equal(run(f, "catalog show", "catalog/acme/chat"), CTL_OK);
	assert_true(g_file_set_contents(f->file, f->out, -1, NULL));
	assert_int_equal(run(f, "check", f->file), CTL_OK);
	assert_int_equal(run(f, "catalog apply", f->file), CTL_OK);
	assert_int_equal(run(f, "catalog list", NULL), CTL_OK);
	assert_non_null(strstr(f->out, "         2  catalog/acme/chat"));
	assert_int_equal(run(f, "catalog list --json", "catalog/"), CTL_OK);
	assert_non_null(strstr(f->out, "\"percent\": 70"));
}

/* Guards against a lost answer being reported as a failure or a conflict. */
static void
lost_answers_and_outages(void **state)
{
	struct fixture *f = *state;

	write_entry(f, 0, 1000);
	control(f, "{\"lose_next\": 1}");
	assert_int_equal(run(f, "catalog apply", f->file), CTL_OK);
	assert_non_null(strstr(f->out, "version 1"));
	control(f, "{\"lose_next\": 1}");
	assert_int_equal(
	    run(f, "catalog delete --version 1", "catalog/acme/chat"), CTL_OK);
	control(f, "{\"mode\": \"down\"}");
	assert_int_equal(run(f, "catalog apply", f->file), CTL_UNAVAILABLE);
	assert_int_equal(run(f, "catalog list", NULL), CTL_UNAVAILABLE);
}

/* Guards against faults found one by one, and against a wrong usage run. */
static void
check_names_all_faults(void **state)
{
	struct fixture *f = *state;
	static const char bad[] = "record: entry\nowner: acme\nrank: high\n"
				  "colour: red\n";
	static const char json[] =
	    "{\n  \"name\": \"m\", \"weights\": \"w1\",\n"
	    "  \"record\": \"model\"\n}\n";
	static const char bad_rule[] =
	    "record: organisation\nname: Acme\ndisplay_name: A\n"
	    "key_hashes: [zz]\n";

	g_file_set_contents(f->file, bad, -1, NULL);
	assert_int_equal(run(f, "check", f->file), CTL_FAILED);
	assert_non_null(strstr(f->err, "entry.yaml:3: rank"));
	assert_non_null(strstr(f->err, "entry.yaml:4: unknown key"));
	assert_non_null(strstr(f->err, "missing key \"models\""));
	g_file_set_contents(f->file, json, -1, NULL);
	assert_int_equal(run(f, "check", f->file), CTL_OK);
	g_file_set_contents(f->file, "record: \xff", -1, NULL);
	assert_int_equal(run(f, "check", f->file), CTL_FAILED);
	g_file_set_contents(f->file, bad_rule, -1, NULL);
	assert_int_equal(run(f, "check", f->file), CTL_FAILED);
	assert_non_null(strstr(f->err, "entry.yaml: name is \"Acme\""));
	assert_non_null(strstr(f->err, "entry.yaml: key_hashes holds"));
	assert_int_equal(run(f, "check", f->settings), CTL_OK);
	assert_int_equal(
	    run(f, "check --program other", f->settings), CTL_USAGE);
	assert_int_equal(
	    run(f, "check --program jhentry", f->settings), CTL_FAILED);
	assert_non_null(strstr(f->err, "missing key \"listen\""));
	assert_int_equal(
	    run(f, "check --program jhagent", f->settings), CTL_FAILED);
	assert_non_null(strstr(f->err, "missing key \"backend\""));
	assert_int_equal(run(f, "catalog", NULL), CTL_USAGE);
	assert_int_equal(run(f, "catalog show", NULL), CTL_USAGE);
	assert_int_equal(run(f, "catalog delete", "orgs/a"), CTL_USAGE);
	assert_int_equal(run(f, "catalog apply --help", NULL), CTL_OK);
	assert_non_null(strstr(f->out, "--version"));
}

static uint64_t drained;

static void
on_dump(void *arg, const void *args, void *reply)
{
	struct jh_text_reply *r = reply;

	r->text =
	    g_strdup("{\"process\":{\"incarnation\":\"00000000000000ab\"}}");
}

static void
on_drain(void *arg, const void *args, void *reply)
{
	struct jh_status_reply *r = reply;

	drained = ((const struct jh_drain_args *)args)->incarnation;
	r->message = g_strdup("draining");
}

/* Guards against a drain that names another process than the one meant. */
static void
drains_the_process_at_the_address(void **state)
{
	static const struct jh_rpc_handler handlers[] = {
	    {JH_DUMP, on_dump}, {JH_DRAIN, on_drain}, {0, NULL}};
	struct sockaddr_in address = loopback(0);
	struct fixture *f = *state;
	struct jh_auth_key key;
	struct jh_rpc_server *s;
	char *peer;

	assert_true(jh_auth_key_parse(&key, KEY_HEX));
	s = jh_rpc_server_create(&address, &key, handlers, NULL, NULL);
	assert_non_null(s);
	peer = g_strdup_printf("127.0.0.1:%u", jh_rpc_server_port(s));
	assert_int_equal(run(f, "dump", peer), CTL_OK);
	assert_non_null(strstr(f->out, "00000000000000ab"));
	assert_int_equal(run(f, "drain", peer), CTL_OK);
	assert_int_equal(drained, 0xab);
	assert_int_equal(run(f, "drain --incarnation cd", peer), CTL_OK);
	assert_int_equal(drained, 0xcd);
	jh_rpc_server_destroy(s);
	assert_int_equal(run(f, "drain", peer), CTL_UNAVAILABLE);
	assert_int_equal(run(f, "dump", "nowhere"), CTL_USAGE);
	g_free(peer);
}

/* What the daemon of the next tests says and has been told. */
static struct {
	long long revision;
	long long age_ms;
	uint64_t fencing;
	char weights[16];
	bool refuse;
} daemon_state;

static void
on_catalogue(void *arg, const void *args, void *reply)
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
	    {JH_DUMP, on_catalogue}, {JH_ORDER, on_order}, {0, NULL}};
	struct sockaddr_in address = loopback(0);
	struct jh_auth_key key;
	struct jh_rpc_server *s;

	assert_true(jh_auth_key_parse(&key, KEY_HEX));
	s = jh_rpc_server_create(&address, &key, handlers, NULL, NULL);
	assert_non_null(s);
	return s;
}

/* Guards against an order without a token, or with one that is too low. */
static void
orders_carry_a_token(void **state)
{
	struct jh_rpc_server *s = start_daemon();
	struct fixture *f = *state;
	char *to = g_strdup_printf(
	    "order 127.0.0.1:%u load-weights", jh_rpc_server_port(s));

	daemon_state.refuse = false;
	assert_int_equal(run(f, to, "--model small"), CTL_USAGE);
	assert_int_equal(
	    run(f, to, "--model small --weights w2 --fencing 7"), CTL_OK);
	assert_int_equal(daemon_state.fencing, 7);
	assert_string_equal(daemon_state.weights, "w2");
	write_entry(f, 0, 1000);
	assert_int_equal(run(f, "catalog apply", f->file), CTL_OK);
	write_entry(f, 1, 2000);
	assert_int_equal(run(f, "catalog apply", f->file), CTL_OK);
	assert_int_equal(run(f, to, "--model small --weights w2"), CTL_OK);
	assert_int_equal(daemon_state.fencing, 2);
	daemon_state.refuse = true;
	assert_int_equal(run(f, to, "--model small --weights w2"), CTL_FAILED);
	assert_non_null(strstr(f->err, "old"));
	control(f, "{\"mode\": \"down\"}");
	assert_int_equal(
	    run(f, to, "--model small --weights w2"), CTL_UNAVAILABLE);
	jh_rpc_server_destroy(s);
	g_free(to);
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
start_list(struct fixture *f)
{
	struct fake_list_options o = {.listen = loopback(0)};
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

/* Guards against an edit that is reported in force where it is not. */
static void
in_force_only_where_confirmed(void **state)
{
	struct jh_rpc_server *s = start_daemon();
	struct fixture *f = *state;
	struct fake_list *list;

	assert_int_equal(run(f, "in-force", NULL), CTL_USAGE);
	list = start_list(f);
	add_instance(list, "entry-0", jh_rpc_server_port(s), false);
	add_instance(list, "entry-1", 1, true);
	write_entry(f, 0, 1000);
	assert_int_equal(run(f, "catalog apply", f->file), CTL_OK);
	daemon_state.revision = 1;
	daemon_state.age_ms = -1;
	assert_int_equal(run(f, "in-force", NULL), CTL_OK);
	assert_non_null(strstr(f->out, "on 1 of 1 live"));
	daemon_state.revision = 0;
	assert_int_equal(run(f, "in-force --wait-ms 0", NULL), CTL_FAILED);
	assert_non_null(strstr(f->out, "behind"));
	daemon_state.age_ms = 600000;
	assert_int_equal(run(f, "in-force --wait-ms 0", "1"), CTL_FAILED);
	/* Confirmed after the revision was accepted. */
	daemon_state.age_ms = 0;
	assert_int_equal(run(f, "in-force --json", "1"), CTL_OK);
	assert_non_null(strstr(f->out, "\"in_force\":true"));
	assert_int_equal(run(f, "in-force --wait-ms 0", "2"), CTL_USAGE);
	write_entry(f, 1, 2000);
	assert_int_equal(run(f, "catalog apply --wait", f->file), CTL_OK);
	add_instance(list, "entry-2", 1, false);
	assert_int_equal(run(f, "in-force --wait-ms 0", NULL), CTL_FAILED);
	assert_non_null(strstr(f->out, "no_answer"));
	assert_int_equal(run(f, "instances", NULL), CTL_OK);
	assert_non_null(strstr(f->out, "leaving"));
	fake_list_destroy(list);
	assert_int_equal(run(f, "instances", NULL), CTL_UNAVAILABLE);
	jh_rpc_server_destroy(s);
}

/* Stores what the recorder has to write now. */
static void
store_records(struct fixture *f, struct jh_refusals *r, uint64_t now)
{
	struct sockaddr_in peer = loopback(fake_store_port(f->fake));
	struct jh_store *store = jh_store_create(&peer, 1);
	const struct jh_store_reply *reply;
	struct jh_refusals_write *due;
	struct jh_store_waiter *w;

	while ((due = jh_refusals_next(r, now)) != NULL) {
		w = jh_store_waiter_create();
		assert_true(jh_store_put(store, due->object,
		    (struct jh_str){due->value, due->value_len},
		    due->create ? JH_STORE_ABSENT : due->version, JH_NEVER,
		    jh_store_waiter_done(w)));
		reply = jh_store_waiter_wait(w);
		assert_int_equal(reply->result, JH_STORE_OK);
		jh_refusals_result(
		    r, now, due->op, JH_STORE_OK, reply->version);
		jh_store_waiter_destroy(w);
		jh_refusals_write_free(due);
	}
	jh_store_destroy(store);
}

/* Guards against minutes that are left out, or uncounted ones taken for 0. */
static void
refusals_are_reported_with_gaps(void **state)
{
	/* 2026-01-02T03:00Z */
	uint64_t start = 1767322800 * JH_USEC_PER_SEC;
	struct jh_refusals_settings set = {.instance = JH_STR("entry-0"),
	    .incarnation = 0xab,
	    JH_REFUSALS_DEFAULTS};
	struct jh_refusals *r = jh_refusals_create(&set, start);
	uint64_t now = start + 300 * JH_USEC_PER_SEC;
	struct fixture *f = *state;

	jh_refusals_count(r, start, JH_STR("acme"), JH_STR("chat"));
	jh_refusals_count(r, start, JH_STR("acme"), JH_STR("chat"));
	jh_refusals_count(r, now, JH_STR("acme"), JH_STR("draft"));
	store_records(f, r, now);
	assert_int_equal(run(f, "refusals --hour", "2026-01-02T03"), CTL_OK);
	assert_non_null(strstr(f->out, "2026-01-02T03:00Z  acme"));
	assert_non_null(strstr(f->out, "2026-01-02T03:05Z  acme"));
	assert_non_null(strstr(f->out, "2 minutes of refusal"));
	assert_non_null(strstr(f->out, "3 refusals"));
	assert_non_null(strstr(f->out, "to 2026-01-02T04:00Z, entry-0"));
	jh_refusals_close(r, now);
	store_records(f, r, now);
	assert_int_equal(run(f, "refusals --json --from 2026-01-02T03 --to",
			     "2026-01-02T04"),
	    CTL_OK);
	assert_non_null(strstr(f->out, "\"unaccounted_minutes\":0"));
	assert_non_null(strstr(f->out, "\"refusals\":2"));
	assert_int_equal(run(f, "refusals --hour", "yesterday"), CTL_USAGE);
	assert_int_equal(run(f, "refusals --from", "2999-01-02T03"), CTL_USAGE);
	control(f, "{\"mode\": \"down\"}");
	assert_int_equal(run(f, "refusals", NULL), CTL_UNAVAILABLE);
	jh_refusals_destroy(r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		race_shows_both_edits, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		shown_objects_can_be_applied, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		lost_answers_and_outages, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		check_names_all_faults, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		drains_the_process_at_the_address, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		orders_carry_a_token, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		in_force_only_where_confirmed, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		refusals_are_reported_with_gaps, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
