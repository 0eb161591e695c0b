#include <jacinthhill/clock.h>

#include "admit/queue_state.h"

/* Expected amount of queued work that runs before an item. */
struct work_ahead {
	double count;
	double prefill;
	/* Items of the item's own organisation among count. */
	double own;
};

/*
 * Estimates the work of the item's rank that runs before the item: its
 * organisation's items with earlier deadlines, and the part of the other
 * organisations' work that their weights let them run in the meantime.
 */
static struct work_ahead
work_ahead_in_rank(
    const struct jh_queue_rank *r, const struct jh_queue_item *item)
{
	const struct jh_queue_flow *f = jh_queue_rank_find(r, item->org);
	struct jh_queue_sum own = {0}, others_queued = r->queued;
	double weight = MAX(item->weight, 1), span = 0, share, mean;
	size_t others = r->waiting_flows;
	uint64_t others_weight = r->waiting_weight;
	struct jh_queue_sum all;

	if (f != NULL) {
		all = jh_queue_flow_queued(f);
		own = jh_queue_tree_sum(&f->tree, item->deadline);
		jh_queue_sum_sub(&others_queued, &all);
		if (all.count > 0) {
			others--;
			others_weight -= f->weight;
		}
		if (f->tag > r->virtual_time)
			span = (double)(f->tag - r->virtual_time) /
			       JH_QUEUE_TAG_SCALE;
	}
	if (others_queued.count == 0)
		return (struct work_ahead){
		    (double)own.count, (double)own.prefill, (double)own.count};
	span += (double)own.cost / weight;
	/* At equal tags each other organisation may run one item first. */
	mean = (double)others_queued.cost / (double)others_queued.count;
	share = (span * (double)others_weight + mean * (double)others) /
		(double)others_queued.cost;
	/*
	 * Each other organisation runs at most one item for each of own, and
	 * one more: one that holds more slots has to wait, however much it
	 * has queued.
	 */
	share = MIN(share, (double)others * (double)(own.count + 1) /
			       (double)others_queued.count);
	share = MIN(share, 1);
	return (struct work_ahead){
	    (double)own.count + share * (double)others_queued.count,
	    (double)own.prefill + share * (double)others_queued.prefill,
	    (double)own.count};
}

/*
 * Microseconds until a slot is free for an item behind count others; 0 if one
 * is free. slot_time is how long an item occupies a slot.
 */
static double
slot_wait(const struct jh_queue *q, double count, unsigned int slots,
    unsigned int running, double slot_time)
{
	double excess = count + 1 + running - slots;

	return excess > 0 ? excess * slot_time / slots : 0;
}

/*
 * Microseconds until the item's organisation may use another slot, after own of
 * its queued items. It is assumed to keep the number of slots that it holds on
 * average.
 */
static double
org_wait(const struct jh_queue *q, const struct jh_queue_item *item, double own)
{
	const struct jh_queue_flow *f =
	    jh_queue_rank_find(&q->ranks[JH_RANK_URGENT], item->org);
	double slots_left, mean_slots;

	if (f == NULL)
		return 0;
	slots_left =
	    jh_queue_flow_slots_left(f, jh_queue_urgent_usage_limit(q));
	if (slots_left > own)
		return 0;
	mean_slots = MAX(MAX(f->slots_held.mean, f->running), 1);
	return (own + 1 - MAX(slots_left, 0)) *
	       q->engine.slot_time[JH_RANK_URGENT].value / mean_slots;
}

static double
wait_urgent(const struct jh_queue *q, uint64_t now,
    const struct jh_queue_item *item, struct work_ahead ahead)
{
	const struct jh_queue_engine *e = &q->engine;
	double background_share = q->config.background_floor_percent / 100.0;
	double slot_time = MAX(e->slot_time[JH_RANK_URGENT].value,
	    e->slot_time[JH_RANK_BACKGROUND].value);
	double prefill, slot;

	if (e->running > 0 && q->ranks[JH_RANK_BACKGROUND].running == 0)
		slot_time = e->slot_time[JH_RANK_URGENT].value;
	prefill = jh_queue_engine_prefill_time(e, ahead.count, ahead.prefill);
	slot = slot_wait(q, ahead.count, e->slots, e->running, slot_time);
	if (q->ranks[JH_RANK_BACKGROUND].queued.count > 0) {
		prefill /= 1 - background_share;
		slot /= 1 - background_share;
	}
	prefill += jh_queue_engine_prefill_remaining(e, now, JH_RANK_URGENT);
	return MAX(MAX(prefill, slot), org_wait(q, item, ahead.own));
}

/*
 * Microseconds until a background item starts. It also waits for all urgent
 * work, queued or yet to arrive. It advances with the share of the engine that
 * urgent work leaves free, but at least with its guaranteed share.
 */
static double
wait_background(const struct jh_queue *q, uint64_t now, struct work_ahead ahead)
{
	const struct jh_queue_engine *e = &q->engine;
	const struct jh_queue_rank *urgent_rank = &q->ranks[JH_RANK_URGENT];
	unsigned int running = q->ranks[JH_RANK_BACKGROUND].running;
	unsigned int slots = MAX(jh_queue_background_slots(q), running);
	double speed = 1 - q->urgent_slots.mean / q->config.slots;
	double prefill, slot;

	speed = MAX(speed, q->config.background_floor_percent / 100.0);
	speed = MAX(speed, 0.01);
	prefill =
	    jh_queue_engine_prefill_time(e, ahead.count, ahead.prefill) / speed;
	prefill +=
	    jh_queue_engine_prefill_time(e, (double)urgent_rank->queued.count,
		(double)urgent_rank->queued.prefill);
	/*
	 * While much urgent work is queued, the guaranteed share may have given
	 * background work more slots than jh_queue_background_slots().
	 */
	slot = slot_wait(q, ahead.count, slots, running,
	    e->slot_time[JH_RANK_BACKGROUND].value);
	return MAX(prefill + jh_queue_engine_prefill_remaining(
				 e, now, JH_RANK_BACKGROUND),
	    slot);
}

uint64_t
jh_queue_estimate(
    const struct jh_queue *q, uint64_t now, const struct jh_queue_item *item)
{
	struct work_ahead ahead =
	    work_ahead_in_rank(&q->ranks[item->rank], item);
	double wait = item->rank == JH_RANK_URGENT
			  ? wait_urgent(q, now, item, ahead)
			  : wait_background(q, now, ahead);

	wait += jh_queue_engine_prefill_time(&q->engine, 1, item->prefill);
	return now + (uint64_t)wait;
}
