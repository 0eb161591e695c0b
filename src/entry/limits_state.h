#ifndef ENTRY_LIMITS_STATE_H
#define ENTRY_LIMITS_STATE_H

#include <pthread.h>

#include "entry/limit.h"
#include "entry/limits.h"

/* An entry daemon of the region. */
struct peer {
	char *instance;
	uint64_t id; /* hash of the instance; chooses granters */
	uint64_t incarnation; /* 0: not known yet */
	struct sockaddr_in rpc_address;
};

struct entry_limits {
	struct entry *entry;
	pthread_mutex_t lock; /* guards all below */
	GHashTable *limits; /* key -> struct limit */
	GHashTable *incarnations; /* instance -> uint64_t *; both owned */
	GArray *peers; /* of struct peer: entry daemons of the region */
	bool stopping;
	pthread_cond_t stop_cond;
	pthread_t thread;
};

/* Updates the granter of a limit and its holders. Holds l->lock. */
void limits_update_granter(struct entry_limits *l, struct limit *t);

/* Sends the reports of all limits to their granters (limits_round.c). */
void limits_run_round(struct entry_limits *l);

#endif
