#include <glib.h>

#include "admit/quota_member.h"

/*
 * A division by demand is reused for this long: computing it for each report
 * took 15 us of a core with 60 members. It decides only what is fair; what is
 * safe to grant is computed for each report.
 */
#define DIVISION_LIFETIME_USEC (100 * JH_USEC_PER_MSEC)

/* Max-min fair division: each member gets min(demand, level) + extra. */
struct fair_division {
	uint64_t at; /* time when it was computed, microseconds; 0: never */
	uint64_t level;
	uint64_t extra;
};

struct jh_quota_granter {
	uint64_t id;
	struct jh_quota_limit limit;
	GHashTable *members; /* struct jh_quota_member by id */
	/*
	 * Number of entry daemons in the region whose ids are not known yet.
	 * Each may use its equal share.
	 */
	unsigned int nameless;
	/* Number of members that are not removed, and of nameless ones. */
	unsigned int member_count;
	/*
	 * For one allocation lifetime from here on, allocations that this
	 * granter does not know of may be in force.
	 */
	uint64_t unknown_since;
	uint64_t last_call;
	uint64_t seq;
	struct fair_division divisions[JH_QUOTA_KINDS];
};

struct jh_quota_granter *
jh_quota_granter_create(
    uint64_t id, uint64_t now, const struct jh_quota_limit *limit)
{
	struct jh_quota_granter *g = g_new0(struct jh_quota_granter, 1);

	g->id = id;
	g->limit = *limit;
	g->members =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g->unknown_since = g->last_call = now;
	return g;
}

void
jh_quota_granter_destroy(struct jh_quota_granter *g)
{
	if (g == NULL)
		return;
	g_hash_table_destroy(g->members);
	g_free(g);
}

void
jh_quota_granter_set_limit(
    struct jh_quota_granter *g, const struct jh_quota_limit *limit)
{
	g->limit = *limit;
}

/*
 * A granter without any call for an allocation lifetime may have been replaced
 * in the meantime: it starts over, as after a restart.
 */
static void
restart_after_pause(struct jh_quota_granter *g, uint64_t now)
{
	struct jh_quota_member *m;
	GHashTableIter it;
	void *value;

	if (now - g->last_call >= JH_QUOTA_LIFETIME_USEC) {
		g->unknown_since = now;
		g_hash_table_iter_init(&it, g->members);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			m = value;
			m->reported = false;
		}
	}
	g->last_call = now;
}

static struct jh_quota_member *
find_or_add(struct jh_quota_granter *g, uint64_t id)
{
	struct jh_quota_member *m = g_hash_table_lookup(g->members, &id);

	if (m == NULL) {
		m = g_new0(struct jh_quota_member, 1);
		m->id = id;
		m->removed = true;
		g_hash_table_insert(g->members, &m->id, m);
	}
	return m;
}

void
jh_quota_granter_set_members(struct jh_quota_granter *g, uint64_t now,
    const uint64_t *ids, size_t n, unsigned int nameless)
{
	GHashTableIter it;
	void *value;
	size_t i;

	g->nameless = nameless;
	g_hash_table_iter_init(&it, g->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct jh_quota_member *)value)->removed = true;
	for (i = 0; i < n; i++)
		find_or_add(g, ids[i])->removed = false;
	g->member_count = nameless;
	g_hash_table_iter_init(&it, g->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (!((struct jh_quota_member *)value)->removed)
			g->member_count++;
		else if (!jh_quota_member_has_grants(value, now))
			g_hash_table_iter_remove(&it);
	}
}

/* Whether an allocation that this granter does not know of may be in force. */
static bool
unknown_allocation_possible(struct jh_quota_granter *g, uint64_t now)
{
	struct jh_quota_member *m;
	GHashTableIter it;
	void *value;

	if (now >= g->unknown_since + JH_QUOTA_LIFETIME_USEC)
		return false;
	if (g->nameless > 0)
		return true;
	g_hash_table_iter_init(&it, g->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		m = value;
		if (!m->removed && !m->reported)
			return true;
	}
	return false;
}

/* Demands of the members that report, and what the others may use. */
struct demands {
	uint64_t silent; /* amount that members without reports may use */
	uint64_t sum; /* of the demands */
	unsigned int n; /* number of members that report */
};

static bool
is_reporting(const struct jh_quota_member *m, uint64_t now)
{
	return !m->removed && m->reported &&
	       now < m->reported_at + JH_QUOTA_LIFETIME_USEC;
}

static uint64_t
equal_share(const struct jh_quota_granter *g, enum jh_quota_kind kind)
{
	return g->limit.amount[kind] / MAX(g->member_count, 1);
}

static uint64_t
bound_of(const struct jh_quota_granter *g, const struct jh_quota_member *m,
    uint64_t now, enum jh_quota_kind kind)
{
	return jh_quota_member_bound(
	    m, now, kind, g->limit.amount[kind], equal_share(g, kind));
}

static struct demands
sum_demands(struct jh_quota_granter *g, uint64_t now, enum jh_quota_kind kind)
{
	struct demands d = {.silent = g->nameless * equal_share(g, kind)};
	struct jh_quota_member *m;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, g->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		m = value;
		if (is_reporting(m, now)) {
			d.sum += m->demand[kind];
			d.n++;
		} else {
			d.silent += bound_of(g, m, now, kind);
		}
	}
	return d;
}

/*
 * Largest level such that the demands of the n reporting members, each capped
 * at the level, add up to no more than room.
 */
static uint64_t
max_min_level(struct jh_quota_granter *g, uint64_t now, enum jh_quota_kind kind,
    uint64_t room, unsigned int n)
{
	struct jh_quota_member *m;
	GHashTableIter it;
	void *value;
	uint64_t level = 0, next, below;
	unsigned int above = n;

	for (next = room / n; next > level; next = (room - below) / above) {
		level = next;
		below = 0;
		above = 0;
		g_hash_table_iter_init(&it, g->members);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			m = value;
			if (!is_reporting(m, now))
				continue;
			if (m->demand[kind] <= level)
				below += m->demand[kind];
			else
				above++;
		}
		if (above == 0)
			break;
	}
	return level;
}

static struct fair_division
divide(struct jh_quota_granter *g, uint64_t now, enum jh_quota_kind kind)
{
	struct demands d = sum_demands(g, now, kind);
	struct fair_division division = {.at = now};
	uint64_t limit = g->limit.amount[kind], room;

	if (d.silent >= limit || d.n == 0)
		return division;
	room = limit - d.silent;
	if (d.sum <= room) {
		division.level = UINT64_MAX;
		division.extra = (room - d.sum) / d.n;
	} else {
		division.level = max_min_level(g, now, kind, room, d.n);
	}
	return division;
}

/*
 * Max-min fair amount of the limit for a member; what no member demands is
 * shared equally.
 */
static uint64_t
fair_amount(struct jh_quota_granter *g, const struct jh_quota_member *m,
    uint64_t now, enum jh_quota_kind kind)
{
	struct fair_division *division = &g->divisions[kind];

	if (division->at == 0 || now >= division->at + DIVISION_LIFETIME_USEC)
		*division = divide(g, now, kind);
	return MIN(m->demand[kind], division->level) + division->extra;
}

/* Amount that no other holder can use until a grant sent now expires. */
static uint64_t
available(struct jh_quota_granter *g, const struct jh_quota_member *m,
    uint64_t now, enum jh_quota_kind kind)
{
	uint64_t used = g->nameless * equal_share(g, kind);
	uint64_t limit = g->limit.amount[kind];
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, g->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (value != m)
			used += bound_of(g, value, now, kind);
	}
	return used < limit ? limit - used : 0;
}

/*
 * Whether the other holders leave less than what the holder may use without
 * this grant, up to its equal share: some were granted it for fewer members.
 */
static bool
is_starved(struct jh_quota_granter *g, const struct jh_quota_member *m,
    uint64_t now, const struct jh_quota_report *report)
{
	uint64_t kept;
	int k;

	for (k = 0; k < JH_QUOTA_KINDS; k++) {
		kept = equal_share(g, k);
		if (report->held_granter != 0)
			kept = MIN(kept, report->held_amount[k]);
		if (available(g, m, now, k) < kept)
			return true;
	}
	return false;
}

/*
 * Whether to send no grant now. The holder then keeps what it has, as if the
 * grant were lost. The grants that starve it end within a lifetime.
 */
static bool
withhold_grant(struct jh_quota_granter *g, struct jh_quota_member *m,
    uint64_t now, const struct jh_quota_report *report)
{
	if (!is_starved(g, m, now, report)) {
		m->starved_since = 0;
		return false;
	}
	if (m->starved_since == 0)
		m->starved_since = now;
	return now < m->starved_since + JH_QUOTA_LIFETIME_USEC;
}

bool
jh_quota_granter_handle_report(struct jh_quota_granter *g, uint64_t now,
    const struct jh_quota_report *report, struct jh_quota_grant *grant)
{
	struct jh_quota_sent_grant *slot;
	struct jh_quota_member *m;
	int k;

	restart_after_pause(g, now);
	m = g_hash_table_lookup(g->members, &report->holder);
	if (report->granter != g->id || m == NULL || m->removed ||
	    !jh_quota_member_update(m, now, g->id, report))
		return false;
	slot = jh_quota_member_free_slot(m, now);
	if (unknown_allocation_possible(g, now) || slot == NULL ||
	    withhold_grant(g, m, now, report))
		return false;
	*grant = (struct jh_quota_grant){.holder = report->holder,
	    .granter = g->id,
	    .report = report->seq,
	    .seq = ++g->seq};
	for (k = 0; k < JH_QUOTA_KINDS; k++)
		grant->amount[k] =
		    MIN(fair_amount(g, m, now, k), available(g, m, now, k));
	jh_quota_member_record_grant(m, now, slot, grant->seq, grant->amount);
	return true;
}
