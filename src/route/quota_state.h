#ifndef ROUTE_QUOTA_STATE_H
#define ROUTE_QUOTA_STATE_H

#include <glib.h>

#include "route/quota_ledger.h"

/* What the files of the quota ledger share; see quota_ledger.h. */

/* Time constant of the demand's moving average. */
#define JH_QUOTA_DEMAND_USEC (1000 * JH_USEC_PER_MSEC)

/* A period of use ends after this time without a request. */
#define JH_QUOTA_IDLE_USEC (2500 * JH_USEC_PER_MSEC)

struct quota_peer {
	uint64_t id;
	uint64_t heard_at; /* 0: not yet */
	uint64_t heard_since; /* without a silence */
	bool in_touch; /* when the ledger was last refreshed */
};

/*
 * Weight of a process in the division of a quota among processes that are not
 * in touch: its demand some seconds ago, so that both sides know the same.
 */
struct quota_weight {
	double rate; /* a second; a slow moving average */
	double recent, older; /* the same at the last two samples */
};

/* A process's use of a quota. */
struct quota_use {
	const struct quota_peer *peer;
	uint32_t period;
	uint64_t at; /* of its last record */
	double admitted, asked; /* in that record */
	double asked_rate; /* a second, at that time */
	double weighed; /* asked cost since the last sample of weights */
	struct quota_weight weight;
};

struct quota {
	uint64_t id;
	struct jh_quota_rate limit;
	bool kept;
	double level;
	uint64_t level_at;
	double part; /* of the limit, for the processes in touch */
	uint64_t sampled_at; /* of the weights */
	GArray *uses; /* struct quota_use, of peers */
	/* Demand of removed peers, whose clients go to the others. */
	double moved_rate; /* a second, at moved_at */
	uint64_t moved_at;
	/* This process's own use. */
	uint32_t period;
	uint64_t period_began;
	uint64_t used_at; /* 0: never */
	double admitted, asked;
	uint64_t announced_at;
	double announced_admitted, announced_asked;
	double asked_rate; /* a second, at used_at */
	double weighed; /* asked cost since the last sample of weights */
	struct quota_weight weight;
	/* Own requests of the last seconds, and their cost by kind. */
	double requests, small_cost, large_cost;
	uint64_t kinds_at;
	/* Sums of the parts to admit since the last admission, by kind. */
	double small_turn, large_turn;
	uint64_t refusals;
};

struct jh_quota_ledger {
	uint64_t id;
	uint64_t created_at;
	uint64_t announced_at; /* 0: not yet */
	uint64_t refreshed_at;
	bool changed; /* the peers, since then */
	unsigned int in_touch; /* processes, with this one */
	GHashTable *peers; /* by id */
	GHashTable *quotas; /* by id */
};

/* Brings the level and the part of the limit up to date. */
void quota_advance(struct jh_quota_ledger *l, struct quota *q, uint64_t now);
/* Counts a request; returns whether it is of a kind with a large cost. */
bool quota_count_kind(
    struct quota *q, uint64_t now, const struct jh_quota_request *r);
/* The part of a kind's requests to admit, if that part of all cost is. */
double quota_kind_part(const struct quota *q, bool large, double part);
/* Longest time between two announcements of a process. */
uint64_t quota_announce_usec(const struct jh_quota_ledger *l);
/* Looks which peers are in touch; to be called every 50 ms or so. */
void quota_refresh(struct jh_quota_ledger *l, uint64_t now);
/* Brings q->part up to date. */
void quota_update_part(
    struct jh_quota_ledger *l, struct quota *q, uint64_t now);

#endif
