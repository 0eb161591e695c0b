#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/retry.h>

/* The level is counted in the microseconds of refill that it is worth. */
#define USEC_PER_RETRY JH_USEC_PER_SEC
#define RESERVE_USEC (JH_RETRY_RESERVE * USEC_PER_RETRY)
#define MAX_USEC (JH_RETRY_MAX * USEC_PER_RETRY)

struct jh_retry {
	uint64_t level;
	uint64_t refilled; /* time of the last refill, microseconds */
};

struct jh_retry *
jh_retry_create(uint64_t now)
{
	struct jh_retry *r = g_new0(struct jh_retry, 1);

	r->level = RESERVE_USEC;
	r->refilled = now;
	return r;
}

void
jh_retry_destroy(struct jh_retry *r)
{
	g_free(r);
}

static void
refill(struct jh_retry *r, uint64_t now)
{
	if (now <= r->refilled)
		return;
	if (r->level < RESERVE_USEC)
		r->level += MIN(now - r->refilled, RESERVE_USEC - r->level);
	r->refilled = now;
}

void
jh_retry_success(struct jh_retry *r, uint64_t now)
{
	refill(r, now);
	r->level = MIN(
	    r->level + USEC_PER_RETRY / JH_RETRY_SUCCESSES_PER_RETRY, MAX_USEC);
}

bool
jh_retry_take(struct jh_retry *r, uint64_t now)
{
	refill(r, now);
	if (r->level < USEC_PER_RETRY)
		return false;
	r->level -= USEC_PER_RETRY;
	return true;
}

uint32_t
jh_retry_left(struct jh_retry *r, uint64_t now)
{
	refill(r, now);
	return (uint32_t)(r->level / USEC_PER_RETRY);
}
