#ifndef FAKES_ENGINE_CACHE_H
#define FAKES_ENGINE_CACHE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * The engine's prefix cache: pieces of a fixed number of tokens, found by
 * chained hashes, evicted least recently used first. Each change is an event
 * with a sequence number.
 */
struct cache;

enum cache_change { CACHE_STORED, CACHE_REMOVED };

struct cache_event {
	uint64_t sequence;
	uint64_t hash;
	uint64_t visible_at; /* events are published late */
	enum cache_change change;
};

struct cache *cache_create(size_t capacity_pieces, uint64_t event_lag_usec);
void cache_destroy(struct cache *c);
void cache_clear(struct cache *c);

/* Leading pieces of the chain that are cached; marks them as used. */
size_t cache_match(struct cache *c, const uint64_t *chain, size_t n);
void cache_store(
    struct cache *c, const uint64_t *chain, size_t n, uint64_t now);

/* Appends visible events after sequence `from`, at most max, to out. */
void cache_events(
    struct cache *c, uint64_t from, uint64_t now, size_t max, GArray *out);
size_t cache_len(const struct cache *c);

#endif
