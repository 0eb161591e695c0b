#ifndef ROUTE_PREFIX_STORES_H
#define ROUTE_PREFIX_STORES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include "route/placements.h"
#include "route/prefix_need.h"

/*
 * Which prefix stores hold which prompt prefixes, and which store a worker
 * fetches from or saves to. What the stores hold is known from this process's
 * requests and from announcements of other processes; the stores themselves
 * are never asked. No I/O; times are in microseconds of the monotonic clock.
 */
struct jh_prefix_stores;

/*
 * A placement with this bit of the store's hash inverted announces a fetch, one
 * without it a save.
 */
#define JH_PREFIX_USE 1U

/* Stores that are used; more are ignored. */
#define JH_PREFIX_MAX_STORES 8

/* A store as it is configured; strings are copied when it is taken in. */
struct jh_prefix_store {
	uint64_t hash; /* of the name */
	const char *name;
	const char *zone;
	struct sockaddr_in address;
	uint64_t link_mbps; /* megabits a second; 0: not known */
	uint64_t room; /* tokens; 0: not known */
};

struct jh_prefix_plan {
	const struct jh_prefix_store *fetch; /* NULL: none */
	const struct jh_prefix_store *save; /* NULL: none */
	size_t n_fetched; /* prefixes that the fetch store has */
	/* Whether it still has them; if not, it may have evicted them. */
	bool is_sure;
	uint64_t fetch_usec; /* duration if the worker has nothing likely */
	uint64_t fetch_bytes, save_bytes; /* expected to be moved */
	uint64_t save_tokens; /* that the store is taken to lack */
};

/* What the time to a first event tells about the store fetched from. */
enum jh_prefix_verdict {
	JH_PREFIX_NO_CHANGE,
	/* It has lost its prefixes: they are saved again. */
	JH_PREFIX_STORE_EMPTY,
	/* It does not respond: it is not used for a time. */
	JH_PREFIX_STORE_AVOIDED
};

/* regions maps zone to region; the stores keep a reference. */
struct jh_prefix_stores *jh_prefix_stores_create(GHashTable *regions);
void jh_prefix_stores_destroy(struct jh_prefix_stores *s);

/* Replaces the configured stores; state of a store kept is kept. */
void jh_prefix_stores_configure(
    struct jh_prefix_stores *s, const struct jh_prefix_store *store, size_t n);
size_t jh_prefix_stores_count(const struct jh_prefix_stores *s);
/* NULL: no store has that hash. */
const struct jh_prefix_store *jh_prefix_stores_find(
    const struct jh_prefix_stores *s, uint64_t hash);

void jh_prefix_stores_plan(struct jh_prefix_stores *s, uint64_t now,
    const struct jh_prefix_need *need, struct jh_prefix_plan *out);
/* The request was sent as planned. */
void jh_prefix_stores_sent(struct jh_prefix_stores *s, uint64_t now,
    const struct jh_prefix_need *need, const struct jh_prefix_plan *plan);
/*
 * Another process announced that the prefix was fetched from a store or saved
 * to it. Returns false if it is not about a store.
 */
bool jh_prefix_stores_heard(
    struct jh_prefix_stores *s, uint64_t now, const struct jh_placement *at);
/*
 * A first event came late_usec after it was expected, or before that if it is
 * less than 0. hash is that of the
 * store fetched from, or 0 for none; saved_usec is the prefill time that the
 * fetch was expected to save.
 */
enum jh_prefix_verdict jh_prefix_stores_first_event(struct jh_prefix_stores *s,
    uint64_t now, uint64_t hash, int64_t late_usec, uint64_t saved_usec);

#endif
