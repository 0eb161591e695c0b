#ifndef ROUTE_PLACEMENTS_H
#define ROUTE_PLACEMENTS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Which workers were sent which prompt prefixes recently, by this process and
 * by others that announced it. When there are too many prefixes, expired ones
 * are dropped, or all if none has expired. No I/O; times are in microseconds.
 */
struct jh_placements;

/* One placement, as processes announce it to each other. */
struct jh_placement {
	uint64_t key; /* hash of the prefix and the version of the weights */
	uint64_t worker; /* hash of its id */
};

struct jh_placements *jh_placements_create(void);
void jh_placements_destroy(struct jh_placements *p);

void jh_placements_add(
    struct jh_placements *p, uint64_t now, const struct jh_placement *at);
/* Workers kept for each prefix. */
#define JH_PLACEMENTS_WORKERS 4

/* Where one prefix was placed last. */
struct jh_prefix_sites {
	uint64_t worker[JH_PLACEMENTS_WORKERS]; /* hash of its id */
	uint64_t at[JH_PLACEMENTS_WORKERS]; /* time; 0: unused */
};

/* NULL: not placed; valid until the next change of the placements. */
const struct jh_prefix_sites *jh_placements_find(
    const struct jh_placements *p, uint64_t key);
/* When it was last placed at the worker; 0: not known. sites may be NULL. */
uint64_t jh_prefix_sites_last(
    const struct jh_prefix_sites *sites, uint64_t worker);

/* Queues an announcement; the oldest is dropped when the queue is full. */
void jh_placements_announce(
    struct jh_placements *p, const struct jh_placement *at);
/* Takes up to max announcements off the queue, oldest first. */
size_t jh_placements_take_announcements(
    struct jh_placements *p, struct jh_placement *out, size_t max);

#endif
