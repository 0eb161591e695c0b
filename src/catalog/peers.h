#ifndef CATALOG_PEERS_H
#define CATALOG_PEERS_H

#include <jacinthhill/sync.h>

#define SYNC_NAME_SIZE 64 /* bytes, with the NUL */

/* An entry daemon to pull from. */
struct sync_peer {
	char instance[SYNC_NAME_SIZE];
	char zone[SYNC_NAME_SIZE];
	bool self;
	uint64_t pull_order; /* this daemon pulls from the lowest first */
	uint64_t watch_order; /* the two lowest of a zone watch the store */
	unsigned int failures; /* in a row */
	uint64_t backoff_until; /* no pulls until then */
};

/*
 * The peers of one daemon. Preferences are by rendezvous hashing: entry daemons
 * prefer the peers that watch the store for their zone, while each agent has an
 * order of its own.
 */
struct sync_peers;

struct sync_peers *sync_peers_create(const char *self, enum jh_sync_role role);
void sync_peers_destroy(struct sync_peers *p);
/* Replaces the list; peers that remain keep their failures and backoff. */
void sync_peers_set(
    struct sync_peers *p, const struct jh_sync_peer *peers, size_t n);
/* Adds the daemon itself, which has no backoff. */
void sync_peers_add_self(struct sync_peers *p, const char *zone);

/*
 * Stores the two preferred peers of a zone (NULL: of all zones) that are not in
 * backoff, and returns how many there are. An agent gets the zone's watchers
 * only if there is no other peer, because they serve its entry daemons.
 */
unsigned int sync_peers_preferred(const struct sync_peers *p, const char *zone,
    uint64_t now, struct sync_peer *out[2]);
/*
 * Returns a random peer other than this daemon that is not in backoff; if all
 * are, the one whose backoff ends first. NULL if there is no peer.
 */
struct sync_peer *sync_peers_random(
    const struct sync_peers *p, uint64_t now, GRand *rand);

/* Records the result of a pull from an instance; a failure starts a backoff. */
void sync_peers_record_pull(
    struct sync_peers *p, const char *instance, bool ok, uint64_t now);

#endif
