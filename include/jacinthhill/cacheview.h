#ifndef JACINTHHILL_CACHEVIEW_H
#define JACINTHHILL_CACHEVIEW_H

#include <stddef.h>
#include <stdint.h>

/*
 * An agent's bounded view of the blocks in its engine's cache, built from the
 * engine's events. What it lacks may be cached; what it holds was cached as of
 * the last event applied. Any doubt makes the view smaller.
 */
struct jh_cacheview;

enum jh_cache_change {
	JH_CACHE_STORED,
	JH_CACHE_REMOVED,
	JH_CACHE_CLEARED /* everything was removed; has no blocks */
};

struct jh_cache_event {
	uint64_t incarnation; /* the engine's */
	uint64_t seq; /* each event has its predecessor's plus one */
	enum jh_cache_change change;
	const uint64_t *blocks; /* chained block hashes */
	size_t n;
};

enum jh_cacheview_result {
	JH_CACHEVIEW_APPLIED,
	JH_CACHEVIEW_REPEATED, /* seq was seen or passed over; ignored */
	JH_CACHEVIEW_GAP, /* events were lost: emptied, then applied */
	JH_CACHEVIEW_FOREIGN /* of another incarnation; ignored */
};

/* Holds at most capacity blocks of block_tokens tokens each. */
struct jh_cacheview *jh_cacheview_create(
    size_t capacity, uint32_t block_tokens);
void jh_cacheview_destroy(struct jh_cacheview *v);

/*
 * Sets the incarnation the engine reports now; the view is emptied if it
 * differs. Until the first call every event is foreign.
 */
void jh_cacheview_set_incarnation(struct jh_cacheview *v, uint64_t incarnation);

enum jh_cacheview_result jh_cacheview_apply(
    struct jh_cacheview *v, const struct jh_cache_event *e);

/* Leading tokens of a chain of block hashes that are cached. */
uint64_t jh_cacheview_cached(
    const struct jh_cacheview *v, const uint64_t *chain, size_t n);

/* Blocks held. */
size_t jh_cacheview_len(const struct jh_cacheview *v);

#endif
