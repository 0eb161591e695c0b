#include <glib.h>

#include "admit/quota_member.h"

static bool
in_force(const struct jh_quota_outstanding *o, uint64_t now)
{
	return o->seq != 0 && now < o->sent + JH_QUOTA_LIFETIME_USEC;
}

/* Largest amount of all grants from number seq on; 0 if none is known. */
static uint64_t
max_since(const struct jh_quota_member *m, uint64_t seq, int kind)
{
	uint64_t max = 0;
	int i;

	for (i = 0; i < JH_QUOTA_OUTSTANDING; i++) {
		if (m->out[i].seq >= seq)
			max = MAX(max, m->out[i].amount[kind]);
	}
	return max;
}

static uint64_t
max_in_force(const struct jh_quota_member *m, uint64_t now, int kind)
{
	uint64_t max = 0;
	int i;

	for (i = 0; i < JH_QUOTA_OUTSTANDING; i++) {
		if (in_force(&m->out[i], now))
			max = MAX(max, m->out[i].amount[kind]);
	}
	return max;
}

static const struct jh_quota_outstanding *
find_grant(const struct jh_quota_member *m, uint64_t seq)
{
	int i;

	for (i = 0; i < JH_QUOTA_OUTSTANDING; i++) {
		if (seq != 0 && m->out[i].seq == seq)
			return &m->out[i];
	}
	return NULL;
}

static void
record_held(struct jh_quota_member *m, uint64_t now, uint64_t granter,
    const struct jh_quota_report *report)
{
	const struct jh_quota_outstanding *o;
	int k;

	if (report->held_granter == granter) {
		o = find_grant(m, report->held_seq);
		if (o == NULL) {
			m->acked = m->acked_sent = 0;
			return;
		}
		m->acked = o->asked;
		m->acked_sent = o->sent;
		for (k = 0; k < JH_QUOTA_KINDS; k++)
			m->since_acked[k] = max_since(m, o->seq, k);
		return;
	}
	m->acked = m->acked_sent = 0;
	if (report->held_granter == 0)
		return;
	m->foreign_until = now + report->held_left_usec;
	for (k = 0; k < JH_QUOTA_KINDS; k++)
		m->foreign[k] = report->held[k];
}

bool
jh_quota_member_report(struct jh_quota_member *m, uint64_t now,
    uint64_t granter, const struct jh_quota_report *report)
{
	int k;

	if (report->seq <= m->report)
		return false;
	m->report = report->seq;
	m->heard = true;
	m->heard_at = now;
	m->members = report->members;
	for (k = 0; k < JH_QUOTA_KINDS; k++)
		m->demand[k] = report->demand[k];
	record_held(m, now, granter, report);
	m->running =
	    MAX(report->running, max_in_force(m, now, JH_QUOTA_CONCURRENT));
	return true;
}

struct jh_quota_outstanding *
jh_quota_member_slot(struct jh_quota_member *m, uint64_t now)
{
	struct jh_quota_outstanding *oldest = &m->out[0];
	int i;

	for (i = 1; i < JH_QUOTA_OUTSTANDING; i++) {
		if (m->out[i].seq < oldest->seq)
			oldest = &m->out[i];
	}
	return in_force(oldest, now) ? NULL : oldest;
}

void
jh_quota_member_granted(struct jh_quota_member *m, uint64_t now,
    struct jh_quota_outstanding *slot, uint64_t seq,
    const uint64_t amount[JH_QUOTA_KINDS])
{
	int k;

	/*
	 * The report acknowledges a grant, so it was sent after that grant; its
	 * age is not known otherwise.
	 */
	*slot = (struct jh_quota_outstanding){
	    .seq = seq, .sent = now, .asked = m->acked_sent};
	for (k = 0; k < JH_QUOTA_KINDS; k++) {
		slot->amount[k] = amount[k];
		m->since_acked[k] = MAX(m->since_acked[k], amount[k]);
	}
	m->running = MAX(m->running, amount[JH_QUOTA_CONCURRENT]);
}

bool
jh_quota_member_outstanding(const struct jh_quota_member *m, uint64_t now)
{
	int i;

	for (i = 0; i < JH_QUOTA_OUTSTANDING; i++) {
		if (in_force(&m->out[i], now))
			return true;
	}
	return false;
}

uint64_t
jh_quota_member_bound(const struct jh_quota_member *m, uint64_t now,
    enum jh_quota_kind kind, uint64_t limit, uint64_t share)
{
	uint64_t bound = max_in_force(m, now, kind);

	if (m->gone)
		return bound;
	if (now < m->foreign_until)
		bound = MAX(bound, m->foreign[kind]);
	if (kind == JH_QUOTA_CONCURRENT)
		bound = MAX(bound, m->running);
	/*
	 * Without a grant it uses an equal share by its own count of members.
	 */
	if (m->members != 0)
		share = MAX(share, limit / m->members);
	if (m->acked != 0 && now <= m->acked + JH_QUOTA_QUIET_USEC)
		share = MIN(share, m->since_acked[kind]);
	return MAX(bound, share);
}
