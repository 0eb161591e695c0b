#include <math.h>

#include "route/quota_state.h"

/*
 * Which processes are in touch, and what part of a quota is theirs. The parts
 * of processes that are not in touch with each other add up to one.
 */

/*
 * Longest time between two announcements of a process to up to that many peers;
 * in proportion with more, so that the number of datagrams is bounded.
 */
#define ANNOUNCE_USEC (350 * JH_USEC_PER_MSEC)
#define ANNOUNCE_PEERS 128U

/*
 * A peer that was not heard in the time of so many announcements is not in
 * touch. One that is lost makes it so for a moment; a cut is to be noticed
 * soon, as both sides use all of the quota until then.
 */
#define TOUCH_ANNOUNCEMENTS 1.5

/*
 * What a peer used while it was not heard for longer than this came from its
 * own part: two announcements in a row were lost.
 */
#define SILENT_ANNOUNCEMENTS 2.6

/*
 * A process that did not look for this long was paused. The time does not count
 * as a silence of its peers, whose datagrams wait to be read.
 */
#define PAUSE_USEC (150 * JH_USEC_PER_MSEC)

/* The first announcements of all peers arrive in the time of so many. */
#define START_ANNOUNCEMENTS 1.2

/* Peers are looked through this often. */
#define REFRESH_USEC (10 * JH_USEC_PER_MSEC)

/* Time constant of the weights. */
#define WEIGHT_USEC (8 * JH_USEC_PER_SEC)

/*
 * Weights are sampled this often and used from the last but one sample: it was
 * taken before a silence that is noticed now began.
 */
#define SAMPLE_ANNOUNCEMENTS 4

/* Part of a quota that is divided by number, for demand that moves. */
#define EQUAL_PART 0.25

uint64_t
quota_announce_usec(const struct jh_quota_ledger *l)
{
	guint n = g_hash_table_size(l->peers);

	return ANNOUNCE_USEC * MAX(n, ANNOUNCE_PEERS) / ANNOUNCE_PEERS;
}

/*
 * After a start, peers are taken to be in touch for the time in which their
 * first announcements arrive: a restarted process would refuse requests below
 * the quota otherwise.
 */
static bool
is_in_touch(
    const struct jh_quota_ledger *l, const struct quota_peer *p, uint64_t now)
{
	double usec = (double)quota_announce_usec(l);

	if (p->heard_at == 0)
		return (double)(now - l->created_at) <
		       usec * START_ANNOUNCEMENTS;
	return (double)(now - MIN(now, p->heard_at)) <
	       usec * TOUCH_ANNOUNCEMENTS;
}

void
quota_refresh(struct jh_quota_ledger *l, uint64_t now)
{
	uint64_t passed = now - MIN(now, l->refreshed_at), pause;
	GHashTableIter it;
	gpointer value;

	if (passed < REFRESH_USEC && !l->changed)
		return;
	pause = l->refreshed_at != 0 && passed > PAUSE_USEC ? passed : 0;
	l->refreshed_at = now;
	l->changed = false;
	l->in_touch = 1;
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct quota_peer *p = value;
		if (p->heard_at != 0)
			p->heard_at = MIN(p->heard_at + pause, now);
		p->in_touch = is_in_touch(l, p, now);
		l->in_touch += p->in_touch;
	}
}

static void
update_weight(struct quota_weight *w, double asked, double seconds)
{
	double gain = -expm1(-seconds * 1e6 / WEIGHT_USEC);

	w->rate += gain * (asked / seconds - w->rate);
	w->older = w->recent;
	w->recent = w->rate;
}

static void
sample_weights(struct quota *q, uint64_t now)
{
	double seconds = (double)(now - q->sampled_at) / 1e6;
	guint i;

	q->sampled_at = now;
	update_weight(&q->weight, q->weighed, seconds);
	q->weighed = 0;
	for (i = 0; i < q->uses->len; i++) {
		struct quota_use *u =
		    &g_array_index(q->uses, struct quota_use, i);
		update_weight(&u->weight, u->weighed, seconds);
		u->weighed = 0;
	}
}

void
quota_update_part(struct jh_quota_ledger *l, struct quota *q, uint64_t now)
{
	double all = q->weight.older, here = all;
	unsigned int n = g_hash_table_size(l->peers) + 1;
	guint i;

	quota_refresh(l, now);
	if (l->in_touch == n) {
		q->part = 1;
		if (now - q->sampled_at >=
		    SAMPLE_ANNOUNCEMENTS * quota_announce_usec(l))
			sample_weights(q, now);
		return;
	}
	for (i = 0; i < q->uses->len; i++) {
		const struct quota_use *u =
		    &g_array_index(q->uses, struct quota_use, i);
		all += u->weight.older;
		here += u->peer->in_touch ? u->weight.older : 0;
	}
	q->part = l->in_touch / (double)n;
	if (all > 0)
		q->part = EQUAL_PART * q->part + (1 - EQUAL_PART) * here / all;
}

void
jh_quota_ledger_peer_heard(struct jh_quota_ledger *l, uint64_t now, uint64_t id)
{
	struct quota_peer *p = g_hash_table_lookup(l->peers, &id);

	if (p == NULL)
		return;
	quota_refresh(l, now);
	if (p->heard_at == 0 ||
	    (double)(now - MIN(now, p->heard_at)) >=
		(double)quota_announce_usec(l) * SILENT_ANNOUNCEMENTS)
		p->heard_since = now;
	p->heard_at = now;
}
