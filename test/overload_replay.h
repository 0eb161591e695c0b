#ifndef OVERLOAD_REPLAY_H
#define OVERLOAD_REPLAY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Replays the load of Part C of docs/quotas-and-overload.md in virtual time:
 * 32 routers with delayed reports of each other, and modelled engines that
 * share their time among the running requests, prefill in chunks, preempt the
 * less urgent when memory runs out, and differ in speed.
 */
enum replay_load {
	REPLAY_DAY, /* crashes, a burst, one hot organisation */
	REPLAY_BURST, /* three times as many less urgent requests */
	REPLAY_HOT_PREFIX, /* half of the less urgent share one prefix */
	REPLAY_RETRY_AT_ONCE, /* REPLAY_BURST; clients ignore Retry-After */
	REPLAY_LOST_ROUTERS, /* REPLAY_BURST; half of the routers end */
};

struct replay_rank {
	unsigned int sent, on_time, late, refused;
	unsigned int big, big_served; /* the largest tenth */
};

struct replay_result {
	struct replay_rank rank[2]; /* 0: the more urgent */
	unsigned int arrivals, declined; /* at workers */
	unsigned int no_connection;
	double value;
};

void replay_run(enum replay_load load, bool active, unsigned int engines,
    struct replay_result *out);

#endif
