#ifndef TEST_QUOTA_SIMULATION_H
#define TEST_QUOTA_SIMULATION_H

#include <glib.h>

#include <jacinthhill/quota.h>

#define HOLDERS 6
#define MAX_GRANTERS 3
#define STEP (20 * JH_USEC_PER_MSEC)
#define RATE 6000
#define CONCURRENT 60

/*
 * Holders and granters of one limit, connected by a simulated network that
 * drops, duplicates and delays messages. Times are microseconds.
 */
struct quota_simulation {
	GRand *rand;
	uint64_t now;
	uint64_t next_granter_id;
	struct jh_quota_holder *holders[HOLDERS];
	/* The granter that each holder reports to, and its allocation. */
	uint64_t current_granter[HOLDERS];
	uint64_t sent_at[HOLDERS][1024];
	uint64_t held_granter[HOLDERS];
	uint64_t allocation_until[HOLDERS];
	/* Cost of the requests that reach each holder per report interval. */
	uint64_t demand[HOLDERS];
	struct jh_quota_granter *granters[MAX_GRANTERS];
	uint64_t granter_ids[MAX_GRANTERS];
	uint64_t paused_until[MAX_GRANTERS];
	GArray *messages;
	/* Probability in 1000 that a message is dropped, or sent twice. */
	int drop, twice;
	uint64_t max_delay;
	/* Largest number of granters with allocations in force so far. */
	uint64_t max_split;
};

/* All holders start with granter 0. */
void simulation_open(struct quota_simulation *sim, guint32 seed);
void simulation_close(struct quota_simulation *sim);
/* Starts or restarts granter i, with a new id. */
void start_granter(struct quota_simulation *sim, int i);
/* Makes the granter know the ids of the first n holders only. */
void set_known(struct quota_simulation *sim, int granter, unsigned int n);
/* Makes holder h report to this granter. */
void set_granter(struct quota_simulation *sim, int h, int granter);
/* True with this probability. */
bool chance(struct quota_simulation *sim, int in_1000);
/* Sets a random demand at a random holder. */
void change_demand(struct quota_simulation *sim);
/* Sum of the amounts that all holders may use now. */
uint64_t sum_allowed(
    const struct quota_simulation *sim, enum jh_quota_kind kind);
/*
 * Advances time by STEP and asserts that the allowed amounts add up to no more
 * than the limit times the number of granters whose allocations are in force.
 */
void step(struct quota_simulation *sim);
/* Runs step() for this time. */
void run(struct quota_simulation *sim, uint64_t seconds);

#endif
