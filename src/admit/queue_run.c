#include <math.h>

#include <jacinthhill/clock.h>

#include "admit/queue_state.h"

/*
 * Slots kept free of background for urgent work: those it holds on average,
 * so many standard deviations of a Poisson variable of that mean, and one for
 * the next arrival.
 */
#define BACKGROUND_DEVIATIONS 1.4
/*
 * The last free slots, this part of all but no more than there are other
 * organisations, are for those who hold less than the light part of their
 * fair share; free slots beyond are worth another share each so many.
 */
#define RESERVE_PART 0.25
#define LIGHT_PART 0.5
#define SLOTS_PER_SHARE 3.0
/* Credit is bounded to this many times the cost of the next item. */
#define CREDIT_ITEMS 4
/*
 * Background that is owed its floor leaves so many slots free, until it is
 * owed twice as much.
 */
#define OWED_FREE_SLOTS 2

void
jh_queue_observe(struct jh_queue *q, uint64_t now)
{
	const struct jh_queue_rank *u = &q->ranks[JH_RANK_URGENT];
	double present = u->running + (double)u->queued.count;

	q->ranks[JH_RANK_URGENT].now = now;
	q->ranks[JH_RANK_BACKGROUND].now = now;
	jh_queue_level_hold(&q->urgent, now, MIN(present, q->config.slots));
	jh_queue_level_hold(&q->active, now, (double)u->active_weight);
}

unsigned int
jh_queue_background_slots(const struct jh_queue *q)
{
	double reserve =
	    q->urgent.mean + BACKGROUND_DEVIATIONS * sqrt(q->urgent.mean) + 1;
	double left = q->config.slots - ceil(reserve);

	return left < 1 ? 1 : (unsigned int)left;
}

double
jh_queue_urgent_bound(const struct jh_queue *q)
{
	double active = MAX(q->active.mean, 1);
	double fair = q->config.slots / active;
	double reserve = MIN(active - 1, RESERVE_PART * q->config.slots);
	double over = q->config.slots - q->engine.running - reserve;

	/* With half of the slots free there is nothing to hold back for. */
	if (2 * q->engine.running < q->config.slots)
		return INFINITY;
	return fair * (LIGHT_PART + MAX(over, 0) / SLOTS_PER_SHARE);
}

/* Whether background may start although it is owed nothing. */
static bool
background_fits(const struct jh_queue *q)
{
	return q->ranks[JH_RANK_URGENT].queued.count == 0 &&
	       q->ranks[JH_RANK_URGENT].in_prefill == 0 &&
	       q->ranks[JH_RANK_BACKGROUND].in_prefill == 0 &&
	       q->ranks[JH_RANK_BACKGROUND].running <
		   jh_queue_background_slots(q);
}

/* Whether the engine takes another prompt now; else when, in *open_at. */
static bool
engine_open(const struct jh_queue *q, uint64_t now, enum jh_rank rank,
    uint64_t *open_at)
{
	uint64_t at =
	    jh_queue_engine_open_at(&q->engine, rank, q->config.prefill_window);

	if (at <= now)
		return true;
	*open_at = MIN(*open_at, at);
	return false;
}

/* Whether the floor share lets this background item go before urgent work. */
static bool
owed(const struct jh_queue *q, const struct jh_queue_entry *b)
{
	unsigned int free_slots = q->config.slots - q->engine.running;
	int64_t price = (int64_t)b->cost *
			(100 - (int64_t)q->config.background_floor_percent);

	return q->background_credit >=
	       (free_slots > OWED_FREE_SLOTS ? price : 2 * price);
}

static struct jh_queue_entry *
choose(struct jh_queue *q, uint64_t now)
{
	const struct jh_queue_rank *u = &q->ranks[JH_RANK_URGENT];
	struct jh_queue_entry *e =
	    jh_queue_rank_first(&q->ranks[JH_RANK_BACKGROUND], INFINITY);

	q->open_at = JH_NEVER;
	if (e != NULL && (owed(q, e) || background_fits(q)) &&
	    engine_open(q, now, JH_RANK_BACKGROUND, &q->open_at))
		return e;
	if (u->queued.count == 0 ||
	    !engine_open(q, now, JH_RANK_URGENT, &q->open_at))
		return NULL;
	return jh_queue_rank_first(u, jh_queue_urgent_bound(q));
}

/*
 * Keeps account of the cost that background is owed, for so much more cost of
 * this rank. Also while no background waits, or gaps between its items would
 * take from its floor; the bound keeps an idle background from saving up.
 */
static void
account(struct jh_queue *q, enum jh_rank rank, int64_t cost)
{
	int64_t floor = q->config.background_floor_percent;
	const struct jh_queue_entry *b =
	    jh_queue_rank_first(&q->ranks[JH_RANK_BACKGROUND], INFINITY);

	if (b != NULL)
		q->credit_bound =
		    (int64_t)(CREDIT_ITEMS * b->cost) * (100 - floor);
	q->background_credit +=
	    cost * (rank == JH_RANK_URGENT ? floor : floor - 100);
	q->background_credit = CLAMP(q->background_credit, 0, q->credit_bound);
}

static void
start(struct jh_queue *q, uint64_t now, struct jh_queue_entry *e)
{
	e->started = MAX(now, 1);
	jh_queue_heap_remove(&q->expiry, &e->expiry);
	jh_queue_rank_start(&q->ranks[e->item.rank], e);
	jh_queue_engine_started(&q->engine, now, &e->item);
	q->dispatched_cost[e->item.rank] += e->cost;
	account(q, e->item.rank, (int64_t)e->cost);
}

bool
jh_queue_next(struct jh_queue *q, uint64_t now, struct jh_queue_item *item)
{
	struct jh_queue_entry *e;

	jh_queue_observe(q, now);
	jh_queue_expire(q, now);
	q->open_at = JH_NEVER;
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
	uint64_t cost;

	if (e == NULL || e->started == 0)
		return false;
	jh_queue_observe(q, now);
	if (end == JH_QUEUE_END_DONE && e->first_token != 0)
		learn(q, now, e, decoded);
	if (e->first_token == 0)
		jh_queue_engine_lost_prefill(&q->engine, now, &e->item);
	q->engine.running--;
	cost = jh_queue_cost(q, e->item.prefill, decoded);
	account(q, e->item.rank, (int64_t)cost - (int64_t)e->cost);
	jh_queue_rank_finish(&q->ranks[e->item.rank], e, cost);
	g_hash_table_remove(q->entries, &id);
	return true;
}
