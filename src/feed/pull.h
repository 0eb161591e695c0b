#ifndef FEED_PULL_H
#define FEED_PULL_H

#include "feed/feed.h"

/* Calls JH_SYNC on peers, one at a time, on a thread of its own. */
struct feed_pull;

struct feed_pull_result {
	bool ok;
	uint64_t age; /* JH_SYNC_AGE_UNKNOWN unless the reply tells */
};

struct feed_pull_ops {
	/* On the pull thread, after the copy has taken the reply. */
	void (*done)(void *arg, bool hinted, struct feed_pull_result result);
};

struct feed_pull *feed_pull_create(const struct jh_feed_spec *spec,
    const struct feed_pull_ops *ops, void *arg);
void feed_pull_destroy(struct feed_pull *p);

/* Returns false when too many pulls wait. */
bool feed_pull_start(struct feed_pull *p, const struct sockaddr_in *peer,
    uint64_t deadline, bool hinted);

#endif
