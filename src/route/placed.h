#ifndef ROUTE_PLACED_H
#define ROUTE_PLACED_H

#include <stddef.h>
#include <stdint.h>

/*
 * Which workers were sent which prompt prefixes recently, by this process and
 * by others that announced it. When there are too many prefixes, expired ones
 * are dropped, or all if none has expired. No I/O; times are in microseconds.
 */
struct jh_placed;

/* One placement, as processes announce it to each other. */
struct jh_placement {
	uint64_t key; /* hash of the prefix and the version of the weights */
	uint64_t worker; /* hash of its id */
};

struct jh_placed *jh_placed_create(void);
void jh_placed_destroy(struct jh_placed *p);

void jh_placed_add(
    struct jh_placed *p, uint64_t now, const struct jh_placement *at);
/* When the prefix was last placed at the worker; 0: not known. */
uint64_t jh_placed_at(const struct jh_placed *p, uint64_t key, uint64_t worker);

/* Queues an announcement; the oldest is dropped when the queue is full. */
void jh_placed_tell(struct jh_placed *p, const struct jh_placement *at);
/* Takes up to max announcements off the queue, oldest first. */
size_t jh_placed_take_news(
    struct jh_placed *p, struct jh_placement *out, size_t max);

#endif
