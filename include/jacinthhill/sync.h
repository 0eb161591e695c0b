#ifndef JACINTHHILL_SYNC_H
#define JACINTHHILL_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Decides when a daemon lists or watches the store and from which peer it
 * pulls, so that its copy of the catalogue stays current. In each availability
 * zone the two entry daemons with the lowest rendezvous hash watch the store
 * (watchers). The other entry daemons pull from them every second, and agents
 * pull from the entry daemons of their zone every 3 s.
 *
 * It does no I/O: the caller carries out the actions and reports each result
 * exactly once, at the latest at the deadline of the action.
 */
struct jh_sync;

enum jh_sync_role { JH_SYNC_ENTRY, JH_SYNC_AGENT };

enum jh_sync_action_kind {
	JH_SYNC_LIST, /* list all objects of the store */
	JH_SYNC_WATCH, /* watch the store from a revision */
	JH_SYNC_PULL /* call JH_SYNC of a peer */
};

struct jh_sync_action {
	enum jh_sync_action_kind kind;
	uint64_t from_revision; /* watch: the revision */
	unsigned int wait_ms; /* watch: how long it waits for changes */
	char peer[64]; /* pull: the instance to pull from */
	uint64_t deadline;
};

enum jh_sync_result {
	JH_SYNC_OK,
	JH_SYNC_UNCHANGED, /* watch: the wait ended without a change */
	JH_SYNC_FAILED, /* no reply, unavailable or throttled */
	/*
	 * The reply was too large, took too long or could not be read: the same
	 * call would fail again.
	 */
	JH_SYNC_UNUSABLE,
	JH_SYNC_EXPIRED /* watch: the store has no history from that revision */
};

/* A live entry daemon. Names are cut after 63 bytes. */
struct jh_sync_peer {
	const char *instance;
	const char *zone; /* availability zone */
};

struct jh_sync_spec {
	const char *instance;
	const char *zone; /* availability zone */
	enum jh_sync_role role;
	GRand *rand; /* must outlive the struct jh_sync */
};

/* Age of a reply that states none. */
#define JH_SYNC_AGE_UNKNOWN UINT64_MAX

struct jh_sync *jh_sync_create(const struct jh_sync_spec *spec, uint64_t now);
void jh_sync_destroy(struct jh_sync *s);

/*
 * Sets the list of live entry daemons of all availability zones. This daemon
 * may be in it or not.
 */
void jh_sync_set_peers(
    struct jh_sync *s, const struct jh_sync_peer *peers, size_t n);

/*
 * Stores the next action to start in *out and returns true, or returns false if
 * none is due. revision is that of the copy. Call it until it returns false,
 * after every event and at jh_sync_next_wakeup().
 */
bool jh_sync_next(struct jh_sync *s, uint64_t now, uint64_t revision,
    struct jh_sync_action *out);
/* The time at which to call jh_sync_next() if there is no event before. */
uint64_t jh_sync_next_wakeup(const struct jh_sync *s);

/* Reports the end of a list or watch, after its changes were merged. */
void jh_sync_on_store(
    struct jh_sync *s, uint64_t now, enum jh_sync_result result);
/*
 * Reports the end of a pull, after its delta was applied. age is how long ago
 * the store confirmed the peer's copy, in microseconds; JH_SYNC_AGE_UNKNOWN if
 * the reply was cut.
 */
void jh_sync_on_pull(struct jh_sync *s, uint64_t now, bool ok, uint64_t age);

/*
 * Returns a time before which the copy lacks no edit that the store accepted; 0
 * if none is known. Replies to pulls state the age of this time.
 */
uint64_t jh_sync_confirmed_at(const struct jh_sync *s);
/*
 * Whether the copy has every edit that was accepted before this daemon started,
 * or the store could not be asked. A daemon that serves requests before that
 * may use an older copy than it did before its restart, and so undo an edit.
 */
bool jh_sync_is_current(const struct jh_sync *s, uint64_t now);
/* Whether this daemon is one of the watchers of its zone. */
bool jh_sync_is_watcher(const struct jh_sync *s, uint64_t now);

#endif
