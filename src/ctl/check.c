#include <string.h>

#include "ctl/ctl.h"
#include "ctl/record_file.h"
#include "ctl/settings.h"

static const struct ctl_settings_kind *
find_kind(const char *name)
{
	const struct ctl_settings_kind *k;

	for (k = ctl_settings_kinds; k->name != NULL; k++) {
		if (strcmp(k->name, name) == 0)
			return k;
	}
	return NULL;
}

static bool
check_settings(
    const char *path, const struct ctl_settings_kind *k, GError **err)
{
	void *out = g_malloc0(k->size);
	bool ok = jh_settings_load(path, k->table, out, err);

	jh_settings_clear(k->table, out);
	g_free(out);
	return ok;
}

static bool
is_record(const char *path)
{
	char *text = NULL;
	bool found;

	found = g_file_get_contents(path, &text, NULL, NULL) &&
		record_file_is_record(text);
	g_free(text);
	return found;
}

static bool
check_file(const char *path, const struct ctl_settings_kind *k, GError **err)
{
	struct record_file r;
	bool ok;

	if (!is_record(path))
		return check_settings(path, k, err);
	ok = record_file_load(path, &r, err);
	if (ok)
		record_file_clear(&r);
	return ok;
}

static int
check_all(struct ctl *c, char **paths, const struct ctl_settings_kind *k)
{
	int status = CTL_OK;
	GError *err = NULL;

	for (; *paths != NULL; paths++) {
		if (check_file(*paths, k, &err)) {
			fprintf(c->out, "%s: ok\n", *paths);
			continue;
		}
		fprintf(c->err, "%s\n", err->message);
		g_clear_error(&err);
		status = CTL_FAILED;
	}
	return status;
}

static int
run_check(struct ctl *c, const struct ctl_command *self, char **args)
{
	char *program = NULL;
	const GOptionEntry extra[] = {
	    {"program", 'p', 0, G_OPTION_ARG_STRING, &program,
		"Program that the settings files are for (default jhctl)",
		"NAME"},
	    G_OPTION_ENTRY_NULL};
	const struct ctl_settings_kind *k;
	int status;

	status = ctl_parse_options(c, self, extra, &args, 1, G_MAXUINT);
	if (status == CTL_CONTINUE) {
		k = find_kind(program == NULL ? "jhctl" : program);
		if (k == NULL)
			fprintf(c->err, "unknown program \"%s\"\n", program);
		status = k == NULL ? CTL_USAGE : check_all(c, args, k);
	}
	g_strfreev(args);
	g_free(program);
	return status;
}

const struct ctl_command ctl_check_commands[] = {
    {"check", "FILE...", "Check catalogue or settings files", run_check}, {0}};
