#ifndef FEED_FEED_H
#define FEED_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/catalog.h>
#include <jacinthhill/sync.h>

#include "base/auth.h"
#include "rpc/control.h"

/*
 * Keeps a daemon's copy of the catalogue current: carries out what the sync
 * machine decides against the object store and against peers, on a thread of
 * its own for pulls. Crash reports of suspect requests travel along.
 */
struct jh_feed;

struct jh_feed_ops {
	/* Adds crash reports to a request for this peer; may be NULL. */
	void (*ask)(void *arg, struct jh_sync_args *args);
	/* Takes the peer's crash reports; may be NULL. */
	void (*told)(void *arg, const struct jh_sync_reply *reply);
};

struct jh_feed_spec {
	const char *instance;
	const char *zone;
	enum jh_sync_role role;
	uint64_t incarnation;
	struct jh_catalog *catalog;
	struct jh_auth_key key;
	struct sockaddr_in store;
	const struct jh_feed_ops *ops;
	void *arg;
};

struct jh_feed_peer {
	char *instance;
	char *zone;
	struct sockaddr_in rpc_address;
};

struct jh_feed *jh_feed_create(const struct jh_feed_spec *spec);
void jh_feed_destroy(struct jh_feed *f);

/* The live entry daemons; copied. */
void jh_feed_set_peers(
    struct jh_feed *f, const struct jh_feed_peer *peers, size_t n);

/* Starts what is due; call it every few milliseconds. */
void jh_feed_tick(struct jh_feed *f);

/*
 * Pulls from a process at once, because it was seen to know a newer revision.
 */
void jh_feed_hint(struct jh_feed *f, const struct sockaddr_in *rpc_address);

/*
 * Pulls out of turn from an entry daemon drawn at random, which exchanges
 * crash reports in both directions. Watchers pull from nobody otherwise.
 */
void jh_feed_exchange(struct jh_feed *f);

/* Answers a peer's pull, without crash reports. */
void jh_feed_serve(struct jh_feed *f, const struct jh_sync_args *args,
    struct jh_sync_reply *reply);

/*
 * Microseconds since the copy was known to hold every accepted edit;
 * JH_SYNC_AGE_UNKNOWN before the first time.
 */
uint64_t jh_feed_age(struct jh_feed *f);
/* Whether the copy holds every edit accepted before the start. */
bool jh_feed_is_current(struct jh_feed *f);
bool jh_feed_is_watcher(struct jh_feed *f);

#endif
