#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "ctl/ctl.h"
#include "ctl_fixture.h"
#include "rpc/server.h"

/*
 * An edit of a version that another edit has replaced must not overwrite it:
 * apply and delete fail and show both versions.
 */
static void
conflict_shows_both_edits(void **state)
{
	struct ctl_fixture *f = *state;

	ctl_write_entry(f, 0, 1000);
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_OK);
	assert_string_equal(f->out, "catalog/acme/chat: applied, version 1\n");
	ctl_write_entry(f, 1, 2000);
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_OK);
	ctl_write_entry(f, 1, 3000);
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_CONFLICT);
	assert_non_null(strstr(f->out, "cost_tokens_per_second: 3000"));
	assert_non_null(strstr(f->out, "cost_tokens_per_second: 2000"));
	assert_non_null(strstr(f->out, "version: 2"));
	assert_int_equal(
	    ctl_run(f, "catalog apply --version 2", f->file), CTL_OK);
	assert_int_equal(
	    ctl_run(f, "catalog delete --version 2", "catalog/acme/chat"),
	    CTL_CONFLICT);
	assert_int_equal(
	    ctl_run(f, "catalog delete --version 3", "catalog/acme/chat"),
	    CTL_OK);
	assert_int_equal(
	    ctl_run(f, "catalog show", "catalog/acme/chat"), CTL_FAILED);
}

/* The output of "catalog show" must be a valid file for "catalog apply". */
static void
shown_objects_can_be_applied(void **state)
{
	struct ctl_fixture *f = *state;

	ctl_write_entry(f, 0, 1000);
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_OK);
	assert_int_equal(
	    ctl_run(f, "catalog show", "catalog/acme/chat"), CTL_OK);
	assert_true(g_file_set_contents(f->file, f->out, -1, NULL));
	assert_int_equal(ctl_run(f, "check", f->file), CTL_OK);
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_OK);
	assert_int_equal(ctl_run(f, "catalog list", NULL), CTL_OK);
	assert_non_null(strstr(f->out, "         2  catalog/acme/chat"));
	assert_int_equal(ctl_run(f, "catalog list --json", "catalog/"), CTL_OK);
	assert_non_null(strstr(f->out, "\"percent\": 70"));
}

/* An edit whose response is lost must not count as failed or conflicting. */
static void
lost_responses_and_outages(void **state)
{
	struct ctl_fixture *f = *state;

	ctl_write_entry(f, 0, 1000);
	ctl_control(f, "{\"lose_next\": 1}");
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_OK);
	assert_non_null(strstr(f->out, "version 1"));
	ctl_control(f, "{\"lose_next\": 1}");
	assert_int_equal(
	    ctl_run(f, "catalog delete --version 1", "catalog/acme/chat"),
	    CTL_OK);
	ctl_control(f, "{\"mode\": \"down\"}");
	assert_int_equal(ctl_run(f, "catalog apply", f->file), CTL_UNAVAILABLE);
	assert_int_equal(ctl_run(f, "catalog list", NULL), CTL_UNAVAILABLE);
}

/* One run must report all errors in a file; wrong usage must be rejected. */
static void
check_lists_all_errors(void **state)
{
	struct ctl_fixture *f = *state;
	static const char invalid_keys[] =
	    "record: entry\nowner: acme\nrank: high\n"
	    "colour: red\n";
	static const char json[] =
	    "{\n  \"name\": \"m\", \"weights\": \"w1\",\n"
	    "  \"record\": \"model\"\n}\n";
	static const char invalid_values[] =
	    "record: organisation\nname: Acme\ndisplay_name: A\n"
	    "key_hashes: [zz]\n";

	g_file_set_contents(f->file, invalid_keys, -1, NULL);
	assert_int_equal(ctl_run(f, "check", f->file), CTL_FAILED);
	assert_non_null(strstr(f->err, "entry.yaml:3: rank"));
	assert_non_null(strstr(f->err, "entry.yaml:4: unknown key"));
	assert_non_null(strstr(f->err, "missing key \"models\""));
	g_file_set_contents(f->file, json, -1, NULL);
	assert_int_equal(ctl_run(f, "check", f->file), CTL_OK);
	g_file_set_contents(f->file, "record: \xff", -1, NULL);
	assert_int_equal(ctl_run(f, "check", f->file), CTL_FAILED);
	g_file_set_contents(f->file, invalid_values, -1, NULL);
	assert_int_equal(ctl_run(f, "check", f->file), CTL_FAILED);
	assert_non_null(strstr(f->err, "entry.yaml: name is \"Acme\""));
	assert_non_null(strstr(f->err, "entry.yaml: key_hashes holds"));
	assert_int_equal(ctl_run(f, "check", f->settings), CTL_OK);
	assert_int_equal(
	    ctl_run(f, "check --program other", f->settings), CTL_USAGE);
	assert_int_equal(
	    ctl_run(f, "check --program jhentry", f->settings), CTL_FAILED);
	assert_non_null(strstr(f->err, "missing key \"listen\""));
	assert_int_equal(
	    ctl_run(f, "check --program jhagent", f->settings), CTL_FAILED);
	assert_non_null(strstr(f->err, "missing key \"backend\""));
	assert_int_equal(ctl_run(f, "catalog", NULL), CTL_USAGE);
	assert_int_equal(ctl_run(f, "catalog show", NULL), CTL_USAGE);
	assert_int_equal(ctl_run(f, "catalog delete", "orgs/a"), CTL_USAGE);
	assert_int_equal(ctl_run(f, "catalog apply --help", NULL), CTL_OK);
	assert_non_null(strstr(f->out, "--version"));
}

static uint64_t drained_incarnation;

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

	drained_incarnation = ((const struct jh_drain_args *)args)->incarnation;
	r->message = g_strdup("draining");
}

/* The drain request must carry the incarnation of the process to drain. */
static void
drains_the_process_at_the_address(void **state)
{
	static const struct jh_rpc_handler handlers[] = {
	    {JH_DUMP, on_dump}, {JH_DRAIN, on_drain}, {0, NULL}};
	struct sockaddr_in address = ctl_loopback(0);
	struct ctl_fixture *f = *state;
	struct jh_auth_key key;
	struct jh_rpc_server *server;
	char *peer;

	assert_true(jh_auth_key_parse(&key, KEY_HEX));
	server = jh_rpc_server_create(&address, &key, handlers, NULL, NULL);
	assert_non_null(server);
	peer = g_strdup_printf("127.0.0.1:%u", jh_rpc_server_port(server));
	assert_int_equal(ctl_run(f, "dump", peer), CTL_OK);
	assert_non_null(strstr(f->out, "00000000000000ab"));
	assert_int_equal(ctl_run(f, "drain", peer), CTL_OK);
	assert_int_equal(drained_incarnation, 0xab);
	assert_int_equal(ctl_run(f, "drain --incarnation cd", peer), CTL_OK);
	assert_int_equal(drained_incarnation, 0xcd);
	jh_rpc_server_destroy(server);
	assert_int_equal(ctl_run(f, "drain", peer), CTL_UNAVAILABLE);
	assert_int_equal(ctl_run(f, "dump", "nowhere"), CTL_USAGE);
	g_free(peer);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		conflict_shows_both_edits, ctl_setup, ctl_teardown),
	    cmocka_unit_test_setup_teardown(
		shown_objects_can_be_applied, ctl_setup, ctl_teardown),
	    cmocka_unit_test_setup_teardown(
		lost_responses_and_outages, ctl_setup, ctl_teardown),
	    cmocka_unit_test_setup_teardown(
		check_lists_all_errors, ctl_setup, ctl_teardown),
	    cmocka_unit_test_setup_teardown(
		drains_the_process_at_the_address, ctl_setup, ctl_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
