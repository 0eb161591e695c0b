#ifndef ROUTE_CHOOSE_H
#define ROUTE_CHOOSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "route/fleet.h"

/*
 * Chooses the worker that a request is sent to: the one with the lowest
 * expected time to the first token, where reading a shared part of a prompt
 * again counts as time. Requests that share a part of their prompt rank the
 * workers alike at every process, so that the part is read once. Pure.
 */
struct jh_chooser;

/* Most workers that one request excludes. */
#define JH_CHOOSE_MAX_EXCLUDED 8

struct jh_choose_site {
	const char *zone; /* of this process */
	GHashTable *regions; /* availability zone to region */
};

struct jh_choose_request {
	const char *service;
	bool is_engine;
	const char *model; /* engines only */
	/* Hash of the last part that other requests share; 0: none. */
	uint64_t shared_key;
	uint32_t shared_tokens;
	uint32_t own_tokens;
	uint32_t answer_tokens;
	uint64_t newest_weights; /* 0: not known */
	uint64_t newest_since; /* when this process learned of them */
	uint64_t cache_tokens; /* memory of one worker; 0: not known */
	uint64_t excluded[JH_CHOOSE_MAX_EXCLUDED]; /* worker hashes */
	size_t n_excluded;
};

struct jh_choice {
	struct jh_worker *worker; /* NULL: none may take it */
	/* A worker that has the shared parts, if the chosen one may not. */
	struct jh_worker *source;
	uint64_t expected; /* time to the first token, microseconds */
	uint64_t base; /* the same without the work that waits there */
	bool uncached; /* it probably has not read the shared parts */
	bool any_alive; /* a worker exists, though it is held or changing */
};

struct jh_chooser *jh_chooser_create(const struct jh_choose_site *site);
void jh_chooser_destroy(struct jh_chooser *c);

void jh_choose(struct jh_chooser *c, struct jh_fleet *f, uint64_t now,
    const struct jh_choose_request *r, struct jh_choice *out);
/* A request with this shared part was sent to the worker. */
void jh_chooser_placed(struct jh_chooser *c, uint64_t now, uint64_t shared_key,
    const struct jh_worker *w);

#endif
