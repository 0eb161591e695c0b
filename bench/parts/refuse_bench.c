#include <stdio.h>

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/refusals.h>

#include "bench.h"

#define MINUTE_USEC (60 * JH_USEC_PER_SEC)
#define HOUR_USEC (60 * MINUTE_USEC)
#define FIRST_HOUR 490000ULL
#define DAEMONS 340
#define PEERS 4 /* that each daemon sees in its availability zone */
#define RUN_HOURS 8
#define CRASHES_PER_DAY 42
#define STOPS_PER_DAY 660
/* Daemons that refuse a request in a second outside of the flood hour. */
#define REFUSING_PERCENT 5

/* Size of one daemon's object after an hour with refusals in each minute. */
static void
measure_size(unsigned int pairs)
{
	struct jh_refusals_settings settings = {JH_REFUSALS_DEFAULTS,
	    .instance = JH_STR("entry-17"), .incarnation = 1};
	uint64_t now = FIRST_HOUR * HOUR_USEC;
	struct jh_refusals *r = jh_refusals_create(&settings, now);
	struct jh_refusal_report *report = jh_refusal_report_create(FIRST_HOUR);
	const struct jh_refusal_row *rows;
	struct jh_refusals_write *w;
	uint64_t total = 0, other = 0;
	char owner[16];
	unsigned int m, i;
	size_t n;

	for (m = 0; m < 60; m++) {
		for (i = 0; i < pairs; i++) {
			snprintf(owner, sizeof(owner), "org-%04u", i);
			jh_refusals_count(r, now + m * MINUTE_USEC,
			    jh_str_from(owner), JH_STR("background-draft"));
		}
	}
	w = jh_refusals_next(r, now + 59 * MINUTE_USEC);
	jh_refusal_report_add(
	    report, w->object, (struct jh_str){w->value, w->value_len}, NULL);
	jh_refusal_report_finish(report, now + 2 * HOUR_USEC);
	n = jh_refusal_report_rows(report, &rows);
	for (i = 0; i < n; i++) {
		total += rows[i].count;
		if (rows[i].owner == NULL)
			other += rows[i].count;
	}
	printf("%8u %12d %14.1f %12s\n", pairs, (int)w->value_len,
	    100.0 * (double)other / (double)total,
	    total == 60ULL * pairs ? "all" : "SOME LOST");
	jh_refusals_write_free(w);
	jh_refusals_destroy(r);
	jh_refusal_report_destroy(report);
}

struct daemons {
	GRand *rand;
	uint64_t now;
	uint64_t incarnation;
	struct jh_refusals *recorder[DAEMONS];
	uint64_t incarnations[DAEMONS];
	GHashTable *store; /* object name to value; all versions match */
	uint64_t refused;
	uint64_t writes;
	uint64_t max_writes; /* most writes in one second */
	uint64_t bytes;
};

static void
start(struct daemons *d, unsigned int i)
{
	struct jh_refusals_settings settings = {JH_REFUSALS_DEFAULTS};
	char name[16];

	snprintf(name, sizeof(name), "entry-%u", i);
	settings.instance = jh_str_from(name);
	settings.incarnation = ((uint64_t)g_rand_int(d->rand) << 16) + i + 1;
	d->incarnations[i] = settings.incarnation;
	d->recorder[i] = jh_refusals_create(&settings, d->now);
}

static void
write_due(struct daemons *d, unsigned int i, uint64_t *count)
{
	struct jh_refusals_write *w;

	if (jh_refusals_due(d->recorder[i]) > d->now)
		return;
	while ((w = jh_refusals_next(d->recorder[i], d->now)) != NULL) {
		(*count)++;
		d->bytes += w->value_len;
		g_hash_table_replace(d->store, g_strdup(w->object),
		    g_strndup(w->value, w->value_len));
		jh_refusals_result(
		    d->recorder[i], d->now, w->op, JH_STORE_OK, w->version + 1);
		jh_refusals_write_free(w);
	}
}

static void
record_peers(struct daemons *d, unsigned int i)
{
	unsigned int k, j;
	char name[16];

	for (k = 1; k <= PEERS; k++) {
		j = (i + k) % DAEMONS;
		snprintf(name, sizeof(name), "entry-%u", j);
		jh_refusals_peer_seen(d->recorder[i], d->now, jh_str_from(name),
		    d->incarnations[j]);
	}
}

static void
step_second(struct daemons *d, bool flood)
{
	uint64_t count = 0;
	char owner[16];
	unsigned int i;

	for (i = 0; i < DAEMONS; i++) {
		if (flood ||
		    g_rand_int_range(d->rand, 0, 100) < REFUSING_PERCENT) {
			snprintf(owner, sizeof(owner), "org-%d",
			    g_rand_int_range(d->rand, 0, 8));
			jh_refusals_count(d->recorder[i], d->now,
			    jh_str_from(owner), JH_STR("draft"));
			d->refused++;
		}
		if (d->now / JH_USEC_PER_SEC % 10 == 0)
			record_peers(d, i);
		write_due(d, i, &count);
	}
	d->writes += count;
	d->max_writes = MAX(d->max_writes, count);
}

static void
restart_one(struct daemons *d, bool graceful)
{
	unsigned int i = (unsigned int)g_rand_int_range(d->rand, 0, DAEMONS);
	uint64_t count = 0;

	if (graceful) {
		jh_refusals_close(d->recorder[i], d->now);
		write_due(d, i, &count);
		d->writes += count;
	}
	jh_refusals_destroy(d->recorder[i]);
	start(d, i);
}

static void
report_daemons(struct daemons *d, unsigned int crashes)
{
	uint64_t counted = 0, gap = 0, rows_n = 0, h;
	const struct jh_refusal_row *rows;
	const struct jh_refusal_gap *gaps;
	struct jh_refusal_report *report;
	char *name, *value;
	GHashTableIter it;
	size_t i, n;

	for (h = FIRST_HOUR; h <= FIRST_HOUR + RUN_HOURS; h++) {
		report = jh_refusal_report_create(h);
		g_hash_table_iter_init(&it, d->store);
		while (g_hash_table_iter_next(
		    &it, (gpointer *)&name, (gpointer *)&value))
			jh_refusal_report_add(
			    report, name, jh_str_from(value), NULL);
		jh_refusal_report_finish(report, d->now + 2 * HOUR_USEC);
		n = jh_refusal_report_rows(report, &rows);
		for (i = 0; i < n; i++)
			counted += rows[i].count;
		rows_n += n;
		n = jh_refusal_report_gaps(report, &gaps);
		for (i = 0; i < n; i++)
			gap += gaps[i].until - gaps[i].from;
		jh_refusal_report_destroy(report);
	}
	printf("refusals %d, counted %d, rows %d; unaccounted daemon-minutes "
	       "%d of %d, %.1f a crash (%u crashes)\n",
	    (int)d->refused, (int)counted, (int)rows_n, (int)gap,
	    DAEMONS * RUN_HOURS * 60, (double)gap / crashes, crashes);
}

/* Runs all daemons for some hours; in the second all refuse requests. */
static void
run_daemons(uint64_t seed)
{
	struct daemons d = {.rand = g_rand_new_with_seed((guint32)seed),
	    .now = FIRST_HOUR * HOUR_USEC};
	unsigned int i, t, crashes = 0, run = RUN_HOURS * 3600;
	uint64_t before, flood_writes = 0, flood_max_writes = 0;
	bool flood;

	d.store =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < DAEMONS; i++)
		start(&d, i);
	for (t = 0; t < run; t++) {
		d.now += JH_USEC_PER_SEC;
		flood = t >= 3600 && t < 7200;
		before = d.writes;
		d.max_writes = 0;
		step_second(&d, flood);
		if (flood) {
			flood_writes += d.writes - before;
			flood_max_writes = MAX(flood_max_writes, d.max_writes);
		}
		if (g_rand_int_range(d.rand, 0, 24 * 3600) < STOPS_PER_DAY)
			restart_one(&d, true);
		if (g_rand_int_range(d.rand, 0, 24 * 3600) < CRASHES_PER_DAY) {
			restart_one(&d, false);
			crashes++;
		}
	}
	for (i = 0; i < DAEMONS; i++)
		jh_refusals_close(d.recorder[i], d.now);
	before = 0;
	for (i = 0; i < DAEMONS; i++)
		write_due(&d, i, &before);
	printf(
	    "%d hours of %d daemons: %.2f writes/s on average, %.2f/s in the "
	    "flood hour (most in a second %d), mean %d bytes a write\n",
	    RUN_HOURS, DAEMONS, (double)d.writes / run,
	    (double)flood_writes / 3600, (int)flood_max_writes,
	    (int)(d.bytes / d.writes));
	report_daemons(&d, crashes);
	for (i = 0; i < DAEMONS; i++)
		jh_refusals_destroy(d.recorder[i]);
	g_hash_table_destroy(d.store);
	g_rand_free(d.rand);
}

int
refuse_bench_run(uint64_t seed)
{
	static const unsigned int pairs[] = {10, 100, 700, 1300, 2600, 5200};
	size_t i;

	printf("refuse: one object, each pair refused in each of 60 minutes\n"
	       "%8s %12s %14s %12s\n",
	    "pairs", "bytes", "% in overflow", "counted");
	for (i = 0; i < G_N_ELEMENTS(pairs); i++)
		measure_size(pairs[i]);
	run_daemons(seed);
	return 0;
}
