#include <math.h>

#include <xxhash.h>

#include "route/quota_state.h"

/*
 * All processes together use up the level, or repay the debt, in this time. It
 * is longer than the delay of announcements; with less the level would
 * oscillate.
 */
#define LEVEL_SECONDS 0.25

/* What peers use is known after this time, with the delay of the network. */
#define UNSEEN_SECONDS 0.1

/* Refused requests come back within this time after the level is above 0. */
#define SPREAD_SECONDS 1.0

/* Errors of the estimate do not refuse requests for longer than this. */
#define MAX_DEBT_SECONDS 10

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

	l->created_at = now;
	l->in_touch = 1;
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
	g_hash_table_destroy(l->quotas);
	g_hash_table_destroy(l->peers);
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
	struct quota_peer *p;

	if (g_hash_table_contains(l->peers, &id))
		return;
	p = g_new0(struct quota_peer, 1);
	p->id = id;
	g_hash_table_insert(l->peers, &p->id, p);
	l->changed = true;
}

/* The demand's moving average after a time without requests. */
static double
decayed(double rate, uint64_t at, uint64_t now)
{
	return rate * exp(-(double)(now - MIN(now, at)) / JH_QUOTA_DEMAND_USEC);
}

static void
drop_use(struct quota *q, uint64_t peer, uint64_t now)
{
	guint i;

	for (i = 0; i < q->uses->len; i++) {
		struct quota_use *u =
		    &g_array_index(q->uses, struct quota_use, i);
		if (u->peer->id != peer)
			continue;
		q->moved_rate = decayed(q->moved_rate, q->moved_at, now) +
				decayed(u->asked_rate, u->at, now);
		q->moved_at = now;
		g_array_remove_index_fast(q->uses, i);
		return;
	}
}

void
jh_quota_ledger_remove_peer(
    struct jh_quota_ledger *l, uint64_t now, uint64_t id)
{
	GHashTableIter it;
	gpointer q;

	g_hash_table_iter_init(&it, l->quotas);
	while (g_hash_table_iter_next(&it, NULL, &q))
		drop_use(q, id, now);
	g_hash_table_remove(l->peers, &id);
	l->changed = true;
}

void
quota_advance(struct jh_quota_ledger *l, struct quota *q, uint64_t now)
{
	double per_second, seconds = (double)(now - q->level_at) / 1e6;

	if (now <= q->level_at)
		return;
	quota_update_part(l, q, now);
	per_second = q->limit.per_second * q->part;
	q->level = CLAMP(q->level + per_second * seconds,
	    -q->limit.per_second * MAX_DEBT_SECONDS, q->limit.burst * q->part);
	q->level_at = now;
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

/* A number from 0 to below 1 that differs between processes and requests. */
static double
spread(const struct jh_quota_ledger *l, const struct quota *q)
{
	uint64_t of[3] = {l->id, q->id, q->refusals};

	return (double)(XXH3_64bits(of, sizeof(of)) >> 11) /
	       (double)(1ULL << 53);
}

void
jh_quota_ledger_set(struct jh_quota_ledger *l, uint64_t now, uint64_t quota,
    const struct jh_quota_rate *rate)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &quota);

	if (q == NULL) {
		q = g_new0(struct quota, 1);
		q->id = quota;
		q->part = 1;
		q->level_at = q->sampled_at = now;
		q->small_turn = q->large_turn = spread(l, q);
		q->uses = g_array_new(FALSE, TRUE, sizeof(struct quota_use));
		g_hash_table_insert(l->quotas, &q->id, q);
	} else {
		quota_advance(l, q, now);
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

static double
own_demand(const struct quota *q, uint64_t now)
{
	return decayed(q->asked_rate, q->used_at, now);
}

static double
demand_of_all(const struct quota *q, uint64_t now)
{
	double sum =
	    own_demand(q, now) + decayed(q->moved_rate, q->moved_at, now);
	guint i;

	for (i = 0; i < q->uses->len; i++) {
		const struct quota_use *u =
		    &g_array_index(q->uses, struct quota_use, i);
		/* Of a peer that is not heard, no lower demand is known. */
		if (u->peer->in_touch)
			sum += decayed(
			    u->asked_rate, u->at, MIN(now, u->peer->heard_at));
	}
	return sum;
}

static void
count_request(struct quota *q, uint64_t now, double cost)
{
	if (q->used_at == 0 || now - q->used_at > JH_QUOTA_IDLE_USEC) {
		q->period++;
		q->period_began = now;
		q->admitted = q->asked = 0;
		q->announced_admitted = q->announced_asked = 0;
		q->asked_rate = 0;
	}
	q->asked_rate = own_demand(q, now) + cost * 1e6 / JH_QUOTA_DEMAND_USEC;
	q->used_at = now;
	q->asked += cost;
	q->weighed += cost;
}

/*
 * The part of the requests to admit; 1 or more: all. All are admitted while the
 * level exceeds what the peers may have used since they were heard, and by
 * least_level. Otherwise all processes together admit the rate and what brings
 * the level to 0.
 */
static double
part_to_admit(
    const struct quota *q, uint64_t now, double demand, double least_level)
{
	double unseen = (demand - own_demand(q, now)) * UNSEEN_SECONDS;

	if (q->level > unseen + least_level)
		return 1;
	return MAX(q->limit.per_second * q->part + q->level / LEVEL_SECONDS,
		   0) /
	       demand;
}

/*
 * Admits that part of the requests, whatever their cost: with many processes,
 * the share of the rate of each would be less than one large request in
 * seconds, during which it would be idle.
 */
static bool
takes_turn(double *turn, double part)
{
	if (part >= 1)
		return true;
	*turn += part;
	if (*turn < 1)
		return false;
	*turn -= 1;
	return true;
}

/*
 * Time until the level is above 0. Refused requests are spread over the time
 * after it in which the excess demand of the last moment can be admitted, so
 * that they do not return all at once.
 */
static uint64_t
wait_usec(const struct jh_quota_ledger *l, struct quota *q, double demand)
{
	double rate = q->limit.per_second * q->part;
	double excess = MAX(demand / rate - 1, 0) * JH_QUOTA_DEMAND_USEC / 1e6;
	double wait = MAX(-q->level, 0) / rate;

	q->refusals++;
	wait += MIN(excess, SPREAD_SECONDS) * spread(l, q);
	return 1 + (uint64_t)(MIN(wait, MAX_DEBT_SECONDS) * 1e6);
}

uint64_t
jh_quota_ledger_admit(struct jh_quota_ledger *l, uint64_t now, uint64_t quota,
    const struct jh_quota_request *r)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &quota);
	double demand, part;
	bool large;

	if (q == NULL)
		return 0;
	quota_advance(l, q, now);
	count_request(q, now, r->cost);
	large = quota_count_kind(q, now, r);
	demand = demand_of_all(q, now);
	part = quota_kind_part(
	    q, large, part_to_admit(q, now, demand, large ? r->kind_cost : 0));
	if (!takes_turn(large ? &q->large_turn : &q->small_turn, part))
		return wait_usec(l, q, demand);
	q->level -= r->cost;
	q->admitted += r->cost;
	return 0;
}

void
jh_quota_ledger_refund(
    struct jh_quota_ledger *l, uint64_t now, uint64_t quota, double cost)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &quota);

	if (q == NULL)
		return;
	quota_advance(l, q, now);
	q->level += cost;
	q->admitted -= cost;
}

double
jh_quota_ledger_level(struct jh_quota_ledger *l, uint64_t now, uint64_t quota)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &quota);

	if (q == NULL)
		return 0;
	quota_advance(l, q, now);
	return q->level;
}

double
jh_quota_ledger_demand(
    const struct jh_quota_ledger *l, uint64_t now, uint64_t quota)
{
	const struct quota *q = g_hash_table_lookup(l->quotas, &quota);

	return q != NULL ? demand_of_all(q, now) : 0;
}
