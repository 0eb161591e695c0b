#ifndef JACINTHHILL_QUOTA_H
#define JACINTHHILL_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/str.h>

/*
 * Distributed rate and concurrency limits of one (organisation, class) in one
 * region. Every entry daemon has a holder, which admits requests within an
 * allocation; one of them also has the granter, which divides the region's
 * share among the holders. The caller transports reports to the granter and
 * grants back; both may be lost, delayed, duplicated or reordered.
 * docs/admission.md gives the bound on overshoot and its proof. Times are
 * microseconds.
 */

/* Interval between the reports of a holder. */
#define JH_QUOTA_REPORT_USEC JH_USEC_PER_SEC
/*
 * An allocation expires this long after the report that it responds to was
 * sent.
 */
#define JH_QUOTA_LIFETIME_USEC (2 * JH_USEC_PER_SEC)
/*
 * For this long after its allocation expired a holder uses no more than that
 * allocation. Two lifetimes: an acknowledgement arrives up to one lifetime
 * after the grant, and what it frees is granted to others for one more.
 */
#define JH_QUOTA_COOLDOWN_USEC (2 * JH_QUOTA_LIFETIME_USEC)

enum jh_quota_kind {
	/* Cost tokens per second. */
	JH_QUOTA_RATE,
	/* Concurrent requests. */
	JH_QUOTA_CONCURRENT,
	JH_QUOTA_KINDS,
};

/* The region's part of a limit, by kind. */
struct jh_quota_limit {
	uint64_t amount[JH_QUOTA_KINDS];
};

/* Message from a holder to the granter; both ids are incarnations. */
struct jh_quota_report {
	uint64_t holder;
	uint64_t granter;
	/* Sequence number among the reports of the holder. */
	uint64_t seq;
	/*
	 * Rate: mean cost of the requests per second, refused ones included.
	 * Concurrency: the largest number of running requests plus those
	 * refused for the concurrency limit, since the last report.
	 */
	uint64_t demand[JH_QUOTA_KINDS];
	/* Requests running now. */
	uint64_t running;
	/* Number of entry daemons in the region as known to the holder. */
	unsigned int members;
	/* The allocation in force; none if held_granter is 0. */
	uint64_t held_granter;
	uint64_t held_seq;
	uint64_t held_amount[JH_QUOTA_KINDS];
	uint64_t held_left_usec; /* time until it expires */
};

/* Message from the granter to a holder. */
struct jh_quota_grant {
	uint64_t holder;
	uint64_t granter;
	/* Sequence number of the report that it responds to. */
	uint64_t report;
	/* Sequence number among the grants of the granter. */
	uint64_t seq;
	uint64_t amount[JH_QUOTA_KINDS];
};

/* Result of admission. */
enum jh_quota_result {
	JH_QUOTA_OK,
	JH_QUOTA_RATE_EXCEEDED,
	JH_QUOTA_CONCURRENT_EXCEEDED,
};

/* A region's static share of a limit, in thousandths, rounded down. */
uint64_t jh_quota_share(uint64_t limit, unsigned int permille);

/*
 * Chooses the granter among the live entry daemons of the region by rendezvous
 * hashing. Ids are incarnations, never 0; returns 0 if n is 0.
 */
uint64_t jh_quota_choose_granter(
    struct jh_str org, struct jh_str class, const uint64_t *ids, size_t n);

/* Admits requests within the allocation of one entry daemon. */
struct jh_quota_holder;

struct jh_quota_holder *jh_quota_holder_create(
    uint64_t id, uint64_t now, const struct jh_quota_limit *limit);
void jh_quota_holder_destroy(struct jh_quota_holder *h);
void jh_quota_holder_set_limit(struct jh_quota_holder *h, uint64_t now,
    const struct jh_quota_limit *limit);
/* Sets the known granter (0: none) and number of entry daemons (at least 1). */
void jh_quota_holder_set_view(struct jh_quota_holder *h, uint64_t now,
    uint64_t granter, unsigned int members);

/*
 * Admits a request of this cost and counts it as running, or returns which
 * limit it would exceed. A request is admitted while the bucket is above 0,
 * whatever its cost; the bucket may go below 0 and must then refill first.
 */
enum jh_quota_result jh_quota_holder_admit(
    struct jh_quota_holder *h, uint64_t now, uint64_t cost);
/*
 * Ends a running request. more_cost is its cost beyond the admitted one; it may
 * be negative.
 */
void jh_quota_holder_finish(
    struct jh_quota_holder *h, uint64_t now, int64_t more_cost);
/* Amount that may be used at time now. */
uint64_t jh_quota_holder_allowed(
    const struct jh_quota_holder *h, uint64_t now, enum jh_quota_kind kind);

/* Writes the report to send now; returns false if no granter is known. */
bool jh_quota_holder_make_report(
    struct jh_quota_holder *h, uint64_t now, struct jh_quota_report *out);
/*
 * Applies a grant; returns false if it is late, out of order or responds to no
 * report of this holder.
 */
bool jh_quota_holder_apply_grant(struct jh_quota_holder *h, uint64_t now,
    const struct jh_quota_grant *grant);

/* Divides a limit among the holders of a region. */
struct jh_quota_granter;

/*
 * A new granter grants nothing until it knows the allocations in force, or
 * until all that it does not know have expired.
 */
struct jh_quota_granter *jh_quota_granter_create(
    uint64_t id, uint64_t now, const struct jh_quota_limit *limit);
void jh_quota_granter_destroy(struct jh_quota_granter *g);
void jh_quota_granter_set_limit(
    struct jh_quota_granter *g, const struct jh_quota_limit *limit);
/*
 * Sets the ids of the entry daemons in the region. nameless is the number of
 * those whose ids are not known yet.
 */
void jh_quota_granter_set_members(struct jh_quota_granter *g, uint64_t now,
    const uint64_t *ids, size_t n, unsigned int nameless);
/* Fills the grant for a report; returns false if it cannot grant yet. */
bool jh_quota_granter_handle_report(struct jh_quota_granter *g, uint64_t now,
    const struct jh_quota_report *report, struct jh_quota_grant *grant);

#endif
