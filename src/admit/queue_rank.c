#include <string.h>

#include <xxhash.h>

#include "admit/queue_rank.h"

/*
 * The hash table's keys are the flows themselves, compared by organisation; a
 * lookup uses a temporary flow that borrows the organisation's name.
 */
static guint
flow_hash(gconstpointer p)
{
	const struct jh_queue_flow *f = p;

	return (guint)XXH3_64bits(f->org, f->org_len);
}

static gboolean
flow_eq(gconstpointer a, gconstpointer b)
{
	const struct jh_queue_flow *f = a, *g = b;

	return f->org_len == g->org_len &&
	       memcmp(f->org, g->org, f->org_len) == 0;
}

void
jh_queue_rank_init(struct jh_queue_rank *r, unsigned int slots)
{
	*r = (struct jh_queue_rank){.usage_heap_count = slots + 1};
	r->usage_heaps = g_new0(struct jh_queue_heap, r->usage_heap_count);
	r->flows = g_hash_table_new_full(
	    flow_hash, flow_eq, NULL, (GDestroyNotify)jh_queue_flow_destroy);
}

void
jh_queue_rank_clear(struct jh_queue_rank *r)
{
	unsigned int i;

	g_hash_table_destroy(r->flows);
	for (i = 0; i < r->usage_heap_count; i++)
		jh_queue_heap_clear(&r->usage_heaps[i]);
	g_free(r->usage_heaps);
	jh_queue_heap_clear(&r->by_queued_cost);
	jh_queue_heap_clear(&r->idle_flows);
}

struct jh_queue_flow *
jh_queue_rank_find(const struct jh_queue_rank *r, struct jh_str org)
{
	struct jh_queue_flow key = {
	    .org = org.len == 0 ? "" : (char *)org.ptr, .org_len = org.len};

	return g_hash_table_lookup(r->flows, &key);
}

static struct jh_queue_flow *
find_or_create(struct jh_queue_rank *r, struct jh_str org)
{
	struct jh_queue_flow *f = jh_queue_rank_find(r, org);

	if (f == NULL) {
		f = jh_queue_flow_create(org, r->next_tie++);
		f->tag = r->virtual_time;
		f->slots_held.updated = r->now;
		g_hash_table_add(r->flows, f);
		jh_queue_heap_insert(&r->idle_flows, &f->tag_node, f->tag);
	}
	return f;
}

static unsigned int
usage_index(const struct jh_queue_rank *r, const struct jh_queue_flow *f)
{
	double usage = jh_queue_flow_usage(f);

	return (unsigned int)MIN(usage, r->usage_heap_count - 1);
}

/*
 * Takes the flow out of the heaps and totals that depend on its state, before
 * the state changes.
 */
static void
remove_from_heaps(struct jh_queue_rank *r, struct jh_queue_flow *f)
{
	jh_queue_time_mean_add(&f->slots_held, r->now, f->running);
	if (f->tree.root != NULL) {
		jh_queue_heap_remove(&r->usage_heaps[f->usage], &f->tag_node);
		r->waiting_flows--;
		r->waiting_weight -= f->weight;
	} else if (f->running == 0) {
		jh_queue_heap_remove(&r->idle_flows, &f->tag_node);
	}
	if (f->tree.root != NULL || f->running > 0)
		r->active_weight -= f->weight;
}

/* Puts the flow back into the heaps and totals, after its state changed. */
static void
insert_into_heaps(struct jh_queue_rank *r, struct jh_queue_flow *f)
{
	if (f->tree.root != NULL) {
		f->usage = usage_index(r, f);
		jh_queue_heap_insert(
		    &r->usage_heaps[f->usage], &f->tag_node, f->tag);
		jh_queue_heap_update(&r->by_queued_cost, &f->cost_node,
		    UINT64_MAX - jh_queue_flow_queued(f).cost);
		r->waiting_flows++;
		r->waiting_weight += f->weight;
	} else {
		jh_queue_heap_remove(&r->by_queued_cost, &f->cost_node);
		if (f->running == 0)
			jh_queue_heap_insert(
			    &r->idle_flows, &f->tag_node, f->tag);
	}
	if (f->tree.root != NULL || f->running > 0)
		r->active_weight += f->weight;
}

/*
 * Frees idle flows whose tag virtual time has reached: a new flow would start
 * at the same tag.
 */
static void
free_idle_flows(struct jh_queue_rank *r)
{
	struct jh_queue_heap_node *n;
	struct jh_queue_flow *f;

	while ((n = jh_queue_heap_top(&r->idle_flows)) != NULL &&
	       n->key <= r->virtual_time) {
		f = JH_CONTAINER_OF(n, struct jh_queue_flow, tag_node);
		jh_queue_heap_remove(&r->idle_flows, n);
		g_hash_table_remove(r->flows, f);
	}
}

void
jh_queue_rank_push(struct jh_queue_rank *r, struct jh_queue_entry *e)
{
	struct jh_queue_flow *f = find_or_create(r, e->item.org);

	remove_from_heaps(r, f);
	if (f->tree.root == NULL) {
		f->tag = MAX(f->tag, r->virtual_time);
		if (f->running == 0)
			f->weight = MAX(e->item.weight, 1);
	}
	e->flow = f;
	e->item.org = (struct jh_str){f->org, f->org_len};
	jh_queue_tree_insert(&f->tree, &e->tree_node);
	jh_queue_sum_add(&r->queued, &e->tree_node.own);
	insert_into_heaps(r, f);
}

static void
detach(struct jh_queue_rank *r, struct jh_queue_entry *e)
{
	jh_queue_tree_remove(&e->flow->tree, &e->tree_node);
	jh_queue_sum_sub(&r->queued, &e->tree_node.own);
}

void
jh_queue_rank_remove(struct jh_queue_rank *r, struct jh_queue_entry *e)
{
	remove_from_heaps(r, e->flow);
	detach(r, e);
	insert_into_heaps(r, e->flow);
}

static struct jh_queue_entry *
entry_of(struct jh_queue_tree_node *n)
{
	return JH_CONTAINER_OF(n, struct jh_queue_entry, tree_node);
}

struct jh_queue_entry *
jh_queue_rank_first(const struct jh_queue_rank *r, double max_usage)
{
	struct jh_queue_heap_node *n, *best = NULL;
	struct jh_queue_flow *f;
	unsigned int i;

	for (i = 0; i < r->usage_heap_count && i < max_usage; i++) {
		n = jh_queue_heap_top(&r->usage_heaps[i]);
		if (n != NULL && (best == NULL || n->key < best->key))
			best = n;
	}
	if (best == NULL)
		return NULL;
	f = JH_CONTAINER_OF(best, struct jh_queue_flow, tag_node);
	return entry_of(jh_queue_tree_first(&f->tree));
}

void
jh_queue_rank_start(struct jh_queue_rank *r, struct jh_queue_entry *e)
{
	struct jh_queue_flow *f = e->flow;

	remove_from_heaps(r, f);
	r->virtual_time = MAX(r->virtual_time, f->tag);
	f->tag += jh_queue_flow_virtual_cost(f, e->cost);
	r->max_tag = MAX(r->max_tag, f->tag);
	f->running++;
	r->running++;
	r->in_prefill++;
	detach(r, e);
	insert_into_heaps(r, f);
	free_idle_flows(r);
}

void
jh_queue_rank_finish(
    struct jh_queue_rank *r, struct jh_queue_entry *e, uint64_t cost)
{
	struct jh_queue_flow *f = e->flow;
	uint64_t refund;

	remove_from_heaps(r, f);
	f->running--;
	r->running--;
	if (e->first_token == 0)
		r->in_prefill--;
	if (cost >= e->cost) {
		f->tag += jh_queue_flow_virtual_cost(f, cost - e->cost);
		r->max_tag = MAX(r->max_tag, f->tag);
	} else {
		refund = jh_queue_flow_virtual_cost(f, e->cost - cost);
		f->tag -= MIN(refund, f->tag);
	}
	insert_into_heaps(r, f);
	if (r->running == 0 && r->queued.count == 0)
		r->virtual_time = r->max_tag;
	free_idle_flows(r);
}

struct jh_queue_entry *
jh_queue_rank_victim(const struct jh_queue_rank *r, uint64_t min_cost)
{
	struct jh_queue_heap_node *n = jh_queue_heap_top(&r->by_queued_cost);
	struct jh_queue_flow *f;

	if (n == NULL || UINT64_MAX - n->key <= min_cost)
		return NULL;
	f = JH_CONTAINER_OF(n, struct jh_queue_flow, cost_node);
	return entry_of(jh_queue_tree_last(&f->tree));
}
