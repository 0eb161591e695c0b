#include <jacinthhill/clock.h>

#include "admit/queue_state.h"

/* Queued work, as means. */
struct ahead {
	double count;
	double prefill;
	/* Items of the same organisation among these. */
	double own;
};

/*
 * What goes before the item in its rank: the earlier deadlines of its
 * organisation, and of the others as much as their weights let them take in
 * the meantime.
 */
static struct ahead
ahead_in_rank(const struct jh_queue_rank *r, const struct jh_queue_item *item)
{
	const struct jh_queue_flow *f = jh_queue_rank_find(r, item->org);
	struct jh_queue_sum own = {0}, rest = r->queued;
	double weight = MAX(item->weight, 1), span = 0, share, mean;
	size_t others = r->waiting;
	uint64_t others_weight = r->waiting_weight;
	struct jh_queue_sum all;

	if (f != NULL) {
		all = jh_queue_flow_sum(f);
		own = jh_queue_tree_sum(&f->tree, item->deadline);
		jh_queue_sum_sub(&rest, &all);
		if (all.count > 0) {
			others--;
			others_weight -= f->weight;
		}
		if (f->tag > r->virtual_time)
			span = (double)(f->tag - r->virtual_time) /
			       JH_QUEUE_TAG_SCALE;
	}
	if (rest.count == 0)
		return (struct ahead){
		    (double)own.count, (double)own.prefill, (double)own.count};
	span += (double)own.cost / weight;
	/* Each other organisation may be ahead by one item at equal tags. */
	mean = (double)rest.cost / (double)rest.count;
	share = (span * (double)others_weight + mean * (double)others) /
		(double)rest.cost;
	/* Those who hold more slots wait, however much they queue. */
	share = MIN(share,
	    (double)others * (double)(own.count + 1) / (double)rest.count);
	share = MIN(share, 1);
	return (struct ahead){(double)own.count + share * (double)rest.count,
	    (double)own.prefill + share * (double)rest.prefill,
	    (double)own.count};
}

/* Time until a slot is free behind count items, when all are taken. */
static double
slot_wait(const struct jh_queue *q, double count, unsigned int slots,
    unsigned int running, double hold)
{
	double over = count + 1 + running - slots;

	return over > 0 ? over * hold / slots : 0;
}

/*
 * Time until the organisation itself may take another slot. What it holds on
 * average while it waits is its pace.
 */
static double
own_wait(const struct jh_queue *q, const struct jh_queue_item *item, double own)
{
	const struct jh_queue_flow *f =
	    jh_queue_rank_find(&q->ranks[JH_RANK_URGENT], item->org);
	double may_start, pace;

	if (f == NULL)
		return 0;
	may_start = jh_queue_flow_left(f, jh_queue_urgent_bound(q));
	if (may_start > own)
		return 0;
	pace = MAX(MAX(f->held.mean, f->running), 1);
	return (own + 1 - MAX(may_start, 0)) *
	       q->engine.hold[JH_RANK_URGENT].value / pace;
}

static double
wait_urgent(const struct jh_queue *q, uint64_t now,
    const struct jh_queue_item *item, struct ahead a)
{
	const struct jh_queue_engine *e = &q->engine;
	double floor = q->config.background_floor_percent / 100.0;
	double hold = MAX(
	    e->hold[JH_RANK_URGENT].value, e->hold[JH_RANK_BACKGROUND].value);
	double prefill, slot;

	if (e->running > 0 && q->ranks[JH_RANK_BACKGROUND].running == 0)
		hold = e->hold[JH_RANK_URGENT].value;
	prefill = jh_queue_engine_prefill_time(e, a.count, a.prefill);
	slot = slot_wait(q, a.count, e->slots, e->running, hold);
	if (q->ranks[JH_RANK_BACKGROUND].queued.count > 0) {
		prefill /= 1 - floor;
		slot /= 1 - floor;
	}
	prefill += jh_queue_engine_prefill_left(e, now, JH_RANK_URGENT);
	return MAX(MAX(prefill, slot), own_wait(q, item, a.own));
}

/*
 * Background also waits for all urgent work, queued or still to come; its
 * pace is what urgent work leaves, but at least its floor.
 */
static double
wait_background(const struct jh_queue *q, uint64_t now, struct ahead a)
{
	const struct jh_queue_engine *e = &q->engine;
	const struct jh_queue_rank *u = &q->ranks[JH_RANK_URGENT];
	unsigned int running = q->ranks[JH_RANK_BACKGROUND].running;
	unsigned int slots = MAX(jh_queue_background_slots(q), running);
	double pace = 1 - q->urgent.mean / q->config.slots;
	double prefill, slot;

	pace = MAX(pace, q->config.background_floor_percent / 100.0);
	pace = MAX(pace, 0.01);
	prefill = jh_queue_engine_prefill_time(e, a.count, a.prefill) / pace;
	prefill += jh_queue_engine_prefill_time(
	    e, (double)u->queued.count, (double)u->queued.prefill);
	/* In an urgent flood background holds what its floor gives it. */
	slot = slot_wait(
	    q, a.count, slots, running, e->hold[JH_RANK_BACKGROUND].value);
	return MAX(
	    prefill + jh_queue_engine_prefill_left(e, now, JH_RANK_BACKGROUND),
	    slot);
}

uint64_t
jh_queue_estimate(
    const struct jh_queue *q, uint64_t now, const struct jh_queue_item *item)
{
	struct ahead a = ahead_in_rank(&q->ranks[item->rank], item);
	double wait = item->rank == JH_RANK_URGENT
			  ? wait_urgent(q, now, item, a)
			  : wait_background(q, now, a);

	wait += jh_queue_engine_prefill_time(&q->engine, 1, item->prefill);
	return now + (uint64_t)wait;
}
