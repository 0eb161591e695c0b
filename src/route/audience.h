#ifndef ROUTE_AUDIENCE_H
#define ROUTE_AUDIENCE_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Which peers get a message in each round. With few peers all do; with many,
 * those of the own region take turns, so that the cost of a process does not
 * grow with their number, and those of other regions share a number of messages
 * for the whole deployment, because the links between regions are narrow. Pure.
 */
struct jh_audience;

/*
 * Peers of the own region that get a message in one round. 24 messages of 1,440
 * bytes five times a second take 1.4 Mbit/s of a link of 10 Mbit/s, the
 * smallest one that the users' sheets name.
 */
#define JH_AUDIENCE_NEAR 24

/*
 * Messages between regions in one round of all processes: 242 are what 22
 * entries, the larger deployment, exchange when half of them is in each region.
 */
#define JH_AUDIENCE_FAR_ALL 242

struct jh_audience *jh_audience_create(void);
void jh_audience_destroy(struct jh_audience *a);

/* near: in the own region. The peer is any pointer, added once. */
void jh_audience_add(struct jh_audience *a, void *peer, bool near);
void jh_audience_remove(struct jh_audience *a, void *peer);

/* Calls send() for each peer whose turn it is. */
void jh_audience_round(
    struct jh_audience *a, void (*send)(void *arg, void *peer), void *arg);
/* Rounds in which each peer of the own region has its turn; at least 1. */
unsigned int jh_audience_period(const struct jh_audience *a);

#endif
