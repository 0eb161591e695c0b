#ifndef ROUTE_PREFIX_STORE_STATE_H
#define ROUTE_PREFIX_STORE_STATE_H

#include "route/prefix_stores.h"

/*
 * What prefix_stores.c knows of one store: the load of its link, how long it
 * keeps a prefix, and whether it responds. Times are in microseconds.
 */

/* A prefix that was used longer ago is not taken to be in any store. */
#define JH_PREFIX_STORED_USEC 60000000ULL

enum jh_prefix_distance {
	JH_PREFIX_SAME_ZONE,
	JH_PREFIX_SAME_REGION,
	JH_PREFIX_OTHER_REGION
};

/* A sum over the last span of time. */
struct jh_prefix_window {
	uint64_t start;
	double current, previous;
};

struct jh_prefix_store_state {
	struct jh_prefix_store spec;
	uint64_t busy_until; /* its link, by the transfers known */
	struct jh_prefix_window busy; /* time of transfers, microseconds */
	struct jh_prefix_window saved; /* tokens */
	/* Moving averages of a transfer of this process, for those of others.
	 */
	double mean_busy, mean_saved;
	/* Of first events after fetches: how late, and prefill time saved. */
	double late, expected_saving;
	double others_late; /* the same of all other requests */
	unsigned int samples;
	unsigned int fetches;
	uint64_t trusted_from; /* prefixes used before are not surely there */
	uint64_t avoid_until;
	uint64_t avoid_usec; /* duration of the last time; 0: none */
};

/* Time that a transfer of so many bytes takes the store's link. */
uint64_t jh_prefix_store_transfer_usec(const struct jh_prefix_store_state *t,
    uint64_t bytes, enum jh_prefix_distance d);
/* A transfer of this process took the link and brought new tokens. */
void jh_prefix_store_moved(struct jh_prefix_store_state *t, uint64_t now,
    double busy_usec, double saved_tokens);
/* Another process announced a transfer, which counts as an average one. */
void jh_prefix_store_heard(struct jh_prefix_store_state *t, uint64_t now);
/* Time that its link takes for the transfers of the last second. */
uint64_t jh_prefix_store_load(struct jh_prefix_store_state *t, uint64_t now);
/* Time until its link has ended the transfers that are known. */
uint64_t jh_prefix_store_backlog(
    const struct jh_prefix_store_state *t, uint64_t now);
/* Time after its last use for which a prefix is taken to be in the store. */
uint64_t jh_prefix_store_kept_usec(
    struct jh_prefix_store_state *t, uint64_t now);
/* A first event was late that had nothing to do with this store. */
void jh_prefix_store_other_late(
    struct jh_prefix_store_state *t, int64_t late_usec);
/* One after a fetch from it; see jh_prefix_stores_first_event(). */
enum jh_prefix_verdict jh_prefix_store_late(struct jh_prefix_store_state *t,
    uint64_t now, int64_t late_usec, uint64_t saved_usec);

#endif
