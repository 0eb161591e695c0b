#include <string.h>

#include <xxhash.h>

#include <jacinthhill/clock.h>

#include "catalog/peers.h"

/* A failed peer is left out this long, doubled with each failure in a row. */
#define HOLD_USEC (2 * JH_USEC_PER_SEC)
#define MAX_HOLD_USEC (32 * JH_USEC_PER_SEC)

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
at(const struct sync_peers *p, guint i)
{
	return &g_array_index(p->list, struct sync_peer, i);
}

static struct sync_peer *
find(const struct sync_peers *p, const char *instance)
{
	guint i;

	for (i = 0; i < p->list->len; i++) {
		if (strcmp(at(p, i)->instance, instance) == 0)
			return at(p, i);
	}
	return NULL;
}

static uint64_t
rendezvous(const char *seed, const char *instance)
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
	peer.watch_order = rendezvous(peer.zone, peer.instance);
	peer.order = p->role == JH_SYNC_ENTRY
			 ? peer.watch_order
			 : rendezvous(p->self, peer.instance);
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
			peer.held_until = old->held_until;
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

/* Keeps the two lowest seen so far, by order or by watch order. */
static void
keep_lowest(struct sync_peer *out[2], struct sync_peer *peer, bool watch)
{
	uint64_t value = watch ? peer->watch_order : peer->order;
	uint64_t low[2];
	int i;

	for (i = 0; i < 2; i++)
		low[i] = out[i] == NULL ? UINT64_MAX
			 : watch	? out[i]->watch_order
					: out[i]->order;
	if (out[0] == NULL || value < low[0]) {
		out[1] = out[0];
		out[0] = peer;
	} else if (out[1] == NULL || value < low[1]) {
		out[1] = peer;
	}
}

static void
find_lowest(const struct sync_peers *p, const char *zone, uint64_t now,
    bool watch, struct sync_peer *const skip[2], struct sync_peer *out[2])
{
	struct sync_peer *peer;
	guint i;

	out[0] = NULL;
	out[1] = NULL;
	for (i = 0; i < p->list->len; i++) {
		peer = at(p, i);
		if (peer->held_until > now ||
		    (zone != NULL && strcmp(peer->zone, zone) != 0) ||
		    peer == skip[0] || peer == skip[1])
			continue;
		keep_lowest(out, peer, watch);
	}
}

unsigned int
sync_peers_first(const struct sync_peers *p, const char *zone, uint64_t now,
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
		peer = at(p, i);
		if (peer->self)
			continue;
		if (earliest == NULL || peer->held_until < earliest->held_until)
			earliest = peer;
		if (peer->held_until > now)
			continue;
		/* Keeps each of the n so far with probability 1/n. */
		if (g_rand_int_range(rand, 0, ++n) == 0)
			chosen = peer;
	}
	return chosen != NULL ? chosen : earliest;
}

void
sync_peers_note(
    struct sync_peers *p, const char *instance, bool ok, uint64_t now)
{
	struct sync_peer *peer = find(p, instance);
	uint64_t hold;

	if (peer == NULL)
		return;
	if (ok) {
		peer->failures = 0;
		peer->held_until = 0;
		return;
	}
	hold = HOLD_USEC << MIN(peer->failures, 4U);
	peer->held_until = now + MIN(hold, MAX_HOLD_USEC);
	peer->failures++;
}
