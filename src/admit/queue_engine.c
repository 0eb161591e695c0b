#include <glib.h>

#include <jacinthhill/clock.h>

#include "admit/queue_engine.h"

/* Assumed time of a prompt beyond that of its tokens, until measured. */
#define ASSUMED_PREFILL_BASE_USEC 20000.0
/* Prompt size at which the assumed prefill line is anchored. */
#define ASSUMED_PREFILL_TOKENS 1000.0
/* Assumed answer length, for the assumed time in a slot. */
#define ASSUMED_DECODE_TOKENS 200.0

void
jh_queue_engine_init(
    struct jh_queue_engine *e, const struct jh_queue_config *config)
{
	int r;

	*e = (struct jh_queue_engine){.slots = config->slots};
	jh_queue_fit_init(&e->prefill, ASSUMED_PREFILL_BASE_USEC,
	    (double)JH_USEC_PER_SEC / config->prefill_rate,
	    ASSUMED_PREFILL_TOKENS);
	e->token.value = (double)JH_USEC_PER_SEC / config->decode_rate;
	for (r = 0; r < JH_RANKS; r++)
		e->hold[r].value = e->token.value * ASSUMED_DECODE_TOKENS;
}

void
jh_queue_engine_started(
    struct jh_queue_engine *e, uint64_t now, uint32_t prefill)
{
	if (e->in_prefill++ == 0)
		e->prefill_since = now;
	e->prefill_tokens += prefill;
	e->running++;
}

static void
leave_prefill(struct jh_queue_engine *e, uint64_t now, uint32_t prefill)
{
	e->in_prefill--;
	e->prefill_tokens -= prefill;
	e->prefill_since = now;
}

void
jh_queue_engine_first_token(
    struct jh_queue_engine *e, uint64_t now, uint32_t prefill)
{
	jh_queue_fit_add(
	    &e->prefill, prefill, (double)(now - e->prefill_since));
	leave_prefill(e, now, prefill);
}

void
jh_queue_engine_lost_prefill(
    struct jh_queue_engine *e, uint64_t now, uint32_t prefill)
{
	leave_prefill(e, now, prefill);
}

double
jh_queue_engine_prefill_time(
    const struct jh_queue_engine *e, double count, double tokens)
{
	return jh_queue_fit_at(&e->prefill, count, tokens);
}

double
jh_queue_engine_prefill_left(const struct jh_queue_engine *e, uint64_t now)
{
	double left;

	if (e->in_prefill == 0)
		return 0;
	left = jh_queue_engine_prefill_time(
		   e, e->in_prefill, (double)e->prefill_tokens) -
	       (double)(now - e->prefill_since);
	return MAX(left, 0);
}

uint64_t
jh_queue_engine_open_at(const struct jh_queue_engine *e, unsigned int window)
{
	double wait;

	if (e->in_prefill == 0 || e->prefill_tokens <= window)
		return 0;
	/* Two prompts at most, so that a stalled engine is not filled up. */
	if (e->in_prefill > 1)
		return JH_NEVER;
	wait = ((double)e->prefill_tokens - window) * e->prefill.slope;
	return e->prefill_since + (uint64_t)wait;
}
