#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "base/event.h"
#include "config/settings.h"
#include "service.h"

#define DEFAULT_HISTORY 100000

static void
wait_for_signal(void)
{
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigwait(&set, &sig);
}

static void
block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
}

static bool
parse_options(int argc, char **argv, struct fake_store_options *o)
{
	char *listen = NULL;
	int history = DEFAULT_HISTORY;
	const GOptionEntry entries[] = {
	    {"listen", 'l', 0, G_OPTION_ARG_STRING, &listen,
		"Address to serve on", "A.B.C.D:PORT"},
	    {"writes-per-second", 'w', 0, G_OPTION_ARG_DOUBLE,
		&o->writes_per_second, "Write rate, 0 for no limit", "N"},
	    {"reads-per-second", 'r', 0, G_OPTION_ARG_DOUBLE,
		&o->reads_per_second, "Read rate, 0 for no limit", "N"},
	    {"history", 0, 0, G_OPTION_ARG_INT, &history,
		"Changes kept for watches", "N"},
	    G_OPTION_ENTRY_NULL};
	GOptionContext *ctx =
	    g_option_context_new("- fake object store for tests");
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	if (!ok) {
		fprintf(stderr, "fake-store: %s\n", err->message);
		g_error_free(err);
	} else if (listen == NULL || !jh_address_parse(listen, &o->listen) ||
		   history < 1) {
		fprintf(stderr, "fake-store: --listen needs A.B.C.D:PORT\n");
		ok = false;
	}
	o->history = (unsigned int)history;
	g_option_context_free(ctx);
	g_free(listen);
	return ok;
}

int
main(int argc, char **argv)
{
	struct fake_store_options o = {0};
	struct fake_store *s;
	GError *err = NULL;

	if (!parse_options(argc, argv, &o))
		return 2;
	jh_event_init("fake-store");
	block_signals();
	s = fake_store_create(&o, &err);
	if (s == NULL) {
		fprintf(stderr, "fake-store: %s\n", err->message);
		g_error_free(err);
		return EXIT_FAILURE;
	}
	printf("port %u\n", fake_store_port(s));
	fflush(stdout);
	wait_for_signal();
	fake_store_destroy(s);
	return EXIT_SUCCESS;
}
