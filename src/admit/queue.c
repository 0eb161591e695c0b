#include <jacinthhill/clock.h>

#include "admit/queue_state.h"

#define DEFAULT_SLOTS 16
#define DEFAULT_BACKGROUND_FLOOR_PERCENT 10
/* A larger minimum share would put background work before urgent work. */
#define MAX_BACKGROUND_FLOOR_PERCENT 50
#define DEFAULT_MAX_ITEMS 4096
#define DEFAULT_MAX_COST 20000000
#define DEFAULT_PREFILL_WEIGHT 1
#define DEFAULT_DECODE_WEIGHT 4
#define DEFAULT_PREFILL_WINDOW 256
#define DEFAULT_PREFILL_RATE 8000
#define DEFAULT_DECODE_RATE 40

void
jh_queue_config_init(struct jh_queue_config *config)
{
	*config = (struct jh_queue_config){
	    .slots = DEFAULT_SLOTS,
	    .background_floor_percent = DEFAULT_BACKGROUND_FLOOR_PERCENT,
	    .max_items = DEFAULT_MAX_ITEMS,
	    .max_cost = DEFAULT_MAX_COST,
	    .prefill_weight = DEFAULT_PREFILL_WEIGHT,
	    .decode_weight = DEFAULT_DECODE_WEIGHT,
	    .prefill_window = DEFAULT_PREFILL_WINDOW,
	    .prefill_rate = DEFAULT_PREFILL_RATE,
	    .decode_rate = DEFAULT_DECODE_RATE,
	};
}

struct jh_queue *
jh_queue_create(const struct jh_queue_config *config)
{
	struct jh_queue *q = g_new0(struct jh_queue, 1);
	int r;

	q->config = *config;
	q->config.slots = MAX(config->slots, 1);
	q->config.background_floor_percent =
	    MIN(config->background_floor_percent, MAX_BACKGROUND_FLOOR_PERCENT);
	q->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	for (r = 0; r < JH_RANKS; r++)
		jh_queue_rank_init(&q->ranks[r], q->config.slots);
	g_queue_init(&q->refused);
	jh_queue_engine_init(&q->engine, &q->config);
	q->ready_at = JH_NEVER;
	return q;
}

static void
free_refused(void *p)
{
	struct jh_queue_refused *r = p;

	g_free((char *)r->item.org.ptr);
	g_free(r);
}

void
jh_queue_destroy(struct jh_queue *q)
{
	int r;

	if (q == NULL)
		return;
	g_queue_clear_full(&q->refused, free_refused);
	g_free(q->last_refused_org);
	g_hash_table_destroy(q->entries);
	jh_queue_heap_clear(&q->expiry);
	for (r = 0; r < JH_RANKS; r++)
		jh_queue_rank_clear(&q->ranks[r]);
	g_free(q);
}

uint64_t
jh_queue_cost(const struct jh_queue *q, uint64_t prefill, uint64_t decode)
{
	return prefill * q->config.prefill_weight +
	       decode * q->config.decode_weight;
}

static struct jh_queue_entry *
entry_create(struct jh_queue *q, const struct jh_queue_item *item)
{
	struct jh_queue_entry *e = g_new0(struct jh_queue_entry, 1);

	e->item = *item;
	e->cost = jh_queue_cost(q, item->prefill, item->decode);
	e->tree_node.deadline = item->deadline;
	e->tree_node.seq = e->expiry_node.tie = q->next_seq++;
	e->tree_node.own = (struct jh_queue_sum){1, item->prefill, e->cost};
	return e;
}

/*
 * Latest time at which an item can start on an idle engine and meet its
 * deadline.
 */
static uint64_t
latest_start(const struct jh_queue *q, const struct jh_queue_item *item)
{
	uint64_t prefill_time = (uint64_t)jh_queue_engine_prefill_time(
	    &q->engine, 1, item->prefill);

	if (item->deadline == JH_NEVER)
		return JH_NEVER;
	return item->deadline > prefill_time ? item->deadline - prefill_time
					     : 0;
}

/*
 * Chooses the entry to evict to make room for an item of the given cost, or
 * NULL. An urgent item displaces background work first. Otherwise the entry
 * comes from an organisation that has more cost queued at the item's rank than
 * the item's own organisation would have with the item.
 */
static struct jh_queue_entry *
find_victim(
    const struct jh_queue *q, const struct jh_queue_item *item, uint64_t cost)
{
	const struct jh_queue_flow *f =
	    jh_queue_rank_find(&q->ranks[item->rank], item->org);
	uint64_t own_cost = f == NULL ? 0 : jh_queue_flow_queued(f).cost;
	struct jh_queue_entry *e = NULL;

	if (item->rank == JH_RANK_URGENT)
		e = jh_queue_rank_victim(&q->ranks[JH_RANK_BACKGROUND], 0);
	if (e == NULL)
		e = jh_queue_rank_victim(
		    &q->ranks[item->rank], own_cost + cost);
	return e;
}

static bool
make_room(struct jh_queue *q, const struct jh_queue_item *item, uint64_t cost)
{
	const struct jh_queue_sum *urgent = &q->ranks[JH_RANK_URGENT].queued;
	const struct jh_queue_sum *background =
	    &q->ranks[JH_RANK_BACKGROUND].queued;
	struct jh_queue_entry *victim;

	if (cost > q->config.max_cost)
		return false;
	while (urgent->count + background->count + 1 > q->config.max_items ||
	       urgent->cost + background->cost + cost > q->config.max_cost) {
		victim = find_victim(q, item, cost);
		if (victim == NULL)
			return false;
		jh_queue_evict(q, victim, JH_QUEUE_DISPLACED);
	}
	return true;
}

/*
 * Whether the item arrives at an idle engine with an empty queue. It is then
 * accepted even if the estimate is past its deadline: an estimate that has
 * become too high is only corrected by running requests.
 */
static bool
arrives_at_idle_engine(
    const struct jh_queue *q, uint64_t now, const struct jh_queue_item *item)
{
	return q->engine.running == 0 && item->deadline > now &&
	       q->ranks[JH_RANK_URGENT].queued.count == 0 &&
	       q->ranks[JH_RANK_BACKGROUND].queued.count == 0;
}

static enum jh_queue_reason
admit(struct jh_queue *q, uint64_t now, const struct jh_queue_item *item,
    uint64_t estimate)
{
	struct jh_queue_entry *e;

	if (g_hash_table_contains(q->entries, &item->id))
		return JH_QUEUE_DUPLICATE;
	if (estimate > item->deadline && !arrives_at_idle_engine(q, now, item))
		return JH_QUEUE_DEADLINE;
	if (!make_room(q, item, jh_queue_cost(q, item->prefill, item->decode)))
		return JH_QUEUE_FULL;
	e = entry_create(q, item);
	jh_queue_rank_push(&q->ranks[item->rank], e);
	jh_queue_heap_insert(
	    &q->expiry, &e->expiry_node, MAX(latest_start(q, item), now));
	g_hash_table_insert(q->entries, &e->item.id, e);
	return JH_QUEUE_ACCEPTED;
}

bool
jh_queue_offer(struct jh_queue *q, uint64_t now,
    const struct jh_queue_item *item, struct jh_queue_decision *decision)
{
	uint64_t estimate;

	jh_queue_update_means(q, now);
	estimate = jh_queue_estimate(q, now, item);
	*decision = (struct jh_queue_decision){
	    .reason = admit(q, now, item, estimate), .first_token = estimate};
	q->counts[item->rank][decision->reason]++;
	return decision->reason == JH_QUEUE_ACCEPTED;
}

bool
jh_queue_cancel(struct jh_queue *q, uint64_t id)
{
	struct jh_queue_entry *e = g_hash_table_lookup(q->entries, &id);

	if (e == NULL || e->started != 0)
		return false;
	jh_queue_heap_remove(&q->expiry, &e->expiry_node);
	jh_queue_rank_remove(&q->ranks[e->item.rank], e);
	g_hash_table_remove(q->entries, &id);
	return true;
}
