#include <stdio.h>

#include "spread.h"
#include "spread_model.h"

/*
 * Bytes of a pull on a new TCP connection: 104 and 116 in the sealed request
 * and reply (xdr_sizeof), 72 in RPC headers and 484 in the headers of 9
 * segments.
 */
#define PULL_BYTES 776

static int
compare_delays(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static double
percentile(const GArray *sorted, double p)
{
	return g_array_index(sorted, uint32_t, (guint)(p * (sorted->len - 1))) /
	       1e6;
}

/*
 * Counts the running daemons that lack an edit. Edits of the last 8 s are not
 * expected yet.
 */
static uint64_t
count_missing(const struct model *m)
{
	uint64_t due = 0, missing = 0;
	uint32_t i;

	while (due < m->edits->len &&
	       g_array_index(m->edits, uint64_t, due) + 8 * JH_USEC_PER_SEC <
		   RUN_USEC)
		due++;
	for (i = 0; i < INSTANCES; i++)
		missing += m->d[i].alive && m->d[i].revision < due;
	return missing;
}

static void
report(struct model *m)
{
	double seconds = (double)(RUN_USEC - WARM_UP_USEC) / JH_USEC_PER_SEC;
	uint64_t max_served = 0, total = 0;
	uint32_t i;

	for (i = 0; i < ENTRIES; i++) {
		max_served = MAX(max_served, m->d[i].pulls_served);
		total += m->d[i].pulls_served;
	}
	g_array_sort(m->delays, compare_delays);
	printf("%-10s %6u %7.2f %7.2f %7.2f %8" G_GUINT64_FORMAT
	       " %8.1f %6" G_GUINT64_FORMAT " %7.1f %7.1f %8.1f\n",
	    m->scenario->name, m->edits->len, percentile(m->delays, 0.5),
	    percentile(m->delays, 0.99), percentile(m->delays, 1),
	    count_missing(m), (double)m->reads / seconds, m->max_second_reads,
	    (double)total / ENTRIES / seconds, (double)max_served / seconds,
	    (double)max_served / seconds * PULL_BYTES / 1000);
}

static void
run_scenario(const struct scenario *scenario, uint64_t seed)
{
	struct model m;

	spread_model_init(&m, scenario, seed);
	spread_model_run(&m);
	report(&m);
	spread_model_clear(&m);
}

int
spread_run(uint64_t seed)
{
	static const struct scenario scenarios[] = {{"steady", 0, false},
	    {"loss 1%", 0.01, false}, {"loss 10%", 0.1, false},
	    {"kills", 0, true}};
	size_t i;

	printf("catalogue spread, seed %" G_GUINT64_FORMAT
	       "; in force after (s), store reads/s, pulls/s served\n"
	       "%-10s %6s %7s %7s %7s %8s %8s %6s %7s %7s %8s\n",
	    seed, "scenario", "edits", "median", "p99", "max", "missing",
	    "reads/s", "worst", "mean", "most", "KB/s");
	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		run_scenario(&scenarios[i], seed);
	return 0;
}
