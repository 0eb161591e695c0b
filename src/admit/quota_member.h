#ifndef ADMIT_QUOTA_MEMBER_H
#define ADMIT_QUOTA_MEMBER_H

#include <jacinthhill/quota.h>

/* Grants to one holder that can be in force at once. */
#define JH_QUOTA_OUTSTANDING 8

struct jh_quota_outstanding {
	uint64_t seq;
	uint64_t sent;
	/* No later than the holder sent the report that this answers. */
	uint64_t asked;
	uint64_t amount[JH_QUOTA_KINDS];
};

/* What a granter knows of one holder. */
struct jh_quota_member {
	uint64_t id;
	/* No longer in the view; kept until its grants end. */
	bool gone;
	bool heard;
	uint64_t heard_at;
	uint64_t report;
	uint64_t demand[JH_QUOTA_KINDS];
	unsigned int members;
	/* Most that it may be running: reported, or allowed since. */
	uint64_t running;
	/* An allocation by another granter, until foreign_until. */
	uint64_t foreign[JH_QUOTA_KINDS];
	uint64_t foreign_until;
	struct jh_quota_outstanding out[JH_QUOTA_OUTSTANDING];
	/*
	 * Of the grant that the newest report acknowledges: when it was asked
	 * for at the earliest, and sent. 0 if there is none.
	 */
	uint64_t acked;
	uint64_t acked_sent;
	/* Most that it was granted since then. */
	uint64_t since_acked[JH_QUOTA_KINDS];
};

/* Takes a report; false if it is old or doubled. */
bool jh_quota_member_report(struct jh_quota_member *m, uint64_t now,
    uint64_t granter, const struct jh_quota_report *report);
/* Where to note a new grant, or NULL while too many are out. */
struct jh_quota_outstanding *jh_quota_member_slot(
    struct jh_quota_member *m, uint64_t now);
/* Notes a grant that answers the newest report. */
void jh_quota_member_granted(struct jh_quota_member *m, uint64_t now,
    struct jh_quota_outstanding *slot, uint64_t seq,
    const uint64_t amount[JH_QUOTA_KINDS]);
/* Whether grants of this granter are still out. */
bool jh_quota_member_outstanding(const struct jh_quota_member *m, uint64_t now);
/*
 * Most that the holder may use from now until a grant sent now ends. share is
 * its part of limit by the granter's count of members.
 */
uint64_t jh_quota_member_bound(const struct jh_quota_member *m, uint64_t now,
    enum jh_quota_kind kind, uint64_t limit, uint64_t share);

#endif
