#ifndef MEMBER_ROLLOUT_STATE_H
#define MEMBER_ROLLOUT_STATE_H

#include <jacinthhill/clock.h>
#include <jacinthhill/rollout.h>

#include "member/rollout_record.h"

/*
 * Shared by rollout.c, which has the slots and the schedule of attempts, and
 * rollout_reservation.c.
 */

/* Least average time between two attempts, or two tries of a failed call. */
#define MIN_ATTEMPT_INTERVAL_USEC JH_USEC_PER_SEC

/* Number of a call on the reservation; those of the slots' leases are 0 up. */
#define RESERVATION_CALL JH_ROLLOUT_SLOTS

enum rollout_state {
	ROLLOUT_IDLE, /* nothing to load */
	ROLLOUT_WAITING, /* for the next attempt */
	ROLLOUT_ACQUIRING, /* the lease of a slot */
	ROLLOUT_READING, /* reads the reservations of the model */
	ROLLOUT_RESERVING, /* writes the own reservation */
	ROLLOUT_LOADING, /* the caller drains the engine and loads */
	ROLLOUT_LEAVING, /* reads the reservation to remove it */
	ROLLOUT_REMOVING /* writes the object without the reservation */
};

struct jh_rollout {
	char *instance;
	uint64_t incarnation;
	char *region;
	GRand *rand;
	struct jh_lease *slots[JH_ROLLOUT_SLOTS];
	unsigned int slot; /* index of the one that is tried or held */
	char *model;
	char *weights; /* NULL: nothing to load */
	GPtrArray *others; /* names (char *) of the model's other workers */
	size_t fleet; /* number of agents, which share the attempts */

	enum rollout_state state;
	uint64_t due;
	unsigned int failures;
	bool busy; /* a call on the reservation is in progress */
	bool loaded; /* the present attempt has loaded */
	bool load_started; /* ROLLOUT_LOADING: the load has been started */
	char *key; /* of the reservation */
	char *value;
	uint64_t version; /* if_version of the last or next write */
	uint64_t nonce;
	uint64_t reservation_deadline;
};

/* Ends an attempt that has no reservation, and schedules the next. */
void rollout_end_attempt(struct jh_rollout *r, uint64_t now);
/* The reservation has been removed. */
void rollout_on_removed(struct jh_rollout *r, uint64_t now);

/* When to retry a call that failed; with jitter. */
uint64_t rollout_retry_time(struct jh_rollout *r, uint64_t now);

/* Returns the next call on the reservation, and takes its result. */
bool rollout_next_reservation_call(
    struct jh_rollout *r, uint64_t now, struct jh_rollout_action *out);
void rollout_on_reservation_result(struct jh_rollout *r, uint64_t now,
    enum jh_lease_result result, uint64_t version, struct jh_str value);

#endif
