#ifndef JACINTHHILL_QUOTA_H
#define JACINTHHILL_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/str.h>

/*
 * Distributed limits of one (organisation, class) in one region. Every entry
 * daemon has a holder, which admits requests; one of them also has the
 * granter, which divides the region's share. The embedder carries reports to
 * the granter and grants back; both may be lost, late, doubled or reordered.
 * docs/admission.md gives the bound on overshoot and its proof.
 */

/* Holders report this often. */
#define JH_QUOTA_REPORT_USEC JH_USEC_PER_SEC
/* An allocation ends so long after the report that it answers was sent. */
#define JH_QUOTA_LIFETIME_USEC (2 * JH_USEC_PER_SEC)
/*
 * For so long after its allocation ended a holder takes no more than it had
 * been given. Two lifetimes: an acknowledgement arrives up to one lifetime
 * after the grant, and what it frees is lent for one more.
 */
#define JH_QUOTA_QUIET_USEC (2 * JH_QUOTA_LIFETIME_USEC)

enum jh_quota_kind {
	/* Cost tokens per second. */
	JH_QUOTA_RATE,
	/* Requests at once. */
	JH_QUOTA_CONCURRENT,
	JH_QUOTA_KINDS,
};

/* The region's part of a limit. */
struct jh_quota_limit {
	uint64_t amount[JH_QUOTA_KINDS];
};

/* From holder to granter. */
struct jh_quota_report {
	uint64_t holder;
	uint64_t granter;
	/* Numbers the reports of a holder. */
	uint64_t seq;
	uint64_t demand[JH_QUOTA_KINDS];
	/* Requests that run now. */
	uint64_t running;
	/* Entry daemons in the region as the holder knows them. */
	unsigned int members;
	/* The allocation in force, if held_granter is not 0. */
	uint64_t held_granter;
	uint64_t held_seq;
	uint64_t held[JH_QUOTA_KINDS];
	uint64_t held_left_usec;
};

/* From granter to holder. */
struct jh_quota_grant {
	uint64_t holder;
	uint64_t granter;
	/* The report that it answers. */
	uint64_t report;
	/* Numbers the grants of a granter. */
	uint64_t seq;
	uint64_t amount[JH_QUOTA_KINDS];
};

enum jh_quota_verdict {
	JH_QUOTA_OK,
	JH_QUOTA_RATE_EXCEEDED,
	JH_QUOTA_CONCURRENT_EXCEEDED,
};

/* A region's static share of a limit, in thousandths, rounded down. */
uint64_t jh_quota_share(uint64_t limit, unsigned int permille);

/*
 * The granter among the live entry daemons of the region: the first by
 * rendezvous hashing. Ids are incarnations, never 0; returns 0 if n is 0.
 */
uint64_t jh_quota_choose(
    struct jh_str org, struct jh_str class, const uint64_t *ids, size_t n);

struct jh_quota_holder;

struct jh_quota_holder *jh_quota_holder_create(
    uint64_t id, uint64_t now, const struct jh_quota_limit *limit);
void jh_quota_holder_destroy(struct jh_quota_holder *h);
void jh_quota_holder_set_limit(struct jh_quota_holder *h, uint64_t now,
    const struct jh_quota_limit *limit);
/* The granter as known here (0 if none) and the entry daemons, at least 1. */
void jh_quota_holder_set_view(struct jh_quota_holder *h, uint64_t now,
    uint64_t granter, unsigned int members);

/*
 * Admits a request of this cost and counts it as running, or says which limit
 * it would exceed. A request is admitted while the bucket is above 0, whatever
 * its cost; the bucket then goes below 0 and has to recover first.
 */
enum jh_quota_verdict jh_quota_holder_take(
    struct jh_quota_holder *h, uint64_t now, uint64_t cost);
/* Ends a running request; charges what it cost beyond its estimate. */
void jh_quota_holder_done(
    struct jh_quota_holder *h, uint64_t now, int64_t more_cost);
/* What may be used at now. */
uint64_t jh_quota_holder_allowed(
    const struct jh_quota_holder *h, uint64_t now, enum jh_quota_kind kind);

/* Makes the report to send now; false if no granter is known. */
bool jh_quota_holder_report(
    struct jh_quota_holder *h, uint64_t now, struct jh_quota_report *out);
/* Takes a grant; false if it is late, out of order or not asked for. */
bool jh_quota_holder_grant(struct jh_quota_holder *h, uint64_t now,
    const struct jh_quota_grant *grant);

struct jh_quota_granter;

/* A new granter grants nothing until it knows what is out, or that it ended. */
struct jh_quota_granter *jh_quota_granter_create(
    uint64_t id, uint64_t now, const struct jh_quota_limit *limit);
void jh_quota_granter_destroy(struct jh_quota_granter *g);
void jh_quota_granter_set_limit(
    struct jh_quota_granter *g, const struct jh_quota_limit *limit);
/* The entry daemons of the region as known here. */
void jh_quota_granter_set_members(
    struct jh_quota_granter *g, uint64_t now, const uint64_t *ids, size_t n);
/* Answers a report; false if there is nothing to grant yet. */
bool jh_quota_granter_report(struct jh_quota_granter *g, uint64_t now,
    const struct jh_quota_report *report, struct jh_quota_grant *grant);

#endif
