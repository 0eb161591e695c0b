#ifndef ADMIT_QUOTA_MEMBER_H
#define ADMIT_QUOTA_MEMBER_H

#include <jacinthhill/quota.h>

/* Number of grants to one holder that can be in force at the same time. */
#define JH_QUOTA_OUTSTANDING 8

/* A grant that was sent to a holder. */
struct jh_quota_outstanding {
	uint64_t seq;
	uint64_t sent;
	/* Lower bound of the time at which the answered report was sent. */
	uint64_t asked;
	uint64_t amount[JH_QUOTA_KINDS];
};

/* State that a granter keeps about one holder. */
struct jh_quota_member {
	uint64_t id;
	/* No longer in the membership; kept until its grants expire. */
	bool gone;
	bool heard;
	uint64_t heard_at;
	uint64_t report;
	uint64_t demand[JH_QUOTA_KINDS];
	unsigned int members;
	/* Most requests it may be running: as reported, or allowed since. */
	uint64_t running;
	/* Its allocation by another granter, until other_grant_until. */
	uint64_t foreign[JH_QUOTA_KINDS];
	uint64_t foreign_until;
	struct jh_quota_outstanding out[JH_QUOTA_OUTSTANDING];
	/*
	 * The grant that the newest report acknowledges: earliest time at which
	 * the report that it answers was sent, and time at which the grant was
	 * sent. 0 if there is none.
	 */
	uint64_t acked;
	uint64_t acked_sent;
	/* Largest amount of that grant and of those sent since. */
	uint64_t since_acked[JH_QUOTA_KINDS];
};

/* Records a report; returns false if it is out of order or a duplicate. */
bool jh_quota_member_report(struct jh_quota_member *m, uint64_t now,
    uint64_t granter, const struct jh_quota_report *report);
/* Slot for a new grant, or NULL while too many grants are in force. */
struct jh_quota_outstanding *jh_quota_member_slot(
    struct jh_quota_member *m, uint64_t now);
/* Records in slot a grant that answers the newest report. */
void jh_quota_member_granted(struct jh_quota_member *m, uint64_t now,
    struct jh_quota_outstanding *slot, uint64_t seq,
    const uint64_t amount[JH_QUOTA_KINDS]);
/* Whether grants of this granter are still in force. */
bool jh_quota_member_outstanding(const struct jh_quota_member *m, uint64_t now);
/*
 * Most that the holder may use from now until a grant sent now expires. share
 * is its equal part of limit by the granter's count of members.
 */
uint64_t jh_quota_member_bound(const struct jh_quota_member *m, uint64_t now,
    enum jh_quota_kind kind, uint64_t limit, uint64_t share);

#endif
