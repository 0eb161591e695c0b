#ifndef ROUTE_FLEET_H
#define ROUTE_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

/*
 * What one process believes of every worker: what the list says, what the
 * worker's own answers said later, and the work that this process has sent to
 * it. Pure; times are microseconds of the monotonic clock.
 */
struct jh_fleet;

/* A worker as the list states it. */
struct jh_listing {
	const char *id;
	const char *service;
	const char *zone;
	struct sockaddr_in address;
	unsigned int slots;
	bool leaving;
	const char *model; /* NULL: no engine */
	uint64_t weights; /* version of the model's weights */
	uint64_t
	    born; /* Unix milliseconds of the worker's start; 0: not told */
};

struct jh_worker {
	char *id;
	uint64_t hash; /* of id */
	char *service;
	char *zone;
	struct sockaddr_in address;
	unsigned int slots;
	bool leaving;
	char *model;
	uint64_t weights;
	uint64_t weights_known; /* when weights was last confirmed */
	bool orders_known;
	uint64_t orders; /* accepted since the worker's start */
	uint64_t born;
	uint64_t missing_since; /* gone from the list while it was unreliable */
	/* From own experience. */
	uint64_t hold_until; /* gets no work before */
	uint64_t changing_until; /* loads weights, refuses work */
	unsigned int failures; /* in a row */
	double fail_rate; /* moving share of failed attempts, 0 to 1 */
	/* Work sent by this process and not ended. */
	unsigned int running;
	uint64_t prefill_tokens; /* prompt tokens not read yet */
	uint64_t held_tokens; /* memory of what runs */
	/* The same of the other processes, as they told last. */
	unsigned int others_running;
	uint64_t others_prefill;
	uint64_t others_held;
	/* Last first-token time beyond the expected, microseconds. */
	double delay;
	uint64_t delay_known;
};

/*
 * A worker that changes its weights is spared this long after the last word of
 * it; the word is repeated several times in that.
 */
#define JH_FLEET_CHANGING_USEC 800000ULL

/* Hold after a connection failure; doubled with each further one in a row. */
#define JH_FLEET_HOLD_USEC 250000ULL
#define JH_FLEET_HOLD_MAX_USEC 2000000ULL

/* A worker with a higher share of failures counts as eased off. */
#define JH_FLEET_EASED_SHARE 0.05

struct jh_fleet *jh_fleet_create(void);
void jh_fleet_destroy(struct jh_fleet *f);

/*
 * Takes one listing over. Answers newer than the list are kept for a short
 * while, because the list lags. Returns the worker.
 */
struct jh_worker *jh_fleet_list(
    struct jh_fleet *f, uint64_t now, const struct jh_listing *l);
/* The list has dropped a worker. */
void jh_fleet_drop(struct jh_fleet *f, const char *id);
/*
 * A worker disappeared from a list that may be incomplete since that time: it
 * is dropped by jh_fleet_expire() unless it is listed again in time.
 */
void jh_fleet_miss(struct jh_fleet *f, uint64_t since, const char *id);
void jh_fleet_expire(struct jh_fleet *f, uint64_t now, uint64_t grace);

struct jh_worker *jh_fleet_find(struct jh_fleet *f, const char *id);
struct jh_worker *jh_fleet_find_hash(struct jh_fleet *f, uint64_t hash);
/* In order of id; i below jh_fleet_count(). */
size_t jh_fleet_count(const struct jh_fleet *f);
struct jh_worker *jh_fleet_at(struct jh_fleet *f, size_t i);
/* Rises whenever a worker is added or removed. */
uint64_t jh_fleet_changes(const struct jh_fleet *f);

/*
 * Why a worker gets no work or less of it, in one word: "leaving", "missing"
 * (dropped from a list that may be incomplete), "changing" (its weights),
 * "held" (after failures), "eased" (some of its answers fail) or "ready".
 */
const char *jh_worker_state(const struct jh_worker *w, uint64_t now);

/* An answer told the version of the weights. */
void jh_fleet_saw_weights(struct jh_worker *w, uint64_t now, uint64_t weights);
/* No connection, or one that broke. */
void jh_fleet_failed(struct jh_worker *w, uint64_t now);
/* The worker answered; failed: with an error of its own. */
void jh_fleet_answered(struct jh_worker *w, bool failed);

#endif
