#ifndef ADMIT_QUEUE_ENGINE_H
#define ADMIT_QUEUE_ENGINE_H

#include <stdint.h>

#include <jacinthhill/queue.h>

#include "admit/queue_fit.h"

/*
 * State of the engine as the queue knows it: running items and measured rates.
 * The model is that prompts are prefilled one after the other, outputs
 * are decoded concurrently, and each item occupies a slot from start to end.
 * Times are microseconds.
 */
struct jh_queue_engine {
	unsigned int slots;
	unsigned int running;
	/* Running items before their first token, and their prompt tokens. */
	unsigned int in_prefill[JH_RANKS];
	uint64_t prefill_tokens[JH_RANKS];
	/*
	 * Time since which the engine has been prefilling the oldest of them.
	 */
	uint64_t prefill_since;
	/* Prefill time as a linear function of prompt tokens. */
	struct jh_queue_fit prefill_fit;
	/* Time between two output tokens of a request. */
	struct jh_queue_mean token_interval;
	/* Time for which an item occupies a slot. */
	struct jh_queue_mean slot_time[JH_RANKS];
};

void jh_queue_engine_init(
    struct jh_queue_engine *e, const struct jh_queue_config *config);

/* Records that an item was sent to the engine. */
void jh_queue_engine_started(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item);
/* Records the first token of an item and adds its time to the prefill fit. */
void jh_queue_engine_first_token(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item);
/*
 * Takes an item out of the prefill counts: it has its first token, or ended
 * without one.
 */
void jh_queue_engine_prefill_ended(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item);

/*
 * Estimated prefill time, in microseconds, ahead of a new prompt of the rank.
 */
double jh_queue_engine_prefill_remaining(
    const struct jh_queue_engine *e, uint64_t now, enum jh_rank rank);
/* Estimated microseconds to prefill count prompts with tokens in total. */
double jh_queue_engine_prefill_time(
    const struct jh_queue_engine *e, double count, double tokens);
/*
 * Time from which the engine needs another prompt of the rank to stay busy:
 * not later than now if it needs one already, JH_NEVER if this depends on an
 * event. window is a number of prompt tokens. Background prompts are left out
 * for an urgent one: the engine prefills urgent prompts first, and an engine
 * that does not is no slower with both.
 */
uint64_t jh_queue_engine_ready_at(
    const struct jh_queue_engine *e, enum jh_rank rank, unsigned int window);

#endif
