#include <jacinthhill/clock.h>

#include "bucket.h"

bool
fake_bucket_take(struct fake_bucket *b, uint64_t now)
{
	if (b->rate <= 0)
		return true;
	if (b->refilled_at == 0)
		b->tokens = b->rate;
	else
		b->tokens +=
		    b->rate * (double)(now - b->refilled_at) / JH_USEC_PER_SEC;
	b->refilled_at = now;
	if (b->tokens > b->rate)
		b->tokens = b->rate;
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
