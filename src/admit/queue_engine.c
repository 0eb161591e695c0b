#include <glib.h>

#include <jacinthhill/clock.h>

#include "admit/queue_engine.h"

/* Assumed fixed time of a prompt, besides the time for its tokens. */
#define ASSUMED_PREFILL_BASE_USEC 20000.0
/* Prompt size of the second of the two points that start the prefill fit. */
#define PREFILL_FIT_TOKENS 1000.0
/*
 * A sample is capped at this many times the estimate, so that one stall of the
 * engine does not make the queue refuse requests that it can serve.
 */
#define MAX_SAMPLE_FACTOR 4
/* Assumed output length, from which the assumed time in a slot follows. */
#define ASSUMED_DECODE_TOKENS 200.0

void
jh_queue_engine_init(
    struct jh_queue_engine *e, const struct jh_queue_config *config)
{
	int r;

	*e = (struct jh_queue_engine){.slots = config->slots};
	jh_queue_fit_init(&e->prefill_fit, ASSUMED_PREFILL_BASE_USEC,
	    (double)JH_USEC_PER_SEC / config->prefill_rate, PREFILL_FIT_TOKENS);
	e->token_interval.value = (double)JH_USEC_PER_SEC / config->decode_rate;
	for (r = 0; r < JH_RANKS; r++)
		e->slot_time[r].value =
		    e->token_interval.value * ASSUMED_DECODE_TOKENS;
}

static unsigned int
in_prefill(const struct jh_queue_engine *e, enum jh_rank lowest_rank)
{
	return e->in_prefill[JH_RANK_URGENT] +
	       (lowest_rank == JH_RANK_URGENT
		       ? 0
		       : e->in_prefill[JH_RANK_BACKGROUND]);
}

static uint64_t
prefill_tokens(const struct jh_queue_engine *e, enum jh_rank lowest_rank)
{
	return e->prefill_tokens[JH_RANK_URGENT] +
	       (lowest_rank == JH_RANK_URGENT
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
jh_queue_engine_prefill_ended(
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
	double max_time = MAX_SAMPLE_FACTOR *
			  jh_queue_engine_prefill_time(e, 1, item->prefill);
	double elapsed = (double)(now - e->prefill_since);

	jh_queue_fit_add(
	    &e->prefill_fit, item->prefill, MIN(elapsed, max_time));
	jh_queue_engine_prefill_ended(e, now, item);
}

double
jh_queue_engine_prefill_time(
    const struct jh_queue_engine *e, double count, double tokens)
{
	return jh_queue_fit_at(&e->prefill_fit, count, tokens);
}

double
jh_queue_engine_prefill_remaining(
    const struct jh_queue_engine *e, uint64_t now, enum jh_rank rank)
{
	unsigned int n = in_prefill(e, rank);
	double remaining;

	if (n == 0)
		return 0;
	remaining = jh_queue_engine_prefill_time(
			e, n, (double)prefill_tokens(e, rank)) -
		    (double)(now - e->prefill_since);
	return MAX(remaining, 0);
}

uint64_t
jh_queue_engine_ready_at(
    const struct jh_queue_engine *e, enum jh_rank rank, unsigned int window)
{
	unsigned int n = in_prefill(e, rank);
	uint64_t tokens = prefill_tokens(e, rank);

	if (n == 0 || tokens <= window)
		return 0;
	/* At most two prompts, so that a stalled engine is not filled up. */
	if (n > 1)
		return JH_NEVER;
	return e->prefill_since +
	       (uint64_t)((double)(tokens - window) * e->prefill_fit.slope);
}
