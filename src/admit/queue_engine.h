#ifndef ADMIT_QUEUE_ENGINE_H
#define ADMIT_QUEUE_ENGINE_H

#include <stdint.h>

#include <jacinthhill/queue.h>

#include "admit/queue_fit.h"

/*
 * What the queue knows of its engine: what runs and the measured rates. The
 * model: prompts are prefilled one after the other, answers are decoded side
 * by side, and each item holds a slot from start to end.
 */
struct jh_queue_engine {
	unsigned int slots;
	unsigned int running;
	/* Running items without a first token, and their prompt tokens. */
	unsigned int in_prefill[JH_RANKS];
	uint64_t prefill_tokens[JH_RANKS];
	/* Since when the engine works on the oldest of these. */
	uint64_t prefill_since;
	/* Microseconds of prefill over prompt tokens. */
	struct jh_queue_fit prefill;
	/* Microseconds between tokens of an answer. */
	struct jh_queue_mean token;
	/* Microseconds for which an item holds a slot. */
	struct jh_queue_mean hold[JH_RANKS];
};

void jh_queue_engine_init(
    struct jh_queue_engine *e, const struct jh_queue_config *config);

void jh_queue_engine_started(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item);
void jh_queue_engine_first_token(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item);
/* An item that leaves before its first token. */
void jh_queue_engine_lost_prefill(
    struct jh_queue_engine *e, uint64_t now, const struct jh_queue_item *item);

/* Estimated microseconds of prefill left before a prompt of this rank. */
double jh_queue_engine_prefill_left(
    const struct jh_queue_engine *e, uint64_t now, enum jh_rank rank);
/* Estimated microseconds to prefill count prompts of tokens in all. */
double jh_queue_engine_prefill_time(
    const struct jh_queue_engine *e, double count, double tokens);
/*
 * Time from which the engine needs another prompt of this rank to stay busy:
 * at most now if it does already, JH_NEVER if only an event can bring it. A
 * background prompt does not count for urgent ones: the engine lets these go
 * first, and one that does not is no slower for having both.
 */
uint64_t jh_queue_engine_open_at(
    const struct jh_queue_engine *e, enum jh_rank rank, unsigned int window);

#endif
