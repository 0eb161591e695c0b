#ifndef FEED_PULL_H
#define FEED_PULL_H

#include "feed/feed.h"

/* Makes JH_SYNC calls to peers, one at a time, on a thread of its own. */
struct feed_pull;

struct feed_pull_result {
	bool ok;
	uint64_t age; /* microseconds; JH_SYNC_AGE_UNKNOWN: not in reply */
};

struct feed_pull_ops {
	/* Runs on the pull thread, after the reply has been applied. */
	void (*done)(
	    void *arg, bool unscheduled, struct feed_pull_result result);
};

struct feed_pull *feed_pull_create(const struct jh_feed_spec *spec,
    const struct feed_pull_ops *ops, void *arg);
void feed_pull_destroy(struct feed_pull *p);

/* Queues a pull; returns false if the queue is full. */
bool feed_pull_start(struct feed_pull *p, const struct sockaddr_in *peer,
    uint64_t deadline, bool unscheduled);

#endif
