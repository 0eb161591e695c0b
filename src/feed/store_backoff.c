#include "feed/store_backoff.h"

struct jh_store_backoff {
	GRand *rand;
	uint64_t delay; /* between probes; 0: the store serves */
	uint64_t next_probe;
	bool probing;
};

/* A probe without a result, because its reader gave it up, is repeated. */
#define PROBE_TIMEOUT_USEC 2000000ULL

struct jh_store_backoff *
jh_store_backoff_create(GRand *rand)
{
	struct jh_store_backoff *b = g_new0(struct jh_store_backoff, 1);

	b->rand = rand;
	return b;
}

void
jh_store_backoff_destroy(struct jh_store_backoff *b)
{
	g_free(b);
}

void
jh_store_backoff_failed(struct jh_store_backoff *b, uint64_t now)
{
	/* Calls that were sent together also fail together. */
	if (b->delay != 0 && !b->probing)
		return;
	b->probing = false;
	b->delay = CLAMP(
	    b->delay * 2, JH_STORE_BACKOFF_MIN_USEC, JH_STORE_BACKOFF_MAX_USEC);
	b->next_probe =
	    now + (uint64_t)((double)b->delay *
			     g_rand_double_range(b->rand, 0.9, 1.0));
}

void
jh_store_backoff_served(struct jh_store_backoff *b)
{
	b->probing = false;
	b->delay = 0;
}

bool
jh_store_backoff_may_call(struct jh_store_backoff *b, uint64_t now)
{
	if (b->delay == 0)
		return true;
	if (now < b->next_probe)
		return false;
	b->probing = true;
	b->next_probe = now + PROBE_TIMEOUT_USEC;
	return true;
}
