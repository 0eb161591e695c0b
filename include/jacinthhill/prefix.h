#ifndef JACINTHHILL_PREFIX_H
#define JACINTHHILL_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/* Messages past this number are hashed into the last level. */
#define JH_PREFIX_MAX_LEVELS 8

/* Bytes of text per token in estimates. */
#define JH_PREFIX_BYTES_PER_TOKEN 4

/* Longest Jh-Prefix value with its NUL: 16 digits, colon, 10 digits, comma. */
#define JH_PREFIX_HEADER_SIZE (JH_PREFIX_MAX_LEVELS * 28)

/* A cache salt as text: 32 hexadecimal digits. */
#define JH_CACHE_SALT_LEN 32

/* Scope of a prefix; keys of different scopes do not match. */
struct jh_prefix_scope {
	struct jh_str model;
	struct jh_str weights_version;
	struct jh_str org; /* organisation */
};

/* A message of a prompt. */
struct jh_prefix_message {
	struct jh_str role;
	struct jh_str content;
};

/* A message of a prompt, and the prefix that ends with it. */
struct jh_prefix_level {
	uint64_t hash; /* chained over all levels up to this one */
	uint32_t tokens; /* estimate for this level alone */
};

/* Prefixes of a prompt: one level for each message. */
struct jh_prefix {
	size_t n;
	struct jh_prefix_level level[JH_PREFIX_MAX_LEVELS];
};

/*
 * Builds the level keys of messages[0..n). The first shared messages are
 * keyed without the organisation; all later ones are private to it.
 */
void jh_prefix_build(struct jh_prefix *out, const struct jh_prefix_scope *scope,
    const struct jh_prefix_message *messages, size_t n, size_t shared);

/* Estimated tokens, summed over all levels. */
uint64_t jh_prefix_tokens(const struct jh_prefix *prefix);

/* The key of level i (from 0), or of the last level if there are fewer. */
uint64_t jh_prefix_key(const struct jh_prefix *prefix, size_t i);

/* Writes the Jh-Prefix header value; returns its length without the NUL. */
size_t jh_prefix_format(
    const struct jh_prefix *prefix, char out[JH_PREFIX_HEADER_SIZE]);

/* Parses a Jh-Prefix header value; returns false if any part is malformed. */
bool jh_prefix_parse(struct jh_prefix *out, struct jh_str value);

/*
 * Writes the salt with which an engine hashes its cached blocks: a hash of the
 * model, the weights version, the organisation (empty for shared content) and
 * the engine's incarnation.
 */
void jh_cache_salt(const struct jh_prefix_scope *scope, uint64_t incarnation,
    char out[JH_CACHE_SALT_LEN + 1]);

#endif
