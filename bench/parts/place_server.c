#include <string.h>

#include <glib.h>

#include "place_server.h"

static int
first_slot(const struct place_server *s)
{
	int i, best = 0;

	for (i = 1; i < PLACE_SLOTS; i++) {
		if (s->slot_free[i] < s->slot_free[best])
			best = i;
	}
	return best;
}

uint64_t
place_server_wait(const struct place_server *s, uint64_t now)
{
	uint64_t start = MAX(s->prefill_free, s->slot_free[first_slot(s)]);

	return start > now ? start - now : 0;
}

uint64_t
place_server_take(struct place_server *s, uint64_t now, uint64_t prefill_tokens,
    uint64_t decode_tokens)
{
	uint64_t start = now + place_server_wait(s, now);
	uint64_t first_token =
	    start + prefill_tokens * 1000000 / PLACE_PREFILL_RATE;

	s->prefill_free = first_token;
	s->slot_free[first_slot(s)] =
	    first_token + decode_tokens * PLACE_TOKEN_USEC;
	return first_token;
}

void
place_server_crash(struct place_server *s, uint64_t until)
{
	memset(s, 0, sizeof(*s));
	s->down_until = until;
}
