#include <math.h>
#include <string.h>

#include <glib.h>

#include "soak/quota_checker.h"

/* Earlier entries cannot be in a window with one that is still to come. */
#define KEPT_USEC (2 * SOAK_QUOTA_WINDOW_USEC)

struct entry {
	uint64_t at;
	uint64_t stalled;
	double cost;
};

struct limit {
	struct soak_quota quota;
	uint64_t since;
	uint64_t settled; /* all routers have it since then; 0: not yet */
};

struct org {
	GArray *limits; /* struct limit, in the order set */
	GArray *ran, *asked; /* struct entry, by time */
};

struct soak_quota_checker {
	unsigned int routers;
	uint64_t apply;
	uint64_t changed; /* last, any quota */
	bool *had; /* by router: it has the last change */
	GHashTable *orgs; /* struct org by name */
};

static void
free_org(void *p)
{
	struct org *o = p;

	g_array_free(o->limits, TRUE);
	g_array_free(o->ran, TRUE);
	g_array_free(o->asked, TRUE);
	g_free(o);
}

struct soak_quota_checker *
soak_quota_checker_create(unsigned int routers, uint64_t apply)
{
	struct soak_quota_checker *qc = g_new0(struct soak_quota_checker, 1);

	qc->routers = routers;
	qc->apply = apply;
	qc->had = g_new0(bool, routers);
	qc->orgs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_org);
	return qc;
}

void
soak_quota_checker_destroy(struct soak_quota_checker *qc)
{
	g_hash_table_destroy(qc->orgs);
	g_free(qc->had);
	g_free(qc);
}

static struct org *
find(const struct soak_quota_checker *qc, const char *org)
{
	return g_hash_table_lookup(qc->orgs, org);
}

bool
soak_quota_checker_has(const struct soak_quota_checker *qc, const char *org)
{
	return find(qc, org) != NULL;
}

void
soak_quota_checker_set(
    struct soak_quota_checker *qc, uint64_t now, const struct soak_quota *q)
{
	struct org *o = find(qc, q->org);
	struct limit l = {.quota = *q, .since = now};

	if (o == NULL) {
		o = g_new0(struct org, 1);
		o->limits = g_array_new(FALSE, FALSE, sizeof(struct limit));
		o->ran = g_array_new(FALSE, FALSE, sizeof(struct entry));
		o->asked = g_array_new(FALSE, FALSE, sizeof(struct entry));
		g_hash_table_insert(qc->orgs, (char *)q->org, o);
	}
	g_array_append_val(o->limits, l);
	qc->changed = now;
	memset(qc->had, 0, qc->routers * sizeof(*qc->had));
}

/* A router that has the last change has all before it. */
static void
settle(struct soak_quota_checker *qc, uint64_t now)
{
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, qc->orgs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		GArray *limits = ((struct org *)value)->limits;
		for (i = 0; i < limits->len; i++) {
			struct limit *l =
			    &g_array_index(limits, struct limit, i);
			if (l->settled == 0)
				l->settled = now;
		}
	}
}

void
soak_quota_checker_in_touch(
    struct soak_quota_checker *qc, uint64_t now, unsigned int router)
{
	unsigned int i;

	if (now < qc->changed + qc->apply || qc->had[router])
		return;
	qc->had[router] = true;
	for (i = 0; i < qc->routers; i++)
		if (!qc->had[i])
			return;
	settle(qc, now);
}

/* Inserts an entry by time, drops those too old, and returns its index. */
static guint
insert(GArray *entries, struct entry e)
{
	guint n = 0, i;

	while (n < entries->len &&
	       g_array_index(entries, struct entry, n).at + KEPT_USEC < e.at)
		n++;
	g_array_remove_range(entries, 0, n);
	i = entries->len;
	while (i > 0 && g_array_index(entries, struct entry, i - 1).at > e.at)
		i--;
	g_array_insert_val(entries, i, e);
	return i;
}

void
soak_quota_checker_asked(
    struct soak_quota_checker *qc, uint64_t now, const char *org, double cost)
{
	struct org *o = find(qc, org);

	if (o != NULL)
		insert(o->asked, (struct entry){.at = now, .cost = cost});
}

/* The highest limit that may be in force in the window. */
static double
allowed_in(const struct org *o, uint64_t from, uint64_t to, uint64_t stalled)
{
	double window = (double)(SOAK_QUOTA_WINDOW_USEC + stalled) /
			(double)JH_USEC_PER_SEC;
	double highest = 0, allowed;
	guint i;

	for (i = 0; i < o->limits->len; i++) {
		const struct limit *l =
		    &g_array_index(o->limits, struct limit, i);
		if (l->since > to)
			break;
		allowed = (l->quota.per_second * window + l->quota.burst) *
			      SOAK_QUOTA_FACTOR +
			  l->quota.mean_cost * SOAK_QUOTA_SLACK_REQUESTS;
		/* Earlier limits no longer hold. */
		if (l->settled != 0 &&
		    from >= l->settled + SOAK_QUOTA_WINDOW_USEC)
			highest = 0;
		highest = MAX(highest, allowed);
	}
	return highest;
}

double
soak_quota_checker_ran(struct soak_quota_checker *qc, uint64_t at,
    const char *org, double cost, uint64_t stalled, double *allowed)
{
	struct org *o = find(qc, org);
	const struct entry *first, *last;
	guint i, j = 0;
	double sum = 0;

	if (o == NULL)
		return 0;
	/* Each window that ends with this entry or a later one. */
	insert(
	    o->ran, (struct entry){.at = at, .stalled = stalled, .cost = cost});
	for (i = 0; i < o->ran->len; i++) {
		last = &g_array_index(o->ran, struct entry, i);
		sum += last->cost;
		first = &g_array_index(o->ran, struct entry, j);
		while (first->at + SOAK_QUOTA_WINDOW_USEC <= last->at) {
			sum -= first->cost;
			first = &g_array_index(o->ran, struct entry, ++j);
		}
		if (last->at < at)
			continue;
		*allowed = allowed_in(o, first->at, last->at,
		    last->stalled - MIN(last->stalled, first->stalled));
		if (sum > *allowed)
			return sum;
	}
	return 0;
}

/* The lowest burst of those that may be in force. */
static double
lowest_burst(const struct org *o)
{
	double lowest = INFINITY;
	guint i = o->limits->len;

	while (i-- > 0) {
		const struct limit *l =
		    &g_array_index(o->limits, struct limit, i);
		lowest = MIN(lowest, l->quota.burst);
		if (l->settled != 0)
			break;
	}
	return lowest;
}

bool
soak_quota_checker_refused(const struct soak_quota_checker *qc, uint64_t now,
    const char *org, bool calm)
{
	const struct org *o = find(qc, org);
	double sum = 0;
	guint i;

	if (o == NULL)
		return true;
	for (i = 0; i < o->asked->len; i++) {
		const struct entry *e =
		    &g_array_index(o->asked, struct entry, i);
		if (e->at + SOAK_QUOTA_WINDOW_USEC > now)
			sum += e->cost;
	}
	return sum < lowest_burst(o) * SOAK_QUOTA_SURE_PART /
			 (calm ? 1 : qc->routers);
}
