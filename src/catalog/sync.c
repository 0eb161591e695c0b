#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/sync.h>

#include "catalog/peers.h"

/* Time from the start of a failed pull to that of one from the next peer. */
#define PULL_RETRY_USEC (JH_USEC_PER_SEC / 4)
/* If both watchers of a zone fail, an edit is late by two of these timeouts. */
#define PULL_TIMEOUT_USEC (JH_USEC_PER_SEC / 2)

/*
 * An edit must be in force everywhere within 8 s. If a watch is lost without an
 * error, the 8 s have to cover its wait, WATCH_GRACE_USEC, a first retry and
 * two pulls.
 */
#define WATCH_WAIT_MS 3000
#define WATCH_GRACE_USEC JH_USEC_PER_SEC
/* Limits the rate of reads by a zone's watchers during bulk edits. */
#define WATCH_INTERVAL_USEC (JH_USEC_PER_SEC / 5)
/* Doubles after a list that took longer. */
#define LIST_TIMEOUT_USEC (10 * JH_USEC_PER_SEC)
#define MAX_LIST_DOUBLINGS 3

/* Backoff of a watcher whose store calls fail. */
#define WATCH_BACKOFF_USEC (JH_USEC_PER_SEC / 4)
#define MAX_WATCH_BACKOFF_USEC (2 * JH_USEC_PER_SEC)

/*
 * If the copy has not been confirmed for this long, every second pull goes to a
 * random peer: watchers that were replaced during an outage of the store have
 * no copy to give.
 */
#define STALE_AGE_USEC (10 * JH_USEC_PER_SEC)
/* A new entry daemon waits this long for the first list of entry daemons. */
#define PEERS_WAIT_USEC (2 * JH_USEC_PER_SEC)

/*
 * A new entry daemon asks the store whether the copy that it got from a peer is
 * current, after a random delay of at most this. If 340 start together, they
 * make 680 reads/s of the 2,000 that the store allows.
 */
#define START_CHECK_DELAY_USEC (JH_USEC_PER_SEC / 2)
/*
 * A store that has not answered so long after the start is taken as
 * unavailable. Half of the 8 s in which an edit must be in force.
 */
#define START_TIMEOUT_USEC (4 * JH_USEC_PER_SEC)

/*
 * Intervals by role, in microseconds.
 *
 * A pull is about 800 bytes on the wire. With 6,400 agents on 340 entry
 * daemons, agents that pulled every second would use up an entry daemon's
 * 15 KB/s on their own, so they pull every 3 s.
 *
 * A daemon that is not a watcher polls the store only while it gets no reply
 * from peers. At the longest poll interval, 340 entry daemons make about 30
 * reads/s and 6,400 agents about 142.
 */
struct sync_policy {
	uint64_t pull_interval;
	uint64_t peer_timeout; /* without a successful pull, polls the store */
	uint64_t min_poll_interval; /* also the limit of the first wait */
	uint64_t max_poll_interval; /* the interval doubles up to this */
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
	bool peers_known;
	uint64_t revision; /* of the copy, at the last jh_sync_next() */
	uint64_t started;
	uint64_t confirmed_at; /* see jh_sync_confirmed_at() */
	bool start_check_scheduled; /* of the first copy, at store_due */
	bool store_failed; /* a store call has failed since the start */

	bool store_in_progress;
	enum jh_sync_action_kind store_action;
	unsigned int store_wait_ms;
	uint64_t store_sent;
	uint64_t store_due;
	unsigned int store_failures; /* in a row */
	bool must_list; /* the changes since our revision can't be had */
	unsigned int slow_lists; /* in a row */
	bool was_watcher;
	uint64_t poll_interval; /* 0: peers reply */

	bool pull_in_progress;
	char pull_peer[SYNC_NAME_SIZE];
	uint64_t pull_sent;
	uint64_t pull_due;
	uint64_t pull_success; /* time of the last success, or the start */
	unsigned int pull_round;
};

/* A random time from half of span to span, to spread calls of daemons. */
static uint64_t
jitter(struct jh_sync *s, uint64_t span)
{
	return (
	    uint64_t)((double)span * g_rand_double_range(s->rand, 0.5, 1.0));
}

/* A random time of up to span. */
static uint64_t
random_delay(struct jh_sync *s, uint64_t span)
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
	s->pull_success = now;
	s->pull_due = now + random_delay(s, PULL_RETRY_USEC);
	s->store_due =
	    now + random_delay(s, policies[s->role].min_poll_interval);
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
	if (!s->peers_known)
		s->pull_due = 0;
	s->peers_known = true;
}

bool
jh_sync_is_watcher(const struct jh_sync *s, uint64_t now)
{
	struct sync_peer *preferred[2];
	unsigned int i, n;

	if (s->role != JH_SYNC_ENTRY)
		return false;
	if (!s->peers_known && now < s->started + PEERS_WAIT_USEC)
		return false;
	n = sync_peers_preferred(s->peers, s->zone, now, preferred);
	for (i = 0; i < n; i++) {
		if (preferred[i]->self)
			return true;
	}
	return false;
}

uint64_t
jh_sync_confirmed_at(const struct jh_sync *s)
{
	return s->confirmed_at;
}

bool
jh_sync_is_current(const struct jh_sync *s, uint64_t now)
{
	if (s->confirmed_at >= s->started)
		return true;
	if (s->confirmed_at == 0)
		return false;
	return s->store_failed || now >= s->started + START_TIMEOUT_USEC;
}

static bool
is_stale(const struct jh_sync *s, uint64_t now)
{
	return s->confirmed_at == 0 || s->confirmed_at + STALE_AGE_USEC < now;
}

static void
confirm(struct jh_sync *s, uint64_t at)
{
	s->confirmed_at = MAX(s->confirmed_at, at);
}

/* Whether an entry daemon's copy may lack edits from before its start. */
static bool
needs_start_check(const struct jh_sync *s, uint64_t revision)
{
	return s->role == JH_SYNC_ENTRY && revision != 0 &&
	       s->confirmed_at < s->started && !s->store_failed;
}

/* Whether a daemon that is not a watcher may call the store now. */
static bool
poll_is_due(struct jh_sync *s, uint64_t now, uint64_t revision)
{
	if (needs_start_check(s, revision)) {
		if (!s->start_check_scheduled)
			s->store_due = MIN(s->store_due,
			    now + random_delay(s, START_CHECK_DELAY_USEC));
		s->start_check_scheduled = true;
		return now >= s->store_due;
	}
	if (revision != 0 &&
	    now < s->pull_success + policies[s->role].peer_timeout) {
		s->poll_interval = 0;
		return false;
	}
	if (s->poll_interval == 0 && revision != 0) {
		/* Peers have just stopped replying; spread the polls. */
		s->poll_interval = policies[s->role].min_poll_interval;
		s->store_due = now + random_delay(s, s->poll_interval);
	}
	return now >= s->store_due;
}

static void
schedule_poll(struct jh_sync *s, uint64_t now)
{
	const struct sync_policy *p = &policies[s->role];

	s->poll_interval =
	    s->poll_interval == 0 ? p->min_poll_interval : s->poll_interval * 2;
	s->poll_interval = MIN(s->poll_interval, p->max_poll_interval);
	s->store_due = now + jitter(s, s->poll_interval);
}

static void
start_store_call(struct jh_sync *s, uint64_t now, uint64_t revision,
    unsigned int wait_ms, struct jh_sync_action *out)
{
	bool list = revision == 0 || s->must_list;
	bool check = needs_start_check(s, revision);

	if (check)
		wait_ms = 0;
	out->kind = list ? JH_SYNC_LIST : JH_SYNC_WATCH;
	out->from_revision = revision;
	out->wait_ms = list ? 0 : wait_ms;
	out->deadline =
	    now +
	    (list ? LIST_TIMEOUT_USEC << MIN(s->slow_lists, MAX_LIST_DOUBLINGS)
		  : wait_ms * JH_USEC_PER_MSEC + WATCH_GRACE_USEC);
	if (check)
		out->deadline =
		    MAX(out->deadline, s->started + START_TIMEOUT_USEC);
	s->store_in_progress = true;
	s->store_action = out->kind;
	s->store_wait_ms = out->wait_ms;
	s->store_sent = now;
}

static bool
next_store_call(struct jh_sync *s, uint64_t now, uint64_t revision,
    struct jh_sync_action *out)
{
	bool watcher = jh_sync_is_watcher(s, now);

	s->revision = revision;
	/* A new watcher starts at once and not at its next poll. */
	if (watcher && !s->was_watcher && s->peers_known)
		s->store_due = MIN(s->store_due, now);
	s->was_watcher = watcher;
	if (s->store_in_progress)
		return false;
	if (watcher) {
		if (now < s->store_due)
			return false;
		start_store_call(s, now, revision, WATCH_WAIT_MS, out);
		return true;
	}
	if (!poll_is_due(s, now, revision))
		return false;
	schedule_poll(s, now);
	start_store_call(s, now, revision, 0, out);
	return true;
}

void
jh_sync_on_store(struct jh_sync *s, uint64_t now, enum jh_sync_result result)
{
	uint64_t wait;

	s->store_in_progress = false;
	if (result == JH_SYNC_UNUSABLE) {
		if (s->store_action == JH_SYNC_LIST)
			s->slow_lists++;
		s->must_list = true;
	}
	if (result == JH_SYNC_FAILED || result == JH_SYNC_UNUSABLE) {
		s->store_failed |= result == JH_SYNC_FAILED;
		wait = WATCH_BACKOFF_USEC << MIN(s->store_failures, 4U);
		wait = jitter(s, MIN(wait, MAX_WATCH_BACKOFF_USEC));
		s->store_failures++;
		if (s->was_watcher)
			s->store_due = now + wait;
		return;
	}
	s->store_failures = 0;
	s->slow_lists = 0;
	s->must_list = result == JH_SYNC_EXPIRED;
	if (s->was_watcher)
		s->store_due = MAX(now, s->store_sent + WATCH_INTERVAL_USEC);
	/* When the store read its state is not known; take the earliest. */
	if (result == JH_SYNC_OK)
		confirm(s, s->store_sent);
	else if (result == JH_SYNC_UNCHANGED)
		confirm(s, s->store_sent + s->store_wait_ms * JH_USEC_PER_MSEC);
}

/* Returns the peer to pull from, or NULL if no pull is needed. */
static struct sync_peer *
choose_peer(struct jh_sync *s, uint64_t now, uint64_t revision)
{
	const char *zone = s->zone;
	struct sync_peer *preferred[2];
	unsigned int n;
	bool stale = is_stale(s, now);

	if (jh_sync_is_watcher(s, now))
		return stale || revision == 0
			   ? sync_peers_random(s->peers, now, s->rand)
			   : NULL;
	s->pull_round++;
	n = sync_peers_preferred(s->peers, zone, now, preferred);
	if (n == 0)
		n = sync_peers_preferred(s->peers, NULL, now, preferred);
	if (n == 0 || (stale && s->pull_round % 2 == 0))
		return sync_peers_random(s->peers, now, s->rand);
	/*
	 * A stale copy reaches this line in odd rounds only. The halved count
	 * takes both peers in turn also then.
	 */
	return preferred[s->pull_round / 2 % n];
}

/* A daemon without a copy pulls more often. */
static uint64_t
pull_interval(const struct jh_sync *s)
{
	return s->revision == 0 ? JH_USEC_PER_SEC
				: policies[s->role].pull_interval;
}

static bool
start_pull_if_due(struct jh_sync *s, uint64_t now, uint64_t revision,
    struct jh_sync_action *out)
{
	struct sync_peer *peer;

	if (s->pull_in_progress || now < s->pull_due)
		return false;
	s->pull_due = now + pull_interval(s);
	peer = choose_peer(s, now, revision);
	if (peer == NULL || peer->self)
		return false;
	out->kind = JH_SYNC_PULL;
	g_strlcpy(out->peer, peer->instance, sizeof(out->peer));
	out->deadline = now + PULL_TIMEOUT_USEC;
	g_strlcpy(s->pull_peer, peer->instance, sizeof(s->pull_peer));
	s->pull_in_progress = true;
	s->pull_sent = now;
	return true;
}

void
jh_sync_on_pull(struct jh_sync *s, uint64_t now, bool ok, uint64_t age)
{
	s->pull_in_progress = false;
	sync_peers_record_pull(s->peers, s->pull_peer, ok, now);
	if (!ok) {
		s->pull_due = MAX(now, s->pull_sent + PULL_RETRY_USEC);
		return;
	}
	s->pull_success = now;
	s->pull_due = MAX(now, s->pull_sent + pull_interval(s));
	if (age != JH_SYNC_AGE_UNKNOWN && age < s->pull_sent)
		confirm(s, s->pull_sent - age);
}

bool
jh_sync_next(struct jh_sync *s, uint64_t now, uint64_t revision,
    struct jh_sync_action *out)
{
	memset(out, 0, sizeof(*out));
	return next_store_call(s, now, revision, out) ||
	       start_pull_if_due(s, now, revision, out);
}

uint64_t
jh_sync_next_wakeup(const struct jh_sync *s)
{
	uint64_t pull = s->pull_in_progress ? JH_NEVER : s->pull_due;
	uint64_t store = s->store_in_progress ? JH_NEVER : s->store_due;

	/* A daemon that is not a watcher polls only if no peer replies. */
	if (!s->was_watcher && s->revision != 0 &&
	    !needs_start_check(s, s->revision))
		store = MAX(
		    store, s->pull_success + policies[s->role].peer_timeout);
	return MIN(pull, store);
}
