#include <glib.h>

#include <jacinthhill/quota.h>

/* The bucket's capacity is what the rate adds in this time. */
#define BURST_SECONDS 1.0
/* Reports that a grant may still refer to: those of one allocation lifetime. */
#define MAX_SENT_REPORTS 4
/* Weight of the newest interval in the mean demand. */
#define DEMAND_GAIN 0.5

/* A report that was sent to a granter. */
struct sent_report {
	uint64_t seq;
	uint64_t granter;
	uint64_t at; /* time when it was sent, microseconds */
};

struct jh_quota_holder {
	uint64_t id;
	struct jh_quota_limit limit;
	uint64_t granter;
	unsigned int members;
	/*
	 * The current allocation; there was none so far if held_granter is 0.
	 */
	uint64_t held_granter;
	uint64_t held_seq;
	uint64_t held_amount[JH_QUOTA_KINDS];
	uint64_t deadline;
	/*
	 * The least of the allocations by earlier granters that may still be
	 * relied on, until earlier_limit_until.
	 */
	uint64_t earlier_limit[JH_QUOTA_KINDS];
	uint64_t earlier_limit_until;
	struct sent_report sent_reports[MAX_SENT_REPORTS];
	uint64_t seq;
	/* Cost tokens that may be used; below 0 after a costly request. */
	double bucket;
	uint64_t bucket_at;
	uint64_t running;
	/* Maximum of running since the last report. */
	uint64_t max_running;
	/* Requests refused for the concurrency limit since the last report. */
	uint64_t concurrency_refusals;
	/* Cost of all requests, also refused ones, since demand_updated. */
	double offered_cost;
	/* Mean cost of the requests per second. */
	double demand;
	uint64_t demand_updated;
};

struct jh_quota_holder *
jh_quota_holder_create(
    uint64_t id, uint64_t now, const struct jh_quota_limit *limit)
{
	struct jh_quota_holder *h = g_new0(struct jh_quota_holder, 1);

	h->id = id;
	h->limit = *limit;
	h->members = 1;
	/* A process that has just started must admit its first request. */
	h->bucket = 1;
	h->bucket_at = h->demand_updated = now;
	return h;
}

void
jh_quota_holder_destroy(struct jh_quota_holder *h)
{
	g_free(h);
}

uint64_t
jh_quota_holder_allowed(
    const struct jh_quota_holder *h, uint64_t now, enum jh_quota_kind kind)
{
	uint64_t share = h->limit.amount[kind] / h->members;

	if (h->held_granter != 0 && now < h->deadline)
		return MIN(h->held_amount[kind], h->limit.amount[kind]);
	if (h->held_granter != 0 && now < h->deadline + JH_QUOTA_COOLDOWN_USEC)
		share = MIN(share, h->held_amount[kind]);
	if (now < h->earlier_limit_until)
		share = MIN(share, h->earlier_limit[kind]);
	return share;
}

/* Next time after t at which the allowed amount may change, at most end. */
static uint64_t
next_change(const struct jh_quota_holder *h, uint64_t t, uint64_t end)
{
	const uint64_t changes[] = {h->deadline,
	    h->deadline + JH_QUOTA_COOLDOWN_USEC, h->earlier_limit_until};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(changes); i++) {
		if (changes[i] > t && changes[i] < end)
			end = changes[i];
	}
	return end;
}

static void
refill(struct jh_quota_holder *h, uint64_t now)
{
	double rate;
	uint64_t t;

	while (h->bucket_at < now) {
		t = next_change(h, h->bucket_at, now);
		rate = (double)jh_quota_holder_allowed(
		    h, h->bucket_at, JH_QUOTA_RATE);
		h->bucket +=
		    rate * (double)(t - h->bucket_at) / JH_USEC_PER_SEC;
		h->bucket = MIN(h->bucket, rate * BURST_SECONDS);
		h->bucket_at = t;
	}
	rate = (double)jh_quota_holder_allowed(h, now, JH_QUOTA_RATE);
	h->bucket = MIN(h->bucket, rate * BURST_SECONDS);
}

void
jh_quota_holder_set_limit(
    struct jh_quota_holder *h, uint64_t now, const struct jh_quota_limit *limit)
{
	refill(h, now);
	h->limit = *limit;
}

void
jh_quota_holder_set_view(struct jh_quota_holder *h, uint64_t now,
    uint64_t granter, unsigned int members)
{
	refill(h, now);
	h->granter = granter;
	h->members = MAX(members, 1);
}

enum jh_quota_result
jh_quota_holder_admit(struct jh_quota_holder *h, uint64_t now, uint64_t cost)
{
	refill(h, now);
	h->offered_cost += (double)cost;
	if (h->running >=
	    jh_quota_holder_allowed(h, now, JH_QUOTA_CONCURRENT)) {
		h->concurrency_refusals++;
		return JH_QUOTA_CONCURRENT_EXCEEDED;
	}
	if (h->bucket <= 0)
		return JH_QUOTA_RATE_EXCEEDED;
	h->bucket -= (double)cost;
	h->running++;
	h->max_running = MAX(h->max_running, h->running);
	return JH_QUOTA_OK;
}

void
jh_quota_holder_finish(
    struct jh_quota_holder *h, uint64_t now, int64_t more_cost)
{
	refill(h, now);
	h->bucket -= (double)more_cost;
	h->running -= MIN(h->running, 1);
}

static void
update_demand(struct jh_quota_holder *h, uint64_t now)
{
	double seconds = (double)(now - h->demand_updated) / JH_USEC_PER_SEC;

	if (seconds <= 0)
		return;
	h->demand += DEMAND_GAIN * (h->offered_cost / seconds - h->demand);
	h->offered_cost = 0;
	h->demand_updated = now;
}

bool
jh_quota_holder_make_report(
    struct jh_quota_holder *h, uint64_t now, struct jh_quota_report *out)
{
	bool in_force = h->held_granter != 0 && now < h->deadline;
	int k;

	if (h->granter == 0)
		return false;
	update_demand(h, now);
	h->seq++;
	h->sent_reports[h->seq % MAX_SENT_REPORTS] =
	    (struct sent_report){h->seq, h->granter, now};
	*out = (struct jh_quota_report){.holder = h->id,
	    .granter = h->granter,
	    .seq = h->seq,
	    .demand = {(uint64_t)h->demand,
		h->max_running + h->concurrency_refusals},
	    .running = h->running,
	    .members = h->members,
	    .held_granter = in_force ? h->held_granter : 0,
	    .held_seq = in_force ? h->held_seq : 0,
	    .held_left_usec = in_force ? h->deadline - now : 0};
	for (k = 0; in_force && k < JH_QUOTA_KINDS; k++)
		out->held_amount[k] = h->held_amount[k];
	h->max_running = h->running;
	h->concurrency_refusals = 0;
	return true;
}

/*
 * Keeps the limit that the granter of the current allocation relies on, before
 * another granter's allocation replaces it.
 */
static void
keep_earlier_limit(struct jh_quota_holder *h, uint64_t now)
{
	uint64_t until = h->deadline + JH_QUOTA_COOLDOWN_USEC;
	bool has_earlier = now < h->earlier_limit_until;
	int k;

	if (h->held_granter == 0 || now >= until)
		return;
	for (k = 0; k < JH_QUOTA_KINDS; k++)
		h->earlier_limit[k] =
		    has_earlier ? MIN(h->earlier_limit[k], h->held_amount[k])
				: h->held_amount[k];
	h->earlier_limit_until =
	    has_earlier ? MAX(h->earlier_limit_until, until) : until;
}

bool
jh_quota_holder_apply_grant(
    struct jh_quota_holder *h, uint64_t now, const struct jh_quota_grant *grant)
{
	const struct sent_report *s =
	    &h->sent_reports[grant->report % MAX_SENT_REPORTS];
	int k;

	if (grant->holder != h->id || grant->report == 0 ||
	    s->seq != grant->report || s->granter != grant->granter ||
	    grant->granter != h->granter ||
	    now >= s->at + JH_QUOTA_LIFETIME_USEC)
		return false;
	if (grant->granter == h->held_granter && grant->seq <= h->held_seq)
		return false;
	refill(h, now);
	if (grant->granter != h->held_granter)
		keep_earlier_limit(h, now);
	h->held_granter = grant->granter;
	h->held_seq = grant->seq;
	h->deadline = s->at + JH_QUOTA_LIFETIME_USEC;
	for (k = 0; k < JH_QUOTA_KINDS; k++)
		h->held_amount[k] = grant->amount[k];
	return true;
}
