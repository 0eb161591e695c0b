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

#include "ctl/ctl.h"
#include "ctl_fixture.h"

static const char entry_yaml[] =
    "record: entry\nversion: %u\nowner: acme\nclass: chat\nkind: chat\n"
    "rank: background\nrank_ceiling: urgent\nmodels: [large]\n"
    "cost_tokens_per_second: %u\nconcurrent_requests: 10\n"
    "idempotent: true\nttft_target_ms: 1000\n"
    "region_shares:\n  - {region: mtl, percent: 70}\n"
    "  - {region: qc, percent: 30}\n";

struct sockaddr_in
ctl_loopback(unsigned int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

int
ctl_setup(void **state)
{
	struct ctl_fixture *f = g_new0(struct ctl_fixture, 1);
	struct fake_store_options o = {
	    .listen = ctl_loopback(0), .history = 100};
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

int
ctl_teardown(void **state)
{
	struct ctl_fixture *f = *state;

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

int
ctl_run(struct ctl_fixture *f, const char *command, const char *operand)
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

void
ctl_write_entry(struct ctl_fixture *f, unsigned int version, unsigned int rate)
{
	char *text = g_strdup_printf(entry_yaml, version, rate);

	assert_true(g_file_set_contents(f->file, text, -1, NULL));
	g_free(text);
}

void
ctl_control(struct ctl_fixture *f, const char *text)
{
	json_t *o = json_loads(text, 0, NULL);

	assert_true(fake_store_control(f->fake, o));
	json_decref(o);
}
