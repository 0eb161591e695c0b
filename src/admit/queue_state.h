#ifndef ADMIT_QUEUE_STATE_H
#define ADMIT_QUEUE_STATE_H

#include <glib.h>

#include "admit/queue_engine.h"
#include "admit/queue_rank.h"

struct jh_queue {
	struct jh_queue_config config;
	/* Queued and running entries by id. */
	GHashTable *entries;
	struct jh_queue_rank ranks[JH_RANKS];
	/* Queued entries by latest start. */
	struct jh_queue_heap expiry;
	/* Entries to hand back; they own their organisation's name. */
	GQueue refused;
	/* Name that the last item handed back points to. */
	char *refused_org;
	struct jh_queue_engine engine;
	/* Cost that background may still claim before urgent work. */
	uint64_t background_credit;
	/* Mean number of urgent items running or waiting, moving in time. */
	double urgent_mean;
	uint64_t urgent_mean_at;
	/* When jh_queue_next() can give more without another event. */
	uint64_t open_at;
	uint64_t next_seq;
	uint64_t counts[JH_RANKS][JH_QUEUE_REASONS];
	uint64_t dispatched_cost[JH_RANKS];
};

uint64_t jh_queue_cost(
    const struct jh_queue *q, uint64_t prefill, uint64_t decode);
/* Removes a queued entry and puts it on the refused list. */
void jh_queue_hand_back(
    struct jh_queue *q, struct jh_queue_entry *e, enum jh_queue_reason reason);
/* Slots that background may hold beyond its floor. */
unsigned int jh_queue_background_slots(const struct jh_queue *q);
/* Brings the mean number of urgent items up to now. */
void jh_queue_observe(struct jh_queue *q, uint64_t now);

#endif
