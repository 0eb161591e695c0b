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
	text = g_strdup_printf("store: 127.0.0.1:%u\ncontrol_key: \"%s\"\n",
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
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
