#ifndef ROUTE_PREFIX_NEED_H
#define ROUTE_PREFIX_NEED_H

#include <stddef.h>
#include <stdint.h>

/* Shorter parts of a prompt are neither saved nor announced. */
#define JH_PREFIX_MIN_TOKENS 1000

/* The shared prefixes of a prompt that is sent to a worker. */
struct jh_prefix_need {
	const char *zone; /* of the worker */
	const uint64_t *key; /* of each prefix and of the weights */
	const uint32_t *tokens; /* beyond those of the previous prefix */
	size_t n; /* number of prefixes */
	size_t cached; /* of these, the first ones that the worker surely has */
	size_t likely; /* the first ones that it is taken to have; >= cached */
	uint64_t token_bytes; /* memory of a token; 0: not known */
};

/* Tokens of the prefixes from the one index up to, but not including, to. */
uint64_t jh_prefix_need_tokens(
    const struct jh_prefix_need *need, size_t from, size_t to);
/* Memory of so many tokens, bytes. */
uint64_t jh_prefix_need_bytes(
    const struct jh_prefix_need *need, uint64_t tokens);
/* Prefixes up to the last one that is large enough for a store. */
size_t jh_prefix_need_stored(const struct jh_prefix_need *need);

#endif
