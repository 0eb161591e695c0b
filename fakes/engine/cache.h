#ifndef FAKES_ENGINE_CACHE_H
#define FAKES_ENGINE_CACHE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * The engine's prefix cache. It holds blocks of a fixed number of tokens, keyed
 * by chained hashes, and evicts the least recently used first. Each block that
 * is stored or evicted is an event with a sequence number. Not thread-safe.
 */
struct cache;

enum cache_change { CACHE_STORED, CACHE_REMOVED };

struct cache_event {
	uint64_t sequence;
	uint64_t hash;
	uint64_t visible_at; /* jh_now() from which readers get the event */
	enum cache_change change;
};

struct cache *cache_create(size_t capacity_blocks, uint64_t event_lag_usec);
void cache_destroy(struct cache *c);
/* Empties the cache without events. */
void cache_clear(struct cache *c);

/* Counts the leading cached blocks of the chain and marks them as used. */
size_t cache_match(struct cache *c, const uint64_t *chain, size_t n);
/* Stores all blocks of the chain; now is in microseconds. */
void cache_store(
    struct cache *c, const uint64_t *chain, size_t n, uint64_t now);

/* Appends the visible events after sequence from to out, until it has max. */
void cache_events(
    struct cache *c, uint64_t from, uint64_t now, size_t max, GArray *out);
/* The number of blocks. */
size_t cache_len(const struct cache *c);

#endif
