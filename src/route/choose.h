#ifndef ROUTE_CHOOSE_H
#define ROUTE_CHOOSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "member/weights.h"
#include "route/fleet.h"
#include "route/placed.h"

/*
 * Chooses the worker that a request is sent to: the one with the lowest
 * expected time to the first token, where reading a shared part of a prompt
 * again counts as time. It knows which workers have read a part lately, from
 * this process's requests and from what the others tell; a part that nobody
 * has read is ranked alike at every process, so that it is read once. Pure.
 */
struct jh_chooser;

/*
 * Old weights get no further requests this long after newer ones were named: a
 * request that is sent later may wait at its worker until they are not allowed
 * any more.
 */
#define JH_CHOOSE_OLD_WEIGHTS_USEC 5000000ULL

/* Most workers that one request excludes. */
#define JH_CHOOSE_MAX_EXCLUDED 8

struct jh_choose_site {
	const char *zone; /* of this process */
	GHashTable *regions; /* availability zone to region */
};

#define JH_CHOOSE_MAX_LEVELS 16

struct jh_choose_level {
	uint64_t key; /* of the parts up to this one, and who may share them */
	uint32_t tokens; /* of this part alone */
};

struct jh_choose_request {
	const char *service;
	bool is_engine;
	const char *model; /* engines only */
	/* Only time counts: the worker that holds the parts has no room. */
	bool fastest;
	/* The parts that other requests share, each with all before it. */
	struct jh_choose_level level[JH_CHOOSE_MAX_LEVELS];
	size_t n_levels;
	uint32_t own_tokens;
	uint32_t answer_tokens;
	struct jh_named_weights named[JH_WEIGHTS_HISTORY]; /* oldest first */
	size_t n_named;
	uint64_t cache_tokens; /* memory of one worker; 0: not known */
	uint64_t
	    store; /* hash of the store of cached parts; 0: there is none */
	uint64_t excluded[JH_CHOOSE_MAX_EXCLUDED]; /* worker hashes */
	size_t n_excluded;
};

struct jh_choice {
	struct jh_worker *worker; /* NULL: none may take it */
	/* A worker that has the shared parts, if the chosen one may not. */
	struct jh_worker *source;
	uint64_t expected; /* time to the first token, microseconds */
	uint64_t base; /* the same without the work that waits there */
	bool from_store; /* the store has them, and no worker that is known */
	bool save; /* the worker reads what the store should have */
	uint32_t uncached; /* tokens of shared parts that it has to read */
	bool any_alive; /* a worker exists, though it is held or changing */
};

struct jh_chooser *jh_chooser_create(const struct jh_choose_site *site);
void jh_chooser_destroy(struct jh_chooser *c);

void jh_choose(struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct jh_choice *out);
/*
 * The request was sent as chosen; the worker then holds its shared parts, and
 * the store what it was to save.
 */
void jh_chooser_placed(struct jh_chooser *c, uint64_t now,
    const struct jh_choose_request *r, const struct jh_choice *choice);

/* Another process has placed a part. */
void jh_chooser_told(
    struct jh_chooser *c, uint64_t now, const struct jh_placement *p);
/* Takes up to max placements that others have not been told. */
size_t jh_chooser_take_news(
    struct jh_chooser *c, struct jh_placement *out, size_t max);

#endif
