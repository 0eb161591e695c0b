#ifndef JACINTHHILL_CACHEVIEW_H
#define JACINTHHILL_CACHEVIEW_H

#include <stddef.h>
#include <stdint.h>

/*
 * An agent's bounded view of the blocks in its engine's prefix cache, built
 * from the engine's events. A block that is not in the view may be cached; a
 * block in the view was cached as of the last event applied. When events are
 * lost or the view is full, blocks are left out.
 */
struct jh_cacheview;

enum jh_cache_change {
	JH_CACHE_STORED,
	JH_CACHE_REMOVED,
	JH_CACHE_CLEARED /* all blocks were removed; n is 0 */
};

struct jh_cache_event {
	uint64_t incarnation; /* of the engine process */
	uint64_t seq; /* grows by one with each event */
	enum jh_cache_change change;
	const uint64_t *blocks; /* chained block hashes */
	size_t n;
};

enum jh_cacheview_result {
	JH_CACHEVIEW_APPLIED,
	JH_CACHEVIEW_REPEATED, /* seq is not newer than the last; ignored */
	JH_CACHEVIEW_GAP, /* events were lost; view emptied, then applied */
	JH_CACHEVIEW_FOREIGN /* of another incarnation; ignored */
};

/* The view holds at most capacity blocks of block_tokens tokens each. */
struct jh_cacheview *jh_cacheview_create(
    size_t capacity, uint32_t block_tokens);
void jh_cacheview_destroy(struct jh_cacheview *v);

/*
 * Sets the incarnation that the engine reports; the view is emptied if it
 * differs from the last. Before the first call every event is ignored as
 * JH_CACHEVIEW_FOREIGN.
 */
void jh_cacheview_set_incarnation(struct jh_cacheview *v, uint64_t incarnation);

/* Applies one event. */
enum jh_cacheview_result jh_cacheview_apply(
    struct jh_cacheview *v, const struct jh_cache_event *e);

/* Tokens in the leading blocks of the chain that are all in the view. */
uint64_t jh_cacheview_cached_tokens(
    const struct jh_cacheview *v, const uint64_t *chain, size_t n);

/* Number of blocks in the view. */
size_t jh_cacheview_len(const struct jh_cacheview *v);

#endif
