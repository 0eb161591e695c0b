#ifndef ROUTE_PEERS_H
#define ROUTE_PEERS_H

#include <stddef.h>
#include <stdint.h>

#include "route/fleet.h"

/*
 * What the other processes say of the workers they share with this one: the
 * work that each has sent, and changes of weights. Pure; microseconds.
 */
struct jh_peers;

/*
 * A peer that has not been heard for this long counts for nothing. Messages are
 * 0.2 s apart, so that several are lost in a row before.
 */
#define JH_PEERS_SILENT_USEC 1500000ULL

/* One worker in a message. */
struct jh_peer_row {
	uint64_t worker; /* hash of its id */
	uint32_t running; /* requests of the sender */
	uint32_t prefill_tokens;
	uint32_t held_tokens;
	uint64_t weights; /* as the sender knows them; 0: it does not */
	bool changing; /* the sender orders new weights */
};

struct jh_peers *jh_peers_create(void);
void jh_peers_destroy(struct jh_peers *p);

/*
 * Takes a peer's message over in place of its last one. Messages of a number
 * that is not higher than the last are late and ignored; returns false then.
 */
bool jh_peers_heard(struct jh_peers *p, struct jh_fleet *f, uint64_t now,
    uint64_t peer, uint64_t number, const struct jh_peer_row *rows, size_t n);
/* Forgets what peers said that have not been heard for silent. */
void jh_peers_expire(
    struct jh_peers *p, struct jh_fleet *f, uint64_t now, uint64_t silent);
/* Peers that are not forgotten. */
size_t jh_peers_count(const struct jh_peers *p);

#endif
