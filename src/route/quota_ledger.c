#include <math.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "route/quota_ledger.h"

/* Time constant of the moving averages of demand. */
#define DEMAND_USEC (500 * JH_USEC_PER_MSEC)

/*
 * A peer's use is extrapolated for this long after its last record: a little
 * more than the time between two announcements.
 */
#define EXTRAPOLATE_USEC (JH_QUOTA_ANNOUNCE_USEC * 5 / 4)

/*
 * Part of the burst that all processes together may use unannounced. The
 * platform's rule allows an overshoot of about one second of the rate.
 */
#define UNANNOUNCED_PART 0.5

/*
 * While the demand exceeds the rate, all processes together admit as much as
 * uses up the level, or repays the debt, in this time. It is several times the
 * delay of announcements; with less the level would oscillate.
 */
#define LEVEL_SECONDS 1.0

/* A share holds what it gets in this time. */
#define SHARE_SECONDS 0.1

/* Errors of the estimate do not refuse requests for longer than this. */
#define MAX_DEBT_SECONDS 10

/* Part of a quota's burst that its bucket holds, if a window is known. */
#define WINDOW_BURST_PART 0.5

struct peer {
	uint64_t id;
	uint64_t heard_at; /* 0: not yet */
	uint64_t heard_since; /* without a silence */
};

/* A peer's use of a quota. */
struct use {
	uint64_t peer;
	uint32_t period;
	uint64_t at; /* of its last record */
	double admitted, asked; /* in that record */
	double rate, asked_rate; /* a second */
	double extrapolated; /* subtracted since the last record */
};

struct quota {
	uint64_t id;
	struct jh_quota_rate limit;
	bool kept;
	double level;
	uint64_t level_at;
	GArray *uses; /* struct use */
	/* This process's own use. */
	uint32_t period;
	uint64_t period_began;
	uint64_t used_at; /* 0: never */
	double admitted, asked;
	double announced_admitted, announced_asked;
	double asked_rate; /* a second, at used_at */
	bool shared; /* the demand exceeds the rate */
	double share_level;
	uint64_t share_at;
};

struct jh_quota_ledger {
	uint64_t id;
	uint64_t announced_at;
	GHashTable *peers; /* by id */
	GHashTable *quotas; /* by id */
};

struct jh_quota_rate
jh_quota_bucket(const struct jh_quota_rate *quota, double window)
{
	struct jh_quota_rate bucket = *quota;

	if (window <= 0)
		return bucket;
	bucket.burst *= WINDOW_BURST_PART;
	bucket.per_second += (quota->burst - bucket.burst) / window;
	return bucket;
}

static void
free_quota(void *arg)
{
	struct quota *q = arg;

	g_array_free(q->uses, TRUE);
	g_free(q);
}

struct jh_quota_ledger *
jh_quota_ledger_create(uint64_t now)
{
	struct jh_quota_ledger *l = g_new0(struct jh_quota_ledger, 1);

	l->announced_at = now;
	l->peers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	l->quotas = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_quota);
	return l;
}

void
jh_quota_ledger_destroy(struct jh_quota_ledger *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->peers);
	g_hash_table_destroy(l->quotas);
	g_free(l);
}

void
jh_quota_ledger_set_self(struct jh_quota_ledger *l, uint64_t id)
{
	l->id = id;
}

void
jh_quota_ledger_add_peer(struct jh_quota_ledger *l, uint64_t id)
{
	struct peer *p;

	if (g_hash_table_contains(l->peers, &id))
		return;
	p = g_new0(struct peer, 1);
	p->id = id;
	g_hash_table_insert(l->peers, &p->id, p);
}

static void
drop_use(struct quota *q, uint64_t peer)
{
	guint i;

	for (i = 0; i < q->uses->len; i++) {
		if (g_array_index(q->uses, struct use, i).peer == peer) {
			g_array_remove_index_fast(q->uses, i);
			return;
		}
	}
}

void
jh_quota_ledger_remove_peer(struct jh_quota_ledger *l, uint64_t id)
{
	GHashTableIter it;
	gpointer q;

	g_hash_table_remove(l->peers, &id);
	g_hash_table_iter_init(&it, l->quotas);
	while (g_hash_table_iter_next(&it, NULL, &q))
		drop_use(q, id);
}

static bool
is_in_touch(const struct peer *p, uint64_t now)
{
	return p->heard_at != 0 && now < p->heard_at + JH_QUOTA_SILENT_USEC;
}

void
jh_quota_ledger_peer_heard(struct jh_quota_ledger *l, uint64_t now, uint64_t id)
{
	struct peer *p = g_hash_table_lookup(l->peers, &id);

	if (p == NULL)
		return;
	if (!is_in_touch(p, now))
		p->heard_since = now;
	p->heard_at = now;
}

/* The part of the processes that are in touch with this one, and itself. */
static double
part_in_touch(const struct jh_quota_ledger *l, uint64_t now)
{
	unsigned int n = 1;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += is_in_touch(p, now);
	return n / (double)(g_hash_table_size(l->peers) + 1);
}

/*
 * Subtracts what the peer is likely to have used since then. A peer in touch
 * that announces no more has not used what was extrapolated.
 */
static void
extrapolate(const struct jh_quota_ledger *l, struct quota *q, struct use *u,
    uint64_t now)
{
	uint64_t end = u->at + EXTRAPOLATE_USEC, until = MIN(now, end);
	const struct peer *p = g_hash_table_lookup(l->peers, &u->peer);
	double used;

	if (p == NULL || !is_in_touch(p, now))
		return;
	if (now >= end && p->heard_at >= end) {
		q->level += u->extrapolated;
		u->extrapolated = u->rate = u->asked_rate = 0;
		return;
	}
	if (until <= q->level_at)
		return;
	used = u->rate * (double)(until - q->level_at) / 1e6;
	u->extrapolated += used;
	q->level -= used;
}

/* Brings the level up to date; returns the part in touch. */
static double
advance(const struct jh_quota_ledger *l, struct quota *q, uint64_t now)
{
	double part = part_in_touch(l, now);
	guint i;

	if (now <= q->level_at)
		return part;
	for (i = 0; i < q->uses->len; i++)
		extrapolate(l, q, &g_array_index(q->uses, struct use, i), now);
	q->level +=
	    q->limit.per_second * part * (double)(now - q->level_at) / 1e6;
	q->level = CLAMP(q->level, -q->limit.per_second * MAX_DEBT_SECONDS,
	    q->limit.burst * part);
	q->level_at = now;
	return part;
}

void
jh_quota_ledger_begin_update(struct jh_quota_ledger *l)
{
	GHashTableIter it;
	gpointer q;

	g_hash_table_iter_init(&it, l->quotas);
	while (g_hash_table_iter_next(&it, NULL, &q))
		((struct quota *)q)->kept = false;
}

void
jh_quota_ledger_set(struct jh_quota_ledger *l, uint64_t now, uint64_t quota,
    const struct jh_quota_rate *rate)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &quota);

	if (q == NULL) {
		q = g_new0(struct quota, 1);
		q->id = quota;
		q->level_at = now;
		q->uses = g_array_new(FALSE, TRUE, sizeof(struct use));
		g_hash_table_insert(l->quotas, &q->id, q);
	} else {
		(void)advance(l, q, now);
	}
	q->kept = true;
	q->limit = *rate;
	q->level = MIN(q->level, rate->burst);
}

static gboolean
is_not_kept(gpointer key, gpointer value, gpointer arg)
{
	return !((struct quota *)value)->kept;
}

void
jh_quota_ledger_end_update(struct jh_quota_ledger *l)
{
	g_hash_table_foreach_remove(l->quotas, is_not_kept, NULL);
}

size_t
jh_quota_ledger_count(const struct jh_quota_ledger *l)
{
	return g_hash_table_size(l->quotas);
}

/* A moving average over a time without requests. */
static double
decayed(double rate, uint64_t usec)
{
	return rate * exp(-(double)usec / DEMAND_USEC);
}

static double
own_demand(const struct quota *q, uint64_t now)
{
	return q->used_at == 0 ? 0 : decayed(q->asked_rate, now - q->used_at);
}

static double
demand_of_all(
    const struct jh_quota_ledger *l, const struct quota *q, uint64_t now)
{
	double sum = own_demand(q, now);
	guint i;

	for (i = 0; i < q->uses->len; i++) {
		const struct use *u = &g_array_index(q->uses, struct use, i);
		const struct peer *p = g_hash_table_lookup(l->peers, &u->peer);
		if (p != NULL && is_in_touch(p, now))
			sum += u->asked_rate;
	}
	return sum;
}

static void
count_request(struct quota *q, uint64_t now, double cost)
{
	if (q->used_at == 0 || now - q->used_at > JH_QUOTA_SILENT_USEC) {
		q->period++;
		q->period_began = now;
		q->admitted = q->asked = 0;
		q->announced_admitted = q->announced_asked = 0;
		q->asked_rate = 0;
	} else {
		q->asked_rate = own_demand(q, now);
	}
	q->used_at = now;
	q->asked += cost;
	q->asked_rate += cost * 1e6 / DEMAND_USEC;
}

/* Where in its first interval this process's share begins, 0 to 1. */
static double
phase(const struct jh_quota_ledger *l, const struct quota *q)
{
	uint64_t both[2] = {l->id, q->id};

	return (double)(XXH3_64bits(both, sizeof(both)) >> 11) /
	       (double)(1ULL << 53);
}

/*
 * While the demand exceeds the rate, each process keeps to a share in
 * proportion to its demand. Otherwise all would admit a request when the level
 * rises above 0, before they learn of each other. Returns the share's rate;
 * negative: the demand does not exceed the rate.
 */
static double
update_share(const struct jh_quota_ledger *l, struct quota *q, uint64_t now,
    double part, double cost)
{
	double all = demand_of_all(l, q, now);
	double rate = q->limit.per_second * part;

	if (all <= rate) {
		q->shared = false;
		return -1;
	}
	rate =
	    MAX(rate + q->level / LEVEL_SECONDS, 0) * own_demand(q, now) / all;
	if (q->shared)
		q->share_level += rate * (double)(now - q->share_at) / 1e6;
	else
		q->share_level = -cost * phase(l, q);
	q->shared = true;
	q->share_level =
	    CLAMP(q->share_level, -cost, MAX(rate * SHARE_SECONDS, 1));
	q->share_at = now;
	return rate;
}

/*
 * Time until a request can be admitted. Processes get their shares at different
 * moments, so that those who come back do so one after the other.
 */
static uint64_t
wait_usec(const struct quota *q, double part, double share)
{
	double rate = q->limit.per_second * part;
	double wait = MAX(-q->level, 0) / rate;

	if (share > 0)
		wait = MAX(wait, -q->share_level / share);
	return 1 + (uint64_t)(MIN(wait, MAX_DEBT_SECONDS) * 1e6);
}

uint64_t
jh_quota_ledger_admit(
    struct jh_quota_ledger *l, uint64_t now, uint64_t quota, double cost)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &quota);
	double part, share;

	if (q == NULL)
		return 0;
	part = advance(l, q, now);
	count_request(q, now, cost);
	share = update_share(l, q, now, part, cost);
	if (share >= 0 ? q->share_level <= 0 : q->level <= 0)
		return wait_usec(q, part, share);
	q->level -= cost;
	q->admitted += cost;
	if (share >= 0)
		q->share_level -= cost;
	return 0;
}

void
jh_quota_ledger_refund(
    struct jh_quota_ledger *l, uint64_t now, uint64_t quota, double cost)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &quota);

	if (q == NULL)
		return;
	(void)advance(l, q, now);
	q->level += cost;
	q->admitted -= cost;
	if (q->shared)
		q->share_level += cost;
}

double
jh_quota_ledger_level(struct jh_quota_ledger *l, uint64_t now, uint64_t quota)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &quota);

	if (q == NULL)
		return 0;
	(void)advance(l, q, now);
	return q->level;
}

double
jh_quota_ledger_demand(
    const struct jh_quota_ledger *l, uint64_t now, uint64_t quota)
{
	const struct quota *q = g_hash_table_lookup(l->quotas, &quota);

	return q != NULL ? demand_of_all(l, q, now) : 0;
}

static bool
is_in_use(const struct quota *q, uint64_t now)
{
	return q->used_at != 0 && now - q->used_at <= JH_QUOTA_SILENT_USEC;
}

bool
jh_quota_ledger_is_due(struct jh_quota_ledger *l, uint64_t now)
{
	double part = UNANNOUNCED_PART / (g_hash_table_size(l->peers) + 1);
	GHashTableIter it;
	gpointer value;

	if (g_hash_table_size(l->quotas) == 0)
		return false;
	if (now - l->announced_at >= JH_QUOTA_ANNOUNCE_USEC)
		return true;
	g_hash_table_iter_init(&it, l->quotas);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct quota *q = value;
		double most = part * q->limit.burst;
		if (is_in_use(q, now) &&
		    (fabs(q->admitted - q->announced_admitted) > most ||
			q->asked - q->announced_asked > most))
			return true;
	}
	return false;
}

size_t
jh_quota_ledger_export(struct jh_quota_ledger *l, uint64_t now,
    struct jh_quota_record *out, size_t max, size_t *next)
{
	size_t total = g_hash_table_size(l->quotas), n = 0, i = 0;
	GHashTableIter it;
	gpointer value;

	l->announced_at = now;
	if (*next >= total)
		*next = 0;
	g_hash_table_iter_init(&it, l->quotas);
	while (n < max && g_hash_table_iter_next(&it, NULL, &value)) {
		struct quota *q = value;
		if (i++ < *next || !is_in_use(q, now))
			continue;
		out[n++] = (struct jh_quota_record){.quota = q->id,
		    .period = q->period,
		    .age = now - q->period_began,
		    .admitted = q->admitted,
		    .asked = q->asked};
		q->announced_admitted = q->admitted;
		q->announced_asked = q->asked;
	}
	*next = i;
	return n;
}

static struct use *
get_use(struct quota *q, uint64_t peer, bool *is_new)
{
	struct use u = {.peer = peer};
	guint i;

	*is_new = false;
	for (i = 0; i < q->uses->len; i++) {
		struct use *known = &g_array_index(q->uses, struct use, i);
		if (known->peer == peer)
			return known;
	}
	*is_new = true;
	g_array_append_val(q->uses, u);
	return &g_array_index(q->uses, struct use, q->uses->len - 1);
}

/* Starts the sums of another period, or of a peer that was silent. */
static void
begin_use(struct use *u, const struct peer *p, uint64_t now,
    const struct jh_quota_record *r)
{
	bool seen = r->age <= now - p->heard_since;
	double seconds = (double)MAX(r->age, DEMAND_USEC) / 1e6;

	/* What a peer used while it was not heard came from its own part. */
	u->admitted = seen ? 0 : r->admitted;
	u->asked = seen ? 0 : r->asked;
	u->rate = seen ? 0 : r->admitted / seconds;
	u->asked_rate = seen ? 0 : r->asked / seconds;
	u->at = now - MIN(now, MIN(r->age, DEMAND_USEC));
	u->period = r->period;
}

void
jh_quota_ledger_merge(struct jh_quota_ledger *l, uint64_t now, uint64_t peer,
    const struct jh_quota_record *r)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &r->quota);
	const struct peer *p = g_hash_table_lookup(l->peers, &peer);
	double seconds, weight;
	struct use *u;
	bool is_new;

	if (q == NULL || p == NULL || p->heard_at == 0 ||
	    !isfinite(r->admitted) || !isfinite(r->asked))
		return;
	(void)advance(l, q, now);
	u = get_use(q, peer, &is_new);
	if (is_new || u->period != r->period || u->at < p->heard_since)
		begin_use(u, p, now, r);
	/* Late or repeated: the sum of requests never falls. */
	else if (r->asked < u->asked)
		return;
	q->level -= r->admitted - u->admitted - u->extrapolated;
	u->extrapolated = 0;
	if (now > u->at) {
		seconds = (double)(now - u->at) / 1e6;
		weight = 1 - exp(-(double)(now - u->at) / DEMAND_USEC);
		u->rate +=
		    weight * ((r->admitted - u->admitted) / seconds - u->rate);
		u->rate = MAX(u->rate, 0);
		u->asked_rate +=
		    weight * ((r->asked - u->asked) / seconds - u->asked_rate);
	}
	u->admitted = r->admitted;
	u->asked = r->asked;
	u->at = now;
}
