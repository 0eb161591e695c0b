#ifndef GATEWAY_GOSSIP_H
#define GATEWAY_GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>
#include <uv.h>

#include <jacinthhill/suspects.h>

#include "base/metrics.h"
#include "member/position.h"
#include "member/weights.h"
#include "route/choose.h"
#include "route/fleet.h"
#include "route/peers.h"
#include "route/quota_ledger.h"
#include "route/rate_limits.h"

/*
 * Gossip between processes over UDP: the load that each has sent to the
 * workers, which workers were sent which prefixes, which workers load weights,
 * the rate limits that workers name, and which requests crash workers. Each
 * message carries a MAC under its sender's key, which peers read from the
 * store; a message without a valid MAC is ignored. A lost message is not sent
 * again: the next one replaces it. route/fanout.h selects the peers of a round.
 */
struct jh_gossip;

#define JH_GOSSIP_KEY_LEN 32

/*
 * Kinds of objects in the store of which processes tell each other the position
 * of the last change they have seen. A peer with a later one shows that this
 * process gets no more changes over its own connection to the store.
 */
#define JH_GOSSIP_POSITIONS 3

struct jh_gossip_spec {
	uv_loop_t *loop;
	struct jh_metrics *metrics;
	struct jh_fleet *fleet;
	struct jh_weights *weights;
	struct jh_chooser *chooser;
	struct jh_rate_limits *rate_limits; /* exchanged with peers */
	struct jh_quota_ledger *quotas; /* NULL: not exchanged */
	struct jh_suspects *suspects; /* NULL: crashes are not exchanged */
	struct sockaddr_in address;
	/* May be NULL. A message of a peer has arrived. */
	void (*on_peer)(void *arg, const char *name);
	/*
	 * May be NULL. A message with these positions, all of one era, has
	 * arrived.
	 */
	void (*on_positions)(
	    void *arg, const struct jh_position positions[JH_GOSSIP_POSITIONS]);
	void *arg;
};

/* Returns NULL and sets *error to a libuv error if binding fails. */
struct jh_gossip *jh_gossip_create(
    const struct jh_gossip_spec *spec, int *error);
void jh_gossip_destroy(struct jh_gossip *g);

/* This process's MAC key, new at each start. */
const unsigned char *jh_gossip_key(const struct jh_gossip *g);
/*
 * Adds the peer of that name, or replaces it, unless nothing of it has changed.
 * same_region: in the region of this process. key: the peer's MAC key.
 */
void jh_gossip_set_peer(struct jh_gossip *g, const char *name, bool same_region,
    const struct sockaddr_in *address,
    const unsigned char key[JH_GOSSIP_KEY_LEN]);
void jh_gossip_remove_peer(struct jh_gossip *g, const char *name);
/* Writes the addresses of up to max random peers; returns their number. */
size_t jh_gossip_random_peers(
    const struct jh_gossip *g, struct sockaddr_in *out, size_t max);
/* Number of peers, and the address of one; NULL: not a peer. */
size_t jh_gossip_peer_count(const struct jh_gossip *g);
const struct sockaddr_in *jh_gossip_address(
    const struct jh_gossip *g, const char *name);

/* Sets a position, if it is later; the caller defines what i means. */
void jh_gossip_set_position(
    struct jh_gossip *g, size_t i, const struct jh_position *p);

/* Sends a message to every peer at once, outside of the rounds. */
void jh_gossip_send(struct jh_gossip *g);
/* Number of peers that have sent a message recently. */
size_t jh_gossip_live_peers(const struct jh_gossip *g);

#endif
