#include <math.h>
#include <string.h>

#include "admit/queue_flow.h"

/*
 * Weight of the slots held now, against their mean over time, in a flow's slot
 * usage. With 0.5 bursts of small organisations waited longer; with 0.3 large
 * organisations got slots back too soon after a pause.
 */
#define CURRENT_WEIGHT 0.4

struct jh_queue_flow *
jh_queue_flow_create(struct jh_str org, uint64_t tie)
{
	struct jh_queue_flow *f = g_new0(struct jh_queue_flow, 1);

	f->org = jh_str_dup(org);
	f->org_len = org.len;
	f->weight = 1;
	f->tag_node.tie = f->cost_node.tie = tie;
	return f;
}

void
jh_queue_flow_destroy(struct jh_queue_flow *f)
{
	g_free(f->org);
	g_free(f);
}

struct jh_queue_sum
jh_queue_flow_queued(const struct jh_queue_flow *f)
{
	struct jh_queue_sum none = {0};

	return f->tree.root == NULL ? none : f->tree.root->subtree;
}

uint64_t
jh_queue_flow_virtual_cost(const struct jh_queue_flow *f, uint64_t cost)
{
	return cost * JH_QUEUE_TAG_SCALE / f->weight;
}

double
jh_queue_flow_usage(const struct jh_queue_flow *f)
{
	return (CURRENT_WEIGHT * f->running +
		   (1 - CURRENT_WEIGHT) * f->slots_held.mean) /
	       f->weight;
}

double
jh_queue_flow_slots_left(const struct jh_queue_flow *f, double bound)
{
	/* Slot usage is rounded down before it is compared. */
	return (ceil(bound) - jh_queue_flow_usage(f)) * f->weight /
	       CURRENT_WEIGHT;
}
