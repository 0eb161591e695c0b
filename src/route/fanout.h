#ifndef ROUTE_FANOUT_H
#define ROUTE_FANOUT_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Selects the peers that get a gossip message in each round. Few peers all get
 * one. Of many, those in this process's region take turns, so that its cost
 * does not grow with their number, and those in other regions share a fixed
 * number of messages for the whole deployment, because links between regions
 * have little bandwidth. No I/O.
 */
struct jh_fanout;

/*
 * Peers of the same region that get a message in one round. 24 messages of
 * 1,440 bytes five times a second take 1.4 Mbit/s of the slowest specified
 * link, which has 10 Mbit/s.
 */
#define JH_FANOUT_SAME_REGION 24

/*
 * Messages between regions that all processes send together in one round. In
 * the larger deployment, 22 processes with half of them in each of two regions
 * exchange 242.
 */
#define JH_FANOUT_INTER_REGION_TOTAL 242

struct jh_fanout *jh_fanout_create(void);
void jh_fanout_destroy(struct jh_fanout *a);

/*
 * Adds a peer, which may be any pointer, once; it stays with the caller.
 * same_region: in the region of this process.
 */
void jh_fanout_add(struct jh_fanout *a, void *peer, bool same_region);
void jh_fanout_remove(struct jh_fanout *a, void *peer);

/* Calls send() for each peer that gets a message in this round. */
void jh_fanout_round(
    struct jh_fanout *a, void (*send)(void *arg, void *peer), void *arg);
/* Calls send() for the next n peers of any region, in turns of their own. */
void jh_fanout_turn(struct jh_fanout *a, unsigned int n,
    void (*send)(void *arg, void *peer), void *arg);
/* Rounds until each peer of the same region got a message; at least 1. */
unsigned int jh_fanout_period(const struct jh_fanout *a);

#endif
