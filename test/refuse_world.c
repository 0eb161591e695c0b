#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "refuse_world.h"

#define INSTANCES 4
#define MINUTES 70

struct object {
	uint64_t version;
	char *value;
};

/* A write that has left and whose answer or effect is still to come. */
struct sent {
	struct jh_refusals_write *w;
	int instance;
	uint64_t incarnation;
	bool answered; /* with "no answer"; it takes effect later */
};

struct world {
	GRand *rand;
	uint64_t now;
	bool ignores_versions; /* mutant: late writes overwrite newer ones */
	bool outage;
	GHashTable *store;
	GPtrArray *sent;
	struct jh_refusals *rec[INSTANCES];
	uint64_t incarnation[INSTANCES];
	uint64_t truth[MINUTES + 60]; /* refusals by minute since HOUR */
};

static void
free_object(gpointer p)
{
	struct object *o = p;

	g_free(o->value);
	g_free(o);
}

static enum jh_store_result
apply(struct world *w, const struct jh_refusals_write *a, uint64_t *version)
{
	struct object *o = g_hash_table_lookup(w->store, a->object);

	*version = o == NULL ? 0 : o->version;
	if (!w->ignores_versions && !a->create && o == NULL)
		return JH_STORE_NOT_FOUND;
	if (!w->ignores_versions && o != NULL &&
	    (a->create || a->version != o->version))
		return JH_STORE_CONFLICT;
	if (o == NULL) {
		o = g_new0(struct object, 1);
		g_hash_table_insert(w->store, g_strdup(a->object), o);
	}
	g_free(o->value);
	o->value = g_strdup(a->value);
	*version = ++o->version;
	return JH_STORE_OK;
}

static void
answer(struct world *w, const struct sent *s, enum jh_store_result result,
    uint64_t version)
{
	int i = s->instance;

	if (w->rec[i] != NULL && w->incarnation[i] == s->incarnation)
		jh_refusals_result(
		    w->rec[i], w->now, s->w->op, result, version);
}

/* Carries out one write; percent is the share of lost answers. */
static void
step_store(struct world *w, int percent)
{
	enum jh_store_result result;
	struct sent *s;
	uint64_t version;
	guint i;

	i = (guint)g_rand_int_range(w->rand, 0, (gint32)w->sent->len);
	s = w->sent->pdata[i];
	/* A late write may be overtaken by several newer ones. */
	if (s->answered && percent > 0 &&
	    g_rand_int_range(w->rand, 0, 100) < 98)
		return;
	if (!s->answered && w->outage) {
		answer(w, s, JH_STORE_UNAVAILABLE, 0);
	} else if (!s->answered &&
		   g_rand_int_range(w->rand, 0, 100) < percent) {
		s->answered = true;
		answer(w, s, JH_STORE_UNKNOWN, 0);
		if (g_rand_boolean(w->rand))
			return; /* stays under way */
		apply(w, s->w, &version);
	} else {
		result = apply(w, s->w, &version);
		if (!s->answered)
			answer(w, s, result, version);
	}
	jh_refusals_write_free(s->w);
	g_free(g_ptr_array_steal_index_fast(w->sent, i));
}

static void
start(struct world *w, int i)
{
	char name[4];
	struct jh_refusals_settings s = {
	    JH_REFUSALS_DEFAULTS, .incarnation = g_rand_int(w->rand)};

	snprintf(name, sizeof(name), "e-%d", i);
	s.instance = jh_str_from(name);
	w->incarnation[i] = s.incarnation;
	w->rec[i] = jh_refusals_create(&s, w->now);
}

static void
step_instance(struct world *w, int i, bool refuses)
{
	struct jh_refusals_write *a;
	struct sent *s;
	char name[4];
	int j;

	for (j = 0; j < INSTANCES; j++) {
		snprintf(name, sizeof(name), "e-%d", j);
		if (j != i && w->rec[j] != NULL)
			jh_refusals_seen(w->rec[i], w->now, jh_str_from(name),
			    w->incarnation[j]);
	}
	if (refuses) {
		jh_refusals_count(w->rec[i], w->now,
		    g_rand_boolean(w->rand) ? JH_STR("o1") : JH_STR("o2"),
		    JH_STR("chat"));
		w->truth[w->now / JH_USEC_PER_MINUTE - HOUR * JH_MINUTES]++;
	}
	while ((a = jh_refusals_next(w->rec[i], w->now)) != NULL) {
		s = g_new0(struct sent, 1);
		s->w = a;
		s->instance = i;
		s->incarnation = w->incarnation[i];
		g_ptr_array_add(w->sent, s);
	}
}

static void
kill_and_restart(struct world *w)
{
	int i = g_rand_int_range(w->rand, 0, INSTANCES);

	jh_refusals_destroy(w->rec[i]);
	start(w, i);
}

/* Compares the report of one hour with the truth. */
static const char *
verify_hour(struct world *w, uint64_t hour, bool whole)
{
	struct jh_refusal_report *r = jh_refusal_report_create(hour);
	const struct jh_refusal_row *rows;
	const struct jh_refusal_gap *gaps;
	uint64_t got[JH_MINUTES] = {0}, m, truth;
	bool gap[JH_MINUTES] = {false};
	char *prefix = jh_refusals_prefix(hour);
	const char *name, *fault = NULL;
	struct object *o;
	GHashTableIter it;
	size_t i, n;

	g_hash_table_iter_init(&it, w->store);
	while (g_hash_table_iter_next(&it, (gpointer *)&name, (gpointer *)&o)) {
		/* Each object twice: a listing may repeat itself. */
		for (i = 0; g_str_has_prefix(name, prefix) && i < 2; i++)
			assert_true(jh_refusal_report_add(
			    r, name, jh_str_from(o->value), NULL));
	}
	jh_refusal_report_finish(r, w->now);
	n = jh_refusal_report_rows(r, &rows);
	for (i = 0; i < n; i++)
		got[rows[i].minute - hour * JH_MINUTES] += rows[i].count;
	n = jh_refusal_report_gaps(r, &gaps);
	if (whole && n > 0)
		fault = "a gap without a death";
	for (i = 0; i < n; i++) {
		for (m = gaps[i].from; m < gaps[i].until; m++)
			gap[m - hour * JH_MINUTES] = true;
	}
	for (m = 0; m < JH_MINUTES; m++) {
		truth = w->truth[(hour - HOUR) * JH_MINUTES + m];
		if (got[m] > truth)
			fault = "a refusal was counted twice";
		else if (got[m] < truth && !gap[m])
			fault = "refusals are missing from an accounted minute";
	}
	jh_refusal_report_destroy(r);
	g_free(prefix);
	return fault;
}

static void
run_steps(struct world *w, bool deaths)
{
	uint64_t end = START + MINUTES * JH_USEC_PER_MINUTE;
	int i;

	while (w->now < end) {
		w->now += (uint64_t)g_rand_int_range(w->rand, 1, 12000000);
		for (i = 0; i < INSTANCES; i++)
			step_instance(
			    w, i, w->now < end && g_rand_boolean(w->rand));
		for (i = 0; i < INSTANCES && w->sent->len > 0; i++)
			step_store(w, 30);
		if (g_rand_int_range(w->rand, 0, 100) == 0)
			w->outage = !w->outage;
		if (deaths && g_rand_int_range(w->rand, 0, 100) == 0)
			kill_and_restart(w);
	}
}

const char *
refuse_world_run(guint32 seed, bool deaths, bool ignores_versions)
{
	struct world w = {.rand = g_rand_new_with_seed(seed),
	    .now = START,
	    .ignores_versions = ignores_versions};
	const char *fault;
	int i, n;

	w.store =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	w.sent = g_ptr_array_new();
	for (i = 0; i < INSTANCES; i++)
		start(&w, i);
	run_steps(&w, deaths);
	w.outage = false;
	for (i = 0; i < INSTANCES; i++)
		jh_refusals_close(w.rec[i], w.now);
	/* Answers come again; writes held back take effect at last. */
	for (n = 0; n < 200; n++) {
		for (i = 0; i < INSTANCES; i++)
			step_instance(&w, i, false);
		while (w.sent->len > 0)
			step_store(&w, 0);
		w.now += JH_USEC_PER_SEC;
	}
	for (i = 0; i < INSTANCES; i++)
		assert_true(jh_refusals_idle(w.rec[i]));
	w.now += 3 * JH_USEC_PER_HOUR;
	fault = verify_hour(&w, HOUR, !deaths);
	if (fault == NULL)
		fault = verify_hour(&w, HOUR + 1, !deaths);
	for (i = 0; i < INSTANCES; i++)
		jh_refusals_destroy(w.rec[i]);
	g_hash_table_destroy(w.store);
	g_ptr_array_free(w.sent, TRUE);
	g_rand_free(w.rand);
	return fault;
}
