#define XXH_INLINE_ALL
#include <xxhash.h>

#include <jacinthhill/prefix.h>

/* Distinguishes a missing organisation from an empty one. */
enum { SCOPE_SHARED = 1, SCOPE_PRIVATE = 2 };

/*
 * Hashes the length first: otherwise two adjacent fields with the same bytes,
 * divided in another place, would have the same hash.
 */
static uint64_t
chain(uint64_t seed, struct jh_str s)
{
	uint64_t len = s.len;

	seed = XXH3_64bits_withSeed(&len, sizeof(len), seed);
	return XXH3_64bits_withSeed(s.ptr == NULL ? "" : s.ptr, s.len, seed);
}

static uint64_t
chain_private(uint64_t seed, struct jh_str org)
{
	return chain(seed + SCOPE_PRIVATE, org);
}

static uint32_t
estimate_tokens(size_t bytes)
{
	uint64_t tokens =
	    (bytes + JH_PREFIX_BYTES_PER_TOKEN - 1) / JH_PREFIX_BYTES_PER_TOKEN;

	return tokens > UINT32_MAX ? UINT32_MAX : (uint32_t)tokens;
}

static uint32_t
add_tokens(uint32_t a, uint32_t b)
{
	return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

void
jh_prefix_build(struct jh_prefix *out, const struct jh_prefix_scope *scope,
    const struct jh_prefix_message *messages, size_t n, size_t shared)
{
	uint64_t h = chain(0, scope->model);
	struct jh_prefix_level *level;
	size_t i;

	h = chain(h, scope->weights_version) + SCOPE_SHARED;
	out->n = 0;
	for (i = 0; i < n; i++) {
		if (i == shared)
			h = chain_private(h, scope->org);
		h = chain(h, messages[i].role);
		h = chain(h, messages[i].content);
		if (i < JH_PREFIX_MAX_LEVELS) {
			level = &out->level[out->n++];
			level->tokens = 0;
		} else {
			level = &out->level[JH_PREFIX_MAX_LEVELS - 1];
		}
		level->hash = h;
		level->tokens = add_tokens(
		    level->tokens, estimate_tokens(messages[i].content.len));
	}
}

uint64_t
jh_prefix_tokens(const struct jh_prefix *prefix)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < prefix->n; i++)
		sum += prefix->level[i].tokens;
	return sum;
}

uint64_t
jh_prefix_key(const struct jh_prefix *prefix, size_t i)
{
	if (prefix->n == 0)
		return 0;
	return prefix->level[i < prefix->n ? i : prefix->n - 1].hash;
}
