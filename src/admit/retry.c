#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/retry.h>

/* The bucket is counted in the microseconds that refill it. */
#define UNIT JH_USEC_PER_SEC
#define RESERVE (JH_RETRY_RESERVE * UNIT)
#define MOST (JH_RETRY_MOST * UNIT)

struct jh_retry {
	uint64_t level;
	uint64_t refilled; /* time up to which the reserve is refilled */
};

struct jh_retry *
jh_retry_create(uint64_t now)
{
	struct jh_retry *r = g_new0(struct jh_retry, 1);

	r->level = RESERVE;
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
	if (r->level < RESERVE)
		r->level += MIN(now - r->refilled, RESERVE - r->level);
	r->refilled = now;
}

void
jh_retry_success(struct jh_retry *r, uint64_t now)
{
	refill(r, now);
	r->level = MIN(r->level + UNIT / JH_RETRY_SUCCESSES, MOST);
}

bool
jh_retry_take(struct jh_retry *r, uint64_t now)
{
	refill(r, now);
	if (r->level < UNIT)
		return false;
	r->level -= UNIT;
	return true;
}

uint32_t
jh_retry_left(struct jh_retry *r, uint64_t now)
{
	refill(r, now);
	return (uint32_t)(r->level / UNIT);
}
