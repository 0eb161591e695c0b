#ifndef MEMBER_ROLLOUT_STATE_H
#define MEMBER_ROLLOUT_STATE_H

#include <jacinthhill/clock.h>
#include <jacinthhill/rollout.h>

#include "member/rollout_record.h"

/* Internal to rollout.c (slots, turns) and rollout_seat.c (reservations). */

/* Least time between two looks, or two tries of a call that failed. */
#define MIN_SPREAD_USEC JH_USEC_PER_SEC

/* The call numbers of the slots' leases are their indices. */
#define SEAT_CALL JH_ROLLOUT_SLOTS

enum rollout_state {
	ROLLOUT_IDLE, /* nothing to load */
	ROLLOUT_WAITING, /* for the time of the next look */
	ROLLOUT_ACQUIRING, /* a slot */
	ROLLOUT_READING, /* who is out */
	ROLLOUT_RESERVING,
	ROLLOUT_LOADING, /* the caller has the engine out of service */
	ROLLOUT_LEAVING, /* reads the reservation to remove it */
	ROLLOUT_REMOVING
};

struct jh_rollout {
	char *instance;
	uint64_t incarnation;
	char *region;
	GRand *rand;
	struct jh_lease *slots[JH_ROLLOUT_SLOTS];
	unsigned int slot; /* the one that is tried or held */
	char *model;
	char *weights; /* NULL: nothing to load */
	GPtrArray *others; /* of char * */
	size_t fleet;

	enum rollout_state state;
	uint64_t due;
	unsigned int failures;
	bool busy; /* a call on the reservation is in progress */
	bool loaded; /* in the present attempt */
	bool acted; /* ROLLOUT_LOADING: the action has been given */
	char *key; /* of the reservation */
	char *value;
	uint64_t version; /* condition of the last or next write */
	uint64_t nonce;
	uint64_t seat_deadline;
};

/* Ends an attempt before its reservation is known to exist. */
void rollout_withdraw(struct jh_rollout *r, uint64_t now);
/* The reservation is gone. */
void rollout_finish(struct jh_rollout *r, uint64_t now);

/* When a call that failed is tried again. */
uint64_t rollout_retry_time(struct jh_rollout *r, uint64_t now);

/* Gives the next call on the reservation, and takes its result. */
bool rollout_next_seat_call(
    struct jh_rollout *r, uint64_t now, struct jh_rollout_action *out);
void rollout_on_seat_result(struct jh_rollout *r, uint64_t now,
    enum jh_lease_result result, uint64_t version, struct jh_str value);

#endif
