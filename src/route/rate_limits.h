#ifndef ROUTE_RATE_LIMITS_H
#define ROUTE_RATE_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/clock.h>

#include "route/fleet.h"

/*
 * Rate limits that workers name for the requests of all processes together, and
 * this process's share of each. There is no coordinator: each process announces
 * its demand, and all divide a limit in proportion to it. A process that loses
 * share uses less at once; one that gains uses more only after the others have
 * had time to use less. So the shares in use add up to the limit at most while
 * processes join, restart, lose peers or learn of a limit at different times.
 *
 * A share is a token bucket. If there are more processes than the bursts that a
 * limit allows, those with demand come first, and among them those with the
 * highest hash of worker and process. A process without demand keeps a small
 * share otherwise, so that its next request is served.
 *
 * No I/O; times are in microseconds of the monotonic clock. Workers are known
 * by the hash of their id, as in route/fleet.h, and processes by any number.
 */
struct jh_rate_limits;

/*
 * A larger share is used this long after it was due for the first time: longer
 * than messages of processes take to reach all others.
 */
#define JH_RATE_LIMITS_RAISE_USEC (3 * JH_USEC_PER_SEC)

/* A process that was not heard for this long has no share any more. */
#define JH_RATE_LIMITS_SILENT_USEC (10 * JH_USEC_PER_SEC)

/*
 * Requests that all processes may send at one moment: the limit for a time, in
 * seconds, and a fixed number.
 */
#define JH_RATE_LIMITS_BURST_SECONDS 1.5
#define JH_RATE_LIMITS_BURST 4

/*
 * A lower limit counts as this one, requests a second: a worker that gets no
 * requests cannot say that its limit has ended.
 */
#define JH_RATE_LIMITS_MIN 0.1

/* What a process tells its peers of one limit. */
struct jh_rate_record {
	uint64_t worker;
	uint64_t started_ms; /* start of the worker, Unix milliseconds */
	/* The sender has a response of the worker that names a limit, or none.
	 */
	bool observed;
	bool limited;
	double limit; /* requests a second */
	uint64_t age; /* microseconds since that response */
	unsigned int demand; /* level of the sender's demand; 0: none */
};

struct jh_rate_limits *jh_rate_limits_create(uint64_t now);
void jh_rate_limits_destroy(struct jh_rate_limits *l);

/* The processes that share the limits: this one and its peers. */
void jh_rate_limits_set_self(struct jh_rate_limits *l, uint64_t id);
void jh_rate_limits_add_peer(
    struct jh_rate_limits *l, uint64_t now, uint64_t id);
void jh_rate_limits_remove_peer(struct jh_rate_limits *l, uint64_t id);
/* A message of the peer has arrived. */
void jh_rate_limits_peer_heard(
    struct jh_rate_limits *l, uint64_t now, uint64_t id);

/* A response of the worker names this limit, requests a second. */
void jh_rate_limits_named(struct jh_rate_limits *l, uint64_t now,
    uint64_t worker, uint64_t started_ms, double limit);
/*
 * A response of the worker to a request that was sent then names no limit.
 * Ends the limit unless the request was sent before the limit was last named.
 */
void jh_rate_limits_not_named(struct jh_rate_limits *l, uint64_t now,
    uint64_t sent_at, uint64_t worker, uint64_t started_ms);

/* The limit in force, requests a second; negative: none. */
double jh_rate_limits_limit(const struct jh_rate_limits *l, uint64_t worker);
/* This process's share of it, requests a second; 0 without a limit. */
double jh_rate_limits_share(const struct jh_rate_limits *l, uint64_t worker);
/* Number of limits in force. */
size_t jh_rate_limits_count(const struct jh_rate_limits *l);

/* Counts a request that the worker could serve, whatever becomes of it. */
void jh_rate_limits_request(
    struct jh_rate_limits *l, uint64_t now, uint64_t worker);
/*
 * When this process may send the worker a request: now or earlier if it has
 * room. For a process without a share, the time in which the worker takes one
 * request of any process.
 */
uint64_t jh_rate_limits_room_at(
    struct jh_rate_limits *l, uint64_t now, uint64_t worker);
/* A request is sent to the worker. */
void jh_rate_limits_sent(
    struct jh_rate_limits *l, uint64_t now, uint64_t worker);

/*
 * Divides the limits again; to be called several times a second. Forgets
 * workers that are not in the fleet.
 */
void jh_rate_limits_update(
    struct jh_rate_limits *l, uint64_t now, struct jh_fleet *fleet);

/*
 * Writes up to max records and returns their number. *next is the place to go
 * on at in the next message; it starts at 0.
 */
size_t jh_rate_limits_export(const struct jh_rate_limits *l, uint64_t now,
    struct jh_rate_record *out, size_t max, size_t *next);
/* Merges a record of a peer. */
void jh_rate_limits_merge(struct jh_rate_limits *l, uint64_t now, uint64_t peer,
    const struct jh_rate_record *r);

#endif
