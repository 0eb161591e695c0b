#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/sync.h>

#include "catalog/peers.h"

/* A failed pull is followed this soon by one from the next peer. */
#define PULL_RETRY_USEC (JH_USEC_PER_SEC / 4)
/* When both watchers of a zone vanish, two of these delay the edit. */
#define PULL_TIMEOUT_USEC (JH_USEC_PER_SEC / 2)

/*
 * An edit must be in force within 8 s. A watch lost without notice costs its
 * wait, WATCH_GRACE_USEC and a first retry, and two pulls follow it.
 */
#define WATCH_WAIT_MS 3000
#define WATCH_GRACE_USEC JH_USEC_PER_SEC
/* Bounds the reads of a zone's watchers while edits come in bulk. */
#define WATCH_INTERVAL_USEC (JH_USEC_PER_SEC / 5)
#define LIST_TIMEOUT_USEC (10 * JH_USEC_PER_SEC)

/* Retries of a watcher whose store calls fail. */
#define WATCH_BACKOFF_USEC (JH_USEC_PER_SEC / 4)
#define MAX_WATCH_BACKOFF_USEC (2 * JH_USEC_PER_SEC)

/*
 * Beyond this age of the copy every second pull goes to any peer at all:
 * watchers that were replaced during an outage of the store know nothing.
 */
#define STALE_USEC (10 * JH_USEC_PER_SEC)
/* How long a start waits for the first list of members. */
#define MEMBERS_WAIT_USEC (2 * JH_USEC_PER_SEC)

/*
 * A starting entry daemon asks the store within this time whether the copy that
 * it has from a peer is current. 340 that start together make 680 of the 2,000
 * reads/s.
 */
#define START_POLL_USEC (JH_USEC_PER_SEC / 2)
/* A store that has not answered by then is taken as down; half of IN_FORCE. */
#define START_WAIT_USEC (4 * JH_USEC_PER_SEC)

/*
 * A pull is about 800 bytes on the wire. With 6,400 agents on 340 entry
 * daemons, agents that pull every second would alone take an entry daemon's
 * 15 KB/s, so they pull every 3 s.
 *
 * Store polls are of daemons that are not watchers and hear no peer. At the
 * longest interval, 340 entry daemons make about 30 and 6,400 agents about 142
 * reads/s.
 */
struct sync_policy {
	uint64_t pull_interval;
	uint64_t
	    silent; /* time without a good pull before the store is asked */
	uint64_t first_poll; /* longest wait before the first poll */
	uint64_t longest_poll; /* interval that the backoff ends at */
};

static const struct sync_policy policies[] = {
    [JH_SYNC_ENTRY] = {1 * JH_USEC_PER_SEC, 3 * JH_USEC_PER_SEC,
	2 * JH_USEC_PER_SEC, 15 * JH_USEC_PER_SEC},
    [JH_SYNC_AGENT] = {3 * JH_USEC_PER_SEC, 9 * JH_USEC_PER_SEC,
	20 * JH_USEC_PER_SEC, 60 * JH_USEC_PER_SEC},
};

struct jh_sync {
	enum jh_sync_role role;
	char zone[SYNC_NAME_SIZE];
	GRand *rand;
	struct sync_peers *peers;
	bool members_known;
	uint64_t revision; /* of the copy, as last told */
	uint64_t started;
	uint64_t confirmed;
	bool start_polled; /* the check of the first copy is scheduled */
	bool store_failed; /* a call has failed since the start */

	bool store_busy;
	enum jh_sync_action_kind store_kind;
	unsigned int store_wait_ms;
	uint64_t store_sent;
	uint64_t store_due;
	unsigned int store_failures; /* in a row */
	bool must_list; /* the store no longer knows our revision */
	bool was_watcher;
	uint64_t poll_interval; /* 0: peers are not silent */

	bool pull_busy;
	char pull_peer[SYNC_NAME_SIZE];
	uint64_t pull_sent;
	uint64_t pull_due;
	uint64_t pull_good; /* last success, or the start */
	unsigned int pull_round;
};

/* A random point in the second half of a span, so that herds spread out. */
static uint64_t
jitter(struct jh_sync *s, uint64_t span)
{
	return (
	    uint64_t)((double)span * g_rand_double_range(s->rand, 0.5, 1.0));
}

static uint64_t
any_part(struct jh_sync *s, uint64_t span)
{
	return (uint64_t)((double)span * g_rand_double(s->rand));
}

struct jh_sync *
jh_sync_create(const struct jh_sync_spec *spec, uint64_t now)
{
	struct jh_sync *s = g_new0(struct jh_sync, 1);
	const bool entry = spec->role == JH_SYNC_ENTRY;

	s->role = spec->role;
	s->rand = spec->rand;
	g_strlcpy(s->zone, spec->zone, sizeof(s->zone));
	s->peers = sync_peers_create(spec->instance, spec->role);
	if (entry)
		sync_peers_add_self(s->peers, s->zone);
	s->started = now;
	s->pull_good = now;
	s->pull_due = now + any_part(s, PULL_RETRY_USEC);
	s->store_due = now + any_part(s, policies[s->role].first_poll);
	return s;
}

void
jh_sync_destroy(struct jh_sync *s)
{
	if (s == NULL)
		return;
	sync_peers_destroy(s->peers);
	g_free(s);
}

void
jh_sync_set_peers(struct jh_sync *s, const struct jh_sync_peer *peers, size_t n)
{
	sync_peers_set(s->peers, peers, n);
	if (s->role == JH_SYNC_ENTRY)
		sync_peers_add_self(s->peers, s->zone);
	if (!s->members_known)
		s->pull_due = 0;
	s->members_known = true;
}

bool
jh_sync_is_watcher(const struct jh_sync *s, uint64_t now)
{
	struct sync_peer *first[2];
	unsigned int i, n;

	if (s->role != JH_SYNC_ENTRY)
		return false;
	if (!s->members_known && now < s->started + MEMBERS_WAIT_USEC)
		return false;
	n = sync_peers_first(s->peers, s->zone, now, first);
	for (i = 0; i < n; i++) {
		if (first[i]->self)
			return true;
	}
	return false;
}

uint64_t
jh_sync_confirmed(const struct jh_sync *s)
{
	return s->confirmed;
}

bool
jh_sync_is_current(const struct jh_sync *s, uint64_t now)
{
	if (s->confirmed >= s->started)
		return true;
	if (s->confirmed == 0)
		return false;
	return s->store_failed || now >= s->started + START_WAIT_USEC;
}

static bool
is_stale(const struct jh_sync *s, uint64_t now)
{
	return s->confirmed == 0 || s->confirmed + STALE_USEC < now;
}

static void
confirm(struct jh_sync *s, uint64_t at)
{
	s->confirmed = MAX(s->confirmed, at);
}

/* Whether an entry daemon's copy may miss edits from before its start. */
static bool
must_check_start(const struct jh_sync *s, uint64_t revision)
{
	return s->role == JH_SYNC_ENTRY && revision != 0 &&
	       s->confirmed < s->started && !s->store_failed;
}

/* Whether a daemon that does not watch may ask the store now. */
static bool
may_poll(struct jh_sync *s, uint64_t now, uint64_t revision)
{
	if (must_check_start(s, revision)) {
		if (!s->start_polled)
			s->store_due = MIN(
			    s->store_due, now + any_part(s, START_POLL_USEC));
		s->start_polled = true;
		return now >= s->store_due;
	}
	if (revision != 0 && now < s->pull_good + policies[s->role].silent) {
		s->poll_interval = 0;
		return false;
	}
	if (s->poll_interval == 0 && revision != 0) {
		/* Peers have just fallen silent; not all start at once. */
		s->poll_interval = policies[s->role].first_poll;
		s->store_due = now + any_part(s, s->poll_interval);
	}
	return now >= s->store_due;
}

static void
schedule_poll(struct jh_sync *s, uint64_t now)
{
	const struct sync_policy *p = &policies[s->role];

	s->poll_interval =
	    s->poll_interval == 0 ? p->first_poll : s->poll_interval * 2;
	s->poll_interval = MIN(s->poll_interval, p->longest_poll);
	s->store_due = now + jitter(s, s->poll_interval);
}

static void
start_store(struct jh_sync *s, uint64_t now, uint64_t revision,
    unsigned int wait_ms, struct jh_sync_action *out)
{
	bool list = revision == 0 || s->must_list;
	bool check = must_check_start(s, revision);

	if (check)
		wait_ms = 0;
	out->kind = list ? JH_SYNC_LIST : JH_SYNC_WATCH;
	out->from = revision;
	out->wait_ms = list ? 0 : wait_ms;
	out->deadline =
	    now + (list ? LIST_TIMEOUT_USEC
			: wait_ms * JH_USEC_PER_MSEC + WATCH_GRACE_USEC);
	if (check)
		out->deadline =
		    MAX(out->deadline, s->started + START_WAIT_USEC);
	s->store_busy = true;
	s->store_kind = out->kind;
	s->store_wait_ms = out->wait_ms;
	s->store_sent = now;
}

static bool
next_store(struct jh_sync *s, uint64_t now, uint64_t revision,
    struct jh_sync_action *out)
{
	bool watcher = jh_sync_is_watcher(s, now);

	s->revision = revision;
	/* A daemon that has just become a watcher waits for no old poll. */
	if (watcher && !s->was_watcher && s->members_known)
		s->store_due = MIN(s->store_due, now);
	s->was_watcher = watcher;
	if (s->store_busy)
		return false;
	if (watcher) {
		if (now < s->store_due)
			return false;
		start_store(s, now, revision, WATCH_WAIT_MS, out);
		return true;
	}
	if (!may_poll(s, now, revision))
		return false;
	schedule_poll(s, now);
	start_store(s, now, revision, 0, out);
	return true;
}

void
jh_sync_on_store(struct jh_sync *s, uint64_t now, enum jh_sync_result result)
{
	uint64_t wait;

	s->store_busy = false;
	if (result == JH_SYNC_FAILED) {
		s->store_failed = true;
		wait = WATCH_BACKOFF_USEC << MIN(s->store_failures, 4U);
		wait = jitter(s, MIN(wait, MAX_WATCH_BACKOFF_USEC));
		s->store_failures++;
		if (s->was_watcher)
			s->store_due = now + wait;
		return;
	}
	s->store_failures = 0;
	s->must_list = result == JH_SYNC_EXPIRED;
	if (s->was_watcher)
		s->store_due = MAX(now, s->store_sent + WATCH_INTERVAL_USEC);
	/* The store answered some time after it was asked. */
	if (result == JH_SYNC_OK)
		confirm(s, s->store_sent);
	else if (result == JH_SYNC_IDLE)
		confirm(s, s->store_sent + s->store_wait_ms * JH_USEC_PER_MSEC);
}

/* The peer to pull from, or NULL when this daemon needs none. */
static struct sync_peer *
choose_peer(struct jh_sync *s, uint64_t now, uint64_t revision)
{
	const char *zone = s->zone;
	struct sync_peer *first[2];
	unsigned int n;
	bool stale = is_stale(s, now);

	if (jh_sync_is_watcher(s, now))
		return stale || revision == 0
			   ? sync_peers_random(s->peers, now, s->rand)
			   : NULL;
	s->pull_round++;
	n = sync_peers_first(s->peers, zone, now, first);
	if (n == 0)
		n = sync_peers_first(s->peers, NULL, now, first);
	if (n == 0 || (stale && s->pull_round % 2 == 0))
		return sync_peers_random(s->peers, now, s->rand);
	/* Halved, so that staleness does not always hide the same one. */
	return first[s->pull_round / 2 % n];
}

/* A daemon that has no copy yet asks more often. */
static uint64_t
pull_interval(const struct jh_sync *s)
{
	return s->revision == 0 ? JH_USEC_PER_SEC
				: policies[s->role].pull_interval;
}

static bool
next_pull(struct jh_sync *s, uint64_t now, uint64_t revision,
    struct jh_sync_action *out)
{
	struct sync_peer *peer;

	if (s->pull_busy || now < s->pull_due)
		return false;
	s->pull_due = now + pull_interval(s);
	peer = choose_peer(s, now, revision);
	if (peer == NULL || peer->self)
		return false;
	out->kind = JH_SYNC_PULL;
	g_strlcpy(out->peer, peer->instance, sizeof(out->peer));
	out->deadline = now + PULL_TIMEOUT_USEC;
	g_strlcpy(s->pull_peer, peer->instance, sizeof(s->pull_peer));
	s->pull_busy = true;
	s->pull_sent = now;
	return true;
}

void
jh_sync_on_pull(struct jh_sync *s, uint64_t now, bool ok, uint64_t age)
{
	s->pull_busy = false;
	sync_peers_note(s->peers, s->pull_peer, ok, now);
	if (!ok) {
		s->pull_due = MAX(now, s->pull_sent + PULL_RETRY_USEC);
		return;
	}
	s->pull_good = now;
	s->pull_due = MAX(now, s->pull_sent + pull_interval(s));
	if (age != JH_SYNC_AGE_UNKNOWN && age < s->pull_sent)
		confirm(s, s->pull_sent - age);
}

bool
jh_sync_next(struct jh_sync *s, uint64_t now, uint64_t revision,
    struct jh_sync_action *out)
{
	memset(out, 0, sizeof(*out));
	return next_store(s, now, revision, out) ||
	       next_pull(s, now, revision, out);
}

uint64_t
jh_sync_wake(const struct jh_sync *s)
{
	uint64_t pull = s->pull_busy ? JH_NEVER : s->pull_due;
	uint64_t store = s->store_busy ? JH_NEVER : s->store_due;

	/* Daemons that hear their peers leave the store alone. */
	if (!s->was_watcher && s->revision != 0 &&
	    !must_check_start(s, s->revision))
		store = MAX(store, s->pull_good + policies[s->role].silent);
	return MIN(pull, store);
}
