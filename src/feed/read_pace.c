#include "feed/read_pace.h"

struct read_pace {
	uint64_t min_interval;
	uint64_t max_interval;
	uint64_t interval;
	uint64_t next; /* when the next read is due */
	GRand *rand;
};

struct read_pace *
read_pace_create(uint64_t min_interval, uint64_t max_interval, guint32 seed)
{
	struct read_pace *t = g_new0(struct read_pace, 1);

	t->min_interval = min_interval;
	t->max_interval = max_interval;
	t->interval = min_interval;
	t->rand = g_rand_new_with_seed(seed);
	return t;
}

void
read_pace_destroy(struct read_pace *t)
{
	g_rand_free(t->rand);
	g_free(t);
}

bool
read_pace_due(struct read_pace *t, uint64_t now)
{
	if (now < t->next)
		return false;
	t->next = now + (uint64_t)((double)t->interval *
				   g_rand_double_range(t->rand, 0.75, 1.25));
	return true;
}

void
read_pace_succeeded(struct read_pace *t)
{
	t->interval = MIN(2 * t->interval, t->max_interval);
}

void
read_pace_reset(struct read_pace *t)
{
	t->interval = t->min_interval;
	t->next = 0;
}
