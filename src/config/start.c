#include <pthread.h>
#include <stdio.h>
#include <time.h>

#include <sodium.h>

#include "base/event.h"
#include "config/start.h"

/*
 * Returns the path of the settings file, to be freed with g_free(), or NULL
 * after an error has been printed.
 */
static gchar *
parse_options(int argc, char **argv, const char *program, const char *summary)
{
	gchar *path = NULL;
	const GOptionEntry options[] = {
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		"settings file (YAML)", "FILE"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL}};
	GOptionContext *ctx = g_option_context_new(summary);
	GError *err = NULL;

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err) || path == NULL)
		fprintf(stderr, "%s: %s\n", program,
		    err == NULL ? "--settings FILE is missing" : err->message);
	g_option_context_free(ctx);
	if (err != NULL)
		g_clear_pointer(&path, g_free);
	g_clear_error(&err);
	return path;
}

int
jh_daemon_start(int argc, char **argv, const char *program, const char *summary,
    const struct jh_setting *table, void *out, sigset_t *stop)
{
	GError *err = NULL;
	gchar *path;
	bool loaded;

	jh_event_init(program);
	path = parse_options(argc, argv, program, summary);
	if (path == NULL)
		return JH_EXIT_SETTINGS;
	sigemptyset(stop);
	sigaddset(stop, SIGTERM);
	sigaddset(stop, SIGINT);
	pthread_sigmask(SIG_BLOCK, stop, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0) {
		g_free(path);
		return JH_EXIT_START;
	}
	loaded = jh_settings_load(path, table, out, &err);
	g_free(path);
	if (loaded)
		return 0;
	fprintf(stderr, "%s\n", err->message);
	g_error_free(err);
	jh_settings_clear(table, out);
	return JH_EXIT_SETTINGS;
}

bool
jh_daemon_wait_stop(const sigset_t *stop, long msec)
{
	struct timespec timeout = {0, msec * 1000000L};

	return sigtimedwait(stop, NULL, &timeout) > 0;
}
