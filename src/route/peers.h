#ifndef ROUTE_PEERS_H
#define ROUTE_PEERS_H

#include <stddef.h>
#include <stdint.h>

#include "route/fleet.h"

/*
 * What other processes report of the workers they share with this one: the
 * requests that each has sent, and weights. Updates the workers' sums of it. No
 * I/O; times are in microseconds.
 */
struct jh_peers;

/*
 * The reports of a peer that has sent nothing for this long are dropped.
 * Messages are 0.2 s apart, so that several in a row must be lost.
 */
#define JH_PEERS_TIMEOUT_USEC 1500000ULL

/*
 * A worker that responded to a process within this time is reported as such:
 * about the time between two messages to the same peer.
 */
#define JH_PEERS_RESPONDED_USEC 600000ULL

/* A report of one worker. */
struct jh_peer_report {
	uint64_t worker; /* hash of its id */
	uint32_t running; /* the sender's requests */
	uint32_t prefill_tokens;
	uint32_t held_tokens;
	/* Version of its first model that the sender knows; 0: none. */
	uint64_t weights;
	bool loading; /* the sender orders the worker to load weights */
	bool replaced; /* another instance has its address */
	bool leaving; /* as a response to the sender says */
	bool responded; /* to the sender, within JH_PEERS_RESPONDED_USEC */
	uint32_t urgent_tokens; /* part of prefill_tokens; see route/overload.h
				 */
	bool unreachable; /* by the sender, lately */
};

struct jh_peers *jh_peers_create(void);
void jh_peers_destroy(struct jh_peers *p);

/*
 * Replaces what a peer reported by a new message. Returns false and ignores a
 * message that is late: its number is not higher than that of the last one.
 */
bool jh_peers_receive(struct jh_peers *p, struct jh_fleet *f, uint64_t now,
    uint64_t peer, uint64_t number, const struct jh_peer_report *reports,
    size_t n);
/* Drops peers that have sent nothing for longer than timeout. */
void jh_peers_expire(
    struct jh_peers *p, struct jh_fleet *f, uint64_t now, uint64_t timeout);
/* Peers that have not been dropped. */
size_t jh_peers_count(const struct jh_peers *p);

#endif
