#include <math.h>

#include <jacinthhill/clock.h>

#include "admit/queue_state.h"

/*
 * Slots that background work leaves free, besides those that urgent work uses
 * on average: this fraction of the others, but no more than one plus this many
 * standard deviations of a Poisson variable with the mean of the urgent work,
 * because with little urgent work few slots are needed for its peaks. A larger
 * fraction makes the urgent p99 under a flood of requests differ from that
 * under steady load; a smaller one refuses background work that could have run.
 */
#define URGENT_RESERVE_FRACTION 0.43
#define URGENT_RESERVE_DEVIATIONS 3.0
/*
 * The last free slots, this fraction of all but no more than there are other
 * organisations, are reserved for organisations that hold less than the light
 * fraction of their fair share. Above the reserve the limit rises by one fair
 * share for each FREE_SLOTS_PER_SHARE free slots.
 */
#define LIGHT_RESERVE_FRACTION 0.35
#define LIGHT_FRACTION 0.5
#define FREE_SLOTS_PER_SHARE 3.0
/* Background credit is limited to this many times the cost of the next item. */
#define MAX_CREDIT_ITEMS 8
/*
 * Background work that has enough credit for its next item still leaves this
 * many slots free, until it has twice that credit.
 */
#define CREDIT_FREE_SLOTS 2

void
jh_queue_update_means(struct jh_queue *q, uint64_t now)
{
	const struct jh_queue_rank *urgent_rank = &q->ranks[JH_RANK_URGENT];
	double current =
	    urgent_rank->running + (double)urgent_rank->queued.count;

	q->ranks[JH_RANK_URGENT].now = now;
	q->ranks[JH_RANK_BACKGROUND].now = now;
	jh_queue_time_mean_add(
	    &q->urgent_slots, now, MIN(current, q->config.slots));
	jh_queue_time_mean_add(
	    &q->urgent_weight, now, (double)urgent_rank->active_weight);
}

unsigned int
jh_queue_background_slots(const struct jh_queue *q)
{
	double mean = q->urgent_slots.mean,
	       other_slots = q->config.slots - mean;
	double reserve = MIN(URGENT_RESERVE_FRACTION * other_slots,
	    URGENT_RESERVE_DEVIATIONS * sqrt(mean) + 1);

	return (unsigned int)MAX(other_slots - reserve, 1);
}

double
jh_queue_urgent_usage_limit(const struct jh_queue *q)
{
	double active = MAX(q->urgent_weight.mean, 1);
	double fair_share = q->config.slots / active;
	double reserve =
	    MIN(active - 1, LIGHT_RESERVE_FRACTION * q->config.slots);
	double unreserved = q->config.slots - q->engine.running - reserve;

	/* No limit is needed while more than half of the slots are free. */
	if (2 * q->engine.running < q->config.slots)
		return INFINITY;
	/*
	 * While an urgent prompt is in prefill, only organisations that hold
	 * few slots add another.
	 */
	if (q->ranks[JH_RANK_URGENT].in_prefill > 0)
		return fair_share * LIGHT_FRACTION;
	return fair_share *
	       (LIGHT_FRACTION + MAX(unreserved, 0) / FREE_SLOTS_PER_SHARE);
}

/* Whether a background item may start without using credit. */
static bool
background_fits(const struct jh_queue *q)
{
	return q->ranks[JH_RANK_URGENT].queued.count == 0 &&
	       q->ranks[JH_RANK_URGENT].in_prefill == 0 &&
	       q->ranks[JH_RANK_BACKGROUND].in_prefill == 0 &&
	       q->ranks[JH_RANK_BACKGROUND].running <
		   jh_queue_background_slots(q);
}

/*
 * Whether the engine takes another prompt now. If not, lowers *ready_at to the
 * time at which it will.
 */
static bool
engine_ready(const struct jh_queue *q, uint64_t now, enum jh_rank rank,
    uint64_t *ready_at)
{
	uint64_t time = jh_queue_engine_ready_at(
	    &q->engine, rank, q->config.prefill_window);

	if (time <= now)
		return true;
	*ready_at = MIN(*ready_at, time);
	return false;
}

/*
 * Whether background work has the credit, from its guaranteed share, to start
 * this item before urgent work.
 */
static bool
has_credit(const struct jh_queue *q, const struct jh_queue_entry *b)
{
	unsigned int free_slots = q->config.slots - q->engine.running;
	int64_t needed = (int64_t)b->cost *
			 (100 - (int64_t)q->config.background_floor_percent);

	return q->background_credit >=
	       (free_slots > CREDIT_FREE_SLOTS ? needed : 2 * needed);
}

static struct jh_queue_entry *
choose(struct jh_queue *q, uint64_t now)
{
	const struct jh_queue_rank *urgent_rank = &q->ranks[JH_RANK_URGENT];
	struct jh_queue_entry *e =
	    jh_queue_rank_first(&q->ranks[JH_RANK_BACKGROUND], INFINITY);

	q->ready_at = JH_NEVER;
	if (e != NULL && (has_credit(q, e) || background_fits(q)) &&
	    engine_ready(q, now, JH_RANK_BACKGROUND, &q->ready_at))
		return e;
	if (urgent_rank->queued.count == 0 ||
	    !engine_ready(q, now, JH_RANK_URGENT, &q->ready_at))
		return NULL;
	return jh_queue_rank_first(urgent_rank, jh_queue_urgent_usage_limit(q));
}

/*
 * Updates the background credit after dispatching cost at a rank. Credit also
 * grows while no background item waits; otherwise gaps between items would
 * reduce the guaranteed share. The limit keeps background work from saving
 * up credit while it is idle.
 */
static void
update_credit(struct jh_queue *q, enum jh_rank rank, int64_t cost)
{
	int64_t floor = q->config.background_floor_percent;
	const struct jh_queue_entry *b =
	    jh_queue_rank_first(&q->ranks[JH_RANK_BACKGROUND], INFINITY);

	if (b != NULL)
		q->max_credit =
		    (int64_t)(MAX_CREDIT_ITEMS * b->cost) * (100 - floor);
	q->background_credit +=
	    cost * (rank == JH_RANK_URGENT ? floor : floor - 100);
	q->background_credit = CLAMP(q->background_credit, 0, q->max_credit);
}

static void
start(struct jh_queue *q, uint64_t now, struct jh_queue_entry *e)
{
	e->started = MAX(now, 1);
	jh_queue_heap_remove(&q->expiry, &e->expiry_node);
	jh_queue_rank_start(&q->ranks[e->item.rank], e);
	jh_queue_engine_started(&q->engine, now, &e->item);
	q->dispatched_cost[e->item.rank] += e->cost;
	update_credit(q, e->item.rank, (int64_t)e->cost);
}

bool
jh_queue_next(struct jh_queue *q, uint64_t now, struct jh_queue_item *item)
{
	struct jh_queue_entry *e;

	jh_queue_update_means(q, now);
	jh_queue_expire(q, now);
	q->ready_at = JH_NEVER;
	if (q->engine.running >= q->config.slots)
		return false;
	e = choose(q, now);
	if (e == NULL)
		return false;
	start(q, now, e);
	*item = e->item;
	return true;
}

void
jh_queue_first_token(struct jh_queue *q, uint64_t now, uint64_t id)
{
	struct jh_queue_entry *e = g_hash_table_lookup(q->entries, &id);

	if (e == NULL || e->started == 0 || e->first_token != 0)
		return;
	e->first_token = MAX(now, 1);
	q->ranks[e->item.rank].in_prefill--;
	jh_queue_engine_first_token(&q->engine, now, &e->item);
}

static void
record_rates(struct jh_queue *q, uint64_t now, const struct jh_queue_entry *e,
    uint32_t decoded)
{
	if (decoded > 1)
		jh_queue_mean_add(&q->engine.token_interval,
		    (double)(now - e->first_token) / (decoded - 1));
	jh_queue_mean_add(
	    &q->engine.slot_time[e->item.rank], (double)(now - e->started));
}

bool
jh_queue_finished(struct jh_queue *q, uint64_t now, uint64_t id,
    enum jh_queue_end end, uint32_t decoded)
{
	struct jh_queue_entry *e = g_hash_table_lookup(q->entries, &id);
	uint64_t cost;

	if (e == NULL || e->started == 0)
		return false;
	jh_queue_update_means(q, now);
	if (end == JH_QUEUE_END_DONE && e->first_token != 0)
		record_rates(q, now, e, decoded);
	if (e->first_token == 0)
		jh_queue_engine_prefill_ended(&q->engine, now, &e->item);
	q->engine.running--;
	cost = jh_queue_cost(q, e->item.prefill, decoded);
	update_credit(q, e->item.rank, (int64_t)cost - (int64_t)e->cost);
	jh_queue_rank_finish(&q->ranks[e->item.rank], e, cost);
	g_hash_table_remove(q->entries, &id);
	return true;
}
