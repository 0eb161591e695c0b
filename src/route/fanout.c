#include <glib.h>

#include "route/fanout.h"

/* Peers that are sent to in turn. */
struct ring {
	GPtrArray *peers;
	guint next;
};

struct jh_fanout {
	struct ring same_region, other_regions, all;
	double credit; /* messages due to other regions, with fractions */
};

struct jh_fanout *
jh_fanout_create(void)
{
	struct jh_fanout *a = g_new0(struct jh_fanout, 1);

	a->same_region.peers = g_ptr_array_new();
	a->other_regions.peers = g_ptr_array_new();
	a->all.peers = g_ptr_array_new();
	return a;
}

void
jh_fanout_destroy(struct jh_fanout *a)
{
	if (a == NULL)
		return;
	g_ptr_array_free(a->same_region.peers, TRUE);
	g_ptr_array_free(a->other_regions.peers, TRUE);
	g_ptr_array_free(a->all.peers, TRUE);
	g_free(a);
}

void
jh_fanout_add(struct jh_fanout *a, void *peer, bool same_region)
{
	g_ptr_array_add(
	    same_region ? a->same_region.peers : a->other_regions.peers, peer);
	g_ptr_array_add(a->all.peers, peer);
}

void
jh_fanout_remove(struct jh_fanout *a, void *peer)
{
	if (!g_ptr_array_remove(a->same_region.peers, peer))
		g_ptr_array_remove(a->other_regions.peers, peer);
	g_ptr_array_remove(a->all.peers, peer);
}

static void
send_to_next(
    struct ring *r, guint n, void (*send)(void *arg, void *peer), void *arg)
{
	n = MIN(n, r->peers->len);
	for (; n > 0; n--) {
		if (r->next >= r->peers->len)
			r->next = 0;
		send(arg, g_ptr_array_index(r->peers, r->next++));
	}
}

void
jh_fanout_round(
    struct jh_fanout *a, void (*send)(void *arg, void *peer), void *arg)
{
	double share =
	    (double)JH_FANOUT_INTER_REGION_TOTAL /
	    (a->same_region.peers->len + a->other_regions.peers->len + 1);
	guint n_other;

	a->credit += MIN(share, a->other_regions.peers->len);
	n_other = (guint)a->credit;
	a->credit -= n_other;
	send_to_next(&a->same_region, JH_FANOUT_SAME_REGION, send, arg);
	send_to_next(&a->other_regions, n_other, send, arg);
}

void
jh_fanout_turn(struct jh_fanout *a, unsigned int n,
    void (*send)(void *arg, void *peer), void *arg)
{
	send_to_next(&a->all, n, send, arg);
}

unsigned int
jh_fanout_period(const struct jh_fanout *a)
{
	guint n = a->same_region.peers->len;

	return n == 0 ? 1
		      : (n + JH_FANOUT_SAME_REGION - 1) / JH_FANOUT_SAME_REGION;
}
