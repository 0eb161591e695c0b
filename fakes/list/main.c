#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "base/event.h"
#include "config/settings.h"
#include "file.h"
#include "instances.h"

static void
init_signal_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

static bool
parse_options(
    int argc, char **argv, struct fake_list_options *o, char **instances)
{
	char *listen = NULL;
	int lag_ms = 0;
	const GOptionEntry entries[] = {
	    {"listen", 'l', 0, G_OPTION_ARG_STRING, &listen,
		"Address to serve on", "A.B.C.D:PORT"},
	    {"instances", 'i', 0, G_OPTION_ARG_FILENAME, instances,
		"YAML file with the initial instances", "FILE"},
	    {"lag-ms", 0, 0, G_OPTION_ARG_INT, &lag_ms,
		"Time until a change is visible, in milliseconds", "N"},
	    G_OPTION_ENTRY_NULL};
	GOptionContext *ctx =
	    g_option_context_new("- fake instance list for tests");
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	if (!ok) {
		fprintf(stderr, "fake-list: %s\n", err->message);
		g_error_free(err);
	} else if (listen == NULL || !jh_address_parse(listen, &o->listen) ||
		   lag_ms < 0) {
		fprintf(stderr, "fake-list: --listen needs A.B.C.D:PORT\n");
		ok = false;
	}
	o->lag_usec = (uint64_t)lag_ms * JH_USEC_PER_MSEC;
	g_option_context_free(ctx);
	g_free(listen);
	return ok;
}

static bool
add_instances(struct fake_list *l, const char *path)
{
	GError *err = NULL;
	json_t *list, *o;
	bool ok;

	if (path == NULL)
		return true;
	list = fake_list_load(path, &err);
	if (list == NULL) {
		fprintf(stderr, "%s\n", err->message);
		g_error_free(err);
		return false;
	}
	o = json_pack("{s:o}", "add", list);
	ok = fake_list_control(l, o, false);
	json_decref(o);
	return ok;
}

int
main(int argc, char **argv)
{
	struct fake_list_options o = {0};
	char *instances = NULL;
	int status = EXIT_FAILURE, sig;
	struct fake_list *l;
	GError *err = NULL;
	sigset_t set;

	if (!parse_options(argc, argv, &o, &instances))
		return 2;
	jh_event_init("fake-list");
	init_signal_set(&set);
	sigprocmask(SIG_BLOCK, &set, NULL);
	l = fake_list_create(&o, &err);
	if (l == NULL) {
		fprintf(stderr, "fake-list: %s\n", err->message);
		g_error_free(err);
	} else if (add_instances(l, instances)) {
		printf("port %u\n", fake_list_port(l));
		fflush(stdout);
		sigwait(&set, &sig);
		status = EXIT_SUCCESS;
	}
	if (l != NULL)
		fake_list_destroy(l);
	g_free(instances);
	return status;
}
