#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bench.h"
#include "place_bench.h"
#include "spread.h"

static const struct bench benches[] = {
    {"queue", "rank queue of one agent against FIFO and strict priority",
	queue_bench_run},
    {"cost", "CPU time and memory of the modules at growing sizes", cost_run},
    {"spread", "spread of catalogue edits over 6,740 instances", spread_run},
    {"place", "placement policies: hit rate, TTFT, decision cost",
	place_bench_run},
    {"once", "at-most-once calls: store use, refusals, duplicates",
	once_bench_run},
    {"refuse", "refusal minutes: store writes, object size, gaps",
	refuse_bench_run},
    {"poison", "poison requests: crashes, other requests delayed",
	poison_bench_run},
    {0},
};

static void
list_benches(void)
{
	const struct bench *b;

	for (b = benches; b->name != NULL; b++)
		printf("%-16s %s\n", b->name, b->summary);
}

int
main(int argc, char **argv)
{
	static gint64 seed = 1;
	static const GOptionEntry options[] = {
	    {"seed", 's', 0, G_OPTION_ARG_INT64, &seed,
		"seed of the generators (default 1)", "N"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL}};
	GOptionContext *ctx = g_option_context_new(
	    "[BENCH...] - run benchmarks of the modules, most in virtual time");
	GError *err = NULL;
	const struct bench *b;
	int i, rc = 0;

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "jhbench: %s\n", err->message);
		g_option_context_free(ctx);
		g_error_free(err);
		return 2;
	}
	g_option_context_free(ctx);
	if (argc == 1) {
		list_benches();
		return 0;
	}
	for (i = 1; i < argc; i++) {
		for (b = benches; b->name != NULL; b++) {
			if (strcmp(b->name, argv[i]) == 0)
				break;
		}
		if (b->name == NULL) {
			fprintf(stderr, "jhbench: no benchmark named \"%s\"\n",
			    argv[i]);
			return 2;
		}
		rc |= b->run((uint64_t)seed);
	}
	return rc;
}
