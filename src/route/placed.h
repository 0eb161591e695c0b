#ifndef ROUTE_PLACED_H
#define ROUTE_PLACED_H

#include <stddef.h>
#include <stdint.h>

/*
 * Where parts of prompts were placed lately, by this process and by others that
 * told it. Workers are known by hashes of their ids. Pure; microseconds.
 */
struct jh_placed;

/* A placement as processes tell each other. */
struct jh_placement {
	uint64_t key; /* of a part and the weights that read it */
	uint64_t worker; /* hash of its id */
};

struct jh_placed *jh_placed_create(void);
void jh_placed_destroy(struct jh_placed *p);

void jh_placed_add(
    struct jh_placed *p, uint64_t now, const struct jh_placement *at);
/* When the part was last placed at the worker; 0: not that is known. */
uint64_t jh_placed_at(const struct jh_placed *p, uint64_t key, uint64_t worker);

/* Has others told of a placement; the oldest of too many is forgotten. */
void jh_placed_tell(struct jh_placed *p, const struct jh_placement *at);
/* Takes up to max placements that others are to be told, oldest first. */
size_t jh_placed_take_news(
    struct jh_placed *p, struct jh_placement *out, size_t max);

#endif
