#include <math.h>

#include "route/quota_state.h"

/* Announcements of the use of quotas, and those of peers. */

/* Part of the burst that all processes together may use unannounced. */
#define UNANNOUNCED_PART 0.5

/* Time between two announcements while there is use, but no level is low. */
#define CALM_ANNOUNCE_USEC (200 * JH_USEC_PER_MSEC)

/* A level below this part of its burst is low. */
#define LOW_PART 0.5

static bool
is_in_use(const struct quota *q, uint64_t now)
{
	return q->used_at != 0 && now - q->used_at <= JH_QUOTA_IDLE_USEC;
}

/*
 * Whether peers should be told of this quota: the more of it is left, the
 * later. A message has only such quotas, so that those that are told of often,
 * while their level is low, take few bytes.
 */
static bool
is_quota_due(
    const struct jh_quota_ledger *l, const struct quota *q, uint64_t now)
{
	unsigned int n = g_hash_table_size(l->peers) + 1;
	double most = UNANNOUNCED_PART / n * q->limit.burst;
	uint64_t passed = now - MIN(now, q->announced_at);

	if (!is_in_use(q, now))
		return false;
	if (passed >= quota_announce_usec(l))
		return true;
	if (passed < CALM_ANNOUNCE_USEC && q->level > q->limit.burst * LOW_PART)
		return false;
	return fabs(q->admitted - q->announced_admitted) > most ||
	       q->asked - q->announced_asked > most;
}

bool
jh_quota_ledger_is_due(struct jh_quota_ledger *l, uint64_t now)
{
	GHashTableIter it;
	gpointer q;

	if (g_hash_table_size(l->quotas) == 0)
		return false;
	quota_refresh(l, now);
	if (now - l->announced_at >= quota_announce_usec(l))
		return true;
	g_hash_table_iter_init(&it, l->quotas);
	while (g_hash_table_iter_next(&it, NULL, &q))
		if (is_quota_due(l, q, now))
			return true;
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
		if (i++ < *next || !is_quota_due(l, q, now))
			continue;
		out[n++] = (struct jh_quota_record){.quota = q->id,
		    .period = q->period,
		    .age = now - q->period_began,
		    .admitted = q->admitted,
		    .asked = q->asked};
		q->announced_at = now;
		q->announced_admitted = q->admitted;
		q->announced_asked = q->asked;
	}
	*next = i;
	return n;
}

static struct quota_use *
find_use(struct quota *q, const struct quota_peer *peer)
{
	guint i;

	for (i = 0; i < q->uses->len; i++) {
		struct quota_use *u =
		    &g_array_index(q->uses, struct quota_use, i);
		if (u->peer == peer)
			return u;
	}
	return NULL;
}

static struct quota_use *
add_use(struct quota *q, const struct quota_peer *peer)
{
	struct quota_use u = {.peer = peer};

	g_array_append_val(q->uses, u);
	return &g_array_index(q->uses, struct quota_use, q->uses->len - 1);
}

/* Starts the sums of another period, or of a peer that was silent. */
static void
begin_use(struct quota_use *u, uint64_t now, const struct jh_quota_record *r)
{
	bool seen = r->age <= now - u->peer->heard_since;
	double seconds = (double)MAX(r->age, JH_QUOTA_DEMAND_USEC) / 1e6;

	/* What a peer used while it was not heard came from its own part. */
	u->admitted = seen ? 0 : r->admitted;
	u->asked = seen ? 0 : r->asked;
	u->asked_rate = seen ? 0 : r->asked / seconds;
	u->at = now - MIN(now, MIN(r->age, JH_QUOTA_DEMAND_USEC));
	u->period = r->period;
}

void
jh_quota_ledger_merge(struct jh_quota_ledger *l, uint64_t now, uint64_t peer,
    const struct jh_quota_record *r)
{
	struct quota *q = g_hash_table_lookup(l->quotas, &r->quota);
	const struct quota_peer *p = g_hash_table_lookup(l->peers, &peer);
	struct quota_use *u;
	double seconds;

	if (q == NULL || p == NULL || p->heard_at == 0 ||
	    !isfinite(r->admitted) || !isfinite(r->asked))
		return;
	quota_advance(l, q, now);
	u = find_use(q, p);
	if (u == NULL || u->period != r->period || u->at < p->heard_since) {
		u = u != NULL ? u : add_use(q, p);
		begin_use(u, now, r);
	} else if (r->asked < u->asked) {
		/* Late or repeated: the sum of requests never falls. */
		return;
	}
	q->level -= r->admitted - u->admitted;
	u->weighed += r->asked - u->asked;
	if (now > u->at) {
		seconds = (double)(now - u->at) / 1e6;
		u->asked_rate -=
		    expm1(-seconds * 1e6 / JH_QUOTA_DEMAND_USEC) *
		    ((r->asked - u->asked) / seconds - u->asked_rate);
	}
	u->admitted = r->admitted;
	u->asked = r->asked;
	u->at = now;
}
