#include <inttypes.h>
#include <stdio.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <jacinthhill/prefix.h>

static void
add(XXH3_state_t *state, struct jh_str s)
{
	uint64_t len = s.len;

	XXH3_128bits_update(state, &len, sizeof(len));
	if (s.len > 0)
		XXH3_128bits_update(state, s.ptr, s.len);
}

void
jh_cache_salt(const struct jh_prefix_scope *scope, uint64_t incarnation,
    char out[JH_CACHE_SALT_LEN + 1])
{
	XXH3_state_t state;
	XXH128_hash_t h;

	XXH3_128bits_reset(&state);
	add(&state, scope->model);
	add(&state, scope->weights_version);
	add(&state, scope->org);
	XXH3_128bits_update(&state, &incarnation, sizeof(incarnation));
	h = XXH3_128bits_digest(&state);
	snprintf(out, JH_CACHE_SALT_LEN + 1, "%016" PRIx64 "%016" PRIx64,
	    (uint64_t)h.high64, (uint64_t)h.low64);
}
