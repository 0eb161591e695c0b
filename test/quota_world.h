#ifndef TEST_QUOTA_WORLD_H
#define TEST_QUOTA_WORLD_H

#include <glib.h>

#include <jacinthhill/quota.h>

#define HOLDERS 6
#define MAX_GRANTERS 3
#define STEP (20 * JH_USEC_PER_MSEC)
#define RATE 6000
#define CONCURRENT 60

/* Holders and granters of one limit, joined by a bad network. */
struct world {
	GRand *rand;
	uint64_t now;
	uint64_t next_granter_id;
	struct jh_quota_holder *holders[HOLDERS];
	/* What each holder believes, and what it holds. */
	uint64_t believed[HOLDERS];
	uint64_t sent_at[HOLDERS][1024];
	uint64_t held_granter[HOLDERS];
	uint64_t held_until[HOLDERS];
	/* Cost per report interval that each holder asks for. */
	uint64_t demand[HOLDERS];
	struct jh_quota_granter *granters[MAX_GRANTERS];
	uint64_t granter_ids[MAX_GRANTERS];
	uint64_t paused_until[MAX_GRANTERS];
	GArray *messages;
	/* Chances in 1000. */
	int drop, twice;
	uint64_t max_delay;
	uint64_t max_split;
};

/* All holders start out with granter 0. */
void world_open(struct world *w, guint32 seed);
void world_close(struct world *w);
/* Starts or restarts granter i, with a new id. */
void start_granter(struct world *w, int i);
/* Makes holder h report to this granter. */
void believe(struct world *w, int h, int granter);
bool chance(struct world *w, int in_1000);
void change_demand(struct world *w);
uint64_t sum_allowed(const struct world *w, enum jh_quota_kind kind);
/*
 * Goes on by one step and asserts that what is allowed adds up to no more
 * than the limit for each granter whose allocations are in force.
 */
void step(struct world *w);
void run(struct world *w, uint64_t seconds);

#endif
