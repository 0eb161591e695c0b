#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "soak/fixture.h"

/* Default size of a run, for daily use: work for a few dozen processes. */
static struct soak_spec spec = {
    .routers = 4, .engines = 5, .services = 3, .clients = 60};

/* Default duration; the poison adds as much as it outlasts other faults. */
#define SECONDS 24

static char *program, *dir;
static gint64 seed = 1;
static gint count = 1, entries, engines, services, n_clients;
static gboolean poison, quotas, restores, verbose;

static const GOptionEntry options[] = {
    {"program", 'p', 0, G_OPTION_ARG_FILENAME, &program,
	"the entry program (build/jhplatform)", "FILE"},
    {"seed", 's', 0, G_OPTION_ARG_INT64, &seed, "first seed (1)", "N"},
    {"count", 'n', 0, G_OPTION_ARG_INT, &count,
	"number of consecutive seeds (1)", "N"},
    {"seconds", 't', 0, G_OPTION_ARG_DOUBLE, &spec.seconds,
	"duration of a run, 16 or more (24; 34 with --poison, 40 with "
	"--quotas)",
	"S"},
    {"entries", 'e', 0, G_OPTION_ARG_INT, &entries, "entry processes (4)", "N"},
    {"engines", 0, 0, G_OPTION_ARG_INT, &engines, "model workers (5)", "N"},
    {"services", 0, 0, G_OPTION_ARG_INT, &services,
	"workers without a model (3)", "N"},
    {"callers", 'c', 0, G_OPTION_ARG_INT, &n_clients, "clients (60)", "N"},
    {"dir", 'd', 0, G_OPTION_ARG_FILENAME, &dir,
	"folder for settings and logs; without it, they are kept only if a "
	"run found a violation",
	"DIR"},
    {"poison", 0, 0, G_OPTION_ARG_NONE, &poison,
	"adds a prompt part that crashes each worker that begins an answer "
	"on it",
	NULL},
    {"quotas", 0, 0, G_OPTION_ARG_NONE, &quotas,
	"adds organisations with quotas, which they exceed at times", NULL},
    {"restores", 0, 0, G_OPTION_ARG_NONE, &restores,
	"lets the store come back from older copies of itself", NULL},
    {"verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose,
	"prints each injected fault", NULL},
    G_OPTION_ENTRY_NULL};

/* Returns NULL or an error message. */
static const char *
check_options(void)
{
	if (count < 1)
		return "--count must be 1 or more";
	if (spec.seconds == 0)
		spec.seconds = SECONDS + (poison ? SOAK_POISON_TAIL_SEC : 0) +
			       (quotas ? SOAK_QUOTA_TAIL_SEC : 0);
	if (poison && quotas)
		return "--poison and --quotas exclude each other";
	if (spec.seconds < 16 || spec.seconds > 3600)
		return "--seconds must be from 16 to 3600";
	if (seed < 0 || seed > G_MAXUINT32)
		return "--seed must be from 0 to 4294967295";
	if (entries < 0 || entries > 200 || engines < 0 || engines > 200 ||
	    services < 0 || services > 200 || n_clients < 0 || n_clients > 5000)
		return "at most 200 entries, 200 workers of each kind and 5000 "
		       "clients";
	return NULL;
}

static bool
read_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(
	    "- injects faults around real entry processes and checks that "
	    "their guarantees hold");
	const char *reason = NULL;
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &err);
	if (ok && argc > 1)
		reason = "unexpected argument";
	else if (ok)
		reason = check_options();
	if (!ok || reason != NULL)
		fprintf(stderr, "jhsoak: %s\n", ok ? reason : err->message);
	g_clear_error(&err);
	g_option_context_free(context);
	return ok && reason == NULL;
}

static void
remove_dir(const char *path)
{
	GDir *d = g_dir_open(path, 0, NULL);
	const char *name;

	while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
		char *file = g_build_filename(path, name, NULL);
		g_unlink(file);
		g_free(file);
	}
	if (d != NULL)
		g_dir_close(d);
	g_rmdir(path);
}

/* Returns true if the run found no violation. */
static bool
run_seed(uint64_t number)
{
	char *path = dir != NULL ? g_strdup_printf("%s/%llu", dir,
				       (unsigned long long)number)
				 : g_dir_make_tmp("jh-soak-XXXXXX", NULL);
	struct soak_result r;

	if (path == NULL || g_mkdir_with_parents(path, 0700) != 0)
		g_error("cannot create the folder for the logs");
	spec.seed = number;
	spec.dir = path;
	r = soak_run(&spec);
	printf("seed %llu: %u faults injected, %u sent, %u served, %u refused, "
	       "%u failed, %u broken, %u abandoned, %.3f served at the end, "
	       "%ld kB, %u crashes by a part, %u violations\n",
	    (unsigned long long)number, r.planned_faults, r.totals.sent,
	    r.totals.served, r.totals.refused, r.totals.failed, r.totals.broken,
	    r.totals.abandoned, r.final_success_ratio, r.memory_kb,
	    r.totals.part_crashes, r.violations);
	if (r.violations > 0)
		printf("seed %llu: logs in %s\n", (unsigned long long)number,
		    path);
	else if (dir == NULL)
		remove_dir(path);
	fflush(stdout);
	g_free(path);
	return r.violations == 0;
}

int
main(int argc, char **argv)
{
	int i, failed = 0;

	if (!read_options(argc, argv))
		return 2;
	signal(SIGPIPE, SIG_IGN);
	spec.program = program != NULL ? program : "build/jhplatform";
	spec.verbose = verbose;
	spec.poison = poison;
	spec.quotas = quotas;
	spec.restores = restores;
	spec.routers = entries > 0 ? (unsigned int)entries : spec.routers;
	spec.engines = engines > 0 ? (unsigned int)engines : spec.engines;
	spec.services = services > 0 ? (unsigned int)services : spec.services;
	spec.clients = n_clients > 0 ? (unsigned int)n_clients : spec.clients;
	for (i = 0; i < count; i++)
		failed += run_seed((uint64_t)(seed + i)) ? 0 : 1;
	printf("%d passed, %d failed\n", count - failed, failed);
	return failed > 0 ? 1 : 0;
}
