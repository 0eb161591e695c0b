#include <string.h>

#include <glib.h>

#include "member/election.h"

/* Timeout of a call to the store. */
#define CALL_TIMEOUT_USEC 800000ULL

struct jh_election {
	struct jh_election_spec spec;
	char *holder;
	bool resigned;
	bool standby;
	bool in_call;
	bool writing;
	uint64_t call_sent;
	uint64_t call_era; /* the era when it was sent */
	uint64_t next_call; /* earliest time of the next call */
	uint64_t era; /* of the store; 0: not known, or it has none */
	/* A leader of an earlier era may act until then; 0: none may. */
	uint64_t blocked_until;
	/*
	 * Until then, before any successor acts, this process may go on,
	 * because it led when it learnt of the era; 0: it did not.
	 */
	uint64_t goes_on_until;
	/* The object as last read or written. */
	bool seen;
	struct jh_position position; /* revision 0: absent */
	char *last_holder; /* NULL: absent */
	uint64_t term;
	uint64_t object_cooldown;
	bool released;
	bool own; /* written by this process, perhaps without a reply */
	bool of_earlier_era; /* it was written in one */
	uint64_t unchanged_since;
	uint64_t confirmed_at; /* when the object was last read or written */
	/* The present leadership. */
	uint64_t token; /* 0: not the leader */
	uint64_t lease_end;
	uint64_t last_action; /* of this process; 0: none */
	uint64_t wanted_at; /* when an action was last wanted; 0: never */
	bool write_allows_actions; /* the write in progress allows actions */
	bool may_act; /* the object allows actions until lease_end */
};

/* A leader that had nothing to do for this long becomes idle. */
#define IDLE_TIMEOUT_USEC 1000000ULL

struct jh_election *
jh_election_create(const struct jh_election_spec *spec)
{
	struct jh_election *e = g_new0(struct jh_election, 1);

	e->spec = *spec;
	e->holder = g_strdup(spec->holder);
	e->spec.holder = e->holder;
	return e;
}

void
jh_election_destroy(struct jh_election *e)
{
	if (e == NULL)
		return;
	g_free(e->holder);
	g_free(e->last_holder);
	g_free(e);
}

static bool
may_take_over(const struct jh_election *e, uint64_t now)
{
	uint64_t wait = e->object_cooldown;

	if (!e->seen || e->resigned || now < e->blocked_until)
		return false;
	if (e->position.revision == 0 || e->own ||
	    (e->of_earlier_era && now < e->goes_on_until))
		return true;
	/* On standby the leader may have renewed since; a read is cheaper. */
	if (now - e->confirmed_at > 2 * e->spec.poll_interval)
		return false;
	if (!e->released)
		wait += e->spec.lease_time;
	return now - e->unchanged_since >= wait;
}

static bool
wants_to_act(const struct jh_election *e, uint64_t now)
{
	return !e->resigned && e->wanted_at != 0 &&
	       now - e->wanted_at < IDLE_TIMEOUT_USEC;
}

/* Whether the lease must be renewed before the renewal interval has passed. */
static bool
is_urgent(const struct jh_election *e, uint64_t now)
{
	if (e->token == 0)
		return false;
	return e->resigned || (wants_to_act(e, now) && !e->may_act);
}

/* The cooldown that a write states for a successor. */
static uint64_t
cooldown_after(const struct jh_election *e, uint64_t now, bool acting)
{
	uint64_t whole = e->spec.min_gap + e->spec.max_transit;
	uint64_t past = now - e->last_action;

	if (acting)
		return whole;
	if (e->last_action == 0 || past >= whole)
		return 0;
	return whole - past;
}

bool
jh_election_next(
    struct jh_election *e, uint64_t now, struct jh_election_action *out)
{
	bool renew = e->token != 0;

	if (e->in_call || (now < e->next_call && !is_urgent(e, now)))
		return false;
	memset(out, 0, sizeof(*out));
	out->kind = JH_ELECTION_READ;
	if (renew || may_take_over(e, now)) {
		out->kind = e->position.revision == 0 ? JH_ELECTION_CREATE
						      : JH_ELECTION_WRITE;
		out->if_at = e->position;
		out->era = e->era;
		out->holder = e->holder;
		out->term = e->term + 1;
		e->write_allows_actions = renew && wants_to_act(e, now);
		/* The write may be executed before its reply arrives. */
		e->may_act = e->may_act && e->write_allows_actions;
		out->cooldown = cooldown_after(e, now, e->write_allows_actions);
		out->released = e->resigned;
	}
	out->deadline = now + CALL_TIMEOUT_USEC;
	e->in_call = true;
	e->writing = out->kind != JH_ELECTION_READ;
	e->call_sent = now;
	e->call_era = e->era;
	return true;
}

static bool
is_own_write(const struct jh_election *e, const struct jh_election_reply *reply)
{
	/* A write of an earlier era may be executed in a later one. */
	return reply->position.revision != 0 &&
	       reply->written_era == reply->position.era &&
	       jh_str_eq(reply->holder, jh_str_from(e->holder));
}

/* Records the state of the object as the store returned it. */
static void
record_object(
    struct jh_election *e, uint64_t now, const struct jh_election_reply *reply)
{
	int order = jh_position_compare(&reply->position, &e->position);

	e->confirmed_at = now;
	/* A stale read may return an older object than the known one. */
	if (e->seen &&
	    (order == 0 || (order < 0 && reply->position.revision != 0)))
		return;
	e->seen = true;
	e->position = reply->position;
	g_free(e->last_holder);
	e->last_holder =
	    reply->position.revision != 0 ? jh_str_dup(reply->holder) : NULL;
	e->term = reply->term;
	e->object_cooldown = reply->cooldown;
	e->released = reply->released;
	/* A copy, or a write that is executed late, hides the last leader. */
	e->of_earlier_era = reply->written_era != reply->position.era;
	if (e->of_earlier_era) {
		e->object_cooldown = e->spec.min_gap + e->spec.max_transit;
		e->released = false;
	}
	e->own = is_own_write(e, reply);
	e->unchanged_since = now;
}

/*
 * Below 2^53, which a JSON number holds exactly, for 8192 eras and 10^12
 * revisions.
 */
static uint64_t
token_at(const struct jh_position *p)
{
	return (p->era << 40) + p->revision;
}

static void
on_written(struct jh_election *e, const struct jh_election_reply *reply)
{
	/* No new token after resigning: orders may still be in transit. */
	if (e->resigned) {
		e->token = 0;
		return;
	}
	if (e->token == 0)
		e->token = token_at(&reply->position);
	e->lease_end = e->call_sent + e->spec.lease_time;
	e->may_act = e->write_allows_actions;
}

/* Interval of the calls, by what is known of the leader. */
static uint64_t
call_interval(const struct jh_election *e, uint64_t now)
{
	if (e->token != 0)
		return e->spec.renew_interval;
	if (e->standby && e->seen && e->position.revision != 0 &&
	    now - e->unchanged_since < e->spec.lease_time)
		return e->spec.standby_interval;
	return e->spec.poll_interval;
}

/* How long after the present a leader may act, and a successor not. */
static uint64_t
whole_wait(const struct jh_election *e)
{
	return e->spec.lease_time + e->spec.min_gap + e->spec.max_transit;
}

void
jh_election_begin_era(struct jh_election *e, uint64_t now, uint64_t era)
{
	if (era <= e->era)
		return;
	e->era = era;
	e->goes_on_until = 0;
	if (jh_election_is_leader(e, now))
		e->goes_on_until = e->lease_end + e->spec.lease_time;
	else
		e->blocked_until = now + whole_wait(e);
	e->seen = false;
	e->token = 0;
	e->may_act = false;
	e->next_call = now;
}

/*
 * A process that starts takes the era as a new one, unless the object was
 * written in it: the object may be an older one again, or be lost.
 */
static void
note_era(
    struct jh_election *e, uint64_t now, const struct jh_election_reply *reply)
{
	if (e->era != 0) {
		jh_election_begin_era(e, now, reply->position.era);
		return;
	}
	e->era = reply->position.era;
	e->call_era = e->era;
	if (e->era != 0 && reply->written_era != e->era)
		e->blocked_until = now + whole_wait(e);
}

static bool
has_object(const struct jh_election_reply *reply)
{
	return reply->result == JH_STORE_OK ||
	       reply->result == JH_STORE_NOT_FOUND ||
	       reply->result == JH_STORE_CONFLICT;
}

void
jh_election_on_reply(
    struct jh_election *e, uint64_t now, const struct jh_election_reply *reply)
{
	bool wrote = e->writing;

	e->in_call = false;
	e->writing = false;
	if (has_object(reply)) {
		note_era(e, now, reply);
		/* A write of an earlier era is seen by the next read. */
		if (e->call_era != e->era)
			return;
	}
	e->next_call = now + call_interval(e, now);
	switch (reply->result) {
	case JH_STORE_OK:
		record_object(e, now, reply);
		if (wrote)
			on_written(e, reply);
		e->next_call = e->call_sent + call_interval(e, now);
		break;
	case JH_STORE_NOT_FOUND:
		if (e->token != 0 || wrote || !e->seen)
			e->seen = false;
		record_object(e, now,
		    &(struct jh_election_reply){
			.position = {reply->position.era, 0}});
		e->token = 0;
		break;
	case JH_STORE_CONFLICT:
		record_object(e, now, reply);
		/*
		 * The object may show an earlier write of this process whose
		 * reply was lost. The lease counts from when that write was
		 * sent, which is no longer known, so the lease is extended only
		 * by the next renewal.
		 */
		if (!is_own_write(e, reply))
			e->token = 0;
		e->next_call = now;
		if (e->token == 0)
			e->next_call = now + call_interval(e, now);
		break;
	default:
		/* The store is down, refused the call or did not respond. */
		break;
	}
}

bool
jh_election_is_leader(const struct jh_election *e, uint64_t now)
{
	return e->token != 0 && now < e->lease_end;
}

const char *
jh_election_last_leader(const struct jh_election *e)
{
	return e->last_holder;
}

void
jh_election_want_to_act(struct jh_election *e, uint64_t now)
{
	e->wanted_at = now;
}

uint64_t
jh_election_token(const struct jh_election *e, uint64_t now)
{
	return jh_election_is_leader(e, now) && e->may_act && !e->resigned
		   ? e->token
		   : 0;
}

void
jh_election_acted(struct jh_election *e, uint64_t now)
{
	e->last_action = now;
}

void
jh_election_set_standby(struct jh_election *e, bool standby)
{
	e->standby = standby;
}

bool
jh_election_release_pending(const struct jh_election *e)
{
	return e->token != 0 || (e->in_call && e->writing);
}

void
jh_election_resign(struct jh_election *e)
{
	e->resigned = true;
}
