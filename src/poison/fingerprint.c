#include <glib.h>
#include <xxhash.h>

#include <jacinthhill/suspects.h>

/* The upper half of the fingerprints of parts; unlikely for a request. */
#define PART_HIGH 0x6a682d70617274ULL
/* That of the same parts in crashes before a response head. */
#define UNBEGUN_HIGH 0x6a682d77616974ULL
/* That of requests in crashes after a response head. */
#define MIDWAY_HIGH 0x6a682d6d6964ULL
#define ENDED_HIGH 0x6a682d656e6473ULL

struct jh_fingerprint
jh_fingerprint_of_part(uint64_t hash)
{
	return (struct jh_fingerprint){PART_HIGH, hash};
}

bool
jh_fingerprint_is_part(struct jh_fingerprint fingerprint)
{
	return fingerprint.high == PART_HIGH;
}

struct jh_fingerprint
jh_fingerprint_unbegun(struct jh_fingerprint part)
{
	return (struct jh_fingerprint){UNBEGUN_HIGH, part.low};
}

bool
jh_fingerprint_is_unbegun(struct jh_fingerprint fingerprint)
{
	return fingerprint.high == UNBEGUN_HIGH;
}

struct jh_fingerprint
jh_fingerprint_midway(struct jh_fingerprint request)
{
	return (struct jh_fingerprint){MIDWAY_HIGH, request.low};
}

bool
jh_fingerprint_is_midway(struct jh_fingerprint fingerprint)
{
	return fingerprint.high == MIDWAY_HIGH;
}

struct jh_fingerprint
jh_fingerprint_of_ended(void)
{
	return (struct jh_fingerprint){ENDED_HIGH, 0};
}

bool
jh_fingerprint_is_ended(struct jh_fingerprint fingerprint)
{
	return fingerprint.high == ENDED_HIGH;
}

struct jh_fingerprint
jh_fingerprint_of(struct jh_str org, struct jh_str body)
{
	XXH3_state_t *state = XXH3_createState();
	uint64_t len = GUINT64_TO_LE(org.len);
	XXH128_hash_t h;

	XXH3_128bits_reset(state);
	/* The length separates the organisation from the body. */
	XXH3_128bits_update(state, &len, sizeof(len));
	if (org.len > 0)
		XXH3_128bits_update(state, org.ptr, org.len);
	if (body.len > 0)
		XXH3_128bits_update(state, body.ptr, body.len);
	h = XXH3_128bits_digest(state);
	XXH3_freeState(state);
	return (struct jh_fingerprint){h.high64, h.low64};
}
