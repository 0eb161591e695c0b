#include <string.h>

#include <xxhash.h>

#include <jacinthhill/clock.h>

#include "catalog/peers.h"

/* A peer gets no pulls for this long after a failure; each next doubles it. */
#define BACKOFF_USEC (2 * JH_USEC_PER_SEC)
#define MAX_BACKOFF_USEC (32 * JH_USEC_PER_SEC)

struct sync_peers {
	GArray *list; /* of struct sync_peer */
	enum jh_sync_role role;
	char self[SYNC_NAME_SIZE];
};

struct sync_peers *
sync_peers_create(const char *self, enum jh_sync_role role)
{
	struct sync_peers *p = g_new0(struct sync_peers, 1);

	p->list = g_array_new(FALSE, FALSE, sizeof(struct sync_peer));
	p->role = role;
	g_strlcpy(p->self, self, sizeof(p->self));
	return p;
}

void
sync_peers_destroy(struct sync_peers *p)
{
	g_array_free(p->list, TRUE);
	g_free(p);
}

static struct sync_peer *
peer_at(const struct sync_peers *p, guint i)
{
	return &g_array_index(p->list, struct sync_peer, i);
}

static struct sync_peer *
find(const struct sync_peers *p, const char *instance)
{
	guint i;

	for (i = 0; i < p->list->len; i++) {
		if (strcmp(peer_at(p, i)->instance, instance) == 0)
			return peer_at(p, i);
	}
	return NULL;
}

static uint64_t
rendezvous_hash(const char *seed, const char *instance)
{
	return XXH3_64bits_withSeed(
	    instance, strlen(instance), XXH3_64bits(seed, strlen(seed)));
}

static struct sync_peer
make_peer(const struct sync_peers *p, const char *instance, const char *zone)
{
	struct sync_peer peer = {0};

	g_strlcpy(peer.instance, instance, sizeof(peer.instance));
	g_strlcpy(peer.zone, zone, sizeof(peer.zone));
	peer.self = strcmp(peer.instance, p->self) == 0;
	peer.watch_order = rendezvous_hash(peer.zone, peer.instance);
	peer.pull_order = p->role == JH_SYNC_ENTRY
			      ? peer.watch_order
			      : rendezvous_hash(p->self, peer.instance);
	return peer;
}

void
sync_peers_set(struct sync_peers *p, const struct jh_sync_peer *peers, size_t n)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct sync_peer));
	const struct sync_peer *old;
	struct sync_peer peer;
	size_t i;

	for (i = 0; i < n; i++) {
		peer = make_peer(p, peers[i].instance, peers[i].zone);
		if (peer.self)
			continue;
		old = find(p, peer.instance);
		if (old != NULL) {
			peer.failures = old->failures;
			peer.backoff_until = old->backoff_until;
		}
		g_array_append_val(list, peer);
	}
	g_array_free(p->list, TRUE);
	p->list = list;
}

void
sync_peers_add_self(struct sync_peers *p, const char *zone)
{
	struct sync_peer peer = make_peer(p, p->self, zone);

	g_array_append_val(p->list, peer);
}

/* Keeps the two peers with the lowest pull order, or watch order. */
static void
keep_lowest(
    struct sync_peer *out[2], struct sync_peer *peer, bool by_watch_order)
{
	uint64_t value = by_watch_order ? peer->watch_order : peer->pull_order;
	uint64_t low[2];
	int i;

	for (i = 0; i < 2; i++)
		low[i] = out[i] == NULL	  ? UINT64_MAX
			 : by_watch_order ? out[i]->watch_order
					  : out[i]->pull_order;
	if (out[0] == NULL || value < low[0]) {
		out[1] = out[0];
		out[0] = peer;
	} else if (out[1] == NULL || value < low[1]) {
		out[1] = peer;
	}
}

static void
find_lowest(const struct sync_peers *p, const char *zone, uint64_t now,
    bool by_watch_order, struct sync_peer *const skip[2],
    struct sync_peer *out[2])
{
	struct sync_peer *peer;
	guint i;

	out[0] = NULL;
	out[1] = NULL;
	for (i = 0; i < p->list->len; i++) {
		peer = peer_at(p, i);
		if (peer->backoff_until > now ||
		    (zone != NULL && strcmp(peer->zone, zone) != 0) ||
		    peer == skip[0] || peer == skip[1])
			continue;
		keep_lowest(out, peer, by_watch_order);
	}
}

unsigned int
sync_peers_preferred(const struct sync_peers *p, const char *zone, uint64_t now,
    struct sync_peer *out[2])
{
	struct sync_peer *none[2] = {NULL, NULL}, *watchers[2];

	if (p->role == JH_SYNC_AGENT && zone != NULL) {
		find_lowest(p, zone, now, true, none, watchers);
		find_lowest(p, zone, now, false, watchers, out);
	}
	if (p->role == JH_SYNC_ENTRY || zone == NULL || out[0] == NULL)
		find_lowest(p, zone, now, false, none, out);
	return (out[0] != NULL) + (out[1] != NULL);
}

struct sync_peer *
sync_peers_random(const struct sync_peers *p, uint64_t now, GRand *rand)
{
	struct sync_peer *peer, *chosen = NULL, *earliest = NULL;
	gint32 n = 0;
	guint i;

	for (i = 0; i < p->list->len; i++) {
		peer = peer_at(p, i);
		if (peer->self)
			continue;
		if (earliest == NULL ||
		    peer->backoff_until < earliest->backoff_until)
			earliest = peer;
		if (peer->backoff_until > now)
			continue;
		/* Reservoir sampling: each of n peers has probability 1/n. */
		if (g_rand_int_range(rand, 0, ++n) == 0)
			chosen = peer;
	}
	return chosen != NULL ? chosen : earliest;
}

void
sync_peers_record_pull(
    struct sync_peers *p, const char *instance, bool ok, uint64_t now)
{
	struct sync_peer *peer = find(p, instance);
	uint64_t backoff;

	if (peer == NULL)
		return;
	if (ok) {
		peer->failures = 0;
		peer->backoff_until = 0;
		return;
	}
	backoff = BACKOFF_USEC << MIN(peer->failures, 4U);
	peer->backoff_until = now + MIN(backoff, MAX_BACKOFF_USEC);
	peer->failures++;
}
