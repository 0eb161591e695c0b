#ifndef ROUTE_CACHE_MODEL_H
#define ROUTE_CACHE_MODEL_H

#include <stddef.h>
#include <stdint.h>

/*
 * Estimates what the workers' caches evict: a list of the prompt prefixes that
 * each worker was sent, the most recently used first, as the workers evict the
 * least recently used. No I/O, no times.
 */
struct jh_cache_model;

/* Prefixes kept for each worker; older ones count as evicted. */
#define JH_CACHE_MODEL_PREFIXES 48

/* Workers kept; beyond that, all are forgotten. */
#define JH_CACHE_MODEL_WORKERS 8192

struct jh_cache_model *jh_cache_model_create(void);
void jh_cache_model_destroy(struct jh_cache_model *m);

/*
 * The worker uses the prefix, which adds so many tokens to the shorter ones; 0
 * if that is not known, which counts as the average.
 */
void jh_cache_model_used(
    struct jh_cache_model *m, uint64_t worker, uint64_t key, uint32_t tokens);
/*
 * Tokens that the worker has to keep in memory for the prefix to be there: its
 * own and those of all that were used later. UINT64_MAX if it is not known.
 */
uint64_t jh_cache_model_depth(
    const struct jh_cache_model *m, uint64_t worker, uint64_t key);

#endif
