#ifndef CATALOG_PEERS_H
#define CATALOG_PEERS_H

#include <jacinthhill/sync.h>

#define SYNC_NAME_SIZE 64

/* An entry daemon to pull from. */
struct sync_peer {
	char instance[SYNC_NAME_SIZE];
	char zone[SYNC_NAME_SIZE];
	bool self;
	uint64_t order; /* of this daemon's choice; lowest first */
	uint64_t watch_order; /* of its zone's watchers; lowest first */
	unsigned int failures; /* in a row */
	uint64_t held_until; /* left out until then */
};

struct sync_peers;

/*
 * Orders are by rendezvous. Entry daemons choose peers in the order of their
 * zone's watchers, agents in an order of their own.
 */
struct sync_peers *sync_peers_create(const char *self, enum jh_sync_role role);
void sync_peers_destroy(struct sync_peers *p);
/* Known failures of peers that stay are kept. */
void sync_peers_set(
    struct sync_peers *p, const struct jh_sync_peer *peers, size_t n);
/* Adds the daemon itself; it is never left out. */
void sync_peers_add_self(struct sync_peers *p, const char *zone);

/*
 * The first two in a zone (NULL: any) that are not held out. Agents leave the
 * zone's watchers, which serve its entry daemons, to the last. Returns how
 * many there are.
 */
unsigned int sync_peers_first(const struct sync_peers *p, const char *zone,
    uint64_t now, struct sync_peer *out[2]);
/* Any peer but self; prefers those not held out. NULL if there is none. */
struct sync_peer *sync_peers_random(
    const struct sync_peers *p, uint64_t now, GRand *rand);

/* Notes the result of a pull from an instance. */
void sync_peers_note(
    struct sync_peers *p, const char *instance, bool ok, uint64_t now);

#endif
