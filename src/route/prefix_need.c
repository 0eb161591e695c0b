#include "route/prefix_need.h"

/* Taken if the configuration does not state it; the largest in use. */
#define DEFAULT_TOKEN_BYTES 163840

uint64_t
jh_prefix_need_tokens(const struct jh_prefix_need *need, size_t from, size_t to)
{
	uint64_t sum = 0;

	for (; from < to; from++)
		sum += need->tokens[from];
	return sum;
}

size_t
jh_prefix_need_stored(const struct jh_prefix_need *need)
{
	size_t n = need->n;

	while (n > 0 && need->tokens[n - 1] < JH_PREFIX_MIN_TOKENS)
		n--;
	return n;
}

uint64_t
jh_prefix_need_bytes(const struct jh_prefix_need *need, uint64_t tokens)
{
	return tokens * (need->token_bytes != 0 ? need->token_bytes
						: DEFAULT_TOKEN_BYTES);
}
