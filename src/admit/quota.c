#include <xxhash.h>

#include <jacinthhill/quota.h>

uint64_t
jh_quota_share(uint64_t limit, unsigned int permille)
{
	return limit / 1000 * permille + limit % 1000 * permille / 1000;
}

uint64_t
jh_quota_choose_granter(
    struct jh_str org, struct jh_str class, const uint64_t *ids, size_t n)
{
	uint64_t key, hash, best = 0, best_hash = 0;
	size_t i;

	key = XXH3_64bits_withSeed(org.ptr, org.len, 0);
	key = XXH3_64bits_withSeed(class.ptr, class.len, key);
	for (i = 0; i < n; i++) {
		hash = XXH3_64bits_withSeed(&ids[i], sizeof(ids[i]), key);
		if (best == 0 || hash > best_hash ||
		    (hash == best_hash && ids[i] > best)) {
			best = ids[i];
			best_hash = hash;
		}
	}
	return best;
}
