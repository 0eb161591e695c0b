#include <inttypes.h>
#include <stdio.h>

#include <glib.h>

#include <jacinthhill/prefix.h>

#define HASH_DIGITS 16

size_t
jh_prefix_format(
    const struct jh_prefix *prefix, char out[JH_PREFIX_HEADER_SIZE])
{
	size_t i, len = 0;

	out[0] = '\0';
	for (i = 0; i < prefix->n && i < JH_PREFIX_MAX_LEVELS; i++) {
		len += (size_t)snprintf(out + len, JH_PREFIX_HEADER_SIZE - len,
		    "%s%016" PRIx64 ":%" PRIu32, i == 0 ? "" : ",",
		    prefix->level[i].hash, prefix->level[i].tokens);
	}
	return len;
}

static bool
parse_hash(struct jh_str *s, uint64_t *out)
{
	uint64_t v = 0;
	size_t i;

	if (s->len < HASH_DIGITS)
		return false;
	for (i = 0; i < HASH_DIGITS; i++) {
		int digit = g_ascii_xdigit_value(s->ptr[i]);

		if (digit < 0)
			return false;
		v = v << 4 | (uint64_t)digit;
	}
	s->ptr += HASH_DIGITS;
	s->len -= HASH_DIGITS;
	*out = v;
	return true;
}

static bool
parse_tokens(struct jh_str *s, uint32_t *out)
{
	uint64_t v = 0;
	size_t i;

	for (i = 0; i < s->len && g_ascii_isdigit(s->ptr[i]); i++) {
		v = v * 10 + (uint64_t)(s->ptr[i] - '0');
		if (v > UINT32_MAX)
			return false;
	}
	if (i == 0)
		return false;
	s->ptr += i;
	s->len -= i;
	*out = (uint32_t)v;
	return true;
}

static bool
parse_char(struct jh_str *s, char c)
{
	if (s->len == 0 || *s->ptr != c)
		return false;
	s->ptr++;
	s->len--;
	return true;
}

bool
jh_prefix_parse(struct jh_prefix *out, struct jh_str value)
{
	struct jh_prefix_level *level;

	out->n = 0;
	do {
		if (out->n == JH_PREFIX_MAX_LEVELS)
			return false;
		level = &out->level[out->n];
		if (!parse_hash(&value, &level->hash) ||
		    !parse_char(&value, ':') ||
		    !parse_tokens(&value, &level->tokens))
			return false;
		out->n++;
	} while (parse_char(&value, ','));
	return value.len == 0;
}
