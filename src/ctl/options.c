#include <stdlib.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/record.h>

#include "ctl/ctl.h"
#include "ctl/settings.h"

#define DEFAULT_SETTINGS "jhctl.yaml"
#define MAX_STORE_CALLS 4 /* at one time */

static void
print_help(
    struct ctl *c, const struct ctl_command *command, GOptionContext *ctx)
{
	char *help = g_option_context_get_help(ctx, TRUE, NULL);

	fputs(help, c->out);
	fputs("\nExit codes: 0 ok, 1 failed, 2 usage, 3 conflict, "
	      "4 unavailable.\n",
	    c->out);
	g_free(help);
}

static int
check_operands(struct ctl *c, const struct ctl_command *command, char **args,
    guint min, guint max)
{
	guint n = g_strv_length(args);

	if (n >= min && n <= max && c->timeout_ms > 0)
		return CTL_CONTINUE;
	fprintf(c->err, "usage: jhctl %s [OPTION...] %s\n", command->name,
	    command->args);
	return CTL_USAGE;
}

/* GLib expects the program's name as the first argument. */
static char **
prepend_program_name(const struct ctl_command *command, char **args)
{
	GPtrArray *list = g_ptr_array_new();

	g_ptr_array_add(list, g_strconcat("jhctl ", command->name, NULL));
	for (; *args != NULL; args++)
		g_ptr_array_add(list, g_strdup(*args));
	g_ptr_array_add(list, NULL);
	return (char **)g_ptr_array_free(list, FALSE);
}

int
ctl_parse_options(struct ctl *c, const struct ctl_command *command,
    const GOptionEntry *extra, char ***args, guint min, guint max)
{
	gboolean help = FALSE;
	const GOptionEntry common[] = {
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &c->settings_path,
		"Settings file (default $JHCTL_SETTINGS, or " DEFAULT_SETTINGS
		")",
		"FILE"},
	    {"json", 'j', 0, G_OPTION_ARG_NONE, &c->json, "Print JSON", NULL},
	    {"timeout-ms", 't', 0, G_OPTION_ARG_INT, &c->timeout_ms,
		"Timeout of one request, in milliseconds", "N"},
	    {"help", 'h', 0, G_OPTION_ARG_NONE, &help, "Show this help", NULL},
	    G_OPTION_ENTRY_NULL};
	GOptionContext *ctx = g_option_context_new(command->args);
	char **argv = prepend_program_name(command, *args);
	GError *err = NULL;
	int status = CTL_CONTINUE;

	g_option_context_set_help_enabled(ctx, FALSE);
	g_option_context_set_summary(ctx, command->summary);
	if (extra != NULL)
		g_option_context_add_main_entries(ctx, extra, NULL);
	g_option_context_add_main_entries(ctx, common, NULL);
	if (!g_option_context_parse_strv(ctx, &argv, &err)) {
		fprintf(c->err, "jhctl %s: %s\n", command->name, err->message);
		g_error_free(err);
		status = CTL_USAGE;
	} else if (help) {
		print_help(c, command, ctx);
		status = CTL_OK;
	}
	*args = g_strdupv(argv + (argv[0] != NULL));
	g_strfreev(argv);
	g_option_context_free(ctx);
	if (status != CTL_CONTINUE)
		return status;
	return check_operands(c, command, *args, min, max);
}

bool
ctl_parse_address(struct ctl *c, const char *text, const char *example,
    struct sockaddr_in *out)
{
	if (jh_address_parse(text, out))
		return true;
	fprintf(c->err, "\"%s\" is not an address such as %s\n", text, example);
	return false;
}

int
ctl_load_settings(struct ctl *c)
{
	const char *path = c->settings_path;
	GError *err = NULL;

	if (path == NULL)
		path = getenv("JHCTL_SETTINGS");
	if (path == NULL)
		path = DEFAULT_SETTINGS;
	if (jh_settings_load(path, ctl_settings_table, &c->settings, &err))
		return CTL_CONTINUE;
	fprintf(c->err, "%s\n", err->message);
	g_error_free(err);
	return CTL_USAGE;
}

int
ctl_open_store(struct ctl *c)
{
	int status = ctl_load_settings(c);

	if (status == CTL_CONTINUE)
		c->store = jh_store_create(&c->settings.store, MAX_STORE_CALLS);
	return status;
}

uint64_t
ctl_deadline(const struct ctl *c)
{
	return jh_now() + (uint64_t)c->timeout_ms * JH_USEC_PER_MSEC;
}

int
ctl_print_store_error(
    struct ctl *c, const char *what, enum jh_store_result result)
{
	fprintf(c->err, "%s: store request failed: %s\n", what,
	    jh_store_result_name(result));
	return result == JH_STORE_UNAVAILABLE || result == JH_STORE_UNKNOWN ||
		       result == JH_STORE_THROTTLED
		   ? CTL_UNAVAILABLE
		   : CTL_FAILED;
}

int
ctl_store_revision(struct ctl *c, uint64_t *revision)
{
	struct jh_store_waiter *w = jh_store_waiter_create();
	const struct jh_store_reply *reply;
	int status = CTL_CONTINUE;

	/* Every read returns the revision. */
	if (!jh_store_list(c->store, JH_RECORD_PREFIX_MODEL, "", 1,
		ctl_deadline(c), jh_store_waiter_callback(w))) {
		jh_store_waiter_destroy(w);
		return ctl_print_store_error(
		    c, "revision", JH_STORE_UNAVAILABLE);
	}
	reply = jh_store_waiter_wait(w);
	if (reply->result == JH_STORE_OK)
		*revision = reply->revision;
	else
		status = ctl_print_store_error(c, "revision", reply->result);
	jh_store_waiter_destroy(w);
	return status;
}
