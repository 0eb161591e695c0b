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
	/*
	 * Cost that background may still claim before urgent work, times
	 * (100 - floor percent), so that no division loses a part.
	 */
	int64_t background_credit;
	int64_t credit_bound;
	/* Slots that urgent items hold or wait for. */
	struct jh_queue_level urgent;
	/* Weight of the organisations with urgent items. */
	struct jh_queue_level active;
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
/*
 * Slots for each unit of weight below which an organisation may start urgent
 * work; compared with the mean of what it holds now and of late. The bound
 * rises with the free slots, so that those who hold few find one soon, and
 * nobody needs to be told who asks for too much.
 */
double jh_queue_urgent_bound(const struct jh_queue *q);
/* Brings the levels up to now; called before each change. */
void jh_queue_observe(struct jh_queue *q, uint64_t now);

#endif
