#ifndef BASE_AUTH_H
#define BASE_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

#define JH_AUTH_KEY_LEN 32 /* bytes */
#define JH_AUTH_NONCE_LEN 16 /* bytes */
#define JH_AUTH_MAC_LEN 32 /* bytes */
#define JH_AUTH_HASH_HEX_LEN 64 /* digits */

/* Largest accepted difference between a sender's clock and the local one. */
#define JH_AUTH_SKEW_USEC (30 * 1000000ULL)

/* The key that all processes of one deployment share. */
struct jh_auth_key {
	uint8_t bytes[JH_AUTH_KEY_LEN];
};

/* State of a keyed BLAKE2b MAC to which data is added. */
struct jh_auth_mac;

/* Parses 64 hexadecimal digits; returns false on any other input. */
bool jh_auth_key_parse(struct jh_auth_key *key, const char *hex);

struct jh_auth_mac *jh_auth_mac_create(const struct jh_auth_key *key);
void jh_auth_mac_add(struct jh_auth_mac *m, const void *data, size_t len);
/*
 * Adds the length and then the bytes. Without the length, bytes moved from one
 * field to the next would give the same MAC.
 */
void jh_auth_mac_add_str(struct jh_auth_mac *m, struct jh_str s);
/* Writes the MAC and frees m. */
void jh_auth_mac_finish(struct jh_auth_mac *m, uint8_t out[JH_AUTH_MAC_LEN]);

/* Compares two MACs in constant time. */
bool jh_auth_mac_eq(const uint8_t *a, const uint8_t *b);

/* Whether a sender's wall clock time is within JH_AUTH_SKEW_USEC of now. */
bool jh_auth_is_recent(uint64_t sent_usec);

/* Fills out with bytes of a cryptographic random generator. */
void jh_auth_random(void *out, size_t len);

/* The hash of an API key that the catalogue stores: BLAKE2b in hexadecimal. */
void jh_auth_hash_hex(struct jh_str s, char out[JH_AUTH_HASH_HEX_LEN + 1]);

#endif
