#include <string.h>

#include "refuse/hour.h"

#define INCARNATION_LEN 16

/* One object of the hour. */
struct source {
	char *instance;
	uint64_t incarnation;
	struct jh_refusal_hour *record; /* NULL if unreadable */
};

/* Refusals of one owner and class by minute, summed over all objects. */
struct sum {
	const char *owner;
	const char *class;
	uint64_t count[JH_MINUTES_PER_HOUR];
};

struct jh_refusal_report {
	uint64_t hour;
	char *prefix;
	GHashTable *sources; /* object name to struct source */
	GArray *rows; /* of struct jh_refusal_row */
	GArray *gaps; /* of struct jh_refusal_gap */
	bool peers_omitted;
};

static void
free_source(gpointer p)
{
	struct source *s = p;

	g_free(s->instance);
	jh_refusal_hour_free(s->record);
	g_free(s);
}

struct jh_refusal_report *
jh_refusal_report_create(uint64_t hour)
{
	struct jh_refusal_report *r = g_new0(struct jh_refusal_report, 1);

	r->hour = hour;
	r->prefix = jh_refusals_prefix(hour);
	r->sources =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_source);
	r->rows = g_array_new(FALSE, FALSE, sizeof(struct jh_refusal_row));
	r->gaps = g_array_new(FALSE, FALSE, sizeof(struct jh_refusal_gap));
	return r;
}

void
jh_refusal_report_destroy(struct jh_refusal_report *r)
{
	if (r == NULL)
		return;
	g_hash_table_destroy(r->sources);
	g_array_free(r->rows, TRUE);
	g_array_free(r->gaps, TRUE);
	g_free(r->prefix);
	g_free(r);
}

static struct source *
parse_name(const struct jh_refusal_report *r, const char *object)
{
	const char *name, *dash;
	struct source *s;
	guint64 incarnation;

	if (!g_str_has_prefix(object, r->prefix))
		return NULL;
	name = object + strlen(r->prefix);
	dash = strrchr(name, '-');
	if (dash == NULL || dash == name || strlen(dash) != INCARNATION_LEN + 1)
		return NULL;
	if (!g_ascii_string_to_unsigned(
		dash + 1, 16, 0, G_MAXUINT64, &incarnation, NULL))
		return NULL;
	s = g_new0(struct source, 1);
	s->instance = g_strndup(name, (gsize)(dash - name));
	s->incarnation = incarnation;
	return s;
}

static struct jh_refusal_hour *
decode_own(const struct jh_refusal_report *r, const struct source *s,
    struct jh_str value, GError **err)
{
	struct jh_refusal_hour *h = jh_refusal_hour_decode(value, err);

	if (h == NULL)
		return NULL;
	if (h->hour == r->hour && h->incarnation == s->incarnation &&
	    strcmp(h->instance, s->instance) == 0)
		return h;
	jh_refusal_hour_free(h);
	g_set_error(err, JH_REFUSALS_ERROR, JH_REFUSALS_ERROR_INVALID,
	    "refusal record belongs to another hour or process");
	return NULL;
}

bool
jh_refusal_report_add(struct jh_refusal_report *r, const char *object,
    struct jh_str value, GError **err)
{
	struct source *s = parse_name(r, object), *old;
	bool ok;

	if (s == NULL) {
		g_set_error(err, JH_REFUSALS_ERROR, JH_REFUSALS_ERROR_NAME,
		    "\"%s\" is not a refusal record of this hour", object);
		return false;
	}
	s->record = decode_own(r, s, value, err);
	ok = s->record != NULL;
	old = g_hash_table_lookup(r->sources, object);
	if (old != NULL && old->record != NULL &&
	    (!ok || old->record->write_number >= s->record->write_number))
		free_source(s);
	else
		g_hash_table_insert(r->sources, g_strdup(object), s);
	return ok;
}

static void
add_sum(GHashTable *sums, const char *name, const char *owner,
    const char *class, unsigned int minute, uint64_t count)
{
	struct sum *s = g_hash_table_lookup(sums, name);

	if (s == NULL) {
		s = g_new0(struct sum, 1);
		s->owner = owner;
		s->class = class;
		g_hash_table_insert(sums, g_strdup(name), s);
	}
	s->count[minute] += count;
}

static void
add_counts(GHashTable *sums, const struct jh_refusal_hour *h)
{
	struct jh_refusal_pair *p;
	struct jh_refusal_minute *c;
	GHashTableIter it;
	const char *name;
	unsigned int m;
	guint i;

	g_hash_table_iter_init(&it, h->by_name);
	while (g_hash_table_iter_next(&it, (gpointer *)&name, (gpointer *)&p)) {
		for (i = 0; i < p->minutes->len; i++) {
			c = &g_array_index(
			    p->minutes, struct jh_refusal_minute, i);
			add_sum(sums, name, p->owner, p->class, c->minute,
			    c->count);
		}
	}
	for (m = 0; m < JH_MINUTES_PER_HOUR; m++) {
		if (h->overflow[m] > 0)
			add_sum(sums, "", NULL, NULL, m, h->overflow[m]);
	}
}

static int
compare_rows(gconstpointer a, gconstpointer b)
{
	const struct jh_refusal_row *x = a, *y = b;
	int d = g_strcmp0(x->owner, y->owner);

	if (d == 0)
		d = g_strcmp0(x->class, y->class);
	if (d == 0)
		d = (x->minute > y->minute) - (x->minute < y->minute);
	return d;
}

static void
sum_rows(struct jh_refusal_report *r)
{
	GHashTable *sums;
	GHashTableIter it;
	struct jh_refusal_row row;
	struct source *s;
	struct sum *sum;
	unsigned int m;

	sums = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_iter_init(&it, r->sources);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&s)) {
		if (s->record != NULL)
			add_counts(sums, s->record);
	}
	g_hash_table_iter_init(&it, sums);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&sum)) {
		for (m = 0; m < JH_MINUTES_PER_HOUR; m++) {
			if (sum->count[m] == 0)
				continue;
			row = (struct jh_refusal_row){sum->owner, sum->class,
			    r->hour * JH_MINUTES_PER_HOUR + m, sum->count[m]};
			g_array_append_val(r->rows, row);
		}
	}
	g_hash_table_destroy(sums);
	g_array_sort(r->rows, compare_rows);
}

static void
add_gap(struct jh_refusal_report *r, uint64_t now, const char *instance,
    uint64_t incarnation, unsigned int from,
    enum jh_refusal_gap_reason gap_reason)
{
	struct jh_refusal_gap g = {.instance = instance,
	    .incarnation = incarnation,
	    .from = r->hour * JH_MINUTES_PER_HOUR + from,
	    .reason = gap_reason};

	g.until =
	    MIN((r->hour + 1) * JH_MINUTES_PER_HOUR, now / JH_USEC_PER_MINUTE);
	if (g.from < g.until)
		g_array_append_val(r->gaps, g);
}

static void
add_source_gap(
    struct jh_refusal_report *r, uint64_t now, const struct source *s)
{
	if (s->record == NULL)
		add_gap(r, now, s->instance, s->incarnation, 0,
		    JH_REFUSAL_GAP_UNREADABLE);
	else if (!s->record->closed)
		add_gap(r, now, s->instance, s->incarnation,
		    s->record->covered_until, JH_REFUSAL_GAP_NOT_CLOSED);
}

/* Collects peers that have no object, each as first seen by any process. */
static void
add_missing_peers(struct jh_refusal_report *r, GHashTable *missing,
    const struct jh_refusal_hour *h)
{
	struct jh_refusal_peer *p, *other;
	char *name;
	guint i;

	r->peers_omitted |= h->peers_omitted > 0;
	for (i = 0; i < h->peers->len; i++) {
		p = h->peers->pdata[i];
		name = g_strdup_printf("%s%s-%016" G_GINT64_MODIFIER "x",
		    r->prefix, p->instance, p->incarnation);
		other = g_hash_table_lookup(missing, name);
		if (g_hash_table_contains(r->sources, name) ||
		    (other != NULL && other->from <= p->from))
			g_free(name);
		else
			g_hash_table_insert(missing, name, p);
	}
}

static int
compare_gaps(gconstpointer a, gconstpointer b)
{
	const struct jh_refusal_gap *x = a, *y = b;
	int d = strcmp(x->instance, y->instance);

	if (d != 0)
		return d;
	return (x->incarnation > y->incarnation) -
	       (x->incarnation < y->incarnation);
}

static void
find_gaps(struct jh_refusal_report *r, uint64_t now)
{
	struct jh_refusal_peer *p;
	GHashTable *missing;
	GHashTableIter it;
	struct source *s;

	missing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_iter_init(&it, r->sources);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&s)) {
		add_source_gap(r, now, s);
		if (s->record != NULL)
			add_missing_peers(r, missing, s->record);
	}
	g_hash_table_iter_init(&it, missing);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p))
		add_gap(r, now, p->instance, p->incarnation, p->from,
		    JH_REFUSAL_GAP_NO_OBJECT);
	g_hash_table_destroy(missing);
	g_array_sort(r->gaps, compare_gaps);
}

void
jh_refusal_report_finish(struct jh_refusal_report *r, uint64_t now)
{
	g_array_set_size(r->rows, 0);
	g_array_set_size(r->gaps, 0);
	r->peers_omitted = false;
	sum_rows(r);
	find_gaps(r, now);
}

size_t
jh_refusal_report_rows(
    const struct jh_refusal_report *r, const struct jh_refusal_row **rows)
{
	*rows = (const struct jh_refusal_row *)r->rows->data;
	return r->rows->len;
}

size_t
jh_refusal_report_gaps(
    const struct jh_refusal_report *r, const struct jh_refusal_gap **gaps)
{
	*gaps = (const struct jh_refusal_gap *)r->gaps->data;
	return r->gaps->len;
}

bool
jh_refusal_report_peers_omitted(const struct jh_refusal_report *r)
{
	return r->peers_omitted;
}
