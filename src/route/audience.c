#include <glib.h>

#include "route/audience.h"

/* Peers that take turns. */
struct ring {
	GPtrArray *peers;
	guint next;
};

struct jh_audience {
	struct ring near, far;
	double owed; /* messages to far peers that add up to a whole one */
};

struct jh_audience *
jh_audience_create(void)
{
	struct jh_audience *a = g_new0(struct jh_audience, 1);

	a->near.peers = g_ptr_array_new();
	a->far.peers = g_ptr_array_new();
	return a;
}

void
jh_audience_destroy(struct jh_audience *a)
{
	if (a == NULL)
		return;
	g_ptr_array_free(a->near.peers, TRUE);
	g_ptr_array_free(a->far.peers, TRUE);
	g_free(a);
}

void
jh_audience_add(struct jh_audience *a, void *peer, bool near)
{
	g_ptr_array_add(near ? a->near.peers : a->far.peers, peer);
}

void
jh_audience_remove(struct jh_audience *a, void *peer)
{
	if (!g_ptr_array_remove(a->near.peers, peer))
		g_ptr_array_remove(a->far.peers, peer);
}

static void
send_some(
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
jh_audience_round(
    struct jh_audience *a, void (*send)(void *arg, void *peer), void *arg)
{
	double share = (double)JH_AUDIENCE_FAR_ALL /
		       (a->near.peers->len + a->far.peers->len + 1);
	guint far;

	a->owed += MIN(share, a->far.peers->len);
	far = (guint)a->owed;
	a->owed -= far;
	send_some(&a->near, JH_AUDIENCE_NEAR, send, arg);
	send_some(&a->far, far, send, arg);
}

unsigned int
jh_audience_period(const struct jh_audience *a)
{
	guint n = a->near.peers->len;

	return n == 0 ? 1 : (n + JH_AUDIENCE_NEAR - 1) / JH_AUDIENCE_NEAR;
}
