#include <jacinthhill/clock.h>

#include "bucket.h"

bool
fake_bucket_take(struct fake_bucket *b, uint64_t now)
{
	if (b->rate <= 0)
		return true;
	if (b->filled == 0)
		b->tokens = b->rate;
	else
		b->tokens +=
		    b->rate * (double)(now - b->filled) / JH_USEC_PER_SEC;
	b->filled = now;
	if (b->tokens > b->rate)
		b->tokens = b->rate;
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
