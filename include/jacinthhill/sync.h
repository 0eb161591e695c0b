#ifndef JACINTHHILL_SYNC_H
#define JACINTHHILL_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Decides when a daemon lists or watches the store and from which peer it
 * pulls, so that its catalogue copy stays current. In each availability zone
 * the two entry daemons first by rendezvous watch the store; the other entry
 * daemons pull from them every second, and agents from any entry daemon of
 * their zone every 3 s. Pure: the caller carries out the actions and reports
 * each result exactly once, at the latest at the action's deadline.
 */
struct jh_sync;

enum jh_sync_role { JH_SYNC_ENTRY, JH_SYNC_AGENT };

enum jh_sync_action_kind {
	JH_SYNC_LIST, /* list the store in full */
	JH_SYNC_WATCH, /* watch the store from a revision */
	JH_SYNC_PULL /* JH_SYNC to a peer */
};

struct jh_sync_action {
	enum jh_sync_action_kind kind;
	uint64_t from; /* watch: the revision */
	unsigned int wait_ms; /* watch */
	char peer[64]; /* pull: the instance */
	uint64_t deadline;
};

enum jh_sync_result {
	JH_SYNC_OK,
	JH_SYNC_IDLE, /* watch: the wait ended without a change */
	JH_SYNC_FAILED, /* no answer, unavailable or throttled */
	JH_SYNC_EXPIRED /* watch: the revision is too old */
};

/* A live entry daemon; names longer than 63 bytes are cut. */
struct jh_sync_peer {
	const char *instance;
	const char *zone; /* availability zone */
};

struct jh_sync_spec {
	const char *instance;
	const char *zone; /* availability zone */
	enum jh_sync_role role;
	GRand *rand; /* must outlive the machine */
};

/* A peer that cannot tell an age. */
#define JH_SYNC_AGE_UNKNOWN UINT64_MAX

struct jh_sync *jh_sync_create(const struct jh_sync_spec *spec, uint64_t now);
void jh_sync_destroy(struct jh_sync *s);

/* The live entry daemons of all availability zones, with or without self. */
void jh_sync_set_peers(
    struct jh_sync *s, const struct jh_sync_peer *peers, size_t n);

/*
 * Gives the next action to start, if one is due. revision is the copy's. Call
 * it until it returns false, after every event and at jh_sync_wake().
 */
bool jh_sync_next(struct jh_sync *s, uint64_t now, uint64_t revision,
    struct jh_sync_action *out);
/* When jh_sync_next() next has something to decide without an event. */
uint64_t jh_sync_wake(const struct jh_sync *s);

/* The list or watch has ended, and what it brought is in the copy. */
void jh_sync_on_store(
    struct jh_sync *s, uint64_t now, enum jh_sync_result result);
/*
 * The pull has ended, and what it brought is in the copy. age is how long ago
 * the store confirmed the peer's copy, in microseconds; unknown if the reply
 * was cut.
 */
void jh_sync_on_pull(struct jh_sync *s, uint64_t now, bool ok, uint64_t age);

/*
 * Every edit accepted before this time is in the copy; 0: not known. Answer
 * pulls with the age of this time.
 */
uint64_t jh_sync_confirmed(const struct jh_sync *s);
/*
 * Whether the copy holds every edit accepted before the start, or the store
 * could not be asked. A daemon that serves earlier may undo an edit that it
 * served before it was restarted.
 */
bool jh_sync_is_current(const struct jh_sync *s, uint64_t now);
/* Whether this daemon now counts itself among its zone's watchers. */
bool jh_sync_is_watcher(const struct jh_sync *s, uint64_t now);

#endif
