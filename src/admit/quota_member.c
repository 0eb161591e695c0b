#include <glib.h>

#include "admit/quota_member.h"

static bool
in_force(const struct jh_quota_sent_grant *grant, uint64_t now)
{
	return grant->seq != 0 && now < grant->sent_at + JH_QUOTA_LIFETIME_USEC;
}

/* Largest amount of all grants from number seq on; 0 if none is known. */
static uint64_t
max_since(const struct jh_quota_member *m, uint64_t seq, int kind)
{
	uint64_t max = 0;
	int i;

	for (i = 0; i < JH_QUOTA_MAX_SENT_GRANTS; i++) {
		if (m->sent_grants[i].seq >= seq)
			max = MAX(max, m->sent_grants[i].amount[kind]);
	}
	return max;
}

static uint64_t
max_in_force(const struct jh_quota_member *m, uint64_t now, int kind)
{
	uint64_t max = 0;
	int i;

	for (i = 0; i < JH_QUOTA_MAX_SENT_GRANTS; i++) {
		if (in_force(&m->sent_grants[i], now))
			max = MAX(max, m->sent_grants[i].amount[kind]);
	}
	return max;
}

static const struct jh_quota_sent_grant *
find_grant(const struct jh_quota_member *m, uint64_t seq)
{
	int i;

	for (i = 0; i < JH_QUOTA_MAX_SENT_GRANTS; i++) {
		if (seq != 0 && m->sent_grants[i].seq == seq)
			return &m->sent_grants[i];
	}
	return NULL;
}

static void
record_held(struct jh_quota_member *m, uint64_t now, uint64_t granter,
    const struct jh_quota_report *report)
{
	const struct jh_quota_sent_grant *grant;
	int k;

	if (report->held_granter == granter) {
		grant = find_grant(m, report->held_seq);
		if (grant == NULL) {
			m->acked_report_sent_at = m->acked_grant_sent_at = 0;
			return;
		}
		m->acked_report_sent_at = grant->report_sent_at;
		m->acked_grant_sent_at = grant->sent_at;
		for (k = 0; k < JH_QUOTA_KINDS; k++)
			m->max_since_acked[k] = max_since(m, grant->seq, k);
		return;
	}
	m->acked_report_sent_at = m->acked_grant_sent_at = 0;
	if (report->held_granter == 0)
		return;
	m->other_grant_until = now + report->held_left_usec;
	for (k = 0; k < JH_QUOTA_KINDS; k++)
		m->other_grant[k] = report->held_amount[k];
}

bool
jh_quota_member_update(struct jh_quota_member *m, uint64_t now,
    uint64_t granter, const struct jh_quota_report *report)
{
	int k;

	if (report->seq <= m->last_report)
		return false;
	m->last_report = report->seq;
	m->reported = true;
	m->reported_at = now;
	m->members = report->members;
	for (k = 0; k < JH_QUOTA_KINDS; k++)
		m->demand[k] = report->demand[k];
	record_held(m, now, granter, report);
	m->max_running =
	    MAX(report->running, max_in_force(m, now, JH_QUOTA_CONCURRENT));
	return true;
}

struct jh_quota_sent_grant *
jh_quota_member_free_slot(struct jh_quota_member *m, uint64_t now)
{
	struct jh_quota_sent_grant *oldest = &m->sent_grants[0];
	int i;

	for (i = 1; i < JH_QUOTA_MAX_SENT_GRANTS; i++) {
		if (m->sent_grants[i].seq < oldest->seq)
			oldest = &m->sent_grants[i];
	}
	return in_force(oldest, now) ? NULL : oldest;
}

void
jh_quota_member_record_grant(struct jh_quota_member *m, uint64_t now,
    struct jh_quota_sent_grant *slot, uint64_t seq,
    const uint64_t amount[JH_QUOTA_KINDS])
{
	int k;

	/*
	 * The report was sent after the grant that it acknowledges. Nothing
	 * else is known of the time at which it was sent.
	 */
	*slot = (struct jh_quota_sent_grant){.seq = seq,
	    .sent_at = now,
	    .report_sent_at = m->acked_grant_sent_at};
	for (k = 0; k < JH_QUOTA_KINDS; k++) {
		slot->amount[k] = amount[k];
		m->max_since_acked[k] = MAX(m->max_since_acked[k], amount[k]);
	}
	m->max_running = MAX(m->max_running, amount[JH_QUOTA_CONCURRENT]);
}

bool
jh_quota_member_has_grants(const struct jh_quota_member *m, uint64_t now)
{
	int i;

	for (i = 0; i < JH_QUOTA_MAX_SENT_GRANTS; i++) {
		if (in_force(&m->sent_grants[i], now))
			return true;
	}
	return false;
}

uint64_t
jh_quota_member_bound(const struct jh_quota_member *m, uint64_t now,
    enum jh_quota_kind kind, uint64_t limit, uint64_t share)
{
	uint64_t bound = max_in_force(m, now, kind);

	if (m->removed)
		return bound;
	if (now < m->other_grant_until)
		bound = MAX(bound, m->other_grant[kind]);
	if (kind == JH_QUOTA_CONCURRENT)
		bound = MAX(bound, m->max_running);
	/*
	 * Without an allocation the holder uses an equal share by its own count
	 * of members.
	 */
	if (m->members != 0)
		share = MAX(share, limit / m->members);
	if (m->acked_report_sent_at != 0 &&
	    now <= m->acked_report_sent_at + JH_QUOTA_COOLDOWN_USEC)
		share = MIN(share, m->max_since_acked[kind]);
	return MAX(bound, share);
}
