#ifndef MEMBER_ELECTION_H
#define MEMBER_ELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/store_result.h>
#include <jacinthhill/str.h>

#include "member/position.h"

/*
 * Leader election through one object of the store, which serves as a lease. At
 * most one process leads at a time and may act. Clocks of processes are not
 * compared: the leader's lease counts from when it sent its last renewal, and
 * others take over when the object has not changed for the lease time by their
 * own clocks. The clock must also run while the host is suspended.
 *
 * The actions of two leaders must be at least min_gap apart. The object
 * therefore states a cooldown, for which a successor waits before it takes
 * over: a leader that may act writes min_gap plus max_transit, and an idle one
 * what is left of that since its last action. A leader that stops releases the
 * object, so that a successor waits for the cooldown only and not for the
 * lease.
 *
 * The store may come back from an older copy, without the last writes (see
 * member/position.h). In the new era the object says nothing about who leads. A
 * leader that learns of the era while its lease is valid has to write the
 * object before it goes on; the others first wait for as long as a leader of an
 * earlier era may act, and min_gap and max_transit after that. So does a
 * process that starts, unless the object, which names the era in which it was
 * written, is of the present one.
 *
 * Does no I/O: the caller makes the calls to the store and reports the result
 * of each one once. Times are microseconds of that clock. Not thread safe.
 */
struct jh_election;

struct jh_election_spec {
	const char *holder; /* unique to this run of the process; copied */
	uint64_t lease_time; /* validity after a renewal */
	uint64_t renew_interval; /* of the leader */
	uint64_t poll_interval; /* of the others */
	uint64_t standby_interval; /* of those on standby */
	uint64_t min_gap; /* least time between actions of two leaders */
	uint64_t max_transit; /* an action takes effect within this time */
};

enum jh_election_action_kind {
	JH_ELECTION_READ,
	JH_ELECTION_CREATE,
	JH_ELECTION_WRITE
};

struct jh_election_action {
	enum jh_election_action_kind kind;
	struct jh_position if_at; /* WRITE: of the object */
	uint64_t era; /* CREATE and WRITE: in which it is sent */
	const char *holder; /* CREATE and WRITE: this process */
	uint64_t term; /* CREATE and WRITE: counts the writes */
	uint64_t cooldown; /* CREATE and WRITE: a successor waits for it */
	bool released; /* CREATE and WRITE: the leader has resigned */
	uint64_t deadline; /* of the call */
};

/* The result of a call and the object, as far as the store returned it. */
struct jh_election_reply {
	enum jh_store_result result;
	/* Of the object; revision 0: absent. */
	struct jh_position position;
	uint64_t written_era; /* that the object names */
	struct jh_str holder;
	uint64_t term;
	uint64_t cooldown;
	bool released;
};

struct jh_election *jh_election_create(const struct jh_election_spec *spec);
void jh_election_destroy(struct jh_election *e);

/*
 * Returns whether a call to the store is due and none is in progress, and fills
 * out; the caller makes it and reports it with jh_election_on_reply().
 */
bool jh_election_next(
    struct jh_election *e, uint64_t now, struct jh_election_action *out);
void jh_election_on_reply(
    struct jh_election *e, uint64_t now, const struct jh_election_reply *reply);

/* The store has begun this era, as its other responses or a peer tell. */
void jh_election_begin_era(struct jh_election *e, uint64_t now, uint64_t era);

/* Whether this process leads, though it may not act yet. */
bool jh_election_is_leader(const struct jh_election *e, uint64_t now);
/* Who wrote the object last, as far as it is known; NULL: nobody or unknown. */
const char *jh_election_last_leader(const struct jh_election *e);
/*
 * States that there is work to do. The leader renews its lease for actions, and
 * jh_election_token() returns the token when it may act.
 */
void jh_election_want_to_act(struct jh_election *e, uint64_t now);
/*
 * The fencing token if this process may act at this moment, or 0. It stays the
 * same during one leadership and is higher in each later one, also of a later
 * era. Call it before each action.
 */
uint64_t jh_election_token(const struct jh_election *e, uint64_t now);
/* An action was sent. */
void jh_election_acted(struct jh_election *e, uint64_t now);
/*
 * On standby this process reads the object at the standby interval, because
 * enough others read it more often. When the object has not changed for the
 * lease time, it reads it as often as they do.
 */
void jh_election_set_standby(struct jh_election *e, bool standby);
/* Stops acting, releases the object and never leads again. */
void jh_election_resign(struct jh_election *e);
/* After jh_election_resign(): whether the object is still to be released. */
bool jh_election_release_pending(const struct jh_election *e);

#endif
