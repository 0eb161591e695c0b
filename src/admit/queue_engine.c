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

static unsigned int
in_prefill(const struct jh_queue_engine *e, enum jh_rank up_to)
{
	return e->in_prefill[JH_RANK_URGENT] +
	       (up_to == JH_RANK_URGENT ? 0
					: e->in_prefill[JH_RANK_BACKGROUND]);
}

static uint64_t
prefill_tokens(const struct jh_queue_engine *e, enum jh_rank up_to)
{
	return e->prefill_tokens[JH_RANK_URGENT] +
	       (up_to == JH_RANK_URGENT
		       ? 0
		       : e->prefill_tokens[JH_RANK_BACKGROUND]);
}

void
jh_queue_engine_started(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item)
{
	if (in_prefill(e, JH_RANK_BACKGROUND) == 0)
		e->prefill_since = now;
	e->in_prefill[item->rank]++;
	e->prefill_tokens[item->rank] += item->prefill;
	e->running++;
}

void
jh_queue_engine_lost_prefill(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item)
{
	e->in_prefill[item->rank]--;
	e->prefill_tokens[item->rank] -= item->prefill;
	e->prefill_since = now;
}

void
jh_queue_engine_first_token(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item)
{
	jh_queue_fit_add(
	    &e->prefill, item->prefill, (double)(now - e->prefill_since));
	jh_queue_engine_lost_prefill(e, now, item);
}

double
jh_queue_engine_prefill_time(
    const struct jh_queue_engine *e, double count, double tokens)
{
	return jh_queue_fit_at(&e->prefill, count, tokens);
}

double
jh_queue_engine_prefill_left(
    const struct jh_queue_engine *e, uint64_t now, enum jh_rank rank)
{
	unsigned int n = in_prefill(e, rank);
	double left;

	if (n == 0)
		return 0;
	left = jh_queue_engine_prefill_time(
		   e, n, (double)prefill_tokens(e, rank)) -
	       (double)(now - e->prefill_since);
	return MAX(left, 0);
}

uint64_t
jh_queue_engine_open_at(
    const struct jh_queue_engine *e, enum jh_rank rank, unsigned int window)
{
	unsigned int n = in_prefill(e, rank);
	uint64_t tokens = prefill_tokens(e, rank);

	if (n == 0 || tokens <= window)
		return 0;
	/* Two prompts at most, so that a stalled engine is not filled up. */
	if (n > 1)
		return JH_NEVER;
	return e->prefill_since +
	       (uint64_t)((double)(tokens - window) * e->prefill.slope);
}
