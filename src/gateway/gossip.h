#ifndef GATEWAY_GOSSIP_H
#define GATEWAY_GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>
#include <uv.h>

#include "base/metrics.h"
#include "member/weights.h"
#include "route/choose.h"
#include "route/fleet.h"
#include "route/peers.h"

/*
 * Exchanges between processes, in datagrams, what each has sent to the workers,
 * which of them hold which parts and which change their weights. Each message
 * carries a MAC under its sender's key, which stands in the store; one without
 * is ignored. A message that is lost is made good by the next. Peers take
 * turns as in route/audience.h.
 */
struct jh_gossip;

#define JH_GOSSIP_KEY_LEN 32

/*
 * How far a process has followed each kind of object in the store, as the
 * store's revision after the last change. A peer that is ahead shows that this
 * process's own connection to the store has gone silent.
 */
#define JH_GOSSIP_MARKS 4

struct jh_gossip_spec {
	uv_loop_t *loop;
	struct jh_metrics *metrics;
	struct jh_fleet *fleet;
	struct jh_weights *weights;
	struct jh_chooser *chooser;
	struct sockaddr_in address;
	/* May be NULL: a peer was heard. */
	void (*heard_peer)(void *arg, const char *name);
	/* May be NULL: a peer has told its marks. */
	void (*heard_marks)(void *arg, const uint64_t marks[JH_GOSSIP_MARKS]);
	void *arg;
};

/* Returns NULL and sets *error to a libuv error if it cannot be bound. */
struct jh_gossip *jh_gossip_create(
    const struct jh_gossip_spec *spec, int *error);
void jh_gossip_destroy(struct jh_gossip *g);

/* This process's key, new at each start. */
const unsigned char *jh_gossip_key(const struct jh_gossip *g);
/* Adds or replaces a peer; the name identifies it. near: in this region. */
void jh_gossip_set_peer(struct jh_gossip *g, const char *name, bool near,
    const struct sockaddr_in *address,
    const unsigned char key[JH_GOSSIP_KEY_LEN]);
void jh_gossip_drop_peer(struct jh_gossip *g, const char *name);
/* Number of peers, and where one is; NULL: not a peer. */
size_t jh_gossip_peers(const struct jh_gossip *g);
const struct sockaddr_in *jh_gossip_address(
    const struct jh_gossip *g, const char *name);

/* Marks rise; index and meaning are the owner's. */
void jh_gossip_set_mark(struct jh_gossip *g, size_t i, uint64_t revision);

/* Sends to every peer now rather than when its turn comes. */
void jh_gossip_send(struct jh_gossip *g);
/* Peers that were heard lately. */
size_t jh_gossip_heard(const struct jh_gossip *g);

#endif
