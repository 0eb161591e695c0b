#include "feed/poll_timer.h"

struct poll_timer {
	uint64_t min_interval;
	uint64_t max_interval;
	uint64_t interval;
	uint64_t next; /* when the next read is due */
	GRand *rand;
};

struct poll_timer *
poll_timer_create(uint64_t min_interval, uint64_t max_interval, guint32 seed)
{
	struct poll_timer *t = g_new0(struct poll_timer, 1);

	t->min_interval = min_interval;
	t->max_interval = max_interval;
	t->interval = min_interval;
	t->rand = g_rand_new_with_seed(seed);
	return t;
}

void
poll_timer_destroy(struct poll_timer *t)
{
	g_rand_free(t->rand);
	g_free(t);
}

bool
poll_timer_due(struct poll_timer *t, uint64_t now)
{
	if (now < t->next)
		return false;
	t->next = now + (uint64_t)((double)t->interval *
				   g_rand_double_range(t->rand, 0.75, 1.25));
	return true;
}

void
poll_timer_succeeded(struct poll_timer *t)
{
	t->interval = MIN(2 * t->interval, t->max_interval);
}

void
poll_timer_reset(struct poll_timer *t)
{
	t->interval = t->min_interval;
	t->next = 0;
}
