#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "refuse_simulation.h"

#define INSTANCES 4
#define MINUTES 70

struct object {
	uint64_t version;
	char *value;
};

/* A write in progress: its result is pending, or it takes effect later. */
struct pending_write {
	struct jh_refusals_write *write;
	int instance;
	uint64_t incarnation;
	bool result_lost; /* reported as JH_STORE_UNKNOWN; takes effect later */
};

struct simulation {
	GRand *rand;
	uint64_t now;
	bool ignores_versions; /* mutant: late writes replace newer ones */
	bool outage;
	GHashTable *store;
	GPtrArray *pending_writes;
	struct jh_refusals *recorders[INSTANCES];
	uint64_t incarnation[INSTANCES];
	uint64_t refused[MINUTES + 60]; /* refused, by minute since HOUR */
};

static void
free_object(gpointer p)
{
	struct object *o = p;

	g_free(o->value);
	g_free(o);
}

static enum jh_store_result
apply_write(struct simulation *sim, const struct jh_refusals_write *a,
    uint64_t *version)
{
	struct object *o = g_hash_table_lookup(sim->store, a->object);

	*version = o == NULL ? 0 : o->version;
	if (!sim->ignores_versions && !a->create && o == NULL)
		return JH_STORE_NOT_FOUND;
	if (!sim->ignores_versions && o != NULL &&
	    (a->create || a->version != o->version))
		return JH_STORE_CONFLICT;
	if (o == NULL) {
		o = g_new0(struct object, 1);
		g_hash_table_insert(sim->store, g_strdup(a->object), o);
	}
	g_free(o->value);
	o->value = g_strdup(a->value);
	*version = ++o->version;
	return JH_STORE_OK;
}

static void
deliver_result(struct simulation *sim, const struct pending_write *s,
    enum jh_store_result result, uint64_t version)
{
	int i = s->instance;

	if (sim->recorders[i] != NULL && sim->incarnation[i] == s->incarnation)
		jh_refusals_result(
		    sim->recorders[i], sim->now, s->write->op, result, version);
}

/* Carries out one write; its result is lost with this percentage. */
static void
step_store(struct simulation *sim, int percent)
{
	enum jh_store_result result;
	struct pending_write *s;
	uint64_t version;
	guint i;

	i = (guint)g_rand_int_range(
	    sim->rand, 0, (gint32)sim->pending_writes->len);
	s = sim->pending_writes->pdata[i];
	/* Several newer writes may take effect before a late one. */
	if (s->result_lost && percent > 0 &&
	    g_rand_int_range(sim->rand, 0, 100) < 98)
		return;
	if (!s->result_lost && sim->outage) {
		deliver_result(sim, s, JH_STORE_UNAVAILABLE, 0);
	} else if (!s->result_lost &&
		   g_rand_int_range(sim->rand, 0, 100) < percent) {
		s->result_lost = true;
		deliver_result(sim, s, JH_STORE_UNKNOWN, 0);
		if (g_rand_boolean(sim->rand))
			return; /* takes effect later */
		apply_write(sim, s->write, &version);
	} else {
		result = apply_write(sim, s->write, &version);
		if (!s->result_lost)
			deliver_result(sim, s, result, version);
	}
	jh_refusals_write_free(s->write);
	g_free(g_ptr_array_steal_index_fast(sim->pending_writes, i));
}

static void
start_recorder(struct simulation *sim, int i)
{
	char name[4];
	struct jh_refusals_settings s = {
	    JH_REFUSALS_DEFAULTS, .incarnation = g_rand_int(sim->rand)};

	snprintf(name, sizeof(name), "e-%d", i);
	s.instance = jh_str_from(name);
	sim->incarnation[i] = s.incarnation;
	sim->recorders[i] = jh_refusals_create(&s, sim->now);
}

static void
step_instance(struct simulation *sim, int i, bool refuses)
{
	struct jh_refusals_write *a;
	struct pending_write *s;
	char name[4];
	int j;

	for (j = 0; j < INSTANCES; j++) {
		snprintf(name, sizeof(name), "e-%d", j);
		if (j != i && sim->recorders[j] != NULL)
			jh_refusals_peer_seen(sim->recorders[i], sim->now,
			    jh_str_from(name), sim->incarnation[j]);
	}
	if (refuses) {
		jh_refusals_count(sim->recorders[i], sim->now,
		    g_rand_boolean(sim->rand) ? JH_STR("o1") : JH_STR("o2"),
		    JH_STR("chat"));
		sim->refused[sim->now / JH_USEC_PER_MINUTE -
			     HOUR * JH_MINUTES_PER_HOUR]++;
	}
	while ((a = jh_refusals_next(sim->recorders[i], sim->now)) != NULL) {
		s = g_new0(struct pending_write, 1);
		s->write = a;
		s->instance = i;
		s->incarnation = sim->incarnation[i];
		g_ptr_array_add(sim->pending_writes, s);
	}
}

static void
crash_and_restart(struct simulation *sim)
{
	int i = g_rand_int_range(sim->rand, 0, INSTANCES);

	jh_refusals_destroy(sim->recorders[i]);
	start_recorder(sim, i);
}

/* Compares the report on one hour with the requests that were refused. */
static const char *
verify_hour(struct simulation *sim, uint64_t hour, bool expect_no_gaps)
{
	struct jh_refusal_report *r = jh_refusal_report_create(hour);
	const struct jh_refusal_row *rows;
	const struct jh_refusal_gap *gaps;
	uint64_t got[JH_MINUTES_PER_HOUR] = {0}, m, refused;
	bool gap[JH_MINUTES_PER_HOUR] = {false};
	char *prefix = jh_refusals_prefix(hour);
	const char *name, *difference = NULL;
	struct object *o;
	GHashTableIter it;
	size_t i, n;

	g_hash_table_iter_init(&it, sim->store);
	while (g_hash_table_iter_next(&it, (gpointer *)&name, (gpointer *)&o)) {
		/* Adds each object twice: a listing may repeat objects. */
		for (i = 0; g_str_has_prefix(name, prefix) && i < 2; i++)
			assert_true(jh_refusal_report_add(
			    r, name, jh_str_from(o->value), NULL));
	}
	jh_refusal_report_finish(r, sim->now);
	n = jh_refusal_report_rows(r, &rows);
	for (i = 0; i < n; i++)
		got[rows[i].minute - hour * JH_MINUTES_PER_HOUR] +=
		    rows[i].count;
	n = jh_refusal_report_gaps(r, &gaps);
	if (expect_no_gaps && n > 0)
		difference = "a gap though no process crashed";
	for (i = 0; i < n; i++) {
		for (m = gaps[i].from; m < gaps[i].until; m++)
			gap[m - hour * JH_MINUTES_PER_HOUR] = true;
	}
	for (m = 0; m < JH_MINUTES_PER_HOUR; m++) {
		refused = sim->refused[(hour - HOUR) * JH_MINUTES_PER_HOUR + m];
		if (got[m] > refused)
			difference = "a refusal was counted twice";
		else if (got[m] < refused && !gap[m])
			difference =
			    "refusals are missing from a minute without a gap";
	}
	jh_refusal_report_destroy(r);
	g_free(prefix);
	return difference;
}

static void
run_steps(struct simulation *sim, bool crashes)
{
	uint64_t end = START + MINUTES * JH_USEC_PER_MINUTE;
	int i;

	while (sim->now < end) {
		sim->now += (uint64_t)g_rand_int_range(sim->rand, 1, 12000000);
		for (i = 0; i < INSTANCES; i++)
			step_instance(sim, i,
			    sim->now < end && g_rand_boolean(sim->rand));
		for (i = 0; i < INSTANCES && sim->pending_writes->len > 0; i++)
			step_store(sim, 30);
		if (g_rand_int_range(sim->rand, 0, 100) == 0)
			sim->outage = !sim->outage;
		if (crashes && g_rand_int_range(sim->rand, 0, 100) == 0)
			crash_and_restart(sim);
	}
}

const char *
refuse_simulation_run(guint32 seed, bool crashes, bool ignores_versions)
{
	struct simulation sim = {.rand = g_rand_new_with_seed(seed),
	    .now = START,
	    .ignores_versions = ignores_versions};
	const char *difference;
	int i, n;

	sim.store =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	sim.pending_writes = g_ptr_array_new();
	for (i = 0; i < INSTANCES; i++)
		start_recorder(&sim, i);
	run_steps(&sim, crashes);
	sim.outage = false;
	for (i = 0; i < INSTANCES; i++)
		jh_refusals_close(sim.recorders[i], sim.now);
	/* No more results are lost, and delayed writes take effect. */
	for (n = 0; n < 200; n++) {
		for (i = 0; i < INSTANCES; i++)
			step_instance(&sim, i, false);
		while (sim.pending_writes->len > 0)
			step_store(&sim, 0);
		sim.now += JH_USEC_PER_SEC;
	}
	for (i = 0; i < INSTANCES; i++)
		assert_true(jh_refusals_idle(sim.recorders[i]));
	sim.now += 3 * JH_USEC_PER_HOUR;
	difference = verify_hour(&sim, HOUR, !crashes);
	if (difference == NULL)
		difference = verify_hour(&sim, HOUR + 1, !crashes);
	for (i = 0; i < INSTANCES; i++)
		jh_refusals_destroy(sim.recorders[i]);
	g_hash_table_destroy(sim.store);
	g_ptr_array_free(sim.pending_writes, TRUE);
	g_rand_free(sim.rand);
	return difference;
}
