#ifndef ADMIT_QUOTA_MEMBER_H
#define ADMIT_QUOTA_MEMBER_H

#include <jacinthhill/quota.h>

/* Number of grants to one holder that can be in force at the same time. */
#define JH_QUOTA_MAX_SENT_GRANTS 8

/* A grant that was sent to a holder. Times are microseconds. */
struct jh_quota_sent_grant {
	uint64_t seq; /* 0: slot not used */
	uint64_t sent_at;
	/*
	 * Lower bound of the time at which the report that it responds to was
	 * sent; 0: not known.
	 */
	uint64_t report_sent_at;
	uint64_t amount[JH_QUOTA_KINDS];
};

/* State that a granter keeps about one holder. */
struct jh_quota_member {
	uint64_t id;
	/* No longer in the membership; kept until its grants expire. */
	bool removed;
	/*
	 * Whether it has reported since the granter started or paused, and when
	 * it last did.
	 */
	bool reported;
	uint64_t reported_at;
	/* From the newest report: its number, demand and count of members. */
	uint64_t last_report;
	uint64_t demand[JH_QUOTA_KINDS];
	unsigned int members;
	/* Largest number of requests that it may be running: as reported, or
	 * allowed since. */
	uint64_t max_running;
	/* Its allocation by another granter, until other_grant_until. */
	uint64_t other_grant[JH_QUOTA_KINDS];
	uint64_t other_grant_until;
	struct jh_quota_sent_grant sent_grants[JH_QUOTA_MAX_SENT_GRANTS];
	/*
	 * The grant that the newest report acknowledges: lower bound of
	 * the time at which the report that it responds to was sent, and time
	 * at which the grant was sent. 0 if there is none.
	 */
	uint64_t acked_report_sent_at;
	uint64_t acked_grant_sent_at;
	/* Since when the others leave too little for it; 0: they do not. */
	uint64_t starved_since;
	/* Largest amount of that grant and of those sent since. */
	uint64_t max_since_acked[JH_QUOTA_KINDS];
};

/* Records a report; returns false if it is out of order or a duplicate. */
bool jh_quota_member_update(struct jh_quota_member *m, uint64_t now,
    uint64_t granter, const struct jh_quota_report *report);
/* Slot for a new grant, or NULL while too many grants are in force. */
struct jh_quota_sent_grant *jh_quota_member_free_slot(
    struct jh_quota_member *m, uint64_t now);
/* Records in slot a grant that responds to the newest report. */
void jh_quota_member_record_grant(struct jh_quota_member *m, uint64_t now,
    struct jh_quota_sent_grant *slot, uint64_t seq,
    const uint64_t amount[JH_QUOTA_KINDS]);
/* Whether grants of this granter are still in force. */
bool jh_quota_member_has_grants(const struct jh_quota_member *m, uint64_t now);
/*
 * Largest amount that the holder may use from now until a grant sent now
 * expires. share is its equal part of limit by the granter's count of members.
 */
uint64_t jh_quota_member_bound(const struct jh_quota_member *m, uint64_t now,
    enum jh_quota_kind kind, uint64_t limit, uint64_t share);

#endif
