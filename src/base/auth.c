#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include <jacinthhill/clock.h>

#include "base/auth.h"

struct jh_auth_mac {
	crypto_generichash_state state;
};

bool
jh_auth_key_parse(struct jh_auth_key *key, const char *hex)
{
	size_t len = 0;

	if (hex == NULL || strlen(hex) != 2 * JH_AUTH_KEY_LEN)
		return false;
	return sodium_hex2bin(key->bytes, sizeof(key->bytes), hex, strlen(hex),
		   NULL, &len, NULL) == 0 &&
	       len == JH_AUTH_KEY_LEN;
}

struct jh_auth_mac *
jh_auth_mac_create(const struct jh_auth_key *key)
{
	struct jh_auth_mac *m;

	/* The state of libsodium must be aligned to 64 bytes. */
	m = aligned_alloc(64, (sizeof(*m) + 63) / 64 * 64);
	g_assert(m != NULL);
	crypto_generichash_init(
	    &m->state, key->bytes, sizeof(key->bytes), JH_AUTH_MAC_LEN);
	return m;
}

void
jh_auth_mac_add(struct jh_auth_mac *m, const void *data, size_t len)
{
	crypto_generichash_update(&m->state, data, len);
}

void
jh_auth_mac_add_str(struct jh_auth_mac *m, struct jh_str s)
{
	uint64_t len = GUINT64_TO_BE(s.len);

	jh_auth_mac_add(m, &len, sizeof(len));
	if (s.len > 0)
		jh_auth_mac_add(m, s.ptr, s.len);
}

void
jh_auth_mac_finish(struct jh_auth_mac *m, uint8_t out[JH_AUTH_MAC_LEN])
{
	crypto_generichash_final(&m->state, out, JH_AUTH_MAC_LEN);
	sodium_memzero(m, sizeof(*m));
	free(m);
}

bool
jh_auth_mac_eq(const uint8_t *a, const uint8_t *b)
{
	return sodium_memcmp(a, b, JH_AUTH_MAC_LEN) == 0;
}

bool
jh_auth_is_recent(uint64_t sent_usec)
{
	uint64_t now = jh_wall_now();

	return (now > sent_usec ? now - sent_usec : sent_usec - now) <=
	       JH_AUTH_SKEW_USEC;
}

void
jh_auth_random(void *out, size_t len)
{
	randombytes_buf(out, len);
}

void
jh_auth_hash_hex(struct jh_str s, char out[JH_AUTH_HASH_HEX_LEN + 1])
{
	uint8_t hash[JH_AUTH_HASH_HEX_LEN / 2];

	crypto_generichash(
	    hash, sizeof(hash), (const uint8_t *)s.ptr, s.len, NULL, 0);
	sodium_bin2hex(out, JH_AUTH_HASH_HEX_LEN + 1, hash, sizeof(hash));
}
