#ifndef MEMBER_DUTY_H
#define MEMBER_DUTY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/store_result.h>
#include <jacinthhill/str.h>

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
 * Does no I/O: the caller makes the calls to the store and reports the result
 * of each one once. Times are microseconds of that clock. Not thread safe.
 */
struct jh_duty;

struct jh_duty_spec {
	const char *holder; /* unique to this run of the process; copied */
	uint64_t hold; /* validity after a renewal */
	uint64_t renew; /* of the leader */
	uint64_t look; /* of the others */
	uint64_t apart; /* least time between actions of two leaders */
	uint64_t transit; /* an action takes effect within this time */
};

enum jh_duty_action_kind { JH_DUTY_READ, JH_DUTY_CREATE, JH_DUTY_WRITE };

struct jh_duty_action {
	enum jh_duty_action_kind kind;
	uint64_t if_version; /* WRITE */
	const char *holder; /* CREATE and WRITE: this process */
	uint64_t term; /* CREATE and WRITE: counts the writes */
	uint64_t rest; /* CREATE and WRITE: a successor waits for it */
	bool released; /* CREATE and WRITE: the leader has resigned */
	uint64_t deadline; /* of the call */
};

/* The result of a call and the object, as far as the store returned it. */
struct jh_duty_reply {
	enum jh_store_result result;
	uint64_t version; /* of the object; 0: absent */
	struct jh_str holder;
	uint64_t term;
	uint64_t rest;
	bool released;
};

struct jh_duty *jh_duty_create(const struct jh_duty_spec *spec);
void jh_duty_destroy(struct jh_duty *e);

/*
 * Returns whether a call to the store is due and none is in progress, and fills
 * out; the caller makes it and reports it with jh_election_on_reply().
 */
bool jh_duty_next(struct jh_duty *e, uint64_t now, struct jh_duty_action *out);
void jh_duty_on_reply(
    struct jh_duty *e, uint64_t now, const struct jh_duty_reply *reply);

/* Whether this process leads, though it may not act yet. */
bool jh_duty_held(const struct jh_duty *e, uint64_t now);
/* Who wrote the object last, as far as it is known; NULL: nobody or unknown. */
const char *jh_duty_last_holder(const struct jh_duty *e);
/*
 * States that there is work to do. The leader renews its lease for actions, and
 * jh_election_token() returns the token when it may act.
 */
void jh_duty_want_to_act(struct jh_duty *e, uint64_t now);
/*
 * The fencing token if this process may act at this moment, or 0. It stays the
 * same during one leadership and is higher in each later one. Call it before
 * each action.
 */
uint64_t jh_duty_token(const struct jh_duty *e, uint64_t now);
/* An action was sent. */
void jh_duty_acted(struct jh_duty *e, uint64_t now);
/* Stops acting, releases the object and never leads again. */
void jh_duty_resign(struct jh_duty *e);
/* After jh_election_resign(): whether the object is still to be released. */
bool jh_duty_bound(const struct jh_duty *e);

#endif
