#ifndef ROUTE_CHOOSE_H
#define ROUTE_CHOOSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "member/weights.h"
#include "route/fleet.h"
#include "route/placements.h"
#include "route/prefix_stores.h"
#include "route/rate_limits.h"

/*
 * Chooses the worker that a request is sent to: the one with the lowest
 * expected time to the first token (TTFT), with an added cost for computing a
 * shared prompt prefix again. Which workers computed a prefix recently is known
 * from this process's requests and from other processes' announcements. For a
 * prefix that no worker has, all processes rank the workers alike, so that it
 * is computed once. No I/O; times are in microseconds.
 */
struct jh_chooser;

/*
 * A worker gets no further requests this long after a newer version than its
 * weights was published: a request sent later may wait at the worker until the
 * old weights are no longer allowed.
 */
#define JH_CHOOSE_OUTDATED_USEC 5000000ULL

/* Workers that one request can exclude. */
#define JH_CHOOSE_MAX_EXCLUDED 8

/* Where this process and the availability zones are. */
struct jh_choose_topology {
	const char *zone; /* of this process */
	GHashTable *regions; /* availability zone to region */
};

#define JH_CHOOSE_MAX_PREFIXES 16

/* A prefix of a prompt that other requests share. */
struct jh_choose_prefix {
	uint64_t key; /* hash of the prefix and of who may share it */
	uint32_t tokens; /* beyond those of the previous, shorter prefix */
};

struct jh_choose_request {
	const char *service;
	bool is_engine;
	const char *model; /* engines only */
	/* Ignore the added cost: the worker with the prefix is overloaded. */
	bool minimise_ttft;
	/* Shared prefixes, each an extension of the previous one. */
	struct jh_choose_prefix prefix[JH_CHOOSE_MAX_PREFIXES];
	size_t n_prefixes;
	uint32_t own_tokens; /* not shared with other requests */
	uint32_t output_tokens; /* at most */
	bool overload; /* by the estimates of route/overload.h */
	unsigned int rank; /* if overload; 0 is the most urgent */
	struct jh_weights_version
	    versions[JH_WEIGHTS_HISTORY]; /* oldest first */
	size_t n_versions;
	uint64_t cache_tokens; /* cache size of one worker; 0: not known */
	uint64_t prefix_store; /* hash of the prefix cache store; 0: none */
	uint64_t token_bytes; /* cache memory of a token; 0: not known */
	struct jh_rate_limits *rate_limits; /* of workers; NULL: none */
	uint64_t excluded[JH_CHOOSE_MAX_EXCLUDED]; /* worker hashes */
	size_t n_excluded;
};

struct jh_choice {
	struct jh_worker *worker; /* NULL: none is eligible */
	/* A worker to fetch the prefix from if the chosen one may lack it. */
	struct jh_worker *source;
	uint64_t expected_ttft; /* expected TTFT */
	uint64_t idle_ttft; /* the same if the worker had no other work */
	uint64_t nominal_ttft; /* if overload: at the worker, at speed 1 */
	bool from_store; /* fetch the prefix from the store */
	bool save; /* the worker saves the prefix it computes to the store */
	/* With several stores, in place of from_store and save. */
	struct jh_prefix_plan stores;
	uint32_t from_stores; /* tokens of uncached that a store surely has */
	uint32_t uncached; /* prefix tokens that the worker has to compute */
	bool any_worker; /* a worker of the service exists, eligible or not */
	/*
	 * If none is eligible, when a worker whose rate limit alone stands
	 * against it has room; 0: there is no such worker.
	 */
	uint64_t room_at;
};

struct jh_chooser *jh_chooser_create(const struct jh_choose_topology *topology);
void jh_chooser_destroy(struct jh_chooser *c);
/*
 * The stores of prefixes, owned by the chooser. While any are configured there,
 * they are used in place of the request's prefix_store.
 */
struct jh_prefix_stores *jh_chooser_stores(struct jh_chooser *c);

/* Tokens that the request holds at a worker while it runs. */
uint64_t jh_choose_held_tokens(const struct jh_choose_request *r);

/* Chooses a worker; out->worker is owned by the fleet. */
void jh_choose(struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct jh_choice *out);
/*
 * Records that the request was sent as chosen: the worker then has its shared
 * prefixes, and the store those that the worker was to save.
 */
void jh_chooser_sent(struct jh_chooser *c, uint64_t now,
    const struct jh_choose_request *r, const struct jh_choice *choice);

/* Records a placement that another process announced. */
void jh_chooser_add_placement(
    struct jh_chooser *c, uint64_t now, const struct jh_placement *p);
/* Takes up to max placements that are to be announced to other processes. */
size_t jh_chooser_take_announcements(
    struct jh_chooser *c, struct jh_placement *out, size_t max);

#endif
