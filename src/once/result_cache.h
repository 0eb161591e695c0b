#ifndef ONCE_RESULT_CACHE_H
#define ONCE_RESULT_CACHE_H

#include <jacinthhill/ledger.h>

enum jh_result {
	JH_RESULT_DONE, /* ran; comes with the response */
	JH_RESULT_NOT_KEPT, /* ran; the response was not kept */
	JH_RESULT_LOST, /* sent, but the response is lost */
};

/* The result of the call with one key. */
struct jh_cached_result {
	char *object;
	char *request_hash;
	enum jh_result result;

	struct jh_call_response *response; /* NULL unless DONE */
};

/* Cache of results, bounded in entries and bytes; evicts the oldest. */
struct jh_result_cache;

struct jh_result_cache *jh_result_cache_create(size_t max, size_t max_bytes);
void jh_result_cache_destroy(struct jh_result_cache *r);

/*
 * Adds a result, replacing that of the same object. Copies the strings and
 * takes a reference to the response. A result over max_bytes is not cached.
 */
void jh_result_cache_put(
    struct jh_result_cache *r, const struct jh_cached_result *e);
/* Returns NULL if there is none; valid until the next change. */
const struct jh_cached_result *jh_result_cache_get(
    struct jh_result_cache *r, const char *object);
void jh_result_cache_remove(struct jh_result_cache *r, const char *object);

#endif
