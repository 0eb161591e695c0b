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
 * Keeps a daemon's copy of the catalogue current: makes the calls to the object
 * store and to peers that the state machine of jacinthhill/sync.h decides on.
 * Pulls from peers run on a thread of their own and also exchange reports of
 * requests that are suspected of crashes.
 */
struct jh_feed;

struct jh_feed_ops {
	/* Adds crash reports to a request to a peer; may be NULL. */
	void (*fill_request)(void *arg, struct jh_sync_args *args);
	/* Reads the crash reports of a peer's reply; may be NULL. */
	void (*on_reply)(void *arg, const struct jh_sync_reply *reply);
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

/* Sets the live entry daemons (copied). */
void jh_feed_set_peers(
    struct jh_feed *f, const struct jh_feed_peer *peers, size_t n);

/* Starts the actions that are due; call it every few milliseconds. */
void jh_feed_tick(struct jh_feed *f);

/*
 * Pulls from a process at once, because it has a newer revision. Does nothing
 * while another unscheduled pull is in progress.
 */
void jh_feed_pull_now(struct jh_feed *f, const struct sockaddr_in *rpc_address);

/*
 * Pulls at once from a random entry daemon, which exchanges crash reports in
 * both directions. Needed for watchers, which make no other pulls.
 */
void jh_feed_pull_from_random_peer(struct jh_feed *f);

/* Fills the reply to a peer's pull, without crash reports. */
void jh_feed_serve(struct jh_feed *f, const struct jh_sync_args *args,
    struct jh_sync_reply *reply);

/*
 * Microseconds since the copy was last known to hold every accepted edit, or
 * JH_SYNC_AGE_UNKNOWN if it never was.
 */
uint64_t jh_feed_age(struct jh_feed *f);
/* Whether the copy holds every edit that was accepted before the start. */
bool jh_feed_is_current(struct jh_feed *f);
/* Whether this daemon watches the store itself. */
bool jh_feed_is_watcher(struct jh_feed *f);

#endif
