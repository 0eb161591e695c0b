#include <math.h>

#include <jacinthhill/clock.h>

#include "admit/queue_state.h"

/* Time over which the mean number of urgent items is taken. */
#define URGENT_MEAN_USEC (10.0 * JH_USEC_PER_SEC)
/*
 * Slots kept for urgent work: its mean number plus this many standard
 * deviations of a Poisson variable of that mean, and one for an arrival now.
 */
#define RESERVE_DEVIATIONS 2.0
/* Credit is bounded to this many times the cost of the next item. */
#define CREDIT_ITEMS 2

void
jh_queue_observe(struct jh_queue *q, uint64_t now)
{
	const struct jh_queue_rank *u = &q->ranks[JH_RANK_URGENT];
	double present = u->running + (double)u->queued.count;
	double age = (double)(now - q->urgent_mean_at);

	present = MIN(present, q->config.slots);
	q->urgent_mean +=
	    (1 - exp(-age / URGENT_MEAN_USEC)) * (present - q->urgent_mean);
	q->urgent_mean_at = now;
}

unsigned int
jh_queue_background_slots(const struct jh_queue *q)
{
	double reserve =
	    q->urgent_mean + RESERVE_DEVIATIONS * sqrt(q->urgent_mean) + 1;
	double left = q->config.slots - ceil(reserve);

	return left < 1 ? 1 : (unsigned int)left;
}

/* Whether background may start although it is owed nothing. */
static bool
background_fits(const struct jh_queue *q)
{
	return q->ranks[JH_RANK_URGENT].in_prefill == 0 &&
	       q->ranks[JH_RANK_BACKGROUND].in_prefill == 0 &&
	       q->ranks[JH_RANK_BACKGROUND].running <
		   jh_queue_background_slots(q);
}

static struct jh_queue_entry *
choose(const struct jh_queue *q)
{
	struct jh_queue_entry *u =
	    jh_queue_rank_first(&q->ranks[JH_RANK_URGENT]);
	struct jh_queue_entry *b =
	    jh_queue_rank_first(&q->ranks[JH_RANK_BACKGROUND]);

	if (b != NULL && q->background_credit >= b->cost)
		return b;
	if (u != NULL)
		return u;
	return b != NULL && background_fits(q) ? b : NULL;
}

/* Keeps account of the cost that waiting background is owed. */
static void
account(struct jh_queue *q, const struct jh_queue_entry *e)
{
	unsigned int floor = q->config.background_floor_percent;
	const struct jh_queue_entry *b;

	q->dispatched_cost[e->item.rank] += e->cost;
	if (e->item.rank == JH_RANK_BACKGROUND) {
		q->background_credit -= MIN(q->background_credit, e->cost);
		return;
	}
	b = jh_queue_rank_first(&q->ranks[JH_RANK_BACKGROUND]);
	if (b == NULL) {
		q->background_credit = 0;
		return;
	}
	q->background_credit += e->cost * floor / (100 - floor);
	q->background_credit =
	    MIN(q->background_credit, CREDIT_ITEMS * b->cost);
}

static void
start(struct jh_queue *q, uint64_t now, struct jh_queue_entry *e)
{
	e->started = MAX(now, 1);
	jh_queue_heap_remove(&q->expiry, &e->expiry);
	jh_queue_rank_start(&q->ranks[e->item.rank], e);
	jh_queue_engine_started(&q->engine, now, e->item.prefill);
	account(q, e);
}

bool
jh_queue_next(struct jh_queue *q, uint64_t now, struct jh_queue_item *item)
{
	struct jh_queue_entry *e;
	uint64_t open_at;

	jh_queue_observe(q, now);
	jh_queue_expire(q, now);
	q->open_at = JH_NEVER;
	if (q->engine.running >= q->config.slots)
		return false;
	open_at = jh_queue_engine_open_at(&q->engine, q->config.prefill_window);
	if (open_at > now) {
		q->open_at = open_at;
		return false;
	}
	e = choose(q);
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
	jh_queue_engine_first_token(&q->engine, now, e->item.prefill);
}

static void
learn(struct jh_queue *q, uint64_t now, const struct jh_queue_entry *e,
    uint32_t decoded)
{
	if (decoded > 1)
		jh_queue_mean_add(&q->engine.token,
		    (double)(now - e->first_token) / (decoded - 1));
	jh_queue_mean_add(
	    &q->engine.hold[e->item.rank], (double)(now - e->started));
}

bool
jh_queue_finished(struct jh_queue *q, uint64_t now, uint64_t id,
    enum jh_queue_end end, uint32_t decoded)
{
	struct jh_queue_entry *e = g_hash_table_lookup(q->entries, &id);

	if (e == NULL || e->started == 0)
		return false;
	jh_queue_observe(q, now);
	if (end == JH_QUEUE_END_DONE && e->first_token != 0)
		learn(q, now, e, decoded);
	if (e->first_token == 0)
		jh_queue_engine_lost_prefill(&q->engine, now, e->item.prefill);
	q->engine.running--;
	jh_queue_rank_finish(&q->ranks[e->item.rank], e,
	    jh_queue_cost(q, e->item.prefill, decoded));
	g_hash_table_remove(q->entries, &id);
	return true;
}
