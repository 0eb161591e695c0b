#include "feed/read_pace.h"

struct read_pace {
	uint64_t first;
	uint64_t longest;
	uint64_t interval;
	uint64_t next; /* a read is due */
	GRand *rand;
};

struct read_pace *
read_pace_create(uint64_t first, uint64_t longest, guint32 seed)
{
	struct read_pace *p = g_new0(struct read_pace, 1);

	p->first = first;
	p->longest = longest;
	p->interval = first;
	p->rand = g_rand_new_with_seed(seed);
	return p;
}

void
read_pace_destroy(struct read_pace *p)
{
	g_rand_free(p->rand);
	g_free(p);
}

bool
read_pace_due(struct read_pace *p, uint64_t now)
{
	if (now < p->next)
		return false;
	p->next = now + (uint64_t)((double)p->interval *
				   g_rand_double_range(p->rand, 0.75, 1.25));
	return true;
}

void
read_pace_succeeded(struct read_pace *p)
{
	p->interval = MIN(2 * p->interval, p->longest);
}

void
read_pace_reset(struct read_pace *p)
{
	p->interval = p->first;
	p->next = 0;
}
